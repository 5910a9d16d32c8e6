#include "proxy/upstream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <chrono>
#include <string>
#include <utility>

#include "proxy/line_protocol.h"
#include "proxy/time_fraction.h"

namespace stoatrun {
namespace {

constexpr Micros kProbeTimeout = std::chrono::milliseconds(300);  // A later load report misleads placement.
// Of the endpoint's idle timeout: an idle connection is closed here before the endpoint closes it.
constexpr double kIdleFraction = 0.8;
// Of the grace time after a drain was announced; the rest is for a busy machine.
constexpr double kDrainFraction = 0.6;
// Idle connections kept for further probes: together with the few of the downstream side they stay within
// what it reserves for others, however many endpoints are listed.
constexpr std::size_t kMaxIdleProbes = 32;
constexpr Micros kNextTurn = Micros(1);  // The loop's next turn.
constexpr std::string_view kProbeLine = "STATS\r\n";

// The end of an attempt whose first answer begins with `word`.
AttemptEnd AttemptEndFor(std::string_view word) {
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
  endpoints_.Apply(update);
  per_endpoint_.resize(endpoints_.Size());
  for (EndpointIndex endpoint = 0; endpoint < endpoints_.Size(); ++endpoint) {
    bool& has_drain_timer = per_endpoint_[endpoint].has_drain_timer;
    if (endpoints_.Get(endpoint).state == EndpointState::kReady) {
      has_drain_timer = false;
    } else if (!has_drain_timer) {
      // Nothing may be sent after the grace time: an attempt that still connects would send its first byte
      // late.
      has_drain_timer = true;
      const Micros grace = TimeFraction(timeouts_.stop_sending, kDrainFraction);
      drain_timers_.Add(*this, endpoint).timer.Set(loop_.Now() + grace);
    }
  }
}

void Upstream::StopSending(EndpointIndex endpoint) {
  if (endpoints_.Get(endpoint).state == EndpointState::kReady) return;
  std::vector<SlotId> unsent;
  connections_.ForEach([&](const Connection& connection) {
    if (connection.endpoint == endpoint && (!connection.sent || connection.state == State::kIdle)) {
      unsent.push_back(connection.id);
    }
  });
  for (const SlotId id : unsent) {
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
  attempt.give_up_at = loop_.Now() + std::max(request.timeout, Micros(0));
  Connect(attempt);
  return attempt.id;
}

void Upstream::Connect(Connection& connection) {
  const auto& address = endpoints_.Get(connection.endpoint).address;
  const bool connecting = address && connection.tcp.Connect(*address);
  connection.timer.Set(connecting ? std::min(connection.give_up_at, loop_.Now() + timeouts_.connect)
                                  : loop_.Now() + kNextTurn);
}

void Upstream::Close(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  if (connection == nullptr) return;
  connection->tcp.Close();
  connection->timer.Cancel();
  connections_.Erase(attempt);
}

void Upstream::Reset(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  if (connection == nullptr) return;
  connection->tcp.Reset();
  Close(attempt);
}

TcpConnection* Upstream::Find(SlotId attempt) {
  Connection* connection = connections_.Find(attempt);
  return connection == nullptr ? nullptr : &connection->tcp;
}

void Upstream::SendRequest(Connection& attempt) {
  const AttemptRequest& request = attempt.request;
  if (!request.sends_timeout) {
    attempt.tcp.Write({request.before_timeout, "\r\n"});
    return;
  }
  std::array<char, 24> text{};  // Holds any 64-bit number.
  const auto timeout_ms = std::max<Micros::rep>(1, (attempt.give_up_at - loop_.Now()).count() / 1000);
  const char* end = std::to_chars(text.data(), text.data() + text.size(), timeout_ms).ptr;
  const std::string_view timeout(text.data(), static_cast<std::size_t>(end - text.data()));
  attempt.tcp.Write({request.before_timeout, timeout, request.after_timeout, "\r\n"});
}

void Upstream::OnSent(Connection& connection) {
  if (std::exchange(connection.sent, true) || connection.IsProbe()) return;
  events_.OnAttemptSent(connection.owner);
}

void Upstream::CountAttemptEnd(AttemptEnd end) {
  if (end == AttemptEnd::kNotConnected) ++counters_.attempts_not_connected;
  if (end == AttemptEnd::kBroken) ++counters_.attempts_connection_lost;
  if (end == AttemptEnd::kTimedOut) ++counters_.attempts_timed_out;
  if (end == AttemptEnd::kRejected) ++counters_.attempts_rejected;
  if (end == AttemptEnd::kError) ++counters_.attempts_failed;
}

void Upstream::EndAttempt(Connection& attempt, AttemptEnd end, std::string_view line) {
  CountAttemptEnd(end);
  const SlotId owner = attempt.owner;
  const std::string answer(line);  // The connection's buffer goes with it.
  // Closed before it is reported: the owner may open the next attempt, and two must never be open.
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
    EndAttempt(attempt, AttemptEndFor(word), line);
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
  const SlotId idle = std::exchange(per_endpoint_[endpoint].idle_probe, {});
  if (Connection* probe = connections_.Find(idle)) {
    probe->state = State::kPending;
    probe->reused = true;
    probe->give_up_at = loop_.Now() + kProbeTimeout;
    probe->timer.Set(probe->give_up_at);
    probe->tcp.Write({kProbeLine});
    return;
  }
  Connection& probe = connections_.Add(*this, endpoint, Kind::kProbe);
  probe.give_up_at = loop_.Now() + kProbeTimeout;
  Connect(probe);
}

std::size_t Upstream::IdleProbeCount() const {
  return static_cast<std::size_t>(std::count_if(
      per_endpoint_.begin(), per_endpoint_.end(),
      [](const EndpointConnections& endpoint) { return static_cast<bool>(endpoint.idle_probe); }));
}

// Keeps the connection for the endpoint's next probe, unless there are enough.
void Upstream::KeepOrCloseProbe(Connection& probe) {
  SlotId& idle_probe = per_endpoint_[probe.endpoint].idle_probe;
  const bool keep = endpoints_.Get(probe.endpoint).state == EndpointState::kReady &&
                    connections_.Find(idle_probe) == nullptr && IdleProbeCount() < kMaxIdleProbes;
  if (!keep) {
    Close(probe.id);
    return;
  }
  probe.state = State::kIdle;
  idle_probe = probe.id;
  probe.tcp.Consume(probe.tcp.input().size());
  probe.timer.Set(loop_.Now() + TimeFraction(timeouts_.idle_timeout, kIdleFraction));
}

void Upstream::ReportProbe(EndpointIndex endpoint, bool succeeded, std::string_view report) {
  if (!succeeded) ++counters_.probes_failed;
  events_.OnProbeCompleted(endpoint, succeeded, report);
}

void Upstream::FailProbe(Connection& probe, std::string_view report) {
  const EndpointIndex endpoint = probe.endpoint;
  const std::string answer(report);                   // The connection's buffer goes with it.
  const bool was_idle = probe.state == State::kIdle;  // No probe waits for its answer.
  SlotId& idle_probe = per_endpoint_[endpoint].idle_probe;
  if (idle_probe == probe.id) idle_probe = {};
  Close(probe.id);
  if (!was_idle) ReportProbe(endpoint, false, answer);
}

void Upstream::CompleteProbe(Connection& probe, std::string_view report) {
  const EndpointIndex endpoint = probe.endpoint;
  const std::string answer(report);  // The connection's buffer is emptied.
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

// The endpoint closed the idle connection just as it was to be used again: that says nothing of the endpoint.
void Upstream::RestartProbe(Connection& probe) {
  Connection& fresh = connections_.Add(*this, probe.endpoint, Kind::kProbe);
  fresh.give_up_at = probe.give_up_at;
  Close(probe.id);
  Connect(fresh);
}

// ---- connections ----

void Upstream::OnTimeout(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  if (connection->IsProbe()) {
    FailProbe(*connection, {});
  } else if (connection->state == State::kPending) {
    // What was never written completely has never run, for whatever reason the wait ended.
    EndAttempt(*connection, connection->sent ? AttemptEnd::kTimedOut : AttemptEnd::kNotConnected, {});
  }
}

void Upstream::OnConnected(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  if (!connection->IsProbe()) {
    events_.OnAttemptConnected(connection->owner);
    connection = connections_.Find(id);  // The owner may have closed it.
    if (connection == nullptr) return;
  }
  connection->timer.Set(connection->give_up_at);
  if (connection->IsProbe()) {
    connection->tcp.Write({kProbeLine});
  } else {
    SendRequest(*connection);
  }
  if (connection->tcp.QueuedBytes() == 0 && !connection->tcp.IsBroken()) OnSent(*connection);
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
    RestartProbe(*connection);
  } else {
    FailProbe(*connection, {});
  }
}

}  // namespace stoatrun
