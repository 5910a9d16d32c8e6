#include "hosts/line/prober.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "base/text.h"
#include "wire/line.h"

namespace stoatrun {
namespace {

constexpr Micros kProbeWait = std::chrono::milliseconds(300);  // A figure later than this misleads a landing.
constexpr double kIdlePart = 0.8;  // Of the host's idle time: we end an idle connection before the host does.
constexpr Micros kStepWait = Micros(1);  // The next step of the loop.
constexpr std::string_view kAsk = "STATS\r\n";

}  // namespace

Prober::Prober(Loop& loop, HostBook& book, ProbeEvents& events, Counters& counters, const Times& times)
    : loop_(loop), book_(book), events_(events), counters_(counters), times_(times) {
  book_.AddWatcher(*this);
  loop_.AddSweeper([this] { links_.Sweep(); });
}

SlotId& Prober::IdleOf(HostNumber host) {
  if (idle_.size() <= host) idle_.resize(host + 1);
  return idle_[host];
}

void Prober::Probe(HostNumber host) {
  ++counters_.probes;
  if (Link* link = links_.Find(std::exchange(IdleOf(host), {}))) {
    link->idle = false;
    link->deadline.Set(loop_.Now() + kProbeWait);
    link->stream.Write({kAsk});
    return;
  }
  Link& fresh = links_.Add(*this, host);
  fresh.give_up = loop_.Now() + kProbeWait;
  const auto& address = book_.AddressOf(host);
  const bool begun = address && fresh.stream.Connect(*address);
  fresh.deadline.Set(begun ? std::min(fresh.give_up, loop_.Now() + times_.connect) : loop_.Now() + kStepWait);
}

void Prober::StopSending(HostNumber host) {
  std::vector<SlotId> late;
  links_.ForEach([&](const Link& l) {
    if (l.host == host && (!l.sent || l.idle)) late.push_back(l.id);
  });
  for (const SlotId id : late) End(id, false, {});
}

void Prober::End(SlotId id, bool ok, std::string_view report) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  const HostNumber host = l->host;
  const bool told = !l->idle;  // An idle connection owes no answer.
  const std::string said(report);
  SlotId& idle = IdleOf(host);
  if (ok && book_.PhaseOf(host) == HostPhase::kReady && links_.Find(idle) == nullptr) {
    l->idle = true;
    idle = id;
    l->stream.Consume(l->stream.In().size());
    l->deadline.Set(loop_.Now() + Micros(static_cast<std::int64_t>(
                                      static_cast<double>(times_.idle_close.count()) * kIdlePart)));
  } else {
    if (idle == id) idle = {};
    l->stream.Close();
    l->deadline.Cancel();
    links_.Erase(id);
  }
  if (!told) return;
  if (!ok) ++counters_.probes_failed;
  events_.OnProbe(host, ok, said);
}

void Prober::OnConnected(SlotId id) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  l->deadline.Set(l->give_up);
  l->stream.Write({kAsk});
  l->sent = l->stream.Queued() == 0;
}

void Prober::OnBytes(SlotId id) {
  Link* l = links_.Find(id);
  if (l == nullptr) return;
  const std::string_view in = l->stream.In();
  const auto size = LineLength(in);
  if (!size) {
    if (in.size() >= kMaxLine) End(id, false, {});
    return;
  }
  const auto [word, report] = SplitWord(Stripped(in.substr(0, *size)));
  End(id, word == "PONG" && !l->idle, report);
}

void Prober::OnEnd(SlotId id, StreamEnd /*end*/) { End(id, false, {}); }

}  // namespace stoatrun
