#include "hosts/legs.h"

#include <algorithm>
#include <string>
#include <vector>

namespace stoatrun {
namespace {

constexpr Micros kStepWait = Micros(1);  // The next step of the loop.

}  // namespace

Legs::Legs(Loop& loop, HostBook& book, HostEvents& events, Counters& counters, Micros connect)
    : book_(book), loop_(loop), events_(events), counters_(counters), connect_(connect) {
  book_.AddWatcher(*this);
  loop_.AddSweeper([this] { legs_.Sweep(); });
}

void Legs::StopSending(HostNumber host) {
  std::vector<SlotId> late;
  legs_.ForEach([&](const Leg& l) {
    if (l.host == host && !l.sent) late.push_back(l.id);
  });
  for (const SlotId id : late) {
    if (Leg* l = legs_.Find(id)) EndLeg(*l, LegEnd::kNotConnected, {});
  }
}

SlotId Legs::Open(SlotId owner, HostNumber host, const Hello& hello, Micros wait) {
  ++counters_.legs;
  Leg& leg = legs_.Add(*this, host);
  leg.owner = owner;
  leg.hello = &hello;
  leg.give_up = loop_.Now() + std::max(wait, Micros(0));
  const auto address = AddressFor(host);
  const bool begun = address && leg.stream.Connect(*address);
  leg.deadline.Set(begun ? std::min(leg.give_up, loop_.Now() + connect_) : loop_.Now() + kStepWait);
  return leg.id;
}

Stream* Legs::Find(SlotId leg) {
  Leg* l = legs_.Find(leg);
  return l == nullptr ? nullptr : &l->stream;
}

void Legs::Close(SlotId leg) {
  Leg* l = legs_.Find(leg);
  if (l == nullptr) return;
  l->stream.Close();
  l->deadline.Cancel();
  legs_.Erase(leg);
}

void Legs::Reset(SlotId leg) {
  Leg* l = legs_.Find(leg);
  if (l == nullptr) return;
  l->stream.Reset();
  Close(leg);
}

void Legs::EndLeg(Leg& leg, LegEnd end, std::string_view said) {
  const SlotId owner = leg.owner;
  if (end == LegEnd::kNotConnected) ++counters_.legs_not_connected;
  if (end == LegEnd::kBroken) ++counters_.legs_cut;
  if (end == LegEnd::kTimedOut) ++counters_.legs_timed_out;
  if (end == LegEnd::kTurnedAway) ++counters_.legs_turned_away;
  if (end == LegEnd::kError) ++counters_.legs_error;
  const std::string kept(said);  // Its buffer goes with the leg.
  // Closed before it is told: what follows may open the next leg, and two must never be out.
  Close(leg.id);
  events_.OnLegEnd(owner, end, kept);
}

void Legs::Up(Leg& leg, std::string_view said) {
  leg.up = true;
  leg.deadline.Cancel();
  events_.OnLegUp(leg.owner, said);
}

void Legs::Due(SlotId id) {
  Leg* l = legs_.Find(id);
  if (l == nullptr || l->up) return;
  // What was never written whole has never run, whatever the reason for which the wait ended.
  EndLeg(*l, l->sent ? LegEnd::kTimedOut : LegEnd::kNotConnected, {});
}

void Legs::OnConnected(SlotId id) {
  Leg* l = legs_.Find(id);
  if (l == nullptr) return;
  l->deadline.Set(l->give_up);
  l->hello->SayTo(l->stream, l->give_up - loop_.Now());
  l->sent = l->stream.Queued() == 0;
  Greeted(*l);
}

void Legs::OnRoom(SlotId id) {
  Leg* l = legs_.Find(id);
  if (l == nullptr) return;
  l->sent = true;
  if (l->up) events_.OnLegRoom(l->owner);
}

void Legs::OnBytes(SlotId id) {
  Leg* l = legs_.Find(id);
  if (l == nullptr) return;
  if (l->up) {
    events_.OnLegBytes(l->owner);
  } else {
    ReadLeg(*l);
  }
}

void Legs::OnEnd(SlotId id, StreamEnd end) {
  Leg* l = legs_.Find(id);
  if (l == nullptr) return;
  if (l->up) {
    events_.OnLegFinished(l->owner, end);
  } else {
    EndLeg(*l, l->sent ? LegEnd::kBroken : LegEnd::kNotConnected, {});
  }
}

}  // namespace stoatrun
