#include "proxy/downstream.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace stoatrun {
namespace {

// A client without a request line is owed an answer within 3 s of connecting.
constexpr Micros kRequestLineTimeout = std::chrono::milliseconds(2000);
// How long a client may take to end its sending after this side has; the longer time holds while it still
// sends or has not read all, for closing a socket with unread bytes causes a reset, which may overtake the
// answer.
constexpr Micros kEndTimeout = std::chrono::milliseconds(800);
constexpr Micros kDiscardTimeout = std::chrono::milliseconds(2400);
// Bytes read and discarded from a client that has its answer: what one core of the machine reads in the
// longer time above. A client that sends more loses its answer to a reset.
constexpr std::size_t kMaxDiscarded = std::size_t{96} * 1024 * 1024;
// Descriptors for what is neither client nor attempt: 32 idle connections for probes, a dozen probes under
// way, the listener, the event loop, the log and discovery.
constexpr std::size_t kReservedDescriptors = 48;
// So many clients without a request line are always kept, however many sessions there are.
constexpr std::size_t kMinUnopened = 16;
// Request lines come right after the connection: after this time a client counts as idle.
constexpr Micros kIdleAfter = std::chrono::milliseconds(250);
constexpr std::string_view kErrorLine = "ERR\r\n", kBusyLine = "BUSY\r\n", kPongLine = "PONG\r\n";

// The start of what a client sent, made printable for the log.
std::string Printable(std::string_view input) {
  std::string text(input.substr(0, 120));
  for (char& symbol : text) symbol = symbol < ' ' || symbol > '~' ? '.' : symbol;
  return text;
}

// A client must wait for the answer to its request line. If it sent a second one before, that would be
// forwarded as a line of the first request.
bool IsSecondRequest(std::string_view input_after_line) { return input_after_line.starts_with("OPEN "); }

std::string_view ToReason(OpenRequestError error) {
  return error == OpenRequestError::kUnknownClass ? "unknown class" : "id of an open one";
}

}  // namespace

Downstream::Downstream(EventLoop& loop, DownstreamEvents& events, Counters& counters,
                       std::size_t descriptor_limit)
    : loop_(loop),
      events_(events),
      counters_(counters),
      descriptor_limit_(std::max(descriptor_limit, kReservedDescriptors + 2 * kMinUnopened)),
      listener_(loop, *this, counters, capacity_log_) {
  loop_.AddTurnEndHook([this] { clients_.Reclaim(); });
}

// ---- clients come and go ----

void Downstream::OnAccepted(UniqueFd socket) {
  Client& client = clients_.Add(*this);
  client.position = unopened_.insert(unopened_.end(), client.id);
  client.since = loop_.Now();
  client.timer.Set(loop_.Now() + kRequestLineTimeout);
  client.tcp.Adopt(socket.Release());
  EvictOldest();
}

std::size_t Downstream::OpenedCount() const { return clients_.Size() - unopened_.size() - ending_.size(); }

// Each opened client needs two descriptors, for itself and its attempt.
bool Downstream::CanAccept() const {
  return 2 * (OpenedCount() + 1) + kReservedDescriptors + kMinUnopened <= descriptor_limit_;
}

// Hundreds of clients that connect and send nothing must not use up the descriptors that sessions, attempts,
// probes and discovery need. Clients that have their answer are evicted first, then the oldest without a
// request.
void Downstream::EvictOldest() {
  const std::size_t used = std::min(descriptor_limit_, 2 * OpenedCount() + kReservedDescriptors);
  const std::size_t capacity = std::max(kMinUnopened, descriptor_limit_ - used);
  while (unopened_.size() + ending_.size() > capacity) {
    const SlotId id = ending_.empty() ? unopened_.front() : ending_.front();
    Client* client = clients_.Find(id);
    if (client->state == State::kRequestLine) {
      client->tcp.ReadNow();  // Its request line may be there, though the loop has not reported it yet.
      client = clients_.Find(id);
      if (client == nullptr || client->state != State::kRequestLine) continue;
      EndEvicted(*client);
    }
    client->tcp.Close();
    Erase(*client);
  }
}

void Downstream::EndEvicted(Client& client) {
  ++counters_.evicted;
  client.tcp.Write({kErrorLine});
  client.tcp.Finish();
  client.tcp.DiscardInput();
}

void Downstream::Erase(Client& client) {
  if (client.state == State::kRequestLine) unopened_.erase(client.position);
  if (client.state == State::kEnding) ending_.erase(client.position);
  client.timer.Cancel();
  clients_.Erase(client.id);
}

bool Downstream::HasPendingClients() {
  const auto has_recent = [this](const std::list<SlotId>& clients) {
    return !clients.empty() && loop_.Now() < clients_.Find(clients.back())->since + kIdleAfter;
  };
  const auto has_output = [this](SlotId id) { return clients_.Find(id)->tcp.QueuedBytes() > 0; };
  return OpenedCount() > 0 || has_recent(unopened_) || has_recent(ending_) ||
         std::any_of(ending_.begin(), ending_.end(), has_output);
}

void Downstream::EndIdle(bool others_pending) {
  std::vector<SlotId> idle;
  for (const SlotId id : unopened_) {
    if (loop_.Now() < clients_.Find(id)->since + kIdleAfter) break;  // As all behind it, which came later.
    idle.push_back(id);
  }
  for (const SlotId id : idle) {
    Client* client = clients_.Find(id);
    if (client == nullptr) continue;  // Evicted when one before it became a session.
    client->tcp.ReadNow();            // Its line may be there.
    if (client->state != State::kRequestLine) continue;
    if (client->tcp.input().empty() || !others_pending) End(id, kBusyLine);
  }
}

TcpConnection* Downstream::Find(SlotId client_id) {
  Client* client = clients_.Find(client_id);
  return client == nullptr || client->state != State::kOpened ? nullptr : &client->tcp;
}

void Downstream::Establish(SlotId client_id, std::string_view line) {
  Client* client = clients_.Find(client_id);
  if (client == nullptr || client->state != State::kOpened) return;
  client->tcp.Write({line});
  client->tcp.Consume(client->request_line_size);
  client->request_line_size = 0;
}

void Downstream::End(SlotId client_id, std::string_view last_line) {
  Client* client = clients_.Find(client_id);
  if (client == nullptr || client->state == State::kEnding) return;
  // Closing at once would answer bytes under way with a reset, which may overtake the last line.
  if (client->state == State::kRequestLine) unopened_.erase(client->position);
  client->state = State::kEnding;
  client->position = ending_.insert(ending_.end(), client->id);
  client->since = loop_.Now();
  if (!last_line.empty()) client->tcp.Write({last_line});
  client->tcp.Finish();
  if (client->tcp.PeerFinished() && client->tcp.QueuedBytes() == 0) {  // Both sides have ended.
    client->tcp.Close();
    Erase(*client);
    return;
  }
  client->tcp.DiscardInput();
  client->timer.Set(loop_.Now() + kEndTimeout);
}

void Downstream::Reset(SlotId client_id) {
  Client* client = clients_.Find(client_id);
  if (client == nullptr) return;
  client->tcp.Reset();
  Erase(*client);
}

// ---- request lines ----

void Downstream::ReadRequestLines(Client& client) {
  for (;;) {
    const std::string_view input = client.tcp.input();
    const auto size = LineLength(input);
    if (size.value_or(input.size() + 1) > kMaxLine) {
      RejectMalformed(client, "too long");
      return;
    }
    if (!size || !HandleLine(client, *size)) return;
  }
}

bool Downstream::HandleLine(Client& client, std::size_t size) {
  const std::string_view input = client.tcp.input();
  const std::string_view line = StripLineEnd(input.substr(0, size));
  if (line == "PING") return AnswerPing(client, size);
  const auto request = ParseOpenRequest(line);
  if (!request) {
    RejectMalformed(client, "not of the form");
  } else if (IsSecondRequest(input.substr(size))) {
    RejectMalformed(client, "more than one");
  } else if (const auto error = events_.Validate(*request)) {
    RejectMalformed(client, ToReason(*error));
  } else if (!CanAccept()) {
    RejectForCapacity(client, *request);
  } else {
    HandleOpen(client, *request, size);
  }
  return false;
}

bool Downstream::AnswerPing(Client& client, std::size_t size) {
  ++counters_.pings;
  if (client.tcp.QueuedBytes() > TcpConnection::kHighWatermark) {
    RejectMalformed(client, "reads no answers");
    return false;
  }
  client.tcp.Write({healthy_ ? kPongLine : kErrorLine});
  client.tcp.Consume(size);
  client.timer.Set(loop_.Now() + kRequestLineTimeout);
  return true;
}

void Downstream::HandleOpen(Client& client, const OpenRequest& request, std::size_t size) {
  unopened_.erase(client.position);
  client.state = State::kOpened;
  client.request_line_size = size;
  client.timer.Cancel();
  const SlotId id = client.id;
  const SlotId owner = events_.OnOpen(id, request);
  if (Client* opened = clients_.Find(id)) opened->owner = owner;  // It may have had its answer already.
  EvictOldest();
}

void Downstream::RejectForCapacity(Client& client, const OpenRequest& request) {
  ++counters_.rejected_for_capacity;
  events_.OnRejectedForCapacity(request);
  if (capacity_log_.Allows(loop_.Now())) {
    LogLine(Level::kWarn, "no descriptors for another client,")
        .Field("left_out", capacity_log_.TakeSuppressed());
  }
  End(client.id, kBusyLine);
}

void Downstream::RejectMalformed(Client& client, std::string_view reason) {
  ++counters_.malformed;
  if (malformed_log_.Allows(loop_.Now())) {
    LogLine(Level::kInfo, "bad first line")
        .Reason(reason)
        .Field("line", Printable(client.tcp.input()))
        .Field("left_out", malformed_log_.TakeSuppressed());
  }
  End(client.id, kErrorLine);
}

// ---- events of the connections ----

void Downstream::OnTimeout(SlotId id) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  if (client->state == State::kRequestLine) {
    RejectMalformed(*client, "no first line in time");
    return;
  }
  // A client that reads slowly is still owed the rest of its answer.
  if (client->tcp.QueuedBytes() > 0 && loop_.Now() < client->since + kDiscardTimeout) {
    client->timer.Set(client->since + kDiscardTimeout);
    return;
  }
  client->tcp.Close();
  Erase(*client);
}

void Downstream::OnData(SlotId id) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  if (client->state == State::kRequestLine) {
    ReadRequestLines(*client);
  } else if (client->state == State::kOpened) {
    const bool unanswered = client->request_line_size > 0;
    if (unanswered && IsSecondRequest(client->tcp.input().substr(client->request_line_size))) {
      ++counters_.malformed;
      events_.OnClientEnd(client->owner, ConnectionEnd::kFinished);
      return;
    }
    events_.OnClientBytes(client->owner);
  }
}

void Downstream::OnInputDiscarded(SlotId id, std::size_t size) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  client->discarded += size;
  if (client->discarded > kMaxDiscarded) {
    client->tcp.SetReading(false);
    return;
  }
  client->timer.Set(std::min(client->since + kDiscardTimeout, loop_.Now() + kEndTimeout));
}

void Downstream::OnEnd(SlotId id, ConnectionEnd end) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  if (client->state == State::kOpened) {
    events_.OnClientEnd(client->owner, end);
    return;
  }
  if (end == ConnectionEnd::kFinished) {
    if (client->state == State::kRequestLine && !client->tcp.input().empty()) {
      RejectMalformed(*client, "unterminated");
      return;
    }
    if (client->state == State::kEnding && client->tcp.QueuedBytes() > 0) return;
  }
  client->tcp.Close();
  Erase(*client);
}

// All that an established session's client sent must be forwarded first; one that still waits has left.
void Downstream::OnPeerClosing(SlotId id) {
  Client* client = clients_.Find(id);
  if (client == nullptr || client->state != State::kOpened || client->request_line_size == 0) return;
  events_.OnClientEnd(client->owner, ConnectionEnd::kFinished);
}

void Downstream::OnWritable(SlotId id) {
  Client* client = clients_.Find(id);
  if (client != nullptr && client->state == State::kOpened) events_.OnClientWritable(client->owner);
}

}  // namespace stoatrun
