// All sessions of the proxy.
//
// Only SessionController and SessionCloser erase sessions, and only through SessionTable::Erase, which ends a
// session's timer, usage and fleet-wide count. They do so in callbacks of sockets and timers and while the
// balancer's actions are executed. Any call of BalancerDriver::HandleEvent may therefore erase any session:
// look the session up again by its id afterwards. A Session& stays readable until the end of the event loop's
// turn, but that session has already ended.
#ifndef STOATRUN_PROXY_SESSION_TABLE_H_
#define STOATRUN_PROXY_SESSION_TABLE_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "base/slot_map.h"
#include "base/usage_meter.h"
#include "proxy/drain_schedule.h"
#include "proxy/sent_request_ids.h"
#include "proxy/session.h"

namespace stoatrun {

// Owns the sessions. Used by the event loop's thread only.
class SessionTable {
 public:
  // `meter` and `fleet` may be null; all arguments must outlive the object.
  SessionTable(EventLoop& loop, UsageMeter* meter, FleetClient* fleet, SentRequestIds& sent_ids);

  // Adds a pending session. `connection_id` must not be in use.
  Session& Add(std::string_view connection_id, SessionTimeoutHandler& handler);
  // Returns the session with this id, or null if it has been erased.
  Session* Find(SlotId id) { return sessions_.Find(id); }
  // Whether a session has this connection id, or had it lately and its request was sent to an endpoint.
  bool HasConnectionId(std::string_view connection_id) const;
  // Must be called before the session's request is written. Returns false if it must not be, because a
  // request with the same connection id has been sent, by this process or the one that it replaces.
  bool ClaimConnectionId(Session& session);

  // Starts metering the usage of a session that is being established.
  void BeginUsage(Session& session);
  // Stops metering the session's usage. No effect if it is not being metered.
  void EndUsage(Session& session);
  // Stops metering the session's usage, reports its outcome to the fleet-wide count and removes the session.
  void Erase(Session& session);

  // The number of sessions in any state.
  std::size_t Size() const { return sessions_.Size(); }
  // The number of sessions in kEstablished and kHalfClosed.
  std::size_t OpenCount();
  // The endpoints of the sessions' latest attempts.
  std::unordered_set<EndpointIndex> UsedEndpoints();
  // The ids of the sessions in kPending.
  std::vector<SlotId> PendingIds();
  // The ids of the sessions in kHalfClosed and kClosing.
  std::vector<SlotId> EndingIds();
  // The ids of at most `count` established sessions that hold a reservation of `quota`.
  std::vector<SlotId> EstablishedUnderQuota(std::uint32_t quota, std::size_t count);
  // The sessions in kEstablished and kHalfClosed, as candidates for migration.
  std::vector<drain::Candidate> MigrationCandidates();

 private:
  EventLoop& loop_;
  UsageMeter* const meter_;
  FleetClient* const fleet_;
  SentRequestIds& sent_ids_;
  SlotMap<Session> sessions_;
  std::unordered_set<std::string> connection_ids_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_TABLE_H_
