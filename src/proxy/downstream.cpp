#include "proxy/downstream.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

namespace stoatrun {
namespace {

// The protocol requires an answer within 3 s of connecting, even without a request line.
constexpr Micros kRequestLineTimeout = std::chrono::milliseconds(2000);
// For a client that is to be reset once it has been sent everything.
constexpr LingerSchedule::Limits kResetLinger{std::chrono::milliseconds(20), std::chrono::milliseconds(800)};
// The maximum number of bytes read and discarded from a client that has been answered: as much as one core
// reads within kFinishLinger. A client that sends more may lose its answer to a reset.
constexpr std::size_t kMaxDiscarded = std::size_t{96} * 1024 * 1024;
// A client waits for the answer to its request before it sends more. What it sends early is kept, because its
// end lies behind it, within these limits: of one client, and of all clients together.
constexpr std::size_t kMaxEarlyInput = std::size_t{64} * 1024;
constexpr std::size_t kMaxTotalEarlyInput = std::size_t{2} * 1024 * 1024;
// Descriptors for everything but clients and attempts: 32 idle probe connections, a dozen probes in progress,
// the listener, the event loop, the log and discovery.
constexpr std::size_t kReservedDescriptors = 48;
// The number of clients without a request line that are never evicted, however many sessions there are.
constexpr std::size_t kMinAwaitingRequest = 16;
// Request lines normally follow the connection at once. A client without one after this time counts as idle.
constexpr Micros kIdleThreshold = std::chrono::milliseconds(250);
constexpr std::string_view kErrorLine = "ERR\r\n", kBusyLine = "BUSY\r\n", kPongLine = "PONG\r\n";
constexpr std::string_view kPingLine = "PING";

// The start of a client's input, with unprintable characters replaced, for the log.
std::string Printable(std::string_view input) {
  std::string text(input.substr(0, 120));
  for (char& symbol : text) symbol = symbol < ' ' || symbol > '~' ? '.' : symbol;
  return text;
}

// A client must wait for the answer to its request line. A second request line sent before that would be
// forwarded as a line of the first connection.
bool IsSecondRequest(std::string_view input_after_line) { return input_after_line.starts_with("OPEN "); }

std::string_view ToReason(OpenRequestError error) {
  return error == OpenRequestError::kUnknownClass ? "unknown class" : "connection id in use";
}

}  // namespace

Downstream::Downstream(EventLoop& loop, DownstreamEvents& events, Counters& counters,
                       std::size_t descriptor_limit)
    : loop_(loop),
      events_(events),
      counters_(counters),
      descriptor_limit_(std::max(descriptor_limit, kReservedDescriptors + 2 * kMinAwaitingRequest)),
      listener_(loop, *this, counters, capacity_log_) {
  loop_.AddTurnEndHook([this] { clients_.Reclaim(); });
}

// ---- client connections ----

void Downstream::OnAccepted(UniqueFd socket) {
  Client& client = clients_.Add(*this);
  client.position = awaiting_request_.insert(awaiting_request_.end(), client.id);
  client.since = loop_.Now();
  client.timer.Set(loop_.Now() + kRequestLineTimeout);
  client.tcp.Adopt(socket.Release());
  EvictOldest();
}

std::size_t Downstream::SessionCount() const {
  return clients_.Size() - awaiting_request_.size() - ending_.size();
}

// Each session needs two descriptors: for its client and for its attempt.
bool Downstream::CanAddSession() const {
  return 2 * (SessionCount() + 1) + kReservedDescriptors + kMinAwaitingRequest <= descriptor_limit_;
}

// Keeps clients that connect and send nothing from using up the descriptors that sessions, attempts, probes
// and discovery need. Clients that have been answered are evicted first, then connections of ended sessions,
// then the oldest clients without a request.
void Downstream::EvictOldest() {
  const std::size_t used = std::min(descriptor_limit_, 2 * SessionCount() + kReservedDescriptors);
  const std::size_t capacity = std::max(kMinAwaitingRequest, descriptor_limit_ - used);
  while (awaiting_request_.size() + ending_.size() + events_.LingeringCount() > capacity) {
    if (ending_.empty() && events_.LingeringCount() > 0) {
      events_.CloseOldestLingering();
      continue;
    }
    const SlotId id = ending_.empty() ? awaiting_request_.front() : ending_.front();
    Client* client = clients_.Find(id);
    if (client->state == State::kAwaitingRequest) {
      client->tcp.ReadNow();  // Its request line may have arrived without having been reported.
      client = clients_.Find(id);
      if (client == nullptr || client->state != State::kAwaitingRequest) continue;
      RejectEvicted(*client);
    }
    client->tcp.Close();
    Erase(*client);
  }
}

void Downstream::RejectEvicted(Client& client) {
  ++counters_.evicted;
  client.tcp.Write({kErrorLine});
  client.tcp.Finish();
  client.tcp.DiscardInput();
}

bool Downstream::StoreEarlyInput(Client& client) {
  std::string early = client.tcp.TakeInputAfter(client.request_line_size);
  early_input_bytes_ += early.size();
  client.early_input += early;
  return client.early_input.size() <= kMaxEarlyInput && early_input_bytes_ <= kMaxTotalEarlyInput;
}

void Downstream::DropEarlyInput(Client& client) {
  early_input_bytes_ -= client.early_input.size();
  client.early_input = {};
}

void Downstream::Erase(Client& client) {
  DropEarlyInput(client);
  if (client.state == State::kAwaitingRequest) awaiting_request_.erase(client.position);
  if (client.state == State::kEnding) ending_.erase(client.position);
  client.timer.Cancel();
  clients_.Erase(client.id);
}

bool Downstream::HasPendingClients() {
  const auto has_recent = [this](const std::list<SlotId>& clients) {
    return !clients.empty() && loop_.Now() < clients_.Find(clients.back())->since + kIdleThreshold;
  };
  const auto has_output = [this](SlotId id) { return clients_.Find(id)->tcp.QueuedBytes() > 0; };
  return SessionCount() > 0 || has_recent(awaiting_request_) || has_recent(ending_) ||
         std::any_of(ending_.begin(), ending_.end(), has_output);
}

void Downstream::EndIdle(bool others_pending) {
  std::vector<SlotId> idle;
  for (const SlotId id : awaiting_request_) {
    // All that follow were accepted later.
    if (loop_.Now() < clients_.Find(id)->since + kIdleThreshold) break;
    idle.push_back(id);
  }
  for (const SlotId id : idle) {
    Client* client = clients_.Find(id);
    if (client == nullptr) continue;  // Evicted when a client before it opened a session.
    client->tcp.ReadNow();            // Its request line may have arrived.
    if (client->state != State::kAwaitingRequest) continue;
    if (client->tcp.input().empty() || !others_pending) End(id, kBusyLine);
  }
}

TcpConnection* Downstream::Find(SlotId client_id) {
  Client* client = clients_.Find(client_id);
  return client == nullptr || client->state != State::kInSession ? nullptr : &client->tcp;
}

void Downstream::Establish(SlotId client_id, std::string_view line) {
  Client* client = clients_.Find(client_id);
  if (client == nullptr || client->state != State::kInSession) return;
  client->tcp.Write({line});
  client->tcp.Consume(client->request_line_size);
  client->request_line_size = 0;
  if (client->early_input.empty()) return;
  client->tcp.PrependInput(client->early_input);
  DropEarlyInput(*client);
}

void Downstream::End(SlotId client_id, std::string_view last_line, EndMode mode) {
  Client* client = clients_.Find(client_id);
  if (client == nullptr || client->state == State::kEnding) return;
  // Closing immediately would answer bytes in transit with a reset, which may overtake the last line.
  if (client->state == State::kAwaitingRequest) awaiting_request_.erase(client->position);
  DropEarlyInput(*client);
  client->state = State::kEnding;
  client->position = ending_.insert(ending_.end(), client->id);
  client->since = loop_.Now();
  client->end_mode = mode;
  if (!last_line.empty()) client->tcp.Write({last_line});
  if (mode == EndMode::kFinish) client->tcp.Finish();
  const std::size_t unsent = client->tcp.UnsentBytes();
  const bool both_finished = client->tcp.PeerFinished() && client->tcp.QueuedBytes() == 0;
  if (mode == EndMode::kReset ? unsent == 0 : both_finished) {
    CloseEnding(*client);
    return;
  }
  client->tcp.DiscardInput();
  const LingerSchedule::Limits& limits = mode == EndMode::kReset ? kResetLinger : kFinishLinger;
  client->timer.Set(client->linger.Begin(loop_.Now(), unsent, limits));
}

void Downstream::CloseEnding(Client& client) {
  if (client.end_mode == EndMode::kReset) {
    client.tcp.Reset();
  } else {
    client.tcp.Close();
  }
  Erase(client);
}

void Downstream::Reset(SlotId client_id) {
  Client* client = clients_.Find(client_id);
  if (client == nullptr) return;
  client->tcp.Reset();
  Erase(*client);
}

// ---- request lines ----

void Downstream::ReadRequestLines(Client& client) {
  if (!AnswerPings(client)) return;
  const std::string_view input = client.tcp.input();
  const auto size = LineLength(input);
  if (size.value_or(input.size() + 1) > kMaxLine) {
    RejectMalformed(client, "request line too long");
  } else if (size) {
    HandleLine(client, *size);
  }
}

void Downstream::HandleLine(Client& client, std::size_t size) {
  const std::string_view input = client.tcp.input();
  const std::string_view line = StripLineEnd(input.substr(0, size));
  const auto request = ParseOpenRequest(line);
  if (!request) {
    RejectMalformed(client, "not a valid OPEN request");
  } else if (IsSecondRequest(input.substr(size))) {
    RejectMalformed(client, "second request before the answer");
  } else if (const auto error = events_.Validate(*request)) {
    RejectMalformed(client, ToReason(*error));
  } else if (!CanAddSession()) {
    RejectForCapacity(client, *request);
  } else {
    HandleOpen(client, *request, size);
  }
}

// One write for each read: a client that sends PING after PING must not take more of the loop's turn than
// any other.
bool Downstream::AnswerPings(Client& client) {
  const std::string_view input = client.tcp.input();
  const std::string_view answer = healthy_ ? kPongLine : kErrorLine;
  std::size_t answered_size = 0;
  std::string answers;
  for (auto size = LineLength(input); size; size = LineLength(input.substr(answered_size))) {
    if (StripLineEnd(input.substr(answered_size, *size)) != kPingLine) break;
    answered_size += *size;
    answers += answer;
    ++counters_.pings;
  }
  if (answers.empty()) return true;
  if (client.tcp.QueuedBytes() > TcpConnection::kHighWatermark) {
    RejectMalformed(client, "PING answers are not read");
    return false;
  }
  client.tcp.Write({answers});
  client.tcp.Consume(answered_size);
  client.timer.Set(loop_.Now() + kRequestLineTimeout);
  return true;
}

void Downstream::HandleOpen(Client& client, const OpenRequest& request, std::size_t size) {
  awaiting_request_.erase(client.position);
  client.state = State::kInSession;
  client.request_line_size = size;
  client.timer.Cancel();
  const SlotId id = client.id;
  const SlotId owner = events_.OnOpen(id, request);
  if (Client* remaining = clients_.Find(id)) {  // OnOpen may have ended the client.
    remaining->owner = owner;
    if (remaining->state == State::kInSession) ReadEarlyInput(*remaining);
  }
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

// ---- connection events ----

void Downstream::OnTimeout(SlotId id) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  if (client->state == State::kAwaitingRequest) {
    RejectMalformed(*client, "request line timed out");
    return;
  }
  if (const auto next = client->linger.Check(loop_.Now(), client->tcp.UnsentBytes())) {
    client->timer.Set(*next);
  } else {
    CloseEnding(*client);
  }
}

void Downstream::OnData(SlotId id) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  if (client->state == State::kAwaitingRequest) {
    ReadRequestLines(*client);
  } else if (client->state == State::kInSession && client->request_line_size > 0) {
    ReadEarlyInput(*client);
  } else if (client->state == State::kInSession) {
    events_.OnClientBytes(client->owner);
  }
}

void Downstream::OnInputDiscarded(SlotId id, std::size_t size) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  client->discarded_bytes += size;
  if (client->discarded_bytes > kMaxDiscarded) {
    client->tcp.SetReading(false);
    return;
  }
  client->timer.Set(client->linger.NextCheck(loop_.Now()));
}

// In the session of a client that sends too much before its answer, nothing more is sent to an endpoint: the
// client may have left, but its end can't be read.
void Downstream::ReadEarlyInput(Client& client) {
  const std::string_view early = client.tcp.input().substr(client.request_line_size);
  const bool is_second_request = client.early_input.empty() && IsSecondRequest(early);
  const bool is_full = client.tcp.input().size() == TcpConnection::kInputCapacity;
  if (!is_second_request && (!is_full || StoreEarlyInput(client))) return;
  ++counters_.malformed;
  events_.OnClientEnd(client.owner, ConnectionEnd::kFinished);
}

void Downstream::OnEnd(SlotId id, ConnectionEnd end) {
  Client* client = clients_.Find(id);
  if (client == nullptr) return;
  if (client->state == State::kInSession) {
    events_.OnClientEnd(client->owner, end);
    return;
  }
  if (end == ConnectionEnd::kFinished) {
    if (client->state == State::kAwaitingRequest && !client->tcp.input().empty()) {
      RejectMalformed(*client, "unterminated");
      return;
    }
    if (client->state == State::kEnding && client->tcp.UnsentBytes() > 0) return;
  }
  client->tcp.Close();
  Erase(*client);
}

// A client that closes while its request is unanswered has abandoned it. In an established session,
// everything the client has sent must be forwarded first; OnEnd follows.
void Downstream::OnPeerClosing(SlotId id) {
  Client* client = clients_.Find(id);
  if (client == nullptr || client->state != State::kInSession || client->request_line_size == 0) return;
  events_.OnClientEnd(client->owner, ConnectionEnd::kFinished);
}

void Downstream::OnWritable(SlotId id) {
  Client* client = clients_.Find(id);
  if (client != nullptr && client->state == State::kInSession) events_.OnClientWritable(client->owner);
}

}  // namespace stoatrun
