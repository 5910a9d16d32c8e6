#include "proxy/upstream.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "base/log.h"
#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

constexpr Micros kProbeWait = std::chrono::milliseconds(300);  // A figure later than this misleads a landing.
constexpr double kIdlePart = 0.8;  // Of the host's idle time: we end an idle connection before the host does.
constexpr double kDrainPart = 0.6;  // Of the grace after a drain was told; the rest is for a busy machine.
// Idle connections kept for further probes: with the downstream's few they stay within what it leaves for
// others, however many hosts are listed.
constexpr std::size_t kMostIdle = 32;
constexpr Micros kStepWait = Micros(1);  // The next step of the loop.

// What the first word of a host's first line means.
AttemptEnd MeaningOf(std::string_view word) {
  if (word == "BUSY") return AttemptEnd::kRejected;
  if (word == "BYE") return AttemptEnd::kServed;
  if (word == "MOVE") return AttemptEnd::kSentAway;
  return AttemptEnd::kError;
}

}  // namespace

Upstream::Upstream(EventLoop& loop, UpstreamEvents& events, Counters& counters, const Times& times)
    : loop_(loop), events_(events), counters_(counters), times_(times) {
  loop_.AddTurnEndHook([this] {
    links_.Reclaim();
    drains_.Reclaim();
  });
}

EndpointIndex Upstream::NumberOf(const std::string& id) {
  const auto [it, fresh] = numbers_.try_emplace(id, static_cast<EndpointIndex>(hosts_.size()));
  if (fresh) {
    hosts_.emplace_back();
    hosts_.back().id = id;
  }
  return it->second;
}

std::optional<EndpointIndex> Upstream::Known(const std::string& id) const {
  const auto it = numbers_.find(id);
  return it == numbers_.end() ? std::nullopt : std::optional(it->second);
}

void Upstream::TakeList(const EndpointUpdate& list) {
  std::vector<bool> named(hosts_.size() + list.entries.size());
  for (const Endpoint& e : list.entries) {
    const EndpointIndex n = NumberOf(e.id);
    named[n] = true;
    Host& h = hosts_[n];
    if (const auto address = Address::Parse(e.address)) h.address = address;
    h.state = e.state;
  }
  for (EndpointIndex n = 0; n < hosts_.size(); ++n) {
    Host& h = hosts_[n];
    if (list.complete && !named[n]) h.state = EndpointState::kGone;
    if (h.state == EndpointState::kReady) {
      h.watched_drain = false;
    } else if (!h.watched_drain) {
      // Guards the rule of careful drains: an attempt that still connects would send its first byte too late.
      h.watched_drain = true;
      const auto grace =
          Micros(static_cast<std::int64_t>(static_cast<double>(times_.stop_sending.count()) * kDrainPart));
      drains_.Add(*this, n).deadline.Set(loop_.Now() + grace);
    }
  }
}

std::size_t Upstream::Listed() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [](const Host& h) { return h.state != EndpointState::kGone; }));
}

void Upstream::StopSending(EndpointIndex host) {
  if (hosts_[host].state == EndpointState::kReady) return;
  std::vector<SlotId> late;
  links_.ForEach([&](Link& l) {
    if (l.host == host && (!l.sent || (l.probe && l.up))) late.push_back(l.id);
  });
  for (const SlotId id : late) {
    Link* l = links_.Find(id);
    if (l == nullptr) continue;
    if (l->probe) {
      EndProbe(*l, false, {}, false);
    } else {
      EndAttempt(*l, AttemptEnd::kNotConnected, {});
    }
  }
}

SlotId Upstream::Open(SlotId owner, EndpointIndex host, const AttemptWork& work) {
  ++counters_.attempts;
  Link& attempt = links_.Add(*this, host, false);
  attempt.owner = owner;
  attempt.work = work;
  attempt.give_up = loop_.Now() + std::max(work.wait, Micros(0));
  Start(attempt);
  return attempt.id;
}

void Upstream::Start(Link& link) {
  const Host& h = hosts_[link.host];
  const bool begun = h.address && link.stream.Connect(*h.address);
  link.deadline.Set(begun ? std::min(link.give_up, loop_.Now() + times_.connect) : loop_.Now() + kStepWait);
}

void Upstream::Probe(EndpointIndex host) {
  ++counters_.probes;
  Host& h = hosts_[host];
  Link* link = links_.Find(h.idle_probe);
  h.idle_probe = {};
  if (link != nullptr) {
    link->up = false;
    link->reused = true;
    link->give_up = loop_.Now() + kProbeWait;
    link->deadline.Set(link->give_up);
    link->stream.Write({"STATS\r\n"});
    return;
  }
  Link& fresh = links_.Add(*this, host, true);
  fresh.give_up = loop_.Now() + kProbeWait;
  Start(fresh);
}

TcpConnection* Upstream::Find(SlotId attempt) {
  Link* l = links_.Find(attempt);
  return l == nullptr ? nullptr : &l->stream;
}

void Upstream::Close(SlotId attempt) {
  Link* l = links_.Find(attempt);
  if (l == nullptr) return;
  l->stream.Close();
  l->deadline.Cancel();
  links_.Erase(attempt);
}

void Upstream::Reset(SlotId attempt) {
  Link* l = links_.Find(attempt);
  if (l == nullptr) return;
  l->stream.Reset();
  Close(attempt);
}

void Upstream::EndAttempt(Link& attempt, AttemptEnd end, std::string_view line) {
  const SlotId owner = attempt.owner;
  if (end == AttemptEnd::kNotConnected) ++counters_.attempts_not_connected;
  if (end == AttemptEnd::kBroken) ++counters_.attempts_connection_lost;
  if (end == AttemptEnd::kTimedOut) ++counters_.attempts_timed_out;
  if (end == AttemptEnd::kRejected) ++counters_.attempts_rejected;
  if (end == AttemptEnd::kError) ++counters_.attempts_failed;
  const std::string said(line);  // Its buffer goes with the attempt.
  // Closed before it is told: what follows may open the next attempt, and two must never be out.
  Close(attempt.id);
  events_.OnAttemptEnd(owner, end, said);
}

std::size_t Upstream::Idle() const {
  return static_cast<std::size_t>(std::count_if(
      hosts_.begin(), hosts_.end(), [](const Host& h) { return static_cast<bool>(h.idle_probe); }));
}

void Upstream::EndProbe(Link& link, bool ok, std::string_view report, bool keep) {
  const EndpointIndex host = link.host;
  const bool told = !(link.probe && link.up);  // An idle connection owes no answer.
  Host& h = hosts_[host];
  const std::string said(report);
  if (keep && h.state == EndpointState::kReady && links_.Find(h.idle_probe) == nullptr &&
      Idle() < kMostIdle) {
    link.up = true;
    h.idle_probe = link.id;
    link.stream.Consume(link.stream.input().size());
    link.deadline.Set(loop_.Now() + Micros(static_cast<std::int64_t>(
                                        static_cast<double>(times_.idle_close.count()) * kIdlePart)));
  } else {
    if (h.idle_probe == link.id) h.idle_probe = {};
    Close(link.id);
  }
  if (!told) return;
  if (!ok) ++counters_.probes_failed;
  events_.OnProbe(host, ok, said);
}

void Upstream::Due(SlotId id) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  if (l->probe) {
    EndProbe(*l, false, {}, false);
  } else if (!l->up) {
    // What was never written whole has never run, whatever the reason for which the wait ended.
    EndAttempt(*l, l->sent ? AttemptEnd::kTimedOut : AttemptEnd::kNotConnected, {});
  }
}

void Upstream::OnConnected(SlotId id) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  if (!l->probe) {
    events_.OnAttemptConnected(l->owner);
    l = links_.Find(id);
    if (l == nullptr) return;
  }
  l->deadline.Set(l->give_up);
  if (l->probe) {
    l->stream.Write({"STATS\r\n"});
  } else if (l->work.tells_wait) {
    std::array<char, 24> text{};
    const auto wait = std::max<Micros::rep>(1, (l->give_up - loop_.Now()).count() / 1000);
    const char* end = std::to_chars(text.data(), text.data() + text.size(), wait).ptr;
    l->stream.Write({l->work.before_wait,
                     std::string_view(text.data(), static_cast<std::size_t>(end - text.data())),
                     l->work.after_wait, "\r\n"});
  } else {
    l->stream.Write({l->work.before_wait, "\r\n"});
  }
  if (l->stream.QueuedBytes() == 0 && !l->stream.IsBroken()) Sent(*l);
}

void Upstream::Sent(Link& link) {
  if (std::exchange(link.sent, true) || link.probe) return;
  events_.OnAttemptSent(link.owner);
}

void Upstream::OnWritable(SlotId id) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  Sent(*l);
  if (!l->probe && l->up) events_.OnAttemptWritable(l->owner);
}

void Upstream::OnData(SlotId id) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  if (l->probe) {
    ReadProbe(*l);
  } else if (l->up) {
    events_.OnAttemptBytes(l->owner);
  } else {
    ReadAttempt(*l);
  }
}

void Upstream::ReadAttempt(Link& attempt) {
  const std::string_view in = attempt.stream.input();
  const auto size = LineLength(in);
  if (!size) {
    if (in.size() >= kMaxLine) EndAttempt(attempt, AttemptEnd::kError, {});
    return;
  }
  const std::string_view line = in.substr(0, *size);
  const std::string_view word = SplitWord(Stripped(line)).first;
  if (word != "UP") {
    EndAttempt(attempt, MeaningOf(word), line);
    return;
  }
  attempt.up = true;
  attempt.deadline.Cancel();
  const std::string said(line);
  attempt.stream.Consume(*size);
  events_.OnAttemptUp(attempt.owner, said);
}

void Upstream::ReadProbe(Link& link) {
  const std::string_view in = link.stream.input();
  const auto size = LineLength(in);
  if (!size) {
    if (in.size() >= kMaxLine) EndProbe(link, false, {}, false);
    return;
  }
  const auto [word, report] = SplitWord(Stripped(in.substr(0, *size)));
  const bool ok = word == "PONG" && !link.up;
  EndProbe(link, ok, report, ok);
}

void Upstream::OnEnd(SlotId id, ConnectionEnd end) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  if (l->probe && l->reused && !l->up && l->stream.input().empty() &&
      hosts_[l->host].state == EndpointState::kReady) {
    // The host closed it while it was idle, just as it was to be used again: that says nothing of the host.
    Link& fresh = links_.Add(*this, l->host, true);
    fresh.give_up = l->give_up;
    Close(id);
    Start(fresh);
  } else if (l->probe) {
    EndProbe(*l, false, {}, false);
  } else if (l->up) {
    events_.OnAttemptFinished(l->owner, end);
  } else {
    EndAttempt(*l, l->sent ? AttemptEnd::kBroken : AttemptEnd::kNotConnected, {});
  }
}

}  // namespace stoatrun
