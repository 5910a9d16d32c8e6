// Dispatches events to the components of this folder and appends the resulting actions.
#include "balancer/balancer.h"

#include "balancer/placement.h"
#include "balancer/rebalancing.h"
#include "base/delayed_task_queue.h"

namespace balancer {

constexpr int kAttemptsPerProbe = 4;  // An endpoint is probed after each so many attempts.
constexpr int kMaxProbesPerTick = 8;
// Recent probe results to compare for a placement.
constexpr std::ptrdiff_t kProbeResultsPerPlacement = 4, kProbeResultsIfSamplesScarce = 3;
// Part of the set-up latency objective that a request waits for probe results.
constexpr double kProbeWaitFraction = 1.0 / 8;
// Least utilization assumed of an endpoint that misses the message latency objective.
constexpr double kUtilizationIfLate = 1.2;
constexpr Micros kWatchBackoff = std::chrono::seconds(1), kWatchTimeout = std::chrono::seconds(6);
constexpr Micros kTickInterval = std::chrono::milliseconds(250);  // Of sampling and of placement retries.
// Time between samples of an endpoint, of one near full if samples are scarce, and of one with empty reports.
constexpr Micros kSampleInterval = std::chrono::seconds(3), kNearFullSampleInterval = std::chrono::seconds(1);
constexpr Micros kUnsampledInterval = std::chrono::milliseconds(500);
// Charge for sampling an endpoint near full if samples are scarce; below 1, so that it is sampled more often.
constexpr double kNearFullSampleCost = 0.4;
constexpr double kSamplesPerArrival = 1.5, kMinSampleRate = 0.2;  // The rate is per second.

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
      return endpoint->info.state != EndpointState::kRemoved && endpoint->health.IsEjected(now);
    }));
  }

 private:
  void On(const EndpointUpdate& update) {
    if (update.kind == EndpointUpdate::Kind::kFailed) {  // The list stays in force until a watch succeeds.
      return ScheduleWatch(context_.random.Jittered(kWatchBackoff, 0.5, 1.5));
    }
    if (update.kind != EndpointUpdate::Kind::kCached) watch_due_ = Micros(0);
    endpoints_.Apply(update);
    if (endpoints_.IsSweepDue()) EraseRemovedEndpoints();
    if (std::exchange(started_, true)) return;
    if (context_.settings.list_mode == ListMode::kSubscribed) Watch();
    Schedule(context_.random.Jittered(kTickInterval, 0.0, 1.0), [this] { Tick(); });
  }
  void EraseRemovedEndpoints() {
    std::unordered_set<const EndpointRecord*> used;
    placement_.CollectEndpoints(used);
    requests_.ForEach([&](const Request& request) {
      used.insert({request.endpoint, request.group_home, request.first_run_endpoint});
      used.insert(request.tried_endpoints.begin(), request.tried_endpoints.end());
      used.insert(request.pending_probes.begin(), request.pending_probes.end());
    });
    endpoints_.EraseRemoved(used);
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
    endpoint->unreported_by_peers = hint.unreported_in_flight;
    endpoint->slow_start.tokens_set_by_fleet = hint.slow_start_tokens >= 0;
    if (endpoint->slow_start.tokens_set_by_fleet) endpoint->slow_start.tokens = hint.slow_start_tokens;
    if (hint.eject) endpoint->health.EjectByHint(context_.now);
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
    const bool from_budget = std::exchange(endpoint->probe_from_sample_budget, false);
    if (probe.ok) endpoint->health.RecordProbeSuccess(context_.now);
    if (!probe.ok) endpoint->health.RecordFailure(context_.now, context_.random, FailureSource::kProbe);
    const bool sampled = probe.ok && ApplyReport(*endpoint, probe.report.value_or(LoadReport{}));
    if (sampled) placement_.AddProbeResult(*endpoint);
    if (probe.ok && !sampled && from_budget) {
      sample_budget_ += 1;  // Refund: after a start, empty reports would use up the budget.
      if (!endpoint->has_sample) endpoint->sampled_at = context_.now;
    }
    for (std::size_t k = 0; k < waiting_.size();) {  // Place those that wait for no other result.
      Request& request = *waiting_[k];
      std::erase(request.pending_probes, endpoint);
      // TryPlace removes the request from waiting_ unless it fails.
      if (!request.pending_probes.empty() || !TryPlace(request)) ++k;
    }
  }
  // A missed latency objective shows overload without a probe.
  void On(const MessageLatencyReported& report) {
    EndpointRecord* endpoint = endpoints_.Find(report.endpoint);
    const bool late = std::ranges::any_of(context_.settings.classes, [&](const ClassSettings& settings) {
      return settings.message_latency_objective.count() > 0 &&
             report.latency >= settings.message_latency_objective;
    });
    if (endpoint == nullptr || !late) return;
    RecordSample(*endpoint, {std::max(endpoint->latest_sample.utilization, kUtilizationIfLate)});
  }
  void On(const LoadReported& report) {
    if (Request* request = requests_.Find(report.id)) endpoints_.RecordLoad(*request, report.load);
  }
  bool ApplyReport(EndpointRecord& endpoint, const LoadReport& report) {
    const auto sample = endpoints_.ToSample(endpoint, report);
    if (sample) RecordSample(endpoint, *sample);
    return sample.has_value();
  }
  void RecordSample(EndpointRecord& endpoint, const UtilizationSample& sample) {
    if (!endpoints_.Record(endpoint, sample)) return;
    for (Request* request : SelectMigrations(context_, endpoint, endpoints_.MeanUtilization())) {
      Emit(MigrateConnection{request->info.id});
      endpoint.established.Erase(*request);
      // The client returns as a new request. AttemptEnded still follows for this one.
      request->finished = true;
    }
  }

  double SampleBudgetRate() const { return kSamplesPerArrival * admission_.ArrivalRate(); }
  // True for one of many replicas with few arrivals: these bring few samples, and its probe results are old
  // by the time of the next placement.
  bool AreSamplesScarce() const {
    return endpoints_.HasMoreReplicasThanEndpoints() && SampleBudgetRate() < kMinSampleRate;
  }
  // Samples the endpoints that serve connections of this replica, in turn. The budget follows the arrivals,
  // so that the cost does not grow with the number of endpoints. It starts at one probe for each endpoint
  // that may serve some, scaled down so that together the replicas probe an endpoint about twice.
  void SampleEndpoints() {
    if (!CanProbe() && HasReports()) return;
    const std::size_t targets = std::min(endpoints_.EstablishedConnections(), endpoints_.All().size());
    const double initial_budget =
        std::min(1.0, 2.0 / context_.settings.replicas) * static_cast<double>(targets);
    if (sample_budget_ < 0) sample_budget_ = initial_budget;
    const double earned = std::max(kMinSampleRate, SampleBudgetRate()) * ToSeconds(kTickInterval);
    sample_budget_ = std::min(sample_budget_ + earned, std::max(2.0, sample_budget_));
    const double near_full_cost = AreSamplesScarce() ? kNearFullSampleCost : 1.0;
    int probes_left = kMaxProbesPerTick;
    for (std::size_t k = 0;
         k < endpoints_.Ready().size() && sample_budget_ >= near_full_cost && probes_left > 0; ++k) {
      sample_cursor_ = (sample_cursor_ + 1) % endpoints_.Ready().size();
      EndpointRecord& endpoint = *endpoints_.Ready()[sample_cursor_];
      const double cost =
          endpoint.has_sample && endpoint.smoothed_utilization > kAdmissionLimit ? near_full_cost : 1.0;
      if (sample_budget_ < cost || !IsSampleDue(endpoint, cost < 1)) continue;
      if (endpoints_.LacksLoadData()) {
        endpoints_.ResetUtilization(endpoint);  // Set by missed message latencies; no report would reset it.
      } else if (!HasReports()) {
        ApplyReport(endpoint, LoadReport{});
      } else if (Probe(endpoint)) {
        endpoint.probe_from_sample_budget = true;
        sample_budget_ -= cost;
        --probes_left;
      }
    }
  }
  bool IsSampleDue(const EndpointRecord& endpoint, bool near_full) const {
    if (endpoint.established.empty() && !endpoints_.LacksLoadData()) return false;
    const Micros regular = endpoint.has_sample ? kSampleInterval : kUnsampledInterval;
    const Micros due = endpoint.sampled_at + (near_full ? kNearFullSampleInterval : regular);
    return endpoint.sampled_at.count() == 0 || context_.now >= due;
  }

  Request* AddRequest(const RequestArrived& info) {
    const auto [request, added] = requests_.FindOrAdd(info.id);
    if (!added) return nullptr;
    request.info = info;
    const auto class_index = static_cast<std::size_t>(info.class_id);
    if (class_index < context_.settings.classes.size()) {
      request.class_settings = context_.settings.classes[class_index];
    }
    if (info.load_hint) endpoints_.GetSlowStartPolicy().UpdateMeanLoadHint(*info.load_hint);
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
    StartPlacement(*request);
  }
  void On(const ConnectionResumed& resumed) {
    EndpointRecord* endpoint = endpoints_.Find(resumed.endpoint);
    Request* request = endpoint == nullptr ? nullptr : AddRequest(resumed.request);
    if (request == nullptr) return;
    request->may_have_run = request->was_established = true;
    request->first_run_endpoint = endpoint;
    StartAttempt(*request, *endpoint);
    endpoint->established.Insert(*request);
  }
  static void StartAttempt(Request& request, EndpointRecord& endpoint) {
    ++request.attempts;
    request.attempt_in_flight = true;
    request.endpoint = &endpoint;
    ++endpoint.affinity_groups[request.info.affinity_group];
  }

  // Places the request now or once the probes sent for it are answered, waiting no longer than
  // kProbeWaitFraction.
  void StartPlacement(Request& request) {
    const bool can_reject = request.CanReject();
    const bool may_be_full = can_reject && admission_.IsFleetFull();
    const bool is_full = may_be_full && placement_.FindInSlowStart(request) == nullptr;
    if (is_full || (can_reject && admission_.IsOverloadGuardActive())) return SendFinalAnswer(request);
    request.group_home = placement_.FindGroupHome(request);
    ProbeForPlacement(request);
    if (request.pending_probes.empty() && TryPlace(request)) return;
    Wait(request,
         FromSeconds(ToSeconds(request.class_settings.setup_latency_objective) * kProbeWaitFraction));
  }
  void ProbeForPlacement(Request& request) {
    if (!CanProbe() || endpoints_.Ready().empty()) return;
    const std::ptrdiff_t wanted =
        AreSamplesScarce() ? kProbeResultsIfSamplesScarce : kProbeResultsPerPlacement;
    const std::ptrdiff_t usable = placement_.CountUsableProbeResults(request);
    for (auto k = std::min(usable, wanted - 1); k < wanted; ++k) {  // At least one, to keep the pool recent.
      EndpointRecord* target = placement_.FindProbeTarget(request);
      if (target != nullptr && Probe(*target)) request.pending_probes.push_back(target);
    }
  }
  void Wait(Request& request, Micros delay) {
    if (const auto end = request.RepeatDeadline()) delay = std::min(delay, *end - context_.now);
    request.placement_deadline = context_.now + delay;
    if (!std::exchange(request.waiting, true)) waiting_.push_back(&request);
    ScheduleCheck(request, delay);
  }
  void StopWaiting(Request& request) {
    if (std::exchange(request.waiting, false)) std::erase(waiting_, &request);
    request.pending_probes.clear();
  }
  // Sends or rejects the request. False if the set-up window is closed or no endpoint may take it now.
  bool TryPlace(Request& request) {
    if (!admission_.IsSetupWindowOpen()) return false;
    const double concurrent_load = admission_.ConcurrentLoad(request.info, admission_.RecentPlacements());
    EndpointRecord* endpoint = placement_.SelectEndpoint(request, concurrent_load);
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
    request.tried_endpoints.push_back(&endpoint);
    endpoints_.GetSlowStartPolicy().ConsumeTokens(endpoint.slow_start, request);
    endpoints_.RecordPlacement(endpoint, request.info.id);
    admission_.RecordAttempt();
    Emit(SendAttempt{request.info.id, endpoint.info.id, timeout, request.RepeatDeadline()});
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
    const bool sampled = endpoint != nullptr && ended.report && ApplyReport(*endpoint, *ended.report);
    const bool is_fresh = sampled && context_.settings.report_mode == ReportMode::kWithResponses;
    if (is_fresh) placement_.AddProbeResult(*endpoint);
    Request* request = requests_.Find(ended.id);
    if (request == nullptr || !request->attempt_in_flight) return;
    EndAttempt(*request, ended.outcome);
    if (endpoint != nullptr && IsEndpointFailure(ended.outcome, request->was_established)) {
      endpoint->health.RecordFailure(context_.now, context_.random, FailureSource::kAttempt);
    }
    if (ended.request_finished || request->finished) return Finish(*request);
    const bool retry = ended.outcome != Outcome::kNotSent && request->CanAttempt(context_);
    return retry && request->IsSafeToRepeat(context_.now) ? StartPlacement(*request)
                                                          : SendFinalAnswer(*request);
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
      std::erase_if(endpoint.unreported_placements,
                    [&](const auto& placed) { return placed.id == request.info.id; });
      admission_.RecordFailedSetup(outcome);
    }
    if (outcome == Outcome::kNotSent) admission_.RecordNotSent();
    if (NeverRan(outcome) || std::exchange(request.may_have_run, true)) return;
    request.first_run_endpoint = &endpoint;
    request.first_run_sent_at = request.sent_at;
  }
  void On(const ClientDisconnected& client) {
    Request* request = requests_.Find(client.id);
    if (request == nullptr) return;
    if (request->endpoint != nullptr) request->endpoint->established.Erase(*request);
    Finish(*request);
  }
  // Does nothing if the request has been finished. May erase it.
  void SendFinalAnswer(Request& request) {
    if (request.finished) return;
    const RequestId id = request.info.id;
    const bool cancel = request.attempt_in_flight && context_.settings.cancel_allowed;
    if (cancel) Emit(CancelAttempt{id, request.attempts - 1});
    request.CanReject() ? Emit(RejectRequest{id, admission_.RetryAfter()}) : Emit(FailRequest{id});
    Finish(request);
  }

  void On(const TimerFired&) {}  // Handle runs the due tasks after every event.
  void Tick() {
    SampleEndpoints();
    endpoints_.GetSlowStartPolicy().UpdateCapacity(endpoints_.LoadPerConnection(LoadEstimate::kUpperBound));
    Schedule(context_.random.Jittered(kTickInterval, 0.75, 1.25), [this] { Tick(); });
  }
  // Runs at the deadline of a request and at its placement deadline.
  void CheckRequest(RequestId id) {
    Request* request = requests_.Find(id);
    if (request == nullptr || request->finished || request->IsEstablished()) return;
    const bool can_be_sent = !request->waiting || request->IsSafeToRepeat(context_.now);
    if (context_.now >= request->info.deadline || !can_be_sent) return SendFinalAnswer(*request);
    if (!request->waiting || context_.now < request->placement_deadline || TryPlace(*request)) return;
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
  std::vector<Request*> waiting_;  // Those with Request::waiting set.
  EndpointTable endpoints_{context_};
  Admission admission_{context_, endpoints_};
  Placement placement_{context_, endpoints_};
  stoatrun::DelayedTaskQueue tasks_;
  std::vector<Action>* actions_ = nullptr;  // Receives the actions of the event being handled.
  Micros watch_due_{0};        // When to watch again unless an update arrives first; 0: a watch is in force.
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
