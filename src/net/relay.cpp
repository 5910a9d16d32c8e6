#include "net/relay.h"

#include <sys/resource.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "base/log.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// `d` counts from the client's sending; the line took a while to come, and the answer takes one to get there.
constexpr Micros kOnTheWay = milliseconds(4);
// Clients send every 2 s and are answered at once. A connection whose host says nothing must be given up
// within 7 s of the last answer.
constexpr Micros kSilence = milliseconds(4300);
// After one side has ended, the other has a second to end likewise.
constexpr Micros kLeaveWait = milliseconds(800);
// Connections that were open before the start: the run waits 40 s for them.
constexpr Micros kResumeFor = seconds(35);
constexpr Micros kResumeRetry = milliseconds(250);  // For a host not yet listed: often within that time.
constexpr Micros kResumeWait = seconds(10);         // Of one attempt: the host may be slow, and three fit in.
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
constexpr Micros kAnsweredBefore =
    milliseconds(250);  // Likewise those that still wait: a reset overtakes it.

// What was told by discovery stays in force for 6 s unless settings say otherwise; the rest of what they say
// is for the wait in turn and the answer.
constexpr Micros kLongestWait = seconds(6);
constexpr double kAskPart = 0.6;
constexpr double kAgentPart = 0.3;
constexpr Micros kUsualGrace = milliseconds(250);

constexpr Micros kAskFellows = milliseconds(250);  // As the module's own tick: what is told is acted on then.
constexpr Micros kQuotaAdvice =
    seconds(1);  // When units of a quota come free is not known: soon, as others end.

constexpr std::size_t kUsualDescriptors = 1024;  // Where neither the configuration nor the system tells.

constexpr std::string_view kErrorLine = "ERR\r\n", kMoveLine = "MOVE\r\n";

Micros ShortestAim(const arrowhatch::Settings& s) {
  Micros shortest{0};
  for (const auto& c : s.classes) {
    if (c.message_aim.count() > 0 && (shortest.count() == 0 || c.message_aim < shortest))
      shortest = c.message_aim;
  }
  return shortest;
}

Issuer::Times TimesOf(const arrowhatch::settings::SiteSettings& site) {
  Issuer::Times times;
  if (site.connect_timeout.count() > 0) times.connect = site.connect_timeout;
  if (site.idle_close.count() > 0) times.idle_close = site.idle_close;
  if (site.stop_sending_within.count() > 0) times.stop_sending = site.stop_sending_within;
  return times;
}

// The wait between two calls on discovery. An agent of this machine's own costs nothing, and what it has
// counts as told whether or not it is asked: the wait is a part of the grace of a drain. A service that all
// relays share is asked seldom, but an answer is in before the settings count as told who has not asked.
Micros LongestWait(const arrowhatch::settings::SiteSettings& site) {
  const auto part = [](Micros of, double p) {
    return Micros(static_cast<Micros::rep>(static_cast<double>(of.count()) * p));
  };
  if (site.module.list_mode == arrowhatch::ListMode::kPushed) {
    const Micros grace = site.stop_sending_within.count() > 0 ? site.stop_sending_within : kUsualGrace;
    return std::max<Micros>(milliseconds(10), part(grace, kAgentPart));
  }
  return site.ask_within.count() > 0 ? std::min(kLongestWait, part(site.ask_within, kAskPart)) : kLongestWait;
}

std::size_t DescriptorsOf(const Config& config) {
  rlimit files{};
  std::size_t most = getrlimit(RLIMIT_NOFILE, &files) == 0 ? files.rlim_cur : kUsualDescriptors;
  if (config.sockets > 0) most = std::min(most, config.sockets);
  return most;
}

}  // namespace

Relay::Relay(Loop& loop, const Config& config, Meter* meter, Fellows* fellows)
    : loop_(loop),
      meter_(meter),
      fellows_(fellows),
      start_(config),
      site_(start_.site),
      zones_(config.site.zone_names),
      slow_message_(ShortestAim(config.site.module) / 3),
      balancer_(config.site.module),
      acquirer_(loop, *this, counters_, DescriptorsOf(config)),
      issuer_(loop, *this, counters_, TimesOf(config.site)),
      pushed_(config.site.module.list_mode == arrowhatch::ListMode::kPushed),
      discovery_(loop, *this, counters_, config.discovery, config.discovery_text, config.known.revision,
                 {pushed_ ? 1 : config.site.module.gateways, config.site.module.seed, LongestWait(site_)}),
      drain_(loop.deadlines, [this] { DrainStep(); }),
      ask_fellows_(loop.deadlines, [this] { AskFellows(); }),
      plan_step_(loop.deadlines, [this] { PlanStep(); }) {
  counters_.classes.resize(site_.class_names.size());
  loop_.AddSweeper([this] {
    authorisations_.Sweep();
    timers_.Sweep();
  });
}

void Relay::Start() {
  if (start_.accept_fd) {
    acquirer_.Inherit(*start_.accept_fd);
  } else {
    acquirer_.Listen(start_.listen);
  }
  TakeList(start_.known, ListSource::kKnown);
  // Where lists are pushed the module asks for none; on sockets they come from an agent of this machine's
  // own, which speaks only to a watch.
  if (pushed_) discovery_.Watch();
  started_ = true;
  if (fellows_ != nullptr) AskFellows();
}

bool Relay::Ready() const { return started_ && phase_ == Phase::kServing && plan_.SaysYes(); }

void Relay::DrainByCall() {
  ++counters_.drains_called;
  if (plan_.Draining()) return;
  LogLine(Level::kInfo, "drain called").Field("authorisations", authorisations_.Size());
  plan_.Drain(loop_.Now());
  acquirer_.SayYes(false);
  PlanStep();
}

void Relay::Activate() {
  ++counters_.activations;
  if (!plan_.Draining()) return;
  LogLine(Level::kInfo, "activated").Field("authorisations", authorisations_.Size());
  plan_.Activate();
  plan_step_.Cancel();
  acquirer_.SayYes(phase_ == Phase::kServing);
}

void Relay::PlanStep() {
  std::size_t standing = 0;
  authorisations_.ForEach([&](const Authorisation& a) {
    if (a.state == Authorisation::State::kStanding) ++standing;
  });
  const drain::Step step = plan_.At(loop_.Now(), standing);
  counters_.drain_moves += std::min(standing, step.moves);
  MoveQuietest(step.moves);
  if (step.next.count() > 0) plan_step_.Set(step.next);
}

void Relay::MoveQuietest(std::size_t n) {
  if (n == 0) return;
  std::vector<drain::Standing> all;
  authorisations_.ForEach([&](const Authorisation& a) {
    if (a.state == Authorisation::State::kStanding)
      all.push_back({a.id.Packed(), a.asked_at.count() > 0, a.answered_at});
  });
  for (const std::uint64_t id : drain::Quietest(std::move(all), n)) Move(SlotId::Unpack(id));
}

void Relay::Reload(const Config& config) {
  ++counters_.reloads;
  LogLine(Level::kInfo, "reload").Field("discovery", config.discovery_text);
  const auto keeps = [](bool same, std::string_view what) {
    if (!same) LogLine(Level::kWarn, "reload takes a restart").Field("changed", what);
  };
  keeps(config.name == start_.name, "name");
  keeps(config.listen == start_.listen, "listen");
  keeps(config.settings_text == start_.settings_text, "settings");
  discovery_.MoveTo(config.discovery, config.discovery_text);
}

void Relay::ReloadFailed(std::string_view why) {
  ++counters_.reloads_failed;
  LogLine(Level::kError, "reload failed, the old configuration stays").Why(why);
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
  if (fellows_ != nullptr && !FleetAllows(*a, host)) return;
  a->host = host;
  ++a->legs;
  const LegWork work{a->before_wait, a->after_wait, true, std::min(wait, a->opening.deadline - loop_.Now())};
  a->leg = issuer_.Open(authorisation, host, work);
  LogLine(Level::kDebug, "leg")
      .Field("number", a->legs)
      .Field("of", authorisation.Packed())
      .Field("host", issuer_.IdOf(host));
}

void Relay::AbandonLeg(SlotId authorisation, std::uint32_t leg_number) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kPending || !a->leg || leg_number + 1 != a->legs)
    return;
  issuer_.Close(std::exchange(a->leg, {}));
  Tell(LegEnded(authorisation, a->host, LegEnd::kAbandoned, false, {}));
}

void Relay::Answer(SlotId authorisation, std::string_view line) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kPending) return;
  if (a->leg) {
    issuer_.Close(std::exchange(a->leg, {}));
    Tell(LegEnded(authorisation, a->host, LegEnd::kAbandoned, true, {}));
  }
  if (a->opening.class_index < counters_.classes.size()) {
    ClassCounters& c = counters_.classes[a->opening.class_index];
    ++(line.starts_with("BUSY") ? c.declined : c.aborted);
  }
  acquirer_.End(a->client, line);
  if (line.starts_with("BUSY")) a->end = Fellows::End::kRefused;
  Forget(*a);
}

// ---- the rest of the fleet ----

void Relay::Take(Authorisation& a) {
  if (fellows_ != nullptr) a.account = fellows_->Take(a.opening.class_index, a.group);
}

bool Relay::FleetAllows(Authorisation& a, HostNumber host) {
  // A further attempt beyond the budget of all relays is held back; the module then gives its final answer.
  if (a.legs > 0 && !fellows_->MayAttemptAgain()) {
    ++counters_.legs_held_back;
    Tell(LegEnded(a.id, host, LegEnd::kHeldBack, false, {}));
    return false;
  }
  // A cold host that the others have filled meanwhile has, for this relay, turned the client away.
  const auto started = started_at_.find(host);
  const bool cold = started != started_at_.end() && loop_.Now() < started->second + site_.module.cold_time;
  if (cold && !fellows_->MaySendCold(issuer_.IdOf(host))) {
    ++counters_.legs_held_back;
    Tell(LegEnded(a.id, host, LegEnd::kTurnedAway, false, {}));
    return false;
  }
  fellows_->OnSent(issuer_.IdOf(host));
  return true;
}

// Each tick: what the others know that the module should, and what this relay holds beyond its quotas.
void Relay::AskFellows() {
  std::vector<std::string> cold;
  for (const auto& [host, at] : started_at_) {
    if (loop_.Now() < at + site_.module.cold_time) cold.push_back(issuer_.IdOf(host));
  }
  for (const Fellows::Advice& a : fellows_->Advise(cold)) {
    if (const auto host = issuer_.Known(a.host)) Tell(PeersSay(*host, a.unseen, a.cold, a.avoid));
  }
  for (const auto& excess : fellows_->Excess()) {
    const std::uint32_t quota = excess.first;
    const std::size_t n = excess.second;
    std::vector<SlotId> over;
    authorisations_.ForEach([&](const Authorisation& a) {
      if (over.size() < n && a.account.quota == quota && a.state == Authorisation::State::kStanding)
        over.push_back(a.id);
    });
    for (const SlotId id : over) Move(id);
  }
  ask_fellows_.Set(loop_.Now() + kAskFellows);
}

void Relay::NoteOutcome(HostNumber host, LegEnd end) {
  if (fellows_ == nullptr) return;
  switch (end) {
    case LegEnd::kServed:
    case LegEnd::kSentAway:
      return fellows_->OnSaw(issuer_.IdOf(host), Fellows::Saw::kFine);
    case LegEnd::kTurnedAway:
      return fellows_->OnSaw(issuer_.IdOf(host), Fellows::Saw::kFull);
    case LegEnd::kError:
    case LegEnd::kNotConnected:
    case LegEnd::kBroken:
    case LegEnd::kTimedOut:
      return fellows_->OnSaw(issuer_.IdOf(host), Fellows::Saw::kFailing);
    case LegEnd::kAbandoned:
    case LegEnd::kHeldBack:
      return;  // Says nothing of the host.
  }
}

void Relay::EndUse(Authorisation& a) {
  if (meter_ != nullptr) meter_->End(a.use);
}

void Relay::Forget(Authorisation& a) {
  EndUse(a);
  if (fellows_ != nullptr) fellows_->Finish(a.account, a.end);
  a.deadline.Cancel();
  open_ids_.erase(a.open_id);
  authorisations_.Erase(a.id);
}

void Relay::Decline(SlotId authorisation, Micros come_back) {
  ++counters_.declined;
  std::string line = "BUSY";
  if (come_back.count() > 0) line += ' ' + std::to_string((come_back.count() + 999) / 1000);
  LogLine(Level::kDebug, "decline").Field("of", authorisation.Packed()).Field("line", line);
  Answer(authorisation, line + "\r\n");
}

void Relay::Fail(SlotId authorisation) {
  ++counters_.failed;
  Answer(authorisation, kErrorLine);
}

void Relay::Move(SlotId authorisation) {
  Authorisation* a = authorisations_.Find(authorisation);
  if (a == nullptr || a->state != Authorisation::State::kStanding) return;
  ++counters_.moved;
  EndStanding(*a, LegEnd::kAbandoned, kMoveLine);
}

void Relay::Probe(HostNumber host) {
  if (fellows_ != nullptr && !fellows_->MayProbe()) {
    // An answer without a report: the module learns nothing, and may ask again.
    Tell(Probed(host, true, {}));
    return;
  }
  issuer_.Probe(host);
}
void Relay::WakeIn(Micros delay) { timers_.Add(*this).deadline.Set(loop_.Now() + delay); }
void Relay::Watch() { discovery_.Watch(); }

void Relay::OnProbe(HostNumber host, bool ok, std::string_view report) {
  LogLine(Level::kDebug, "probe").Field("host", issuer_.IdOf(host)).Word("ok", ok).Field("report", report);
  Tell(Probed(host, ok, report));
}

// ---- the list ----

void Relay::TakeList(const HostList& list, ListSource source) {
  issuer_.TakeList(list);
  if (fellows_ != nullptr) NoteList(list);
  LogLine(Level::kInfo, "list")
      .Field("revision", list.revision)
      .Word("complete", list.complete)
      .Word("changes", !list.complete)
      .Field("entries", list.entries.size());
  Tell(ListOf(
      list, source, [this](const std::string& id) { return issuer_.NumberOf(id); }, loop_.clock, zones_));
}

void Relay::NoteList(const HostList& list) {
  if (list.complete) listed_.clear();
  for (const HostEntry& e : list.entries) {
    if (e.phase != HostPhase::kReady) {
      listed_.erase(e.id);
      continue;
    }
    listed_[e.id] = e.up_since_ms;
    if (const Micros at = loop_.clock.FromUnixMs(e.up_since_ms); at.count() > 0)
      started_at_[issuer_.NumberOf(e.id)] = at;
  }
  std::erase_if(started_at_, [&](const auto& s) {
    return !listed_.contains(issuer_.IdOf(s.first)) || loop_.Now() >= s.second + site_.module.cold_time;
  });
  fellows_->OnListed({listed_.begin(), listed_.end()});
}

void Relay::OnHosts(const HostList& list) { TakeList(list, ListSource::kWatch); }
void Relay::OnWatchFailed() {
  if (!pushed_) Tell(ListFailed());  // Only who asked is told; the watch is renewed in any case.
}

// ---- authorisations until they stand ----

std::size_t Relay::ClassIndex(std::string_view name) const {
  const auto& names = site_.class_names;
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string_view Relay::Objection(const OpenHead& head) {
  if (ClassIndex(head.class_name) >= site_.class_names.size()) return "unknown class";
  // Ids are new for every connection. A second one under an id that is open would be told apart by no host.
  if (open_ids_.contains(std::string(head.id))) {
    ++counters_.classes[ClassIndex(head.class_name)].aborted;
    return "id of an open one";
  }
  return {};
}

void Relay::OnNoRoom(const OpenHead& head) {
  const std::size_t k = ClassIndex(head.class_name);
  if (k < counters_.classes.size()) ++counters_.classes[k].declined;
  if (fellows_ != nullptr && k < counters_.classes.size()) {
    Fellows::Ticket t = fellows_->Take(k, head.tenant);
    fellows_->Finish(t, Fellows::End::kRefused);
  }
}

// A client's end may lie unread in the socket, with the leg's coming up in the same turn before it.
void Relay::OnLegConnected(SlotId owner) {
  const Authorisation* a = authorisations_.Find(owner);
  if (Stream* client = a == nullptr ? nullptr : acquirer_.Find(a->client)) client->ReadNow();
}

void Relay::OnLegSent(SlotId owner) {
  const Authorisation* a = authorisations_.Find(owner);
  if (a != nullptr && a->opening.class_index < counters_.classes.size()) {
    ++counters_.classes[a->opening.class_index].forwards;
  }
}

SlotId Relay::OnOpen(SlotId client, const OpenHead& head) {
  Authorisation& a = authorisations_.Add(*this);
  const SlotId id = a.id;
  a.client = client;
  a.open_id = head.id;
  open_ids_.insert(a.open_id);
  a.before_wait = head.before_wait;
  a.after_wait = head.after_wait;
  a.group = head.tenant;
  a.opening.class_index = ClassIndex(head.class_name);
  a.opening.deadline = loop_.Now() + std::max(Micros(0), Micros(milliseconds(head.wait_ms)) - kOnTheWay);
  a.opening.load = head.load;
  a.opening.again = head.again;
  if (site_.shared_work && !head.group.empty()) a.opening.group = arrowhatch::settings::NumberOf(head.group);
  Take(a);
  // A quota binds a connection that comes, not one that stood before this process did.
  const bool within = fellows_ == nullptr || fellows_->Hold(a.account, a.group) || !head.at.empty();
  if (!head.at.empty()) {
    ++counters_.resumed;
    a.resume_at = head.at;
    a.resume_until = loop_.Now() + kResumeFor;
    TryResume(a);
    return id;
  }
  ++counters_.authorisations;
  if (!within) {
    Decline(id, std::min(kQuotaAdvice, site_.module.longest_advice));
    return id;
  }
  Tell(Arrived(id, a.opening));
  return id;
}

// A connection from before the start belongs to its host: there is nothing to decide, and the host may not be
// in the list yet.
void Relay::TryResume(Authorisation& a) {
  const auto host = issuer_.Known(a.resume_at);
  if (!host) {
    a.deadline.Set(loop_.Now() + kResumeRetry);
    return;
  }
  a.host = *host;
  const LegWork work{a.before_wait, a.after_wait, !a.after_wait.empty() || a.opening.deadline > loop_.Now(),
                     kResumeWait};
  a.leg = issuer_.Open(a.id, *host, work);
}

void Relay::OnLegUp(SlotId owner, std::string_view line) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  ++counters_.up;
  if (a->opening.class_index < counters_.classes.size())
    ++counters_.classes[a->opening.class_index].succeeded;
  a->state = Authorisation::State::kStanding;
  a->end = Fellows::End::kServed;
  NoteOutcome(a->host, LegEnd::kServed);
  a->answered_at = loop_.Now();
  a->deadline.Cancel();
  if (meter_ != nullptr) a->use = meter_->Begin(a->group, a->opening.class_index);
  acquirer_.Up(a->client, line);
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

void Relay::OnLegEnd(SlotId owner, LegEnd end, std::string_view line) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  a->leg = {};
  LogLine(Level::kDebug, "leg ended")
      .Field("number", a->legs)
      .Field("of", owner.Packed())
      .Field("host", issuer_.IdOf(a->host))
      .Field("how", static_cast<int>(end));
  if (!a->resume_at.empty()) {
    if (end != LegEnd::kError && loop_.Now() < a->resume_until) {
      a->deadline.Set(loop_.Now() + kResumeRetry);
    } else {
      Answer(owner, kErrorLine);
    }
    return;
  }
  NoteOutcome(a->host, end);
  const bool finished = end == LegEnd::kServed;  // The host's own word goes to the client as it is.
  const HostNumber host = a->host;
  if (finished) Answer(owner, line);
  Tell(LegEnded(owner, host, end, finished, SplitWord(Stripped(line)).second));
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
    issuer_.Close(leg);
    // A half-closed client may still listen for its one answer.
    if (end == StreamEnd::kFinished) {
      acquirer_.End(client, kErrorLine);
    } else {
      acquirer_.Reset(client);
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
    issuer_.Reset(a->leg);
    acquirer_.Reset(client);
    Tell(Left(owner));
    EndStanding(*a, LegEnd::kAbandoned, {});
    return;
  }
  if (Stream* leg = issuer_.Find(a->leg)) leg->Finish();
  EndUse(*a);  // The client is done, whatever its host still has to say.
  a->state = Authorisation::State::kLeaving;
  a->deadline.Set(loop_.Now() + kLeaveWait);
  Tell(Left(owner));
}

// ---- standing connections ----

void Relay::EndStanding(Authorisation& a, LegEnd end, std::string_view last_line) {
  const SlotId owner = a.id;
  acquirer_.End(a.client, last_line);
  issuer_.Close(a.leg);
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
  if (Stream* client = acquirer_.Find(a->client)) client->SetReading(true);
  PumpToHost(*a);
}

void Relay::PumpToHost(Authorisation& a) {
  Stream* client = acquirer_.Find(a.client);
  Stream* leg = issuer_.Find(a.leg);
  if (client == nullptr || leg == nullptr || client->In().empty()) return;
  if (leg->Queued() > Stream::kHighWater) {
    client->SetReading(false);
    return;
  }
  const std::string_view in = client->In();
  leg->Write({in});
  if (a.asked_at.count() == 0 && in.find('\n') != std::string_view::npos) {
    a.asked_at = loop_.Now();
    if (a.state == Authorisation::State::kStanding) a.deadline.Set(loop_.Now() + kSilence);
  }
  client->Consume(in.size());
}

void Relay::OnLegBytes(SlotId owner) { PumpToClient(owner, false); }

void Relay::OnClientRoom(SlotId owner) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  if (Stream* leg = issuer_.Find(a->leg)) leg->SetReading(true);
  PumpToClient(owner, false);
}

// Only whole lines go on, so that MOVE always falls between two; the part of a line at the very end goes with
// `all`, and one longer than any line may be goes as it is.
void Relay::PumpToClient(SlotId owner, bool all) {
  Authorisation* a = authorisations_.Find(owner);
  Stream* client = a == nullptr ? nullptr : acquirer_.Find(a->client);
  Stream* leg = a == nullptr ? nullptr : issuer_.Find(a->leg);
  if (client == nullptr || leg == nullptr || leg->In().empty()) return;
  if (client->Queued() > Stream::kHighWater && !all) {
    leg->SetReading(false);
    return;
  }
  const std::string_view in = leg->In();
  const std::size_t last = in.rfind('\n');
  std::size_t whole = last == std::string_view::npos ? 0 : last + 1;
  if (all || (whole == 0 && in.size() >= kMaxLine)) whole = in.size();
  if (whole == 0) return;
  client->Write({in.substr(0, whole)});
  std::vector<std::string> heard;  // Told when the buffers are done with: the module may move this client.
  for (std::string_view left = in.substr(0, whole); !left.empty();) {
    const std::size_t size = LineLength(left).value_or(left.size());
    heard.emplace_back(Stripped(left.substr(0, size)));
    left.remove_prefix(size);
  }
  leg->Consume(whole);
  if (a->deadline.IsSet() && a->state == Authorisation::State::kStanding) {
    a->deadline.Set(loop_.Now() + kSilence);
  }
  for (const std::string& line : heard) {
    a = authorisations_.Find(owner);
    if (a == nullptr) return;
    NoteLine(*a, line);
  }
}

void Relay::NoteLine(Authorisation& a, std::string_view line) {
  const auto [word, rest] = SplitWord(line);
  if (word == "LOAD") {
    if (const auto load = Decimal(rest)) Tell(LoadIs(a.id, *load));
    return;
  }
  a.last_word = word == "BYE"    ? LegEnd::kServed
                : word == "MOVE" ? LegEnd::kSentAway
                : word == "ERR"  ? LegEnd::kError
                                 : LegEnd::kBroken;
  if (a.asked_at.count() == 0 || a.last_word != LegEnd::kBroken) return;
  const Micros delay = loop_.Now() - std::exchange(a.asked_at, Micros(0));
  a.answered_at = loop_.Now();
  if (a.state == Authorisation::State::kStanding) a.deadline.Cancel();
  NoteDelay(a.host, delay);
}

// Told as the simulator tells it: once a second while messages are slow, and once more when they are not.
void Relay::NoteDelay(HostNumber host, Micros delay) {
  if (slow_message_.count() == 0) return;
  if (paces_.size() <= host) paces_.resize(host + 1);
  Pace& p = paces_[host];
  const bool slow = delay > slow_message_;
  if (slow ? loop_.Now() < p.told_at + kDelayPeriod : !p.slow) return;
  p.slow = slow;
  p.told_at = loop_.Now();
  LogLine(Level::kDebug, "slow messages").Field("host", issuer_.IdOf(host)).Field("take_us", delay.count());
  Tell(MessageTook(host, delay));
}

void Relay::OnLegFinished(SlotId owner, StreamEnd end) {
  PumpToClient(owner, true);
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  LegEnd how = a->last_word;
  if (how == LegEnd::kServed) ++counters_.served;
  if (how == LegEnd::kSentAway) ++counters_.host_moved;
  if (how == LegEnd::kBroken && a->state == Authorisation::State::kLeaving) how = LegEnd::kAbandoned;
  if (how == LegEnd::kBroken) {
    ++counters_.legs_cut;
    LogLine(Level::kDebug, "cut").Field("host", issuer_.IdOf(a->host));
    if (end == StreamEnd::kReset) acquirer_.Reset(a->client);
  }
  EndStanding(*a, how, {});
}

void Relay::Due(SlotId owner) {
  Authorisation* a = authorisations_.Find(owner);
  if (a == nullptr) return;
  switch (a->state) {
    case Authorisation::State::kPending:
      if (loop_.Now() < a->resume_until) {
        TryResume(*a);
      } else {
        Answer(owner, kErrorLine);
      }
      return;
    case Authorisation::State::kLeaving:
      EndStanding(*a, LegEnd::kAbandoned, {});
      return;
    case Authorisation::State::kStanding:
      // A machine that vanished says nothing, and its connections stay open for ever.
      ++counters_.silent;
      LogLine(Level::kInfo, "silent host, its client is moved").Field("host", issuer_.IdOf(a->host));
      EndStanding(*a, LegEnd::kBroken, kMoveLine);
      return;
  }
}

// ---- the planned end ----

void Relay::Drain() {
  if (phase_ != Phase::kServing) return;
  phase_ = Phase::kTaking;
  plan_step_.Cancel();  // The end moves everyone by itself.
  drain_at_ = loop_.Now();
  LogLine(Level::kInfo, "draining").Field("authorisations", authorisations_.Size());
  drain_.Set(drain_at_);
}

void Relay::DrainStep() {
  // Clients that still come wait in a queue that the platform holds for the next process, if it does.
  if (phase_ == Phase::kTaking && (acquirer_.Inherited() || loop_.Now() >= drain_at_ + kTakeFor)) {
    acquirer_.StopListening();
    phase_ = Phase::kMoving;
  }
  const Micros end = drain_at_ + std::min(site_.longest_deadline, kMostDeadline) + kAfterDeadline;
  const bool closing = loop_.Now() >= std::max(end - kAnsweredBefore, drain_at_ + kTakeFor);
  std::size_t standing = 0;
  std::vector<SlotId> pending;
  authorisations_.ForEach([&](const Authorisation& a) {
    if (a.state == Authorisation::State::kStanding) ++standing;
    if (a.state == Authorisation::State::kPending) pending.push_back(a.id);
  });
  if (phase_ == Phase::kMoving) MoveStep(standing, end - kMovedBefore - loop_.Now());
  if (closing) {  // What is unanswered now would be lost with the process.
    for (const SlotId id : pending) Fail(id);
  }
  acquirer_.EndResting(!closing && authorisations_.Size() > 0);
  const bool done = phase_ == Phase::kMoving && authorisations_.Size() == 0 && !acquirer_.Asking();
  if (done || loop_.Now() >= end) {
    LogLine(Level::kInfo, "drained,").Field("left", authorisations_.Size());
    loop_.Stop();
    return;
  }
  drain_.Set(loop_.Now() + kMoveStep);
}

void Relay::MoveStep(std::size_t standing, Micros left) {
  if (acquirer_.Inherited()) {
    // The next process serves already: moved clients find it at once, and go from the start, evenly in time,
    // so that it learns of the hosts from the first of them before the rest come.
    MoveQuietest(drain::EvenShare(standing, left, kMoveStep, move_carry_));
  } else if (left <= kMoveFor) {  // An even share of what is left a step, all by the time.
    const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, left / kMoveStep));
    MoveQuietest((standing + steps - 1) / steps);
  }
}

}  // namespace stoatrun
