#include "proxy/upstream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>
#include <utility>
#include <vector>

#include "proxy/line_protocol.h"
#include "proxy/time_fraction.h"

namespace stoatrun {
namespace {

// A load report that takes longer than this is too old for placement.
constexpr Micros kProbeTimeout = std::chrono::milliseconds(300);
// Idle probe connections are closed after this fraction of the endpoint's idle timeout, before the endpoint
// closes them.
constexpr double kIdleTimeoutFraction = 0.8;
// Limits the idle connections kept for further probes: however many endpoints are listed, these connections
// and the few other descriptors of the process must fit into those that Downstream reserves for non-client
// use.
constexpr std::size_t kMaxIdleProbeConnections = 32;
constexpr Micros kNextTurnDelay = Micros(1);  // The timer fires in the next turn of the event loop.
constexpr std::string_view kProbeLine = "STATS\r\n";

// Returns how an attempt ended whose answer begins with `word`, which is not UP.
AttemptEnd AttemptEndForAnswer(std::string_view word) {
  if (word == "BUSY") return AttemptEnd::kRejected;
  if (word == "BYE") return AttemptEnd::kServed;
  if (word == "MOVE") return AttemptEnd::kMigrated;
  return AttemptEnd::kError;
}

}  // namespace

Upstream::Upstream(EventLoop& loop, UpstreamEvents& events, Counters& counters, const Timeouts& timeouts)
    : loop_(loop), events_(events), counters_(counters), timeouts_(timeouts) {
  loop_.AddTurnEndHook([this] {
    connections_.Reclaim();
    drain_timers_.Reclaim();
  });
}

// ---- endpoints ----

void Upstream::ApplyUpdate(const EndpointUpdate& update) {
  for (const EndpointIndex endpoint : endpoints_.Apply(update)) {
    bool& has_drain_timer = per_endpoint_[endpoint].has_drain_timer;
    if (endpoints_.Get(endpoint).state == EndpointState::kReady) {
      has_drain_timer = false;
    } else if (!has_drain_timer) {
      // The whole grace time is left for a process that is held up, before it reads the update and again
      // before it writes.
      has_drain_timer = true;
      drain_timers_.Add(*this, endpoint).timer.Set(loop_.Now() + kNextTurnDelay);
    }
  }
}

void Upstream::EraseRemovedEndpoints(std::unordered_set<EndpointIndex> used) {
  connections_.ForEach([&](const Connection& connection) { used.insert(connection.endpoint); });
  for (const EndpointIndex endpoint : endpoints_.EraseRemoved(used)) per_endpoint_.erase(endpoint);
}

void Upstream::StopSending(EndpointIndex endpoint) {
  if (endpoints_.Get(endpoint).state == EndpointState::kReady) return;
  std::vector<SlotId> connections_to_end;
  connections_.ForEach([&](const Connection& connection) {
    const bool is_affected = !connection.sent || connection.state == State::kIdle;
    if (connection.endpoint == endpoint && is_affected && !connection.request.may_be_draining) {
      connections_to_end.push_back(connection.id);
    }
  });
  for (const SlotId id : connections_to_end) {
    Connection* connection = connections_.Find(id);
    if (connection == nullptr) continue;
    if (connection->IsProbe()) {
      FailProbe(*connection, {});
    } else {
      EndAttempt(*connection, AttemptEnd::kNotConnected, {});
    }
  }
}

// ---- attempts ----

SlotId Upstream::Open(SlotId owner, EndpointIndex endpoint, const AttemptRequest& request) {
  ++counters_.attempts;
  Connection& attempt = connections_.Add(*this, endpoint, Kind::kAttempt);
  attempt.owner = owner;
  attempt.request = request;
  attempt.deadline = loop_.Now() + std::max(request.timeout, Micros(0));
  Connect(attempt);
  return attempt.id;
}

void Upstream::Connect(Connection& connection) {
  const auto& address = endpoints_.Get(connection.endpoint).address;
  const bool connecting = address && connection.tcp.Connect(*address);
  const Micros limit = std::min(connection.deadline, connection.request.send_before);
  connection.timer.Set(connecting ? std::min(limit, loop_.Now() + timeouts_.connect)
                                  : loop_.Now() + kNextTurnDelay);
}

void Upstream::Close(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  if (connection == nullptr) return;
  connection->tcp.Close();
  connection->timer.Cancel();
  if (connection->state == State::kLingering) lingering_.erase(connection->position);
  connections_.Erase(attempt);
}

void Upstream::Finish(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  if (connection == nullptr) return;
  TcpConnection& tcp = connection->tcp;
  tcp.Finish();
  const bool both_finished = tcp.PeerFinished() && tcp.QueuedBytes() == 0;
  if (both_finished || tcp.IsBroken() || !tcp.IsConnected()) {
    Close(attempt);
    return;
  }
  connection->state = State::kLingering;
  connection->owner = {};
  connection->position = lingering_.insert(lingering_.end(), attempt);
  connection->timer.Set(connection->linger.Begin(loop_.Now(), tcp.UnsentBytes(), kFinishLinger));
  tcp.DiscardInput();
}

void Upstream::CheckLingering(Connection& connection) {
  if (const auto next = connection.linger.Check(loop_.Now(), connection.tcp.UnsentBytes())) {
    connection.timer.Set(*next);
  } else {
    Close(connection.id);
  }
}

void Upstream::CloseOldestLingering() {
  if (!lingering_.empty()) Close(lingering_.front());
}

bool Upstream::HasUnsentOutput() {
  return std::any_of(lingering_.begin(), lingering_.end(),
                     [this](SlotId id) { return connections_.Find(id)->tcp.UnsentBytes() > 0; });
}

void Upstream::Reset(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  if (connection == nullptr) return;
  connection->tcp.Reset();
  Close(attempt);
}

TcpConnection* Upstream::Find(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  return connection == nullptr || connection->state == State::kLingering ? nullptr : &connection->tcp;
}

std::optional<AttemptEnd> Upstream::WriteObstacle(const Connection& attempt, Micros now) const {
  if (now >= attempt.request.send_before) return AttemptEnd::kTooLate;
  const bool may_be_sent_to =
      attempt.request.may_be_draining || endpoints_.Get(attempt.endpoint).state == EndpointState::kReady;
  if (now >= attempt.deadline || !may_be_sent_to) return AttemptEnd::kNotConnected;
  return std::nullopt;
}

bool Upstream::MayWriteRequest(SlotId id) {
  const Connection* attempt = connections_.Find(id);
  if (attempt == nullptr) return false;
  events_.OnBeforeRequestWrite(attempt->owner);  // May close it.
  Connection* remaining = connections_.Find(id);
  if (remaining == nullptr) return false;
  // Last, so that as little time as possible passes between this look at the clock and the write.
  const auto obstacle = WriteObstacle(*remaining, loop_.clock.Current());
  if (obstacle) EndAttempt(*remaining, *obstacle, {});
  return !obstacle;
}

void Upstream::SendRequest(SlotId id) {
  const Connection* attempt = connections_.Find(id);
  if (attempt == nullptr) return;
  const AttemptRequest request = attempt->request;
  std::array<char, 24> text{};  // Large enough for any 64-bit number.
  const Micros timeout = attempt->deadline - loop_.clock.Current();
  const auto timeout_ms = std::max<Micros::rep>(1, timeout.count() / 1000);
  const char* end = std::to_chars(text.data(), text.data() + text.size(), timeout_ms).ptr;
  std::string_view timeout_text(text.data(), static_cast<std::size_t>(end - text.data()));
  if (!request.sends_timeout) timeout_text = {};
  if (!MayWriteRequest(id)) return;
  connections_.Find(id)->tcp.Write({request.before_timeout, timeout_text, request.after_timeout, "\r\n"});
}

void Upstream::OnSent(Connection& connection) {
  if (std::exchange(connection.sent, true) || connection.IsProbe()) return;
  if (connection.state == State::kPending) connection.timer.Set(connection.deadline);
  events_.OnAttemptSent(connection.owner);
}

void Upstream::CountAttemptEnd(AttemptEnd end) {
  if (end == AttemptEnd::kNotConnected) ++counters_.attempts_not_connected;
  if (end == AttemptEnd::kBroken) ++counters_.attempts_connection_lost;
  if (end == AttemptEnd::kTimedOut) ++counters_.attempts_timed_out;
  if (end == AttemptEnd::kRejected) ++counters_.attempts_rejected;
  if (end == AttemptEnd::kError) ++counters_.attempts_failed;
  if (end == AttemptEnd::kTooLate) ++counters_.attempts_too_late;
}

void Upstream::EndAttempt(Connection& attempt, AttemptEnd end, std::string_view line) {
  CountAttemptEnd(end);
  const SlotId owner = attempt.owner;
  const std::string answer(line);  // `line` refers to the connection's buffer, which Close frees.
  // Closes the attempt before reporting its end: the owner may start the next attempt at once, and a session
  // must never have two open.
  Close(attempt.id);
  events_.OnAttemptEnded(owner, end, answer);
}

void Upstream::ReadAttempt(Connection& attempt) {
  const std::string_view input = attempt.tcp.input();
  const auto size = LineLength(input);
  if (!size) {
    if (input.size() >= kMaxLine) EndAttempt(attempt, AttemptEnd::kError, {});
    return;
  }
  const std::string_view line = input.substr(0, *size);
  const std::string_view word = SplitFirstWord(StripLineEnd(line)).first;
  if (word != "UP") {
    EndAttempt(attempt, AttemptEndForAnswer(word), line);
    return;
  }
  attempt.state = State::kEstablished;
  attempt.timer.Cancel();
  const std::string answer(line);
  attempt.tcp.Consume(*size);
  events_.OnAttemptEstablished(attempt.owner, answer);
}

// ---- probes ----

void Upstream::Probe(EndpointIndex endpoint) {
  ++counters_.probes;
  const SlotId idle = std::exchange(per_endpoint_[endpoint].idle_probe_connection, {});
  if (Connection* probe = connections_.Find(idle)) {
    probe->state = State::kPending;
    probe->reused = true;
    probe->deadline = loop_.Now() + kProbeTimeout;
    probe->timer.Set(probe->deadline);
    probe->tcp.Write({kProbeLine});
    return;
  }
  Connection& probe = connections_.Add(*this, endpoint, Kind::kProbe);
  probe.deadline = loop_.Now() + kProbeTimeout;
  Connect(probe);
}

std::size_t Upstream::IdleProbeConnectionCount() const {
  return static_cast<std::size_t>(std::count_if(
      per_endpoint_.begin(), per_endpoint_.end(),
      [](const auto& endpoint) { return static_cast<bool>(endpoint.second.idle_probe_connection); }));
}

// Keeps the connection for the endpoint's next probe, within kMaxIdleProbeConnections.
void Upstream::KeepOrCloseProbe(Connection& probe) {
  SlotId& idle_probe_connection = per_endpoint_[probe.endpoint].idle_probe_connection;
  const bool keep = endpoints_.Get(probe.endpoint).state == EndpointState::kReady &&
                    connections_.Find(idle_probe_connection) == nullptr &&
                    IdleProbeConnectionCount() < kMaxIdleProbeConnections;
  if (!keep) {
    Close(probe.id);
    return;
  }
  probe.state = State::kIdle;
  idle_probe_connection = probe.id;
  probe.tcp.Consume(probe.tcp.input().size());
  probe.timer.Set(loop_.Now() + TimeFraction(timeouts_.idle_timeout, kIdleTimeoutFraction));
}

void Upstream::ReportProbe(EndpointIndex endpoint, bool succeeded, std::string_view report) {
  if (!succeeded) ++counters_.probes_failed;
  events_.OnProbeCompleted(endpoint, succeeded, report);
}

void Upstream::FailProbe(Connection& probe, std::string_view report) {
  const EndpointIndex endpoint = probe.endpoint;
  const std::string answer(report);  // `report` refers to the connection's buffer, which Close frees.
  const bool was_idle = probe.state == State::kIdle;  // No probe is pending on it.
  SlotId& idle_probe_connection = per_endpoint_[endpoint].idle_probe_connection;
  if (idle_probe_connection == probe.id) idle_probe_connection = {};
  Close(probe.id);
  if (!was_idle) ReportProbe(endpoint, false, answer);
}

void Upstream::CompleteProbe(Connection& probe, std::string_view report) {
  const EndpointIndex endpoint = probe.endpoint;
  const std::string answer(report);  // `report` refers to the connection's buffer, which is cleared.
  KeepOrCloseProbe(probe);
  ReportProbe(endpoint, true, answer);
}

void Upstream::ReadProbe(Connection& probe) {
  const std::string_view input = probe.tcp.input();
  const auto size = LineLength(input);
  if (!size) {
    if (input.size() >= kMaxLine) FailProbe(probe, {});
    return;
  }
  const auto [word, report] = SplitFirstWord(StripLineEnd(input.substr(0, *size)));
  if (word == "PONG" && probe.state == State::kPending) {
    CompleteProbe(probe, report);
  } else {
    FailProbe(probe, report);
  }
}

// Repeats the probe on a new connection after the endpoint closed the idle one at the moment of its reuse.
// Such a close is no evidence that the endpoint fails.
void Upstream::RetryProbeOnNewConnection(Connection& probe) {
  Connection& replacement = connections_.Add(*this, probe.endpoint, Kind::kProbe);
  replacement.deadline = probe.deadline;
  Close(probe.id);
  Connect(replacement);
}

// ---- connections ----

void Upstream::OnTimeout(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  if (connection->IsProbe()) {
    FailProbe(*connection, {});
  } else if (connection->state == State::kLingering) {
    CheckLingering(*connection);
  } else if (connection->state == State::kPending) {
    // A request that was not written completely has not run, whatever the reason of the time-out.
    const AttemptEnd unsent_end = WriteObstacle(*connection, loop_.Now()).value_or(AttemptEnd::kNotConnected);
    EndAttempt(*connection, connection->sent ? AttemptEnd::kTimedOut : unsent_end, {});
  }
}

void Upstream::OnConnected(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  connection->timer.Set(std::min(connection->deadline, connection->request.send_before));
  if (connection->IsProbe()) {
    connection->tcp.Write({kProbeLine});
  } else {
    SendRequest(id);
    connection = connections_.Find(id);
    if (connection == nullptr) return;
  }
  if (connection->tcp.QueuedBytes() == 0 && !connection->tcp.IsBroken()) OnSent(*connection);
}

void Upstream::OnBeforeFlush(SlotId id) {
  const Connection* connection = connections_.Find(id);
  if (connection != nullptr && connection->IsUnsentAttempt()) MayWriteRequest(id);
}

void Upstream::OnWritable(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  OnSent(*connection);
  if (connection->state == State::kEstablished) events_.OnAttemptWritable(connection->owner);
}

void Upstream::OnData(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  if (connection->IsProbe()) {
    ReadProbe(*connection);
  } else if (connection->state == State::kEstablished) {
    events_.OnAttemptBytes(connection->owner);
  } else {
    ReadAttempt(*connection);
  }
}

void Upstream::OnEnd(SlotId id, ConnectionEnd end) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  if (connection->state == State::kLingering) {
    // An endpoint that has only finished sending may still read.
    if (end == ConnectionEnd::kReset || connection->tcp.UnsentBytes() == 0) Close(id);
    return;
  }
  if (!connection->IsProbe()) {
    if (connection->state == State::kEstablished) {
      events_.OnAttemptFinished(connection->owner, end);
    } else {
      EndAttempt(*connection, connection->sent ? AttemptEnd::kBroken : AttemptEnd::kNotConnected, {});
    }
    return;
  }
  const bool was_closed_idle =
      connection->reused && connection->state == State::kPending && connection->tcp.input().empty();
  if (was_closed_idle && endpoints_.Get(connection->endpoint).state == EndpointState::kReady) {
    RetryProbeOnNewConnection(*connection);
  } else {
    FailProbe(*connection, {});
  }
}

}  // namespace stoatrun
