// All sessions of the proxy.
//
// Who may erase a session, and when: only SessionController does, through SessionTable::Erase, which is the
// one place where a session's timer, usage and fleet-wide count end. It does so within calls that come from
// sockets and timers and within the balancer's actions. So any call of BalancerDriver::HandleEvent may erase
// any session: after it, a session must be looked up again by its id (a Session& stays readable until the end
// of the event loop's turn, but its actions would come too late).
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
#include "proxy/session.h"

namespace stoatrun {

// Owns the sessions. Used by the event loop's thread only.
class SessionTable {
 public:
  // `meter`, `fleet`: may be null; all must outlive the object.
  SessionTable(EventLoop& loop, UsageMeter* meter, FleetClient* fleet);

  // Adds a pending session. `connection_id` must not be in use.
  Session& Add(std::string_view connection_id, SessionTimeoutHandler& handler);
  // The session with this id; null if it has been erased.
  Session* Find(SlotId id) { return sessions_.Find(id); }
  // Whether a session has this connection id.
  bool HasConnectionId(std::string_view connection_id) const;

  // Begins to meter the usage of a session that is being established.
  void BeginUsage(Session& session);
  // Ends it; no effect if it has ended or never began.
  void EndUsage(Session& session);
  // Ends the session's usage and its fleet-wide count, with its outcome, and removes it.
  void Erase(Session& session);

  // The number of sessions in any state.
  std::size_t Size() const { return sessions_.Size(); }
  // The number of sessions in kEstablished.
  std::size_t EstablishedCount();
  // The sessions in kPending.
  std::vector<SlotId> PendingIds();
  // At most `count` established sessions that reserve a unit of `quota`.
  std::vector<SlotId> EstablishedUnderQuota(std::uint32_t quota, std::size_t count);
  // All established sessions, as candidates for migration.
  std::vector<drain::Candidate> MigrationCandidates();

 private:
  EventLoop& loop_;
  UsageMeter* const meter_;
  FleetClient* const fleet_;
  SlotMap<Session> sessions_;
  std::unordered_set<std::string> connection_ids_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_TABLE_H_
