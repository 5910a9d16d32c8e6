#include "proxy/session_closer.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>

#include "proxy/balancer_mapping.h"

namespace stoatrun {
namespace {

// How long an ending session still forwards what its sides sent before, if one of them does not take it or
// sends a line in pieces. An endpoint's end must be passed on within 1 s.
constexpr Micros kClosingTimeout = std::chrono::milliseconds(800);

// More than this may not have fitted into the socket: what its sender has written may still lie on the
// sender's side, and comes as the socket is read. The smallest receive window of a new connection is twice as
// large.
constexpr std::size_t kMaxBytesInSocket = std::size_t{32} * 1024;
// For how long nothing more must come then. Longer than a round trip.
constexpr Micros kQuietPeriod = std::chrono::milliseconds(20);

// When the session may end, if nothing is left to forward now.
Micros EarliestEnd(const Session& session) {
  const bool may_have_more = session.closing_bytes > kMaxBytesInSocket;
  return may_have_more ? std::min(session.closing_deadline, session.last_forwarded_at + kQuietPeriod)
                       : Micros(0);
}

}  // namespace

SessionCloser::SessionCloser(EventLoop& loop, SessionTable& sessions, Downstream& downstream,
                             Upstream& upstream, BalancerDriver& balancer, Forwarder& forwarder)
    : loop_(loop),
      sessions_(sessions),
      downstream_(downstream),
      upstream_(upstream),
      balancer_(balancer),
      forwarder_(forwarder) {}

void SessionCloser::Close(Session& session, const SessionEnd& end) {
  const SlotId session_id = session.id;
  session.BeginClosing(end, loop_.Now() + kClosingTimeout);
  Continue(session_id);
}

void SessionCloser::Continue(SlotId session_id) {
  Session* session = sessions_.Find(session_id);
  if (session == nullptr || session->CurrentState() != Session::State::kClosing) return;
  // Reading reports what has been read by the events that call this method.
  if (std::exchange(session->is_forwarding_rest, true)) return;
  const bool forwarded = forwarder_.ForwardRest(session_id);
  session = sessions_.Find(session_id);
  if (session == nullptr) return;
  session->is_forwarding_rest = false;
  const Micros end = forwarded ? EarliestEnd(*session) : session->closing_deadline;
  if (loop_.Now() >= end) {
    Finish(*session, session->closing);
  } else {
    session->timer.Set(end);
  }
}

void SessionCloser::Finish(Session& session, const SessionEnd& end) {
  const SlotId session_id = session.id;
  const EndpointIndex endpoint = session.endpoint;
  const AttemptEnd attempt_end = end.end;  // `end` may be part of the session.
  downstream_.End(session.client, end.last_line, end.client_end);
  upstream_.Finish(session.attempt);
  sessions_.Erase(session);
  balancer_.HandleEvent(ToAttemptEnded(session_id, endpoint, attempt_end, RequestState::kFinished, {}));
}

void SessionCloser::OnHalfClosedTimeout(Session& session) {
  const TcpConnection* client = downstream_.Find(session.client);
  const TcpConnection* attempt = upstream_.Find(session.attempt);
  const std::size_t unsent = attempt == nullptr ? 0 : attempt->UnsentBytes();
  const bool endpoint_reads = unsent < std::exchange(session.unsent_to_endpoint, unsent);
  const bool client_is_slow = client != nullptr && client->QueuedBytes() > 0;
  if (attempt != nullptr && (endpoint_reads || client_is_slow)) {
    session.timer.Set(loop_.Now() + Forwarder::kAnswerTimeout);
  } else {
    Close(session, kMigrationEnd);  // The client may still wait for an answer.
  }
}

void SessionCloser::FinishAll() {
  for (const SlotId session_id : sessions_.EndingIds()) {
    Session* session = sessions_.Find(session_id);
    if (session == nullptr) continue;
    const bool is_closing = session->CurrentState() == Session::State::kClosing;
    Finish(*session, is_closing ? session->closing : kMigrationEnd);
  }
}

}  // namespace stoatrun
