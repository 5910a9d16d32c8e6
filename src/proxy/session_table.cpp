#include "proxy/session_table.h"

#include "config/site_settings.h"

namespace stoatrun {

SessionTable::SessionTable(EventLoop& loop, UsageMeter* meter, FleetClient* fleet, SentRequestIds& sent_ids)
    : loop_(loop), meter_(meter), fleet_(fleet), sent_ids_(sent_ids) {
  loop_.AddTurnEndHook([this] { sessions_.Reclaim(); });
}

Session& SessionTable::Add(std::string_view connection_id, SessionTimeoutHandler& handler) {
  Session& session = sessions_.Add(loop_.timers, handler, connection_id);
  connection_ids_.insert(session.connection_id);
  return session;
}

bool SessionTable::HasConnectionId(std::string_view connection_id) const {
  return connection_ids_.contains(std::string(connection_id)) ||
         sent_ids_.Contains(HashName(connection_id), loop_.clock.Current());
}

bool SessionTable::ClaimConnectionId(Session& session) {
  if (session.holds_id) return true;
  session.holds_id = sent_ids_.Claim(HashName(session.connection_id), loop_.clock.Current());
  return session.holds_id;
}

void SessionTable::BeginUsage(Session& session) {
  if (meter_ != nullptr) session.usage = meter_->Begin(session.group, session.request.class_index);
}

void SessionTable::EndUsage(Session& session) {
  if (meter_ != nullptr) meter_->End(session.usage);
}

void SessionTable::Erase(Session& session) {
  EndUsage(session);
  if (fleet_ != nullptr) fleet_->EndConnection(session.fleet_connection, session.outcome);
  if (session.holds_id && !session.request_sent) sent_ids_.Release(HashName(session.connection_id));
  session.timer.Cancel();
  connection_ids_.erase(session.connection_id);
  sessions_.Erase(session.id);
}

std::size_t SessionTable::OpenCount() {
  std::size_t count = 0;
  sessions_.ForEach([&](const Session& session) { count += session.IsOpen() ? 1U : 0U; });
  return count;
}

std::unordered_set<EndpointIndex> SessionTable::UsedEndpoints() {
  std::unordered_set<EndpointIndex> used;
  sessions_.ForEach([&](const Session& session) { used.insert(session.endpoint); });
  return used;
}

std::vector<SlotId> SessionTable::PendingIds() {
  std::vector<SlotId> pending;
  sessions_.ForEach([&](const Session& session) {
    if (session.IsPending()) pending.push_back(session.id);
  });
  return pending;
}

std::vector<SlotId> SessionTable::EndingIds() {
  std::vector<SlotId> ending;
  sessions_.ForEach([&](const Session& session) {
    if (!session.IsPending() && !session.IsEstablished()) ending.push_back(session.id);
  });
  return ending;
}

std::vector<SlotId> SessionTable::EstablishedUnderQuota(std::uint32_t quota, std::size_t count) {
  std::vector<SlotId> found;
  sessions_.ForEach([&](const Session& session) {
    if (found.size() < count && session.IsEstablished() && session.fleet_connection.quota == quota) {
      found.push_back(session.id);
    }
  });
  return found;
}

std::vector<drain::Candidate> SessionTable::MigrationCandidates() {
  std::vector<drain::Candidate> candidates;
  sessions_.ForEach([&](const Session& session) {
    if (!session.IsOpen()) return;
    candidates.push_back({session.id.ToUint64(), session.unanswered_since.count() > 0, session.answered_at});
  });
  return candidates;
}

}  // namespace stoatrun
