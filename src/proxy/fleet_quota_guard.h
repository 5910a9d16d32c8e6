// Connects the proxy to its fleet: limits attempts, probes and connections to the fleet-wide quotas, reports
// the endpoint conditions that this proxy observes, and passes the fleet's hints to the balancer. Without a
// fleet nothing is limited or reported.
#ifndef STOATRUN_PROXY_FLEET_QUOTA_GUARD_H_
#define STOATRUN_PROXY_FLEET_QUOTA_GUARD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "endpoint/endpoint_update.h"
#include "proxy/balancer_driver.h"
#include "proxy/endpoint_table.h"
#include "proxy/session_table.h"

namespace stoatrun {

// Used by the event loop's thread only.
class FleetQuotaGuard {
 public:
  // `client`: null without a fleet. `slow_start`: the duration of an endpoint's slow start. `actions`
  // migrates connections that exceed a quota. `client` and all references must outlive the object.
  FleetQuotaGuard(EventLoop& loop, FleetClient* client, Micros slow_start, const EndpointTable& endpoints,
                  SessionTable& sessions, BalancerDriver& balancer, ActionHandler& actions);

  // Starts to poll the fleet for hints and quota excesses.
  void Start();

  // Starts to count a session as a connection; SessionTable::Erase ends the count.
  void BeginConnection(Session& session);
  // Counts a request that was rejected before a session was created.
  void CountRejected(std::size_t class_index, std::string_view group);
  // Reserves a unit of the quota of the session's group. False: the quota is exhausted.
  bool TryReserveQuota(Session& session);
  // Acquires the quotas for an attempt of `session` at `endpoint`. Returns nullopt if the attempt may be
  // sent, and reports it to the fleet as sent. Otherwise returns the end of the attempt to report to the
  // balancer.
  std::optional<AttemptEnd> TryAcquireAttempt(const Session& session, EndpointIndex endpoint);
  // Acquires a unit of the quota for probes. False: the quota is exhausted.
  bool TryAcquireProbe();

  // Reports the endpoint condition that the end of an attempt shows.
  void OnAttemptEnded(EndpointIndex endpoint, AttemptEnd end);
  // Reports the ready endpoints. `update` must have been applied to the endpoint table.
  void OnEndpointUpdate(const EndpointUpdate& update);

 private:
  bool IsInSlowStart(Micros started_at) const;
  void Poll();
  void PollHints();
  void MigrateExcess();
  void ApplyUpdate(const EndpointUpdate& update);

  EventLoop& loop_;
  FleetClient* const client_;
  const Micros slow_start_;
  const EndpointTable& endpoints_;
  SessionTable& sessions_;
  BalancerDriver& balancer_;
  ActionHandler& actions_;
  std::map<std::string, std::int64_t> ready_endpoints_;  // By id; start time in Unix ms.
  // Start times, on the event loop's clock, of endpoints that may be in slow start.
  std::map<EndpointIndex, Micros> slow_start_began_at_;
  Timer poll_timer_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_FLEET_QUOTA_GUARD_H_
