// The endpoints of discovery and what is known of each. Records keep their address, also when it is removed.
#pragma once

#include "balancer/slow_start.h"
#include "base/stable_table.h"

namespace balancer {

constexpr double kLatestWeight = 0.7;  // The paper's alpha: weight of the latest sample against the previous.
constexpr double kMeanCap = 1.0;  // Counted in the mean at most: a few overloaded ones would hide the rest.
// Reports may lack placements of the last kReportAge, but none made kReportDelay before the previous sample.
constexpr Micros kReportAge = std::chrono::milliseconds(1500), kReportDelay = std::chrono::milliseconds(300);
constexpr double kCoreLoad = 1e6;          // Reported loads are microseconds of a core's work a second.
constexpr double kLoadMemory = 200;        // Connections in the mean load; loads differ by hundreds of times.
constexpr double kMinReportedCount = 4;    // Connections needed to derive the load of one from reports.
constexpr double kCountUtilization = 0.5;  // Assumed mean utilization where only counts are known.

// Outlier detection: an endpoint that fails is ejected for a time that doubles with each failure in a row.
constexpr Micros kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr int kMaxEjectionDoublings = 4;

enum class FailureSource { kProbe, kAttempt };  // What failed at the endpoint.

class EndpointHealth {  // The failures of one endpoint.
 public:
  bool IsEjected(Micros now) const { return now < ejected_until_; }  // Used only for want of others.
  void RecordFailure(Micros now, stoatrun::SplitMix64& random, FailureSource source) {
    failed_attempt_ |= source == FailureSource::kAttempt;
    if (IsEjected(now)) return;  // One fault seen by several requests counts once.
    const Micros mean = kBaseEjectionTime * (1 << std::min(consecutive_failures_++, kMaxEjectionDoublings));
    ejected_until_ = now + random.Jittered(mean, 0.75, 1.25);
  }
  // A draining endpoint answers probes while it rejects attempts: a probe does not clear a failed attempt.
  void RecordProbeSuccess(Micros now) {
    if (!failed_attempt_ && !IsEjected(now)) consecutive_failures_ = 0;
  }
  void RecordEstablished() {  // An attempt succeeded: all is forgiven.
    consecutive_failures_ = 0;
    failed_attempt_ = false;
  }
  void EjectOnHint(Micros now) { ejected_until_ = std::max(ejected_until_, now + kBaseEjectionTime); }

 private:
  int consecutive_failures_ = 0;
  bool failed_attempt_ = false;
  Micros ejected_until_{0};
};

struct UtilizationSample {             // What one report says.
  double value = 0, connections = -1;  // Load over capacity; connections if reported with it, else negative.
  bool operator==(const UtilizationSample&) const = default;
};

struct UnreportedPlacement {  // An own attempt that the endpoint's last report may not count yet.
  Micros at{0};
  RequestId id{};
  double weight = 1.0;  // In connections of mean load.
};

struct EndpointRecord {  // All that is known of one endpoint.
  Endpoint info;
  std::uint64_t listed_in = 0;                            // Number of the last update that named it.
  std::size_t ready_position = stoatrun::kNotInDenseSet;  // Among those that take requests.
  UtilizationSample latest;
  double smoothed = 0, unreported_by_others = 0;  // Utilization; other replicas' placements, by FleetHint.
  std::vector<UnreportedPlacement> unreported;
  Micros sampled_at{0}, migrations_settle_at{0};
  int attempts_since_probe = 0;
  bool sampled = false, probe_in_flight = false, probe_budgeted = false;  // Sampled since ready or restarted.
  EndpointHealth health;
  WarmUp warm_up;
  stoatrun::DenseSet<Request, &Request::established_position> established;  // Own connections.
  std::unordered_map<std::uint64_t, int> affinity_groups;  // Own attempts and connections by group.
};

enum class LoadBound { kExpected, kUpper };  // Which estimate of a connection's load.

class EndpointTable {  // Samples, smooths and estimates utilization, too.
 public:
  explicit EndpointTable(Context& context) : context_(context) {}

  EndpointRecord* Find(EndpointId id) { return records_.Find(id); }  // Null if it was never listed.
  const std::vector<EndpointRecord*>& All() const { return all_; }   // Removed ones, too.
  const std::vector<EndpointRecord*>& Ready() const { return ready_.Items(); }  // Those that take requests.
  SlowStart& GetSlowStart() { return slow_start_; }  // The rules for endpoints of this table.

  void Apply(const EndpointUpdate& update) {  // Of any kind but kFailed.
    ++updates_;
    for (const Endpoint& info : update.entries) {
      auto [endpoint, added] = records_.FindOrAdd(info.id);
      if (added) all_.push_back(&endpoint);
      if (info.started_at.count() > 0 && info.started_at != endpoint.info.started_at) {
        ResetUtilization(endpoint);  // What was known of it ended with its process.
        endpoint.health = {};
        slow_start_.Begin(endpoint.warm_up, info.started_at);
      }
      endpoint.info = info;
      endpoint.listed_in = updates_;
      SetState(endpoint, info.state);
    }
    if (update.kind == EndpointUpdate::Kind::kChanges) return;
    for (EndpointRecord* endpoint : all_) {  // A full list removes those that it does not name.
      if (endpoint->listed_in != updates_) SetState(*endpoint, EndpointState::kRemoved);
    }
  }

  bool HasMoreReplicas() const { return context_.settings.replicas > ready_.size(); }  // Than endpoints.
  // Then own connections say nothing of utilization.
  bool LacksLoadData() const {
    return context_.settings.report_mode == ReportMode::kOff && HasMoreReplicas();
  }
  std::size_t EstablishedCount() const {  // Own connections at all endpoints.
    std::size_t count = 0;
    for (const EndpointRecord* endpoint : all_) count += endpoint->established.size();
    return count;
  }

  // Load over capacity if reported, else CPU utilization, else the reported or own count over the mean.
  std::optional<UtilizationSample> ToSample(const EndpointRecord& endpoint, const LoadReport& report) {
    const double connections = report.outstanding.value_or(-1);
    // An endpoint with own connections has load: zero means that it has made no report yet.
    if (report.load_ratio && *report.load_ratio <= 0 && !endpoint.established.empty()) return std::nullopt;
    const auto& load = report.load_ratio ? report.load_ratio : report.utilization;
    if (load) return UtilizationSample{std::max(0.0, *load), connections};
    if (!report.outstanding && context_.settings.report_mode != ReportMode::kOff) return std::nullopt;
    const double count = report.outstanding.value_or(static_cast<double>(endpoint.established.size()));
    const double by_size = count / std::max(endpoint.info.size, 1e-9);
    mean_count_ = mean_count_ < 0 ? by_size : 0.95 * mean_count_ + 0.05 * by_size;
    return UtilizationSample{kCountUtilization * by_size / std::max(mean_count_, 1e-9), connections};
  }
  // Smooths utilization by the paper's u(n). False if the endpoint is not ready: the sample is ignored.
  bool Record(EndpointRecord& endpoint, const UtilizationSample& sample) {
    if (endpoint.info.state != EndpointState::kReady) return false;
    const double previous = endpoint.sampled ? endpoint.latest.value : sample.value;
    // Equal samples are the same report. Without counts and loads placements weigh too roughly to be kept.
    const bool is_new = !endpoint.sampled || sample != endpoint.latest;
    Micros reported = is_new ? endpoint.sampled_at - kReportDelay : Micros(0);
    if (sample.connections < 0 && loads_ <= 0) reported = context_.now;
    ErasePlacements(endpoint, std::max(reported, context_.now - kReportAge));
    ResetUtilization(endpoint);
    endpoint.latest = sample;
    endpoint.smoothed = kLatestWeight * sample.value + (1 - kLatestWeight) * previous;
    endpoint.sampled = true;
    endpoint.sampled_at = context_.now;
    utilization_sum_ += std::min(endpoint.smoothed, kMeanCap);
    ++sampled_;
    return true;
  }
  void ResetUtilization(EndpointRecord& endpoint) {  // It counts as not sampled until the next sample.
    if (!std::exchange(endpoint.sampled, false)) return;
    utilization_sum_ -= std::min(std::exchange(endpoint.smoothed, 0), kMeanCap);  // Restarted ones are empty.
    --sampled_;
  }
  void RecordPlacement(EndpointRecord& endpoint, RequestId id) {  // Counts until a report includes it.
    ErasePlacements(endpoint, context_.now - kReportAge - Micros(1));
    endpoint.unreported.push_back({context_.now, id});
  }
  void RecordLoad(Request& request, double load) {  // Reported of a connection.
    if (request.load < 0) mean_load_ += (load - mean_load_) / std::min(++loads_, kLoadMemory);
    request.load = load;
    if (request.endpoint == nullptr || mean_load_ <= 0) return;
    for (UnreportedPlacement& placed : request.endpoint->unreported) {
      if (placed.id == request.info.id) placed.weight = load / mean_load_;
    }
  }

  double MeanUtilization() const { return sampled_ > 0 ? utilization_sum_ / sampled_ : 0.0; }
  // The utilization expected now. An endpoint that has just started is empty until it reports.
  double Estimate(const EndpointRecord& endpoint) const {
    const double unsampled = slow_start_.IsWarmingUp(endpoint.warm_up) ? 0.0 : MeanUtilization();
    double weight = endpoint.unreported_by_others;
    for (const UnreportedPlacement& placed : endpoint.unreported) weight += placed.weight;
    const double load = weight == 0 ? 0 : LoadPerConnection() / std::max(endpoint.info.size, 1e-9);
    return (endpoint.sampled ? endpoint.smoothed : unsampled) + weight * load;
  }
  // Utilization of size 1 by a mean connection. Reported loads lack the cost of sharing a group's work.
  double LoadPerConnection(LoadBound bound = LoadBound::kExpected) const {
    double load = 0, sampled_size = 0, size = 0, counted_load = 0, count = 0, own = 0;
    for (const EndpointRecord* endpoint : ready_.Items()) {
      const std::size_t unreported = endpoint->sampled ? endpoint->unreported.size() : 0;
      const auto established = static_cast<double>(endpoint->established.size());
      own += std::max(0.0, established - static_cast<double>(unreported));
      size += endpoint->info.size;
      if (!endpoint->sampled) continue;
      sampled_size += endpoint->info.size;
      load += endpoint->smoothed * endpoint->info.size;
      counted_load += endpoint->latest.connections < 0 ? 0 : endpoint->smoothed * endpoint->info.size;
      count += std::max(endpoint->latest.connections, 0.0);
    }
    if (count >= kMinReportedCount) return counted_load / count;
    // Own connections stand for those of other replicas, sampled endpoints for the rest.
    if (own <= 0) own = static_cast<double>(EstablishedCount());
    const double mean = LacksLoadData() ? kCountUtilization : load / std::max(sampled_size, 1e-9);
    const double by_own = own > 0 ? mean * size / (own * context_.settings.replicas) : 0;
    const double reported = mean_load_ / kCoreLoad;
    if (bound == LoadBound::kUpper || reported <= 0 || by_own <= 0) return std::max(reported, by_own);
    return std::min(reported, by_own);
  }

 private:
  void SetState(EndpointRecord& endpoint, EndpointState state) {
    endpoint.info.state = state;
    if (state == EndpointState::kReady) ready_.Insert(endpoint);
    if (state != EndpointState::kReady && ready_.Erase(endpoint)) ResetUtilization(endpoint);
  }
  static void ErasePlacements(EndpointRecord& endpoint, Micros until) {
    std::erase_if(endpoint.unreported, [&](const auto& placed) { return placed.at <= until; });
  }

  Context& context_;
  SlowStart slow_start_{context_};
  stoatrun::StableTable<EndpointId, EndpointRecord> records_;
  std::vector<EndpointRecord*> all_;  // In the order in which they were first listed.
  stoatrun::DenseSet<EndpointRecord, &EndpointRecord::ready_position> ready_;
  std::uint64_t updates_ = 0;
  double utilization_sum_ = 0;  // Of capped smoothed utilization, of so many endpoints:
  int sampled_ = 0;
  double mean_count_ = -1;            // Connections by endpoint size; negative: none seen.
  double mean_load_ = 0, loads_ = 0;  // Of the first loads reported of connections; and their number.
};

}  // namespace balancer
