// Drives the sessions: translates the events of client and endpoint connections into events for the balancer
// and executes the balancer's actions. Endpoint selection, retries and load shedding are the balancer's
// decisions.
#ifndef STOATRUN_PROXY_SESSION_CONTROLLER_H_
#define STOATRUN_PROXY_SESSION_CONTROLLER_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "config/site_settings.h"
#include "endpoint/discovery_client.h"
#include "proxy/balancer_driver.h"
#include "proxy/downstream.h"
#include "proxy/fleet_quota_guard.h"
#include "proxy/forwarder.h"
#include "proxy/session_closer.h"
#include "proxy/session_resumption.h"
#include "proxy/session_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Adds and erases all sessions (session_table.h describes the consequences for callers), opens their attempts
// and ends their connections. Used by the event loop's thread only.
class SessionController : public DownstreamEvents,
                          public UpstreamEvents,
                          public ActionHandler,
                          private SessionTimeoutHandler {
 public:
  // The objects that the controller works with. All must outlive it. Its constructor uses none of them, so
  // they may be constructed after it.
  struct Dependencies {
    EventLoop& loop;
    const SiteSettings& site;
    Counters& counters;
    SessionTable& sessions;
    Downstream& downstream;
    Upstream& upstream;
    DiscoveryClient& discovery;
    BalancerDriver& balancer;
    FleetQuotaGuard& fleet;
    SessionResumption& resumption;
    Forwarder& forwarder;
    SessionCloser& closer;
  };

  // Only stores the references.
  explicit SessionController(const Dependencies& deps) : deps_(deps) {}

  // Migrates `count` of the open sessions, most recently answered first: their clients are furthest
  // from sending the next line.
  void MigrateIdle(std::size_t count);

  // ActionHandler
  void OpenAttempt(SlotId session_id, EndpointIndex endpoint, const AttemptLimits& limits) override;
  void CancelAttempt(SlotId session_id, std::uint32_t attempt_number) override;
  void Reject(SlotId session_id, Micros retry_after) override;
  void Fail(SlotId session_id) override;
  void Migrate(SlotId session_id) override;
  void Probe(EndpointIndex endpoint) override;
  void WatchEndpoints() override;

 private:
  // DownstreamEvents
  std::optional<OpenRequestError> Validate(const OpenRequest& request) override;
  SlotId OnOpen(SlotId client, const OpenRequest& request) override;
  void OnClientBytes(SlotId session_id) override;
  void OnClientEnd(SlotId session_id, ConnectionEnd end) override;
  void OnClientWritable(SlotId session_id) override;
  void OnRejectedForCapacity(const OpenRequest& request) override;
  std::size_t LingeringCount() const override { return deps_.upstream.LingeringCount(); }
  void CloseOldestLingering() override { deps_.upstream.CloseOldestLingering(); }
  // UpstreamEvents
  void OnBeforeRequestWrite(SlotId session_id) override;
  void OnAttemptSent(SlotId session_id) override;
  void OnAttemptEstablished(SlotId session_id, std::string_view line) override;
  void OnAttemptEnded(SlotId session_id, AttemptEnd end, std::string_view line) override;
  void OnAttemptBytes(SlotId session_id) override;
  void OnAttemptFinished(SlotId session_id, ConnectionEnd end) override;
  void OnAttemptWritable(SlotId session_id) override;
  void OnProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report) override;
  // SessionTimeoutHandler
  void OnSessionTimeout(SlotId session_id) override;

  Session& AddSession(SlotId client, const OpenRequest& request);
  // Sends a pending session's client its final answer and erases the session.
  void Answer(SlotId session_id, std::string_view line, FleetClient::ConnectionOutcome outcome);
  // Ends a pending session whose client has disconnected or sent a second request.
  void EndPending(Session& session, ConnectionEnd end);
  // Ends an established session whose client connection was reset.
  void ResetEstablished(Session& session);
  // The index of the class called `name`; the number of classes if there is none.
  std::size_t ClassIndex(std::string_view name) const;
  // The counters of a class; null if the index is not valid.
  ClassCounters* CountersOfClass(std::size_t class_index);
  Micros Now() const { return deps_.loop.Now(); }

  const Dependencies deps_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_CONTROLLER_H_
