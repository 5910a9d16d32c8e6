#include "proxy/forwarder.h"

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

#include "proxy/balancer_mapping.h"
#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

// How many bytes of `input` to forward. An incomplete line that exceeds the maximum length is forwarded in
// pieces.
std::size_t ForwardableSize(std::string_view input, Forwarder::Extent extent) {
  const std::size_t last_line_end = input.rfind('\n');
  const std::size_t complete = last_line_end == std::string_view::npos ? 0 : last_line_end + 1;
  if (extent == Forwarder::Extent::kEverything) return input.size();
  if (complete == 0 && input.size() >= kMaxLine) return input.size();
  return complete;
}

std::vector<std::string> SplitLines(std::string_view text) {
  std::vector<std::string> lines;
  while (!text.empty()) {
    const std::size_t size = LineLength(text).value_or(text.size());
    lines.emplace_back(StripLineEnd(text.substr(0, size)));
    text.remove_prefix(size);
  }
  return lines;
}

// The end that an endpoint announces with a line that begins with `word`; kBroken if it announces none.
AttemptEnd AnnouncedEnd(std::string_view word) {
  if (word == "BYE") return AttemptEnd::kServed;
  if (word == "MOVE") return AttemptEnd::kMigrated;
  if (word == "ERR") return AttemptEnd::kError;
  return AttemptEnd::kBroken;
}

}  // namespace

Forwarder::Forwarder(EventLoop& loop, SessionTable& sessions, Downstream& downstream, Upstream& upstream,
                     BalancerDriver& balancer, MessageLatencyReporter& latency_reporter)
    : loop_(loop),
      sessions_(sessions),
      downstream_(downstream),
      upstream_(upstream),
      balancer_(balancer),
      latency_reporter_(latency_reporter) {}

void Forwarder::ForwardToEndpoint(Session& session) {
  TcpConnection* client = downstream_.Find(session.client);
  TcpConnection* attempt = upstream_.Find(session.attempt);
  if (client == nullptr || attempt == nullptr || client->input().empty()) return;
  if (attempt->QueuedBytes() > TcpConnection::kHighWatermark) {
    client->SetReading(false);
    return;
  }
  if (session.to_endpoint == LineBoundary::kReached) return;
  std::string_view input = client->input();
  const bool awaits_line_end = session.to_endpoint == LineBoundary::kAwaited;
  if (awaits_line_end) input = input.substr(0, LineLength(input).value_or(input.size()));
  attempt->Write({input});
  session.RecordForwarded(input.size(), loop_.Now());
  session.client_is_within_line = input.back() != '\n';
  if (awaits_line_end && !session.client_is_within_line) session.to_endpoint = LineBoundary::kReached;
  if (session.unanswered_since.count() == 0 && input.find('\n') != std::string_view::npos) {
    session.unanswered_since = loop_.Now();
    if (session.IsEstablished()) session.timer.Set(loop_.Now() + kAnswerTimeout);
  }
  client->Consume(input.size());
}

void Forwarder::ForwardToClient(SlotId session_id, Extent extent) {
  Session* session = sessions_.Find(session_id);
  if (session == nullptr) return;
  TcpConnection* client = downstream_.Find(session->client);
  TcpConnection* attempt = upstream_.Find(session->attempt);
  if (client == nullptr || attempt == nullptr || attempt->input().empty()) return;
  if (client->QueuedBytes() > TcpConnection::kHighWatermark && extent == Extent::kCompleteLines) {
    attempt->SetReading(false);
    return;
  }
  const std::string_view input = attempt->input();
  const std::string_view forwarded = input.substr(0, ForwardableSize(input, extent));
  if (forwarded.empty()) return;
  client->Write({forwarded});
  session->RecordForwarded(forwarded.size(), loop_.Now());
  if (session->to_client == LineBoundary::kAwaited) session->to_client = LineBoundary::kReached;
  // The lines are copied and handled after the buffers have been updated, because the balancer may migrate
  // this client while it handles them.
  const std::vector<std::string> lines = SplitLines(forwarded);
  attempt->Consume(forwarded.size());
  if (session->timer.IsSet() && session->IsOpen()) session->timer.Set(loop_.Now() + kAnswerTimeout);
  for (const std::string& line : lines) {
    session = sessions_.Find(session_id);
    if (session == nullptr) return;
    OnEndpointLine(*session, line);
  }
}

bool Forwarder::ForwardRest(SlotId session_id) {
  const bool endpoint_has_rest = ForwardRestToEndpoint(session_id);
  const bool client_has_rest = ForwardRestToClient(session_id);
  return endpoint_has_rest && client_has_rest;
}

bool Forwarder::ForwardRestToEndpoint(SlotId session_id) {
  Session* session = sessions_.Find(session_id);
  if (session == nullptr) return true;
  TcpConnection* client = downstream_.Find(session->client);
  const TcpConnection* attempt = upstream_.Find(session->attempt);
  if (client == nullptr || attempt == nullptr || attempt->IsBroken()) return true;
  ForwardToEndpoint(*session);
  const bool is_empty = client->ReadUntilEmpty();
  session = sessions_.Find(session_id);
  if (session == nullptr || session->to_endpoint == LineBoundary::kReached) return true;
  if (!is_empty || !client->input().empty()) return false;
  const bool may_send_more = !client->PeerFinished() && !client->IsBroken();
  if (!session->client_is_within_line || !session->AwaitsLineEnds() || !may_send_more) return true;
  session->to_endpoint = LineBoundary::kAwaited;
  return false;
}

bool Forwarder::ForwardRestToClient(SlotId session_id) {
  Session* session = sessions_.Find(session_id);
  if (session == nullptr) return true;
  const TcpConnection* client = downstream_.Find(session->client);
  TcpConnection* attempt = upstream_.Find(session->attempt);
  if (client == nullptr || attempt == nullptr) return true;
  ForwardToClient(session_id, Extent::kCompleteLines);
  const bool is_empty = attempt->ReadUntilEmpty();
  session = sessions_.Find(session_id);
  if (session == nullptr || session->to_client == LineBoundary::kReached) return true;
  if (!is_empty) return false;
  const bool endpoint_has_ended = attempt->PeerFinished() || attempt->IsBroken();
  if (!session->AwaitsLineEnds()) {
    if (endpoint_has_ended) ForwardToClient(session_id, Extent::kEverything);
    return true;
  }
  if (attempt->input().empty()) return true;
  const bool is_held_back = client->QueuedBytes() > TcpConnection::kHighWatermark;
  if (is_held_back) return false;
  if (endpoint_has_ended) return true;  // Only a part of a line is left.
  session->to_client = LineBoundary::kAwaited;
  return false;
}

void Forwarder::OnEndpointLine(Session& session, std::string_view line) {
  const auto [word, rest] = SplitFirstWord(line);
  if (word == "LOAD") {
    if (const auto load = ParseDecimal(rest)) balancer_.HandleEvent(ToLoadReported(session.id, *load));
    return;
  }
  session.announced_end = AnnouncedEnd(word);
  const bool is_answer = session.announced_end == AttemptEnd::kBroken;
  if (session.unanswered_since.count() == 0 || !is_answer) return;
  const Micros latency = loop_.Now() - std::exchange(session.unanswered_since, Micros(0));
  session.answered_at = loop_.Now();
  if (session.IsEstablished()) session.timer.Cancel();
  latency_reporter_.OnAnswer(session.endpoint, latency);
}

void Forwarder::OnClientWritable(SlotId session_id) {
  const Session* session = sessions_.Find(session_id);
  if (session == nullptr) return;
  if (TcpConnection* attempt = upstream_.Find(session->attempt)) attempt->SetReading(true);
  ForwardToClient(session_id, Extent::kCompleteLines);
}

void Forwarder::OnEndpointWritable(SlotId session_id) {
  Session* session = sessions_.Find(session_id);
  if (session == nullptr) return;
  if (TcpConnection* client = downstream_.Find(session->client)) client->SetReading(true);
  ForwardToEndpoint(*session);
}

}  // namespace stoatrun
