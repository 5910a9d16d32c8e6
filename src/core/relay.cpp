#include "core/relay.h"

#include <algorithm>
#include <utility>

#include "ops/log.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// After one side has ended, the other has a second to end likewise.
constexpr Micros kLeaveWait = milliseconds(800);
// Connections that were open before the start: the run waits 40 s for them.
constexpr Micros kResumeFor = seconds(35);
constexpr Micros kResumeRetry = milliseconds(250);
constexpr Micros kResumeWait = seconds(10);
constexpr Micros kDelayPeriod = seconds(1);  // A host's slow messages are told no more often than this.
// A planned end: clients still come for 0.2 to 0.4 s. SIGKILL comes 0.7 s after the longest deadline, which
// is taken as 3 s where it is longer: 0.2 s before that the relay ends. The standing clients are moved late
// in that time, for until then they are served, and another relay may itself be on its way back; and not all
// at once.
constexpr Micros kTakeFor = milliseconds(500);
constexpr Micros kMoveStep = milliseconds(50);
constexpr Micros kAfterDeadline = milliseconds(500);
constexpr Micros kMostDeadline = seconds(3);
constexpr Micros kMoveFor = milliseconds(1600);
constexpr Micros kMovedBefore = milliseconds(400);  // Of the end: moved clients still have to hear it.

Micros ShortestAim(const arrowhatch::Settings& s) {
  Micros shortest{0};
  for (const auto& c : s.classes) {
    if (c.message_aim.count() > 0 && (shortest.count() == 0 || c.message_aim < shortest))
      shortest = c.message_aim;
  }
  return shortest;
}

}  // namespace

Relay::Relay(Loop& loop, const arrowhatch::settings::SiteSettings& site, HostBook& book, Counters& counters,
             ledger::Meter* meter)
    : loop_(loop),
      book_(book),
      counters_(counters),
      meter_(meter),
      site_(site),
      zones_(site.zone_names),
      slow_message_(ShortestAim(site.module) / 3),
      balancer_(site.module),
      drain_(loop.deadlines, [this] { DrainStep(); }) {
  loop_.AddSweeper([this] {
    authorisations_.Sweep();
    timers_.Sweep();
  });
}

// ---- between the module and the sockets ----

// Events that arise while actions are carried out wait their turn: all are handled in the order in which they
// happened, and no action overtakes another.
void Relay::Tell(arrowhatch::Event event) {
  events_.push_back(std::move(event));
  if (telling_) return;
  telling_ = true;
  while (!events_.empty()) {
    const arrowhatch::Event next = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    balancer_.handle(loop_.Now(), next, actions_);
    for (const arrowhatch::Action& action : actions_) CarryOut(action, *this);
  }
  telling_ = false;
}

void Relay::OpenLeg(SlotId authorisation, HostNumber host, Micros wait) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kPending || a->leg) {
    Tell(LegEnded(authorisation, host, LegEnd::kNotConnected, true, {}));
    return;
  }
  a->host = host;
  ++a->legs;
  a->leg = a->hosts->Open(authorisation, host, *a->hello, std::min(wait, a->opening.deadline - loop_.Now()));
  LogLine(Level::kDebug, "leg")
      .Field("number", a->legs)
      .Field("of", authorisation.Packed())
      .Field("host", book_.IdOf(host));
}

void Relay::AbandonLeg(SlotId authorisation, std::uint32_t leg_number) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kPending || !a->leg || leg_number + 1 != a->legs)
    return;
  a->hosts->Close(std::exchange(a->leg, {}));
  Tell(LegEnded(authorisation, a->host, LegEnd::kAbandoned, false, {}));
}

template <typename F>
void Relay::Answer(SlotId authorisation, F&& answer) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kPending) return;
  if (a->leg) {
    a->hosts->Close(std::exchange(a->leg, {}));
    Tell(LegEnded(authorisation, a->host, LegEnd::kAbandoned, true, {}));
  }
  answer(*a->front, a->client);
  Forget(*a);
}

void Relay::EndUse(Authorisation& a) {
  if (meter_ != nullptr) meter_->End(a.use);
}

void Relay::Forget(Authorisation& a) {
  EndUse(a);
  a.deadline.Cancel();
  open_ids_.erase(a.open_id);
  authorisations_.Erase(a.id);
}

void Relay::Decline(SlotId authorisation, Micros come_back) {
  ++counters_.declined;
  LogLine(Level::kDebug, "decline")
      .Field("of", authorisation.Packed())
      .Field("come_back_us", come_back.count());
  Answer(authorisation, [&](Front& front, SlotId client) { front.Decline(client, come_back); });
}

void Relay::Fail(SlotId authorisation) {
  ++counters_.failed;
  Answer(authorisation, [](Front& front, SlotId client) { front.Fail(client); });
}

void Relay::Move(SlotId authorisation) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kStanding) return;
  ++counters_.moved;
  EndStanding(*a, LegEnd::kAbandoned, ClientEnd::kMove);
}

void Relay::Probe(HostNumber host) { means_.probe(host); }
void Relay::WakeIn(Micros delay) { timers_.Add(*this).deadline.Set(loop_.Now() + delay); }
void Relay::Watch() { means_.watch(); }

void Relay::OnProbe(HostNumber host, bool ok, std::string_view report) {
  LogLine(Level::kDebug, "probe").Field("host", book_.IdOf(host)).Word("ok", ok).Field("report", report);
  Tell(Probed(host, ok, report));
}

// ---- the list ----

void Relay::TakeList(const HostList& list, ListSource source) {
  book_.TakeList(list);
  LogLine(Level::kInfo, "list")
      .Field("revision", list.revision)
      .Word("complete", list.complete)
      .Word("changes", !list.complete)
      .Field("entries", list.entries.size());
  Tell(ListOf(
      list, source, [this](const std::string& id) { return book_.NumberOf(id); }, loop_.clock, zones_));
}

void Relay::OnHosts(const HostList& list) { TakeList(list, ListSource::kWatch); }
void Relay::OnWatchFailed() { Tell(ListFailed()); }

// ---- authorisations until they stand ----

std::optional<std::size_t> Relay::ClassNamed(std::string_view name) const {
  const auto& names = site_.class_names;
  const auto it = std::find(names.begin(), names.end(), name);
  if (it == names.end()) return std::nullopt;
  return static_cast<std::size_t>(it - names.begin());
}

SlotId Relay::OnOpen(const Arrival& arrival) {
  Authorisation& a = authorisations_.Add(*this);
  const SlotId id = a.id;
  a.front = arrival.front;
  a.hosts = arrival.hosts;
  a.hello = arrival.hello;
  a.client = arrival.client;
  a.opening = arrival.opening;
  a.group = arrival.group;
  a.open_id = arrival.id;
  if (!a.open_id.empty()) open_ids_.insert(a.open_id);
  if (!arrival.resume_at.empty()) {
    ++counters_.resumed;
    a.resume_at = arrival.resume_at;
    a.resume_until = loop_.Now() + kResumeFor;
    TryResume(a);
    return id;
  }
  ++counters_.authorisations;
  Tell(Arrived(id, a.opening));
  return id;
}

// A connection from before the start belongs to its host: there is nothing to decide, and the host may not be
// in the list yet.
void Relay::TryResume(Authorisation& a) {
  const auto host = book_.Known(a.resume_at);
  if (!host) {
    a.deadline.Set(loop_.Now() + kResumeRetry);
    return;
  }
  a.host = *host;
  a.leg = a.hosts->Open(a.id, *host, *a.hello, kResumeWait);
}

void Relay::OnLegUp(SlotId owner, std::string_view said) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  ++counters_.up;
  a->state = Authorisation::State::kStanding;
  a->deadline.Cancel();
  if (meter_ != nullptr) a->use = meter_->Begin(a->group, a->opening.class_index);
  a->flow = a->front->MakeFlow(owner);
  a->front->Up(a->client, said);
  if (a->resume_at.empty()) {
    Tell(LegIsUp(owner, a->host));
  } else {
    Tell(Resumed(owner, a->opening, a->host));
  }
  a = authorisations_.Find(owner);
  if (a == nullptr) return;
  PumpToHost(*a);
  PumpToClient(owner, false);
}

void Relay::OnLegEnd(SlotId owner, LegEnd end, std::string_view said) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  a->leg = {};
  LogLine(Level::kDebug, "leg ended")
      .Field("number", a->legs)
      .Field("of", owner.Packed())
      .Field("host", book_.IdOf(a->host))
      .Field("how", static_cast<int>(end));
  if (!a->resume_at.empty()) {
    if (end != LegEnd::kError && loop_.Now() < a->resume_until) {
      a->deadline.Set(loop_.Now() + kResumeRetry);
    } else {
      Answer(owner, [](Front& front, SlotId client) { front.Fail(client); });
    }
    return;
  }
  const bool finished = end == LegEnd::kServed;  // The host's own word goes to the client as it is.
  const HostNumber host = a->host;
  if (finished) Answer(owner, [&](Front& front, SlotId client) { front.PassOn(client, said); });
  Tell(LegEnded(owner, host, end, finished, ReportIn(said)));
}

void Relay::OnClientEnd(SlotId owner, StreamEnd end) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  const SlotId client = a->client;
  if (a->state == Authorisation::State::kPending) {
    ++counters_.client_left;
    const bool resumed = !a->resume_at.empty();
    const SlotId leg = std::exchange(a->leg, {});
    const HostNumber host = a->host;
    a->hosts->Close(leg);
    // A half-closed client may still listen for its one answer.
    if (end == StreamEnd::kFinished) {
      a->front->Fail(client);
    } else {
      a->front->Reset(client);
    }
    Forget(*a);
    if (resumed) return;
    Tell(Left(owner));
    if (leg) Tell(LegEnded(owner, host, LegEnd::kAbandoned, true, {}));
    return;
  }
  if (a->state == Authorisation::State::kLeaving) return;
  ++counters_.client_left;
  PumpToHost(*a);
  if (end == StreamEnd::kReset) {
    a->hosts->Reset(a->leg);
    a->front->Reset(client);
    Tell(Left(owner));
    EndStanding(*a, LegEnd::kAbandoned, ClientEnd::kOrderly);
    return;
  }
  if (Stream* leg = a->hosts->Find(a->leg)) leg->Finish();
  EndUse(*a);  // The client is done, whatever its host still has to say.
  a->state = Authorisation::State::kLeaving;
  a->deadline.Set(loop_.Now() + kLeaveWait);
  Tell(Left(owner));
}

// ---- standing connections ----

void Relay::EndStanding(Authorisation& a, LegEnd end, ClientEnd client) {
  const SlotId owner = a.id;
  if (client == ClientEnd::kMove) {
    a.front->Move(a.client);
  } else {
    a.front->End(a.client);
  }
  a.hosts->Close(a.leg);
  Forget(a);
  Tell(LegEnded(owner, a.host, end, true, {}));
}

void Relay::OnClientBytes(SlotId owner) {
  Authorisation* a = authorisations_.Find(owner);
  // What comes before UP waits in the client's bounded buffer.
  if (a != nullptr && a->state != Authorisation::State::kPending) PumpToHost(*a);
}

void Relay::OnLegRoom(SlotId owner) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  if (Stream* client = a->front->Find(a->client)) client->SetReading(true);
  PumpToHost(*a);
}

void Relay::PumpToHost(Authorisation& a) {
  Stream* client = a.front->Find(a.client);
  Stream* leg = a.hosts->Find(a.leg);
  if (client == nullptr || leg == nullptr || client->In().empty()) return;
  if (leg->Queued() > Stream::kHighWater) {
    client->SetReading(false);
    return;
  }
  a.flow->ToHost(*client, *leg, loop_.Now());
  WatchSilence(a);
}

// The deadline is not moved with each message: when it falls due, what is owed then counts.
void Relay::WatchSilence(Authorisation& a) {
  if (a.state != Authorisation::State::kStanding || a.deadline.IsSet()) return;
  if (const auto at = a.flow->SilentAt()) a.deadline.Set(*at);
}

void Relay::OnLegBytes(SlotId owner) { PumpToClient(owner, false); }

void Relay::OnClientRoom(SlotId owner) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  if (Stream* leg = a->hosts->Find(a->leg)) leg->SetReading(true);
  PumpToClient(owner, false);
}

void Relay::PumpToClient(SlotId owner, bool all) {
  Authorisation* a = authorisations_.Find(owner);
  Stream* client = a == nullptr ? nullptr : a->front->Find(a->client);
  Stream* leg = a == nullptr ? nullptr : a->hosts->Find(a->leg);
  if (client == nullptr || leg == nullptr || leg->In().empty()) return;
  if (client->Queued() > Stream::kHighWater && !all) {
    leg->SetReading(false);
    return;
  }
  a->flow->ToClient(*leg, *client, all, loop_.Now());
}

void Relay::OnLoad(SlotId owner, double load) { Tell(LoadIs(owner, load)); }

// Told as the simulator tells it: once a second while messages are slow, and once more when they are not.
void Relay::OnDelay(SlotId owner, Micros delay) {
  const Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr || slow_message_.count() == 0) return;
  const HostNumber host = a->host;
  if (paces_.size() <= host) paces_.resize(host + 1);
  Pace& p = paces_[host];
  const bool slow = delay > slow_message_;
  if (slow ? loop_.Now() < p.told_at + kDelayPeriod : !p.slow) return;
  p.slow = slow;
  p.told_at = loop_.Now();
  LogLine(Level::kDebug, "slow messages").Field("host", book_.IdOf(host)).Field("take_us", delay.count());
  Tell(MessageTook(host, delay));
}

void Relay::OnLegFinished(SlotId owner, StreamEnd end) {
  PumpToClient(owner, true);
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  LegEnd how = a->flow->EndedAs();
  if (how == LegEnd::kServed) ++counters_.served;
  if (how == LegEnd::kSentAway) ++counters_.host_moved;
  if (how == LegEnd::kBroken && a->state == Authorisation::State::kLeaving) how = LegEnd::kAbandoned;
  if (how == LegEnd::kBroken) {
    ++counters_.legs_cut;
    LogLine(Level::kDebug, "cut").Field("host", book_.IdOf(a->host));
    if (end == StreamEnd::kReset) a->front->Reset(a->client);
  }
  EndStanding(*a, how, ClientEnd::kOrderly);
}

void Relay::Due(SlotId owner) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  switch (a->state) {
    case Authorisation::State::kPending:
      if (loop_.Now() < a->resume_until) {
        TryResume(*a);
      } else {
        Answer(owner, [](Front& front, SlotId client) { front.Fail(client); });
      }
      return;
    case Authorisation::State::kLeaving:
      EndStanding(*a, LegEnd::kAbandoned, ClientEnd::kOrderly);
      return;
    case Authorisation::State::kStanding: {
      const auto silent_at = a->flow->SilentAt();
      if (!silent_at) return;
      if (loop_.Now() < *silent_at) return a->deadline.Set(*silent_at);
      // A machine that vanished says nothing, and its connections stay open for ever.
      ++counters_.silent;
      LogLine(Level::kInfo, "silent host, its client is moved").Field("host", book_.IdOf(a->host));
      EndStanding(*a, LegEnd::kBroken, ClientEnd::kMove);
      return;
    }
  }
}

// ---- the planned end ----

void Relay::Drain() {
  if (phase_ != Phase::kServing) return;
  phase_ = Phase::kTaking;
  drain_at_ = loop_.Now();
  LogLine(Level::kInfo, "draining").Field("authorisations", authorisations_.Size());
  drain_.Set(drain_at_ + kTakeFor);
}

void Relay::DrainStep() {
  if (phase_ == Phase::kTaking) {
    for (Front* front : fronts_) front->StopListening();
    phase_ = Phase::kMoving;
  }
  std::vector<SlotId> standing, pending;
  authorisations_.ForEach([&](const Authorisation& a) {
    if (a.state == Authorisation::State::kStanding) standing.push_back(a.id);
    if (a.state == Authorisation::State::kPending) pending.push_back(a.id);
  });
  const Micros end = drain_at_ + std::min(site_.longest_deadline, kMostDeadline) + kAfterDeadline;
  // An even share of what is left a step, all by the time.
  const Micros left = end - kMovedBefore - loop_.Now();
  if (left <= kMoveFor) {
    const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, left / kMoveStep));
    standing.resize((standing.size() + steps - 1) / steps);
    for (const SlotId id : standing) Move(id);
  }
  const bool over = loop_.Now() >= end;
  if (over) {  // What is unanswered now would be lost with the process.
    for (const SlotId id : pending) Fail(id);
  }
  const bool asking = std::any_of(fronts_.begin(), fronts_.end(), [](Front* f) { return f->Asking(); });
  const bool done = authorisations_.Size() == 0 && !asking;
  if (done || over) {
    LogLine(Level::kInfo, "drained,").Field("left", authorisations_.Size());
    loop_.Stop();
    return;
  }
  drain_.Set(loop_.Now() + kMoveStep);
}

}  // namespace stoatrun
