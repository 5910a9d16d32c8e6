#include "proxy/proxy.h"

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

constexpr Micros kAskPeers = milliseconds(250);  // As the module's own tick: what is told is acted on then.
constexpr Micros kQuotaAdvice =
    seconds(1);  // When units of a quota come free is not known: soon, as others end.

constexpr std::size_t kUsualDescriptors = 1024;  // Where neither the configuration nor the system tells.

constexpr std::string_view kErrorLine = "ERR\r\n", kMoveLine = "MOVE\r\n";

Micros ShortestAim(const balancer::Settings& s) {
  Micros shortest{0};
  for (const auto& c : s.classes) {
    if (c.message_latency_objective.count() > 0 &&
        (shortest.count() == 0 || c.message_latency_objective < shortest))
      shortest = c.message_latency_objective;
  }
  return shortest;
}

Upstream::Times TimesOf(const SiteSettings& site) {
  Upstream::Times times;
  if (site.connect_timeout.count() > 0) times.connect = site.connect_timeout;
  if (site.idle_timeout.count() > 0) times.idle_close = site.idle_timeout;
  if (site.stop_sending_within.count() > 0) times.stop_sending = site.stop_sending_within;
  return times;
}

// The wait between two calls on discovery. An agent of this machine's own costs nothing, and what it has
// counts as told whether or not it is asked: the wait is a part of the grace of a drain. A service that all
// relays share is asked seldom, but an answer is in before the settings count as told who has not asked.
Micros LongestWait(const SiteSettings& site) {
  const auto part = [](Micros of, double p) {
    return Micros(static_cast<Micros::rep>(static_cast<double>(of.count()) * p));
  };
  if (site.balancer.list_mode == balancer::ListMode::kPushed) {
    const Micros grace = site.stop_sending_within.count() > 0 ? site.stop_sending_within : kUsualGrace;
    return std::max<Micros>(milliseconds(10), part(grace, kAgentPart));
  }
  return site.poll_timeout.count() > 0 ? std::min(kLongestWait, part(site.poll_timeout, kAskPart))
                                       : kLongestWait;
}

std::size_t DescriptorsOf(const Config& config) {
  rlimit files{};
  std::size_t most = getrlimit(RLIMIT_NOFILE, &files) == 0 ? files.rlim_cur : kUsualDescriptors;
  if (config.descriptor_limit > 0) most = std::min(most, config.descriptor_limit);
  return most;
}

}  // namespace

Proxy::Proxy(EventLoop& loop, const Config& config, UsageMeter* meter, FleetClient* peers)
    : loop_(loop),
      meter_(meter),
      peers_(peers),
      start_(config),
      site_(start_.settings),
      zones_(config.settings.zone_names),
      slow_message_(ShortestAim(config.settings.balancer) / 3),
      balancer_(config.settings.balancer),
      downstream_(loop, *this, counters_, DescriptorsOf(config)),
      upstream_(loop, *this, counters_, TimesOf(config.settings)),
      pushed_(config.settings.balancer.list_mode == balancer::ListMode::kPushed),
      discovery_(loop, *this, counters_, config.discovery, config.discovery_text,
                 config.cached_endpoints.revision,
                 {pushed_ ? 1 : config.settings.balancer.replicas, config.settings.balancer.seed,
                  LongestWait(site_)}),
      drain_(loop.timers, [this] { DrainStep(); }),
      ask_peers_(loop.timers, [this] { AskPeers(); }),
      plan_step_(loop.timers, [this] { PlanStep(); }) {
  counters_.classes.resize(site_.class_names.size());
  loop_.AddTurnEndHook([this] {
    requests_.Reclaim();
    balancer_timers_.Reclaim();
  });
}

void Proxy::Start() {
  if (start_.accept_fd) {
    downstream_.AdoptListener(*start_.accept_fd);
  } else {
    downstream_.Listen(start_.listen);
  }
  TakeList(start_.cached_endpoints, ListSource::kKnown);
  // Where lists are pushed the module asks for none; on sockets they come from an agent of this machine's
  // own, which speaks only to a watch.
  if (pushed_) discovery_.Watch();
  started_ = true;
  if (peers_ != nullptr) AskPeers();
}

bool Proxy::Ready() const { return started_ && phase_ == Phase::kServing && plan_.SaysYes(); }

void Proxy::DrainByCall() {
  ++counters_.drain_calls;
  if (plan_.Draining()) return;
  LogLine(Level::kInfo, "drain called").Field("authorisations", requests_.Size());
  plan_.Drain(loop_.Now());
  downstream_.SetHealthy(false);
  PlanStep();
}

void Proxy::Activate() {
  ++counters_.activations;
  if (!plan_.Draining()) return;
  LogLine(Level::kInfo, "activated").Field("authorisations", requests_.Size());
  plan_.Activate();
  plan_step_.Cancel();
  downstream_.SetHealthy(phase_ == Phase::kServing);
}

void Proxy::PlanStep() {
  std::size_t standing = 0;
  requests_.ForEach([&](const Request& a) {
    if (a.state == Request::State::kStanding) ++standing;
  });
  const drain::Step step = plan_.At(loop_.Now(), standing);
  counters_.drain_migrations += std::min(standing, step.moves);
  MoveQuietest(step.moves);
  if (step.next.count() > 0) plan_step_.Set(step.next);
}

void Proxy::MoveQuietest(std::size_t n) {
  if (n == 0) return;
  std::vector<drain::Standing> all;
  requests_.ForEach([&](const Request& a) {
    if (a.state == Request::State::kStanding)
      all.push_back({a.id.ToUint64(), a.asked_at.count() > 0, a.answered_at});
  });
  for (const std::uint64_t id : drain::Quietest(std::move(all), n)) Move(SlotId::FromUint64(id));
}

void Proxy::Reload(const Config& config) {
  ++counters_.reloads;
  LogLine(Level::kInfo, "reload").Field("discovery", config.discovery_text);
  const auto keeps = [](bool same, std::string_view what) {
    if (!same) LogLine(Level::kWarn, "reload takes a restart").Field("changed", what);
  };
  keeps(config.proxy_name == start_.proxy_name, "name");
  keeps(config.listen == start_.listen, "listen");
  keeps(config.settings_text == start_.settings_text, "settings");
  discovery_.ChangeAddress(config.discovery, config.discovery_text);
}

void Proxy::ReloadFailed(std::string_view why) {
  ++counters_.reloads_failed;
  LogLine(Level::kError, "reload failed, the old configuration stays").Reason(why);
}

// ---- between the module and the sockets ----

// Events that arise while actions are carried out wait their turn: all are handled in the order in which they
// happened, and no action overtakes another.
void Proxy::HandleEvent(balancer::Event event) {
  events_.push_back(std::move(event));
  if (telling_) return;
  telling_ = true;
  while (!events_.empty()) {
    const balancer::Event next = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    balancer_.Handle(loop_.Now(), next, actions_);
    for (const balancer::Action& action : actions_) Dispatch(action, *this);
  }
  telling_ = false;
}

void Proxy::OpenAttempt(SlotId request, EndpointIndex host, Micros wait) {
  Request* a = requests_.Find(request);
  if (a == nullptr || a->state != Request::State::kPending || a->attempt) {
    HandleEvent(AttemptEnded(request, host, AttemptEnd::kNotConnected, true, {}));
    return;
  }
  if (peers_ != nullptr && !FleetAllows(*a, host)) return;
  a->host = host;
  ++a->attempts;
  const AttemptWork work{a->before_wait, a->after_wait, true,
                         std::min(wait, a->opening.deadline - loop_.Now())};
  a->attempt = upstream_.Open(request, host, work);
  LogLine(Level::kDebug, "leg")
      .Field("number", a->attempts)
      .Field("of", request.ToUint64())
      .Field("host", upstream_.IdOf(host));
}

void Proxy::AbandonAttempt(SlotId request, std::uint32_t attempt_number) {
  Request* a = requests_.Find(request);
  if (a == nullptr || a->state != Request::State::kPending || !a->attempt ||
      attempt_number + 1 != a->attempts)
    return;
  upstream_.Close(std::exchange(a->attempt, {}));
  HandleEvent(AttemptEnded(request, a->host, AttemptEnd::kAbandoned, false, {}));
}

void Proxy::Answer(SlotId request, std::string_view line) {
  Request* a = requests_.Find(request);
  if (a == nullptr || a->state != Request::State::kPending) return;
  if (a->attempt) {
    upstream_.Close(std::exchange(a->attempt, {}));
    HandleEvent(AttemptEnded(request, a->host, AttemptEnd::kAbandoned, true, {}));
  }
  if (a->opening.class_index < counters_.classes.size()) {
    ClassCounters& c = counters_.classes[a->opening.class_index];
    ++(line.starts_with("BUSY") ? c.rejected : c.aborted);
  }
  downstream_.End(a->client, line);
  if (line.starts_with("BUSY")) a->end = FleetClient::ConnectionOutcome::kRejected;
  Forget(*a);
}

// ---- the rest of the fleet ----

void Proxy::Take(Request& a) {
  if (peers_ != nullptr) a.account = peers_->BeginConnection(a.opening.class_index, a.group);
}

bool Proxy::FleetAllows(Request& a, EndpointIndex host) {
  // A further attempt beyond the budget of all relays is held back; the module then gives its final answer.
  if (a.attempts > 0 && !peers_->TryAcquireRetry()) {
    ++counters_.attempts_denied_by_quota;
    HandleEvent(AttemptEnded(a.id, host, AttemptEnd::kHeldBack, false, {}));
    return false;
  }
  // A cold host that the others have filled meanwhile has, for this relay, turned the client away.
  const auto started = started_at_.find(host);
  const bool cold =
      started != started_at_.end() && loop_.Now() < started->second + site_.balancer.slow_start_duration;
  if (cold && !peers_->TryAcquireSlowStartSend(upstream_.IdOf(host))) {
    ++counters_.attempts_denied_by_quota;
    HandleEvent(AttemptEnded(a.id, host, AttemptEnd::kRejected, false, {}));
    return false;
  }
  peers_->OnRequestSent(upstream_.IdOf(host));
  return true;
}

// Each tick: what the others know that the module should, and what this relay holds beyond its quotas.
void Proxy::AskPeers() {
  std::vector<std::string> cold;
  for (const auto& [host, at] : started_at_) {
    if (loop_.Now() < at + site_.balancer.slow_start_duration) cold.push_back(upstream_.IdOf(host));
  }
  for (const FleetClient::EndpointHint& hint : peers_->TakeHints(cold)) {
    if (const auto host = upstream_.Known(hint.endpoint))
      HandleEvent(PeersSay(*host, hint.unreported_in_flight, hint.slow_start_tokens, hint.eject));
  }
  for (const FleetClient::ExcessReservation& excess : peers_->ExcessReservations()) {
    std::vector<SlotId> over;
    requests_.ForEach([&](const Request& a) {
      if (over.size() < excess.connections && a.account.quota == excess.quota &&
          a.state == Request::State::kStanding)
        over.push_back(a.id);
    });
    for (const SlotId id : over) Move(id);
  }
  ask_peers_.Set(loop_.Now() + kAskPeers);
}

void Proxy::NoteOutcome(EndpointIndex host, AttemptEnd end) {
  if (peers_ == nullptr) return;
  switch (end) {
    case AttemptEnd::kServed:
    case AttemptEnd::kSentAway:
      return peers_->OnEndpointObserved(upstream_.IdOf(host), FleetClient::EndpointCondition::kHealthy);
    case AttemptEnd::kRejected:
      return peers_->OnEndpointObserved(upstream_.IdOf(host), FleetClient::EndpointCondition::kOverloaded);
    case AttemptEnd::kError:
    case AttemptEnd::kNotConnected:
    case AttemptEnd::kBroken:
    case AttemptEnd::kTimedOut:
      return peers_->OnEndpointObserved(upstream_.IdOf(host), FleetClient::EndpointCondition::kFailing);
    case AttemptEnd::kAbandoned:
    case AttemptEnd::kHeldBack:
      return;  // Says nothing of the host.
  }
}

void Proxy::EndUse(Request& a) {
  if (meter_ != nullptr) meter_->End(a.use);
}

void Proxy::Forget(Request& a) {
  EndUse(a);
  if (peers_ != nullptr) peers_->EndConnection(a.account, a.end);
  a.deadline.Cancel();
  open_ids_.erase(a.open_id);
  requests_.Erase(a.id);
}

void Proxy::Reject(SlotId request, Micros retry_after) {
  ++counters_.rejected;
  std::string line = "BUSY";
  if (retry_after.count() > 0) line += ' ' + std::to_string((retry_after.count() + 999) / 1000);
  LogLine(Level::kDebug, "decline").Field("of", request.ToUint64()).Field("line", line);
  Answer(request, line + "\r\n");
}

void Proxy::Fail(SlotId request) {
  ++counters_.failed;
  Answer(request, kErrorLine);
}

void Proxy::Move(SlotId request) {
  Request* a = requests_.Find(request);
  if (a == nullptr || a->state != Request::State::kStanding) return;
  ++counters_.migrated;
  EndStanding(*a, AttemptEnd::kAbandoned, kMoveLine);
}

void Proxy::Probe(EndpointIndex host) {
  if (peers_ != nullptr && !peers_->TryAcquireProbe()) {
    // An answer without a report: the module learns nothing, and may ask again.
    HandleEvent(Probed(host, true, {}));
    return;
  }
  upstream_.Probe(host);
}
void Proxy::WakeIn(Micros delay) { balancer_timers_.Add(*this).deadline.Set(loop_.Now() + delay); }
void Proxy::Watch() { discovery_.Watch(); }

void Proxy::OnProbe(EndpointIndex host, bool ok, std::string_view report) {
  LogLine(Level::kDebug, "probe").Field("host", upstream_.IdOf(host)).Flag("ok", ok).Field("report", report);
  HandleEvent(Probed(host, ok, report));
}

// ---- the list ----

void Proxy::TakeList(const EndpointUpdate& list, ListSource source) {
  upstream_.TakeList(list);
  if (peers_ != nullptr) NoteList(list);
  LogLine(Level::kInfo, "list")
      .Field("revision", list.revision)
      .Flag("complete", list.complete)
      .Flag("changes", !list.complete)
      .Field("entries", list.entries.size());
  HandleEvent(ListOf(
      list, source, [this](const std::string& id) { return upstream_.NumberOf(id); }, loop_.clock, zones_));
}

void Proxy::NoteList(const EndpointUpdate& list) {
  if (list.complete) listed_.clear();
  for (const Endpoint& e : list.entries) {
    if (e.state != EndpointState::kReady) {
      listed_.erase(e.id);
      continue;
    }
    listed_[e.id] = e.started_unix_ms;
    if (const Micros at = loop_.clock.FromUnixMs(e.started_unix_ms); at.count() > 0)
      started_at_[upstream_.NumberOf(e.id)] = at;
  }
  std::erase_if(started_at_, [&](const auto& s) {
    return !listed_.contains(upstream_.IdOf(s.first)) ||
           loop_.Now() >= s.second + site_.balancer.slow_start_duration;
  });
  std::vector<FleetClient::ListedEndpoint> listed;
  listed.reserve(listed_.size());
  for (const auto& [id, started_unix_ms] : listed_) listed.push_back({id, started_unix_ms});
  peers_->OnEndpointsListed(listed);
}

void Proxy::OnEndpointUpdate(const EndpointUpdate& list) { TakeList(list, ListSource::kWatch); }
void Proxy::OnWatchFailed() {
  if (!pushed_) HandleEvent(ListFailed());  // Only who asked is told; the watch is renewed in any case.
}

// ---- requests until they stand ----

std::size_t Proxy::ClassIndex(std::string_view name) const {
  const auto& names = site_.class_names;
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

std::string_view Proxy::Validate(const OpenHead& head) {
  if (ClassIndex(head.class_name) >= site_.class_names.size()) return "unknown class";
  // Ids are new for every connection. A second one under an id that is open would be told apart by no host.
  if (open_ids_.contains(std::string(head.id))) {
    ++counters_.classes[ClassIndex(head.class_name)].aborted;
    return "id of an open one";
  }
  return {};
}

void Proxy::OnNoRoom(const OpenHead& head) {
  const std::size_t k = ClassIndex(head.class_name);
  if (k < counters_.classes.size()) ++counters_.classes[k].rejected;
  if (peers_ != nullptr && k < counters_.classes.size()) {
    FleetClient::ConnectionHandle t = peers_->BeginConnection(k, head.tenant);
    peers_->EndConnection(t, FleetClient::ConnectionOutcome::kRejected);
  }
}

// A client's end may lie unread in the socket, with the attempt's coming up in the same turn before it.
void Proxy::OnAttemptConnected(SlotId owner) {
  const Request* a = requests_.Find(owner);
  if (TcpConnection* client = a == nullptr ? nullptr : downstream_.Find(a->client)) client->ReadNow();
}

void Proxy::OnAttemptSent(SlotId owner) {
  const Request* a = requests_.Find(owner);
  if (a != nullptr && a->opening.class_index < counters_.classes.size()) {
    ++counters_.classes[a->opening.class_index].forwards;
  }
}

SlotId Proxy::OnOpen(SlotId client, const OpenHead& head) {
  Request& a = requests_.Add(*this);
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
  if (site_.affinity_by_group && !head.group.empty()) a.opening.group = HashName(head.group);
  Take(a);
  // A quota binds a connection that comes, not one that stood before this process did.
  const bool within = peers_ == nullptr || peers_->TryReserveQuota(a.account, a.group) || !head.at.empty();
  if (!head.at.empty()) {
    ++counters_.resumed;
    a.resume_at = head.at;
    a.resume_until = loop_.Now() + kResumeFor;
    TryResume(a);
    return id;
  }
  ++counters_.connect_requests;
  if (!within) {
    Reject(id, std::min(kQuotaAdvice, site_.balancer.max_retry_after));
    return id;
  }
  HandleEvent(Arrived(id, a.opening));
  return id;
}

// A connection from before the start belongs to its host: there is nothing to decide, and the host may not be
// in the list yet.
void Proxy::TryResume(Request& a) {
  const auto host = upstream_.Known(a.resume_at);
  if (!host) {
    a.deadline.Set(loop_.Now() + kResumeRetry);
    return;
  }
  a.host = *host;
  const AttemptWork work{a.before_wait, a.after_wait,
                         !a.after_wait.empty() || a.opening.deadline > loop_.Now(), kResumeWait};
  a.attempt = upstream_.Open(a.id, *host, work);
}

void Proxy::OnAttemptUp(SlotId owner, std::string_view line) {
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  ++counters_.established;
  if (a->opening.class_index < counters_.classes.size())
    ++counters_.classes[a->opening.class_index].succeeded;
  a->state = Request::State::kStanding;
  a->end = FleetClient::ConnectionOutcome::kServed;
  NoteOutcome(a->host, AttemptEnd::kServed);
  a->answered_at = loop_.Now();
  a->deadline.Cancel();
  if (meter_ != nullptr) a->use = meter_->Begin(a->group, a->opening.class_index);
  downstream_.Up(a->client, line);
  if (a->resume_at.empty()) {
    HandleEvent(AttemptIsUp(owner, a->host));
  } else {
    HandleEvent(Resumed(owner, a->opening, a->host));
  }
  a = requests_.Find(owner);
  if (a == nullptr) return;
  PumpToHost(*a);
  PumpToClient(owner, false);
}

void Proxy::OnAttemptEnd(SlotId owner, AttemptEnd end, std::string_view line) {
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  a->attempt = {};
  LogLine(Level::kDebug, "leg ended")
      .Field("number", a->attempts)
      .Field("of", owner.ToUint64())
      .Field("host", upstream_.IdOf(a->host))
      .Field("how", static_cast<int>(end));
  if (!a->resume_at.empty()) {
    if (end != AttemptEnd::kError && loop_.Now() < a->resume_until) {
      a->deadline.Set(loop_.Now() + kResumeRetry);
    } else {
      Answer(owner, kErrorLine);
    }
    return;
  }
  NoteOutcome(a->host, end);
  const bool finished = end == AttemptEnd::kServed;  // The host's own word goes to the client as it is.
  const EndpointIndex host = a->host;
  if (finished) Answer(owner, line);
  HandleEvent(AttemptEnded(owner, host, end, finished, SplitWord(Stripped(line)).second));
}

void Proxy::OnClientEnd(SlotId owner, ConnectionEnd end) {
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  const SlotId client = a->client;
  if (a->state == Request::State::kPending) {
    ++counters_.client_disconnects;
    const bool resumed = !a->resume_at.empty();
    const SlotId attempt = std::exchange(a->attempt, {});
    const EndpointIndex host = a->host;
    upstream_.Close(attempt);
    // A half-closed client may still listen for its one answer.
    if (end == ConnectionEnd::kFinished) {
      downstream_.End(client, kErrorLine);
    } else {
      downstream_.Reset(client);
    }
    Forget(*a);
    if (resumed) return;
    HandleEvent(Left(owner));
    if (attempt) HandleEvent(AttemptEnded(owner, host, AttemptEnd::kAbandoned, true, {}));
    return;
  }
  if (a->state == Request::State::kLeaving) return;
  ++counters_.client_disconnects;
  PumpToHost(*a);
  if (end == ConnectionEnd::kReset) {
    upstream_.Reset(a->attempt);
    downstream_.Reset(client);
    HandleEvent(Left(owner));
    EndStanding(*a, AttemptEnd::kAbandoned, {});
    return;
  }
  if (TcpConnection* attempt = upstream_.Find(a->attempt)) attempt->Finish();
  EndUse(*a);  // The client is done, whatever its host still has to say.
  a->state = Request::State::kLeaving;
  a->deadline.Set(loop_.Now() + kLeaveWait);
  HandleEvent(Left(owner));
}

// ---- standing connections ----

void Proxy::EndStanding(Request& a, AttemptEnd end, std::string_view last_line) {
  const SlotId owner = a.id;
  downstream_.End(a.client, last_line);
  upstream_.Close(a.attempt);
  Forget(a);
  HandleEvent(AttemptEnded(owner, a.host, end, true, {}));
}

void Proxy::OnClientBytes(SlotId owner) {
  Request* a = requests_.Find(owner);
  // What comes before UP waits in the client's bounded buffer.
  if (a != nullptr && a->state != Request::State::kPending) PumpToHost(*a);
}

void Proxy::OnAttemptWritable(SlotId owner) {
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  if (TcpConnection* client = downstream_.Find(a->client)) client->SetReading(true);
  PumpToHost(*a);
}

void Proxy::PumpToHost(Request& a) {
  TcpConnection* client = downstream_.Find(a.client);
  TcpConnection* attempt = upstream_.Find(a.attempt);
  if (client == nullptr || attempt == nullptr || client->input().empty()) return;
  if (attempt->QueuedBytes() > TcpConnection::kHighWatermark) {
    client->SetReading(false);
    return;
  }
  const std::string_view in = client->input();
  attempt->Write({in});
  if (a.asked_at.count() == 0 && in.find('\n') != std::string_view::npos) {
    a.asked_at = loop_.Now();
    if (a.state == Request::State::kStanding) a.deadline.Set(loop_.Now() + kSilence);
  }
  client->Consume(in.size());
}

void Proxy::OnAttemptBytes(SlotId owner) { PumpToClient(owner, false); }

void Proxy::OnClientWritable(SlotId owner) {
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  if (TcpConnection* attempt = upstream_.Find(a->attempt)) attempt->SetReading(true);
  PumpToClient(owner, false);
}

// Only whole lines go on, so that MOVE always falls between two; the part of a line at the very end goes with
// `all`, and one longer than any line may be goes as it is.
void Proxy::PumpToClient(SlotId owner, bool all) {
  Request* a = requests_.Find(owner);
  TcpConnection* client = a == nullptr ? nullptr : downstream_.Find(a->client);
  TcpConnection* attempt = a == nullptr ? nullptr : upstream_.Find(a->attempt);
  if (client == nullptr || attempt == nullptr || attempt->input().empty()) return;
  if (client->QueuedBytes() > TcpConnection::kHighWatermark && !all) {
    attempt->SetReading(false);
    return;
  }
  const std::string_view in = attempt->input();
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
  attempt->Consume(whole);
  if (a->deadline.IsSet() && a->state == Request::State::kStanding) {
    a->deadline.Set(loop_.Now() + kSilence);
  }
  for (const std::string& line : heard) {
    a = requests_.Find(owner);
    if (a == nullptr) return;
    NoteLine(*a, line);
  }
}

void Proxy::NoteLine(Request& a, std::string_view line) {
  const auto [word, rest] = SplitWord(line);
  if (word == "LOAD") {
    if (const auto load = Decimal(rest)) HandleEvent(LoadIs(a.id, *load));
    return;
  }
  a.last_word = word == "BYE"    ? AttemptEnd::kServed
                : word == "MOVE" ? AttemptEnd::kSentAway
                : word == "ERR"  ? AttemptEnd::kError
                                 : AttemptEnd::kBroken;
  if (a.asked_at.count() == 0 || a.last_word != AttemptEnd::kBroken) return;
  const Micros delay = loop_.Now() - std::exchange(a.asked_at, Micros(0));
  a.answered_at = loop_.Now();
  if (a.state == Request::State::kStanding) a.deadline.Cancel();
  NoteDelay(a.host, delay);
}

// Told as the simulator tells it: once a second while messages are slow, and once more when they are not.
void Proxy::NoteDelay(EndpointIndex host, Micros delay) {
  if (slow_message_.count() == 0) return;
  if (paces_.size() <= host) paces_.resize(host + 1);
  Pace& p = paces_[host];
  const bool slow = delay > slow_message_;
  if (slow ? loop_.Now() < p.told_at + kDelayPeriod : !p.slow) return;
  p.slow = slow;
  p.told_at = loop_.Now();
  LogLine(Level::kDebug, "slow messages").Field("host", upstream_.IdOf(host)).Field("take_us", delay.count());
  HandleEvent(MessageTook(host, delay));
}

void Proxy::OnAttemptFinished(SlotId owner, ConnectionEnd end) {
  PumpToClient(owner, true);
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  AttemptEnd how = a->last_word;
  if (how == AttemptEnd::kServed) ++counters_.served;
  if (how == AttemptEnd::kSentAway) ++counters_.migrated_by_host;
  if (how == AttemptEnd::kBroken && a->state == Request::State::kLeaving) how = AttemptEnd::kAbandoned;
  if (how == AttemptEnd::kBroken) {
    ++counters_.attempts_connection_lost;
    LogLine(Level::kDebug, "cut").Field("host", upstream_.IdOf(a->host));
    if (end == ConnectionEnd::kReset) downstream_.Reset(a->client);
  }
  EndStanding(*a, how, {});
}

void Proxy::Due(SlotId owner) {
  Request* a = requests_.Find(owner);
  if (a == nullptr) return;
  switch (a->state) {
    case Request::State::kPending:
      if (loop_.Now() < a->resume_until) {
        TryResume(*a);
      } else {
        Answer(owner, kErrorLine);
      }
      return;
    case Request::State::kLeaving:
      EndStanding(*a, AttemptEnd::kAbandoned, {});
      return;
    case Request::State::kStanding:
      // A machine that vanished says nothing, and its connections stay open for ever.
      ++counters_.silent_hosts;
      LogLine(Level::kInfo, "silent host, its client is moved").Field("host", upstream_.IdOf(a->host));
      EndStanding(*a, AttemptEnd::kBroken, kMoveLine);
      return;
  }
}

// ---- the planned end ----

void Proxy::Drain() {
  if (phase_ != Phase::kServing) return;
  phase_ = Phase::kTaking;
  plan_step_.Cancel();  // The end moves everyone by itself.
  drain_at_ = loop_.Now();
  LogLine(Level::kInfo, "draining").Field("authorisations", requests_.Size());
  drain_.Set(drain_at_);
}

void Proxy::DrainStep() {
  // Clients that still come wait in a queue that the platform holds for the next process, if it does.
  if (phase_ == Phase::kTaking && (downstream_.Inherited() || loop_.Now() >= drain_at_ + kTakeFor)) {
    downstream_.StopListening();
    phase_ = Phase::kMoving;
  }
  const Micros end = drain_at_ + std::min(site_.max_deadline, kMostDeadline) + kAfterDeadline;
  const bool closing = loop_.Now() >= std::max(end - kAnsweredBefore, drain_at_ + kTakeFor);
  std::size_t standing = 0;
  std::vector<SlotId> pending;
  requests_.ForEach([&](const Request& a) {
    if (a.state == Request::State::kStanding) ++standing;
    if (a.state == Request::State::kPending) pending.push_back(a.id);
  });
  if (phase_ == Phase::kMoving) MoveStep(standing, end - kMovedBefore - loop_.Now());
  if (closing) {  // What is unanswered now would be lost with the process.
    for (const SlotId id : pending) Fail(id);
  }
  downstream_.EndResting(!closing && requests_.Size() > 0);
  const bool done = phase_ == Phase::kMoving && requests_.Size() == 0 && !downstream_.Asking();
  if (done || loop_.Now() >= end) {
    LogLine(Level::kInfo, "drained,").Field("left", requests_.Size());
    loop_.Stop();
    return;
  }
  drain_.Set(loop_.Now() + kMoveStep);
}

void Proxy::MoveStep(std::size_t standing, Micros left) {
  if (downstream_.Inherited()) {
    // The next process serves already: moved clients find it at once, and go from the start, evenly in time,
    // so that it learns of the hosts from the first of them before the rest come.
    MoveQuietest(drain::EvenShare(standing, left, kMoveStep, move_carry_));
  } else if (left <= kMoveFor) {  // An even share of what is left a step, all by the time.
    const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, left / kMoveStep));
    MoveQuietest((standing + steps - 1) / steps);
  }
}

}  // namespace stoatrun
