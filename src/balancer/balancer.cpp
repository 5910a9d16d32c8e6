// The dispatcher: takes events, lets the parts in this folder decide and appends the resulting actions.
#include "balancer/balancer.h"

#include "balancer/placement.h"
#include "balancer/rebalancing.h"
#include "base/delayed_task_queue.h"

namespace balancer {

constexpr int kAttemptsPerProbe = 4, kMaxProbesPerTick = 8;  // Probes an endpoint after so many attempts.
constexpr std::ptrdiff_t kAnswersPerPlacement = 4, kAnswersWhileScarce = 3;  // Fresh probe answers wanted.
constexpr double kProbeWaitShare = 1.0 / 8;  // Of the latency objective, to wait for probe answers.
constexpr double kLatencyUtilization = 1.2;  // At least, of an endpoint that misses its latency objective.
constexpr Micros kWatchBackoff = std::chrono::seconds(1), kWatchTimeout = std::chrono::seconds(6);
constexpr Micros kTickInterval = std::chrono::milliseconds(250);  // Between samplings and placement retries.
// Between samples of one endpoint; near full, where few arrivals bring any; while its reports are empty:
constexpr Micros kSampleInterval = std::chrono::seconds(3), kFullInterval = std::chrono::seconds(1);
constexpr Micros kUnsampledInterval = std::chrono::milliseconds(500);
constexpr double kFullCharge = 0.4;  // Price of sampling a full endpoint, which must not wait for its turn.
constexpr double kSamplesPerArrival = 1.5, kMinSampleRate = 0.2;  // The rate is a second's.

class Balancer::Impl {
 public:
  explicit Impl(const Settings& settings) : context_{settings} {}

  void Handle(Micros now, const Event& event, std::vector<Action>& actions) {
    context_.now = std::max(now, context_.now);
    actions_ = &actions;
    std::visit([this](const auto& typed) { On(typed); }, event);
    tasks_.RunDue(context_.now);
    StartTimerIfNeeded();
  }
  std::size_t EjectedCount(Micros now) const {
    return static_cast<std::size_t>(std::ranges::count_if(endpoints_.All(), [now](const auto* endpoint) {
      return endpoint->info.state != EndpointState::kGone && endpoint->health.IsEjected(now);
    }));
  }

 private:
  void On(const EndpointUpdate& update) {
    if (update.kind == EndpointUpdate::Kind::kFailed) {  // The old list holds until a watch succeeds.
      return ScheduleWatch(context_.random.Jittered(kWatchBackoff, 0.5, 1.5));
    }
    if (update.kind != EndpointUpdate::Kind::kCached) watch_due_ = Micros(0);
    endpoints_.Apply(update);
    if (std::exchange(started_, true)) return;
    if (context_.settings.list_mode == ListMode::kSubscribed) Watch();
    Schedule(context_.random.Jittered(kTickInterval, 0.0, 1.0), [this] { Tick(); });
  }
  void Watch() {
    Emit(WatchEndpoints{});
    ScheduleWatch(kWatchTimeout);
  }
  void ScheduleWatch(Micros delay) {
    watch_due_ = context_.now + delay;
    Schedule(delay, [this] {
      if (watch_due_.count() > 0 && context_.now >= watch_due_) Watch();
    });
  }
  void On(const FleetHint& hint) {
    EndpointRecord* endpoint = endpoints_.Find(hint.endpoint);
    if (endpoint == nullptr) return;
    endpoint->unreported_by_others = hint.unreported_in_flight;
    endpoint->warm_up.managed_by_fleet = hint.slow_start_tokens >= 0;
    if (endpoint->warm_up.managed_by_fleet) endpoint->warm_up.tokens = hint.slow_start_tokens;
    if (hint.eject) endpoint->health.EjectOnHint(context_.now);
  }

  bool HasReports() const { return context_.settings.report_mode != ReportMode::kOff; }
  bool CanProbe() const { return context_.settings.probes_allowed && HasReports(); }
  bool Probe(EndpointRecord& endpoint) {
    if (endpoint.probe_in_flight || endpoint.info.state != EndpointState::kReady) return false;
    endpoint.probe_in_flight = true;
    endpoint.attempts_since_probe = 0;
    Emit(ProbeEndpoint{endpoint.info.id});
    return true;
  }
  void On(const ProbeCompleted& probe) {
    EndpointRecord* endpoint = endpoints_.Find(probe.endpoint);
    if (endpoint == nullptr) return;
    endpoint->probe_in_flight = false;
    const bool budgeted = std::exchange(endpoint->probe_budgeted, false);
    if (probe.ok) endpoint->health.RecordProbeSuccess(context_.now);
    if (!probe.ok) endpoint->health.RecordFailure(context_.now, context_.random, FailureSource::kProbe);
    const bool sampled = probe.ok && TakeReport(*endpoint, probe.report.value_or(LoadReport{}));
    if (sampled) placement_.AddProbeAnswer(*endpoint);
    if (probe.ok && !sampled && budgeted) {
      sample_budget_ += 1;  // Empty reports after a start must not use it up.
      if (!endpoint->sampled) endpoint->sampled_at = context_.now;
    }
    for (std::size_t k = 0; k < waiting_.size();) {  // Some may have waited for this answer.
      Request& request = *waiting_[k];
      std::erase(request.awaited_probes, endpoint);
      if (!request.awaited_probes.empty() || !Decide(request)) ++k;  // Else it no longer waits.
    }
  }
  void On(const MessageLatencyReported& report) {  // Fresh evidence that costs no probe.
    EndpointRecord* endpoint = endpoints_.Find(report.endpoint);
    const bool late = std::ranges::any_of(context_.settings.classes, [&](const ClassSettings& rules) {
      return rules.message_latency_objective.count() > 0 && report.delay >= rules.message_latency_objective;
    });
    if (endpoint == nullptr || !late) return;
    RecordSample(*endpoint, {std::max(endpoint->latest.value, kLatencyUtilization)});
  }
  void On(const LoadReported& report) {
    if (Request* request = requests_.Find(report.id)) endpoints_.RecordLoad(*request, report.load);
  }
  bool TakeReport(EndpointRecord& endpoint, const LoadReport& report) {
    const auto sample = endpoints_.ToSample(endpoint, report);
    if (sample) RecordSample(endpoint, *sample);
    return sample.has_value();
  }
  void RecordSample(EndpointRecord& endpoint, const UtilizationSample& sample) {
    if (!endpoints_.Record(endpoint, sample)) return;
    for (Request* request : SelectMigrations(context_, endpoint, endpoints_.MeanUtilization())) {
      Emit(MigrateConnection{request->info.id});
      endpoint.established.Erase(*request);
      request->finished = true;  // The client returns as a new request; the attempt's end is still reported.
    }
  }

  double SampleRate() const { return kSamplesPerArrival * admission_.ArrivalRate(); }
  // One of many replicas with few arrivals: they tell it little, and its answers are old when it uses them.
  bool SamplesAreScarce() const { return endpoints_.HasMoreReplicas() && SampleRate() < kMinSampleRate; }
  // Samples endpoints with own connections, in turns. The budget follows arrivals, so that the price does not
  // grow with the endpoints; it begins with a probe for each of these, by two replicas at most.
  void SampleEndpoints() {
    if (!CanProbe() && HasReports()) return;
    const std::size_t targets = std::min(endpoints_.EstablishedCount(), endpoints_.All().size());
    const double first = std::min(1.0, 2.0 / context_.settings.replicas) * static_cast<double>(targets);
    if (sample_budget_ < 0) sample_budget_ = first;
    const double earned = std::max(kMinSampleRate, SampleRate()) * ToSeconds(kTickInterval);
    sample_budget_ = std::min(sample_budget_ + earned, std::max(2.0, sample_budget_));
    const double full_charge = SamplesAreScarce() ? kFullCharge : 1.0;
    int left = kMaxProbesPerTick;
    for (std::size_t k = 0; k < endpoints_.Ready().size() && sample_budget_ >= full_charge && left > 0; ++k) {
      sample_cursor_ = (sample_cursor_ + 1) % endpoints_.Ready().size();
      EndpointRecord& endpoint = *endpoints_.Ready()[sample_cursor_];
      const double charge = endpoint.sampled && endpoint.smoothed > kAdmissionLimit ? full_charge : 1.0;
      if (sample_budget_ < charge || !IsSampleDue(endpoint, charge < 1)) continue;
      if (endpoints_.LacksLoadData()) {
        endpoints_.ResetUtilization(endpoint);  // Late messages set it, and nothing else would end that.
      } else if (!HasReports()) {
        TakeReport(endpoint, LoadReport{});
      } else if (Probe(endpoint)) {
        endpoint.probe_budgeted = true;
        sample_budget_ -= charge;
        --left;
      }
    }
  }
  bool IsSampleDue(const EndpointRecord& endpoint, bool is_urgent) const {
    if (endpoint.established.empty() && !endpoints_.LacksLoadData()) return false;
    const Micros regular = endpoint.sampled ? kSampleInterval : kUnsampledInterval;
    const Micros due = endpoint.sampled_at + (is_urgent ? kFullInterval : regular);
    return endpoint.sampled_at.count() == 0 || context_.now >= due;
  }

  Request* AddRequest(const RequestArrived& info) {
    const auto [request, added] = requests_.FindOrAdd(info.id);
    if (!added) return nullptr;
    request.info = info;
    const auto rules = static_cast<std::size_t>(info.class_id);
    if (rules < context_.settings.classes.size()) request.rules = context_.settings.classes[rules];
    if (info.load_hint) endpoints_.GetSlowStart().RecordLoadHint(*info.load_hint);
    return &request;
  }
  void Finish(Request& request) {
    StopWaiting(request);
    request.finished = true;
    if (!request.attempt_in_flight) requests_.Erase(request.info.id);
  }
  void On(const RequestArrived& arrival) {
    Request* request = AddRequest(arrival);
    if (request == nullptr) return;
    ScheduleCheck(*request, arrival.deadline - context_.now);
    SeekPlacement(*request);
  }
  void On(const ConnectionResumed& resumed) {
    EndpointRecord* endpoint = endpoints_.Find(resumed.endpoint);
    Request* request = endpoint == nullptr ? nullptr : AddRequest(resumed.request);
    if (request == nullptr) return;
    request->may_have_run = request->was_established = true;
    request->ran_at = endpoint;
    StartAttempt(*request, *endpoint);
    endpoint->established.Insert(*request);
  }
  static void StartAttempt(Request& request, EndpointRecord& endpoint) {
    ++request.attempts;
    request.attempt_in_flight = true;
    request.endpoint = &endpoint;
    ++endpoint.affinity_groups[request.info.affinity_group];
  }

  // Decides now, or once the probes sent for that are answered, but not after kProbeWaitShare.
  void SeekPlacement(Request& request) {
    const bool can_reject = request.CanReject();
    const bool may_be_full = can_reject && admission_.FleetIsFull();
    const bool is_full = may_be_full && placement_.FindWarmingUp(request) == nullptr;
    if (is_full || (can_reject && admission_.GuardIsActive())) return SendFinalAnswer(request);
    request.group_home = placement_.FindGroupHome(request);
    ProbeForPlacement(request);
    if (request.awaited_probes.empty() && Decide(request)) return;
    Wait(request, FromSeconds(ToSeconds(request.rules.setup_latency_objective) * kProbeWaitShare));
  }
  void ProbeForPlacement(Request& request) {
    if (!CanProbe() || endpoints_.Ready().empty()) return;
    const std::ptrdiff_t wanted = SamplesAreScarce() ? kAnswersWhileScarce : kAnswersPerPlacement;
    const std::ptrdiff_t usable = placement_.CountUsableAnswers(request);
    for (auto k = std::min(usable, wanted - 1); k < wanted; ++k) {  // At least one keeps the pool fresh.
      EndpointRecord* target = placement_.FindProbeTarget(request);
      if (target != nullptr && Probe(*target)) request.awaited_probes.push_back(target);
    }
  }
  void Wait(Request& request, Micros delay) {
    request.decide_by = context_.now + delay;
    if (!std::exchange(request.waiting, true)) waiting_.push_back(&request);
    ScheduleCheck(request, delay);
  }
  void StopWaiting(Request& request) {
    if (std::exchange(request.waiting, false)) std::erase(waiting_, &request);
    request.awaited_probes.clear();
  }
  bool Decide(Request& request) {  // False: no endpoint may take the request now.
    if (!admission_.WindowIsOpen()) return false;
    const double concurrent = admission_.ConcurrentLoad(request.info, admission_.RecentPlacements());
    EndpointRecord* endpoint = placement_.Choose(request, concurrent);
    if (endpoint == nullptr) return false;
    if (!admission_.IsFull(*endpoint, request.info) || !request.CanReject()) return Send(request, *endpoint);
    admission_.RecordFleetFull();
    SendFinalAnswer(request);
    return true;
  }
  bool Send(Request& request, EndpointRecord& endpoint) {
    if (!request.CanAttempt(context_) || !placement_.CanSend(request, endpoint)) return false;
    const Micros timeout = request.AttemptTimeout(context_);
    StopWaiting(request);
    StartAttempt(request, endpoint);
    request.sent_at = context_.now;
    request.tried.push_back(&endpoint);
    endpoints_.GetSlowStart().Spend(endpoint.warm_up, request);
    endpoints_.RecordPlacement(endpoint, request.info.id);
    admission_.RecordAttempt();
    Emit(SendAttempt{request.info.id, endpoint.info.id, timeout});
    if (++endpoint.attempts_since_probe >= kAttemptsPerProbe && CanProbe()) Probe(endpoint);
    return true;
  }

  void On(const AttemptEstablished& attempt) {
    Request* request = requests_.Find(attempt.id);
    if (request == nullptr || !request->IsSettingUp()) return;
    request->endpoint->health.RecordEstablished();
    admission_.RecordEstablished(request->info.is_reconnect);
    request->was_established = true;
    request->endpoint->established.Insert(*request);
  }
  void On(const AttemptEnded& ended) {
    EndpointRecord* endpoint = endpoints_.Find(ended.endpoint);
    const bool sampled = endpoint != nullptr && ended.report && TakeReport(*endpoint, *ended.report);
    const bool is_fresh = sampled && context_.settings.report_mode == ReportMode::kWithAnswers;
    if (is_fresh) placement_.AddProbeAnswer(*endpoint);
    Request* request = requests_.Find(ended.id);
    if (request == nullptr || !request->attempt_in_flight) return;
    EndAttempt(*request, ended.outcome);
    if (endpoint != nullptr && IsEndpointFailure(ended.outcome, request->was_established)) {
      endpoint->health.RecordFailure(context_.now, context_.random, FailureSource::kAttempt);
    }
    if (ended.request_finished || request->finished) return Finish(*request);
    const bool retry = ended.outcome != Outcome::kNotSent && request->CanAttempt(context_);
    return retry && request->CanRepeat(context_.now) ? SeekPlacement(*request) : SendFinalAnswer(*request);
  }
  static bool NeverRan(Outcome outcome) {
    return outcome == Outcome::kRejected || outcome == Outcome::kNotConnected || outcome == Outcome::kNotSent;
  }
  static bool IsEndpointFailure(Outcome outcome, bool was_established) {
    if (outcome == Outcome::kTimedOut || outcome == Outcome::kError) return !was_established;
    return outcome == Outcome::kConnectionLost || (NeverRan(outcome) && outcome != Outcome::kNotSent);
  }
  void EndAttempt(Request& request, Outcome outcome) {
    EndpointRecord& endpoint = *request.endpoint;
    endpoint.established.Erase(request);
    request.attempt_in_flight = false;
    const auto group = endpoint.affinity_groups.find(request.info.affinity_group);
    if (--group->second == 0) endpoint.affinity_groups.erase(group);
    if (!request.was_established) {
      std::erase_if(endpoint.unreported, [&](const auto& placed) { return placed.id == request.info.id; });
      admission_.RecordFailedSetup(outcome);
    }
    if (NeverRan(outcome) || std::exchange(request.may_have_run, true)) return;
    request.ran_at = &endpoint;
    request.ran_since = request.sent_at;
  }
  void On(const ClientDisconnected& client) {
    Request* request = requests_.Find(client.id);
    if (request == nullptr) return;
    if (request->endpoint != nullptr) request->endpoint->established.Erase(*request);
    Finish(*request);
  }
  void SendFinalAnswer(Request& request) {  // The only one; the request may be erased.
    if (request.finished) return;
    const RequestId id = request.info.id;
    const bool cancel = request.attempt_in_flight && context_.settings.cancel_allowed;
    if (cancel) Emit(CancelAttempt{id, request.attempts - 1});
    request.CanReject() ? Emit(RejectRequest{id, admission_.RetryAfter()}) : Emit(FailRequest{id});
    Finish(request);
  }

  void On(const TimerFired&) {}  // Due tasks run after every event.
  void Tick() {
    SampleEndpoints();
    endpoints_.GetSlowStart().LearnCapacity(endpoints_.LoadPerConnection(LoadBound::kUpper));
    Schedule(context_.random.Jittered(kTickInterval, 0.75, 1.25), [this] { Tick(); });
  }
  void CheckRequest(RequestId id) {  // At its deadline, or when it has waited long enough.
    Request* request = requests_.Find(id);
    if (request == nullptr || request->finished || request->IsEstablished()) return;
    if (context_.now >= request->info.deadline) return SendFinalAnswer(*request);
    if (!request->waiting || context_.now < request->decide_by || Decide(*request)) return;
    Wait(*request, context_.random.Jittered(kTickInterval, 0.25, 0.5));
  }
  void ScheduleCheck(const Request& request, Micros delay) {
    Schedule(delay, [this, id = request.info.id] { CheckRequest(id); });
  }
  void Schedule(Micros delay, std::function<void()> task) {
    tasks_.Add(context_.now + delay, std::move(task));
    StartTimerIfNeeded();
  }
  void StartTimerIfNeeded() {
    if (const auto delay = tasks_.TimerToStart(context_.now)) Emit(StartTimer{*delay});
  }
  void Emit(const Action& action) { actions_->push_back(action); }

  Context context_;
  stoatrun::StableTable<RequestId, Request> requests_;
  std::vector<Request*> waiting_;  // For probe answers, or for an endpoint that may take them.
  EndpointTable endpoints_{context_};
  Admission admission_{context_, endpoints_};
  Placement placement_{context_, endpoints_};
  stoatrun::DelayedTaskQueue tasks_;
  std::vector<Action>* actions_ = nullptr;  // Of the event in hand.
  Micros watch_due_{0};  // When a watch is to be renewed unless its answer comes first; 0: one is in force.
  double sample_budget_ = -1;  // In probes; negative: before the first tick.
  std::size_t sample_cursor_ = 0;
  bool started_ = false;
};

Balancer::Balancer(const Settings& settings) : impl_(std::make_unique<Impl>(settings)) {}
Balancer::~Balancer() = default;
Balancer::Balancer(Balancer&&) noexcept = default;
Balancer& Balancer::operator=(Balancer&&) noexcept = default;

void Balancer::Handle(Micros now, const Event& event, std::vector<Action>& actions) {
  impl_->Handle(now, event, actions);
}
std::size_t Balancer::EjectedCount(Micros now) const { return impl_->EjectedCount(now); }

}  // namespace balancer
