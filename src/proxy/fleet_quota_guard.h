// Connects the proxy to the rest of its fleet: keeps attempts, probes and connections within the quotas that
// the whole fleet shares, reports to the fleet what this proxy observes of endpoints, and passes the fleet's
// hints to the balancer. Without a fleet everything is allowed and nothing is reported.
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
  // `client`: null without a fleet. `slow_start`: how long endpoints warm up. `actions` migrates connections
  // that exceed a quota. All references must outlive the object.
  FleetQuotaGuard(EventLoop& loop, FleetClient* client, Micros slow_start, const EndpointTable& endpoints,
                  SessionTable& sessions, BalancerDriver& balancer, ActionHandler& actions);

  // Polls the fleet from now on.
  void Start();

  // Counts a new session; SessionTable::Erase ends its count.
  void BeginConnection(Session& session);
  // Counts a request that was rejected without a session.
  void CountRejected(std::size_t class_index, std::string_view group);
  // Reserves a unit of the quota of the session's group. False: the quota is exhausted.
  bool TryReserveQuota(Session& session);
  // Acquires what an attempt of `session` at `endpoint` needs. nullopt: it may be sent, and is reported as
  // sent; else how the attempt has ended for the balancer.
  std::optional<AttemptEnd> TryAcquireAttempt(const Session& session, EndpointIndex endpoint);
  // Acquires a probe. False: the quota is exhausted.
  bool TryAcquireProbe();

  // Reports what the end of an attempt shows of its endpoint.
  void OnAttemptEnded(EndpointIndex endpoint, AttemptEnd end);
  // Reports the endpoints listed now. The endpoint table has the update already.
  void OnEndpointUpdate(const EndpointUpdate& update);

 private:
  bool IsWarmingUp(Micros started_at) const;
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
  std::map<std::string, std::int64_t> ready_started_ms_;  // Ready endpoints; when they started, in Unix time.
  std::map<EndpointIndex, Micros> started_at_;  // Those that may be warming up; on the loop's clock.
  Timer poll_timer_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_FLEET_QUOTA_GUARD_H_
