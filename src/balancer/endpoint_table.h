// The endpoints of discovery and what is known of each. Records keep their address, also when it is removed.
#pragma once

#include "balancer/slow_start.h"
#include "base/stable_table.h"

namespace balancer {

constexpr double kSmoothingFactor =
    0.7;  // The paper's alpha: weight of the latest sample against the previous.
constexpr double kMaxUtilizationInMean =
    1.0;  // Counted in the mean at most: a few overloaded ones would hide the rest.
// Reports may lack placements of the last kMaxReportStaleness, but none made kReportLatency before the
// previous sample.
constexpr Micros kMaxReportStaleness = std::chrono::milliseconds(1500),
                 kReportLatency = std::chrono::milliseconds(300);
constexpr double kLoadPerCore = 1e6;     // Reported loads are microseconds of a core's work a second.
constexpr double kMeanLoadWindow = 200;  // Connections in the mean load; loads differ by hundreds of times.
constexpr double kMinReportedConnections = 4;    // Connections needed to derive the load of one from reports.
constexpr double kAssumedMeanUtilization = 0.5;  // Assumed mean utilization where only counts are known.

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
  void EjectByHint(Micros now) { ejected_until_ = std::max(ejected_until_, now + kBaseEjectionTime); }

 private:
  int consecutive_failures_ = 0;
  bool failed_attempt_ = false;
  Micros ejected_until_{0};
};

struct UtilizationSample {  // What one report says.
  double utilization = 0,
         connections = -1;  // Load over capacity; connections if reported with it, else negative.
  bool operator==(const UtilizationSample&) const = default;
};

struct UnreportedPlacement {  // An own attempt that the endpoint's last report may not count yet.
  Micros placed_at{0};
  RequestId id{};
  double weight = 1.0;  // In connections of mean load.
};

struct EndpointRecord {  // All that is known of one endpoint.
  Endpoint info;
  std::uint64_t last_update = 0;                       // Number of the last update that named it.
  std::size_t ready_index = stoatrun::kNotInDenseSet;  // Among those that take requests.
  UtilizationSample latest_sample;
  double smoothed_utilization = 0,
         unreported_by_peers = 0;  // Utilization; other replicas' placements, by FleetHint.
  std::vector<UnreportedPlacement> unreported_placements;
  Micros sampled_at{0}, next_migration_at{0};
  int attempts_since_probe = 0;
  bool has_sample = false, probe_in_flight = false,
       probe_from_sample_budget = false;  // Sampled since ready or restarted.
  EndpointHealth health;
  SlowStartState slow_start;
  stoatrun::DenseSet<Request, &Request::established_index> established;  // Own connections.
  std::unordered_map<std::uint64_t, int> affinity_groups;  // Own attempts and connections by group.
};

enum class LoadEstimate { kExpected, kUpperBound };  // Which estimate of a connection's load.

class EndpointTable {  // Samples, smooths and estimates utilization, too.
 public:
  explicit EndpointTable(Context& context) : context_(context) {}

  EndpointRecord* Find(EndpointId id) { return records_.Find(id); }  // Null if it was never listed.
  const std::vector<EndpointRecord*>& All() const { return all_; }   // Removed ones, too.
  const std::vector<EndpointRecord*>& Ready() const { return ready_.Items(); }  // Those that take requests.
  SlowStartPolicy& GetSlowStartPolicy() {
    return slow_start_policy_;
  }  // The rules for endpoints of this table.

  void Apply(const EndpointUpdate& update) {  // Of any kind but kFailed.
    ++updates_;
    for (const Endpoint& info : update.entries) {
      auto [endpoint, added] = records_.FindOrAdd(info.id);
      if (added) all_.push_back(&endpoint);
      if (info.started_at.count() > 0 && info.started_at != endpoint.info.started_at) {
        ResetUtilization(endpoint);  // What was known of it ended with its process.
        endpoint.health = {};
        slow_start_policy_.Begin(endpoint.slow_start, info.started_at);
      }
      endpoint.info = info;
      endpoint.last_update = updates_;
      SetState(endpoint, info.state);
    }
    if (update.kind == EndpointUpdate::Kind::kChanges) return;
    for (EndpointRecord* endpoint : all_) {  // A full list removes those that it does not name.
      if (endpoint->last_update != updates_) SetState(*endpoint, EndpointState::kRemoved);
    }
  }

  bool HasMoreReplicasThanEndpoints() const {
    return context_.settings.replicas > ready_.size();
  }  // Than endpoints.
  // Then own connections say nothing of utilization.
  bool LacksLoadData() const {
    return context_.settings.report_mode == ReportMode::kOff && HasMoreReplicasThanEndpoints();
  }
  std::size_t EstablishedConnections() const {  // Own connections at all endpoints.
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
    const double per_core = count / std::max(endpoint.info.size, 1e-9);
    mean_connections_per_core_ =
        mean_connections_per_core_ < 0 ? per_core : 0.95 * mean_connections_per_core_ + 0.05 * per_core;
    return UtilizationSample{kAssumedMeanUtilization * per_core / std::max(mean_connections_per_core_, 1e-9),
                             connections};
  }
  // Smooths utilization by the paper's u(n). False if the endpoint is not ready: the sample is ignored.
  bool Record(EndpointRecord& endpoint, const UtilizationSample& sample) {
    if (endpoint.info.state != EndpointState::kReady) return false;
    const double previous = endpoint.has_sample ? endpoint.latest_sample.utilization : sample.utilization;
    // Equal samples are the same report. Without counts and loads placements weigh too roughly to be kept.
    const bool is_new = !endpoint.has_sample || sample != endpoint.latest_sample;
    Micros included_until = is_new ? endpoint.sampled_at - kReportLatency : Micros(0);
    if (sample.connections < 0 && reported_load_count_ <= 0) included_until = context_.now;
    ErasePlacementsUntil(endpoint, std::max(included_until, context_.now - kMaxReportStaleness));
    ResetUtilization(endpoint);
    endpoint.latest_sample = sample;
    endpoint.smoothed_utilization = kSmoothingFactor * sample.utilization + (1 - kSmoothingFactor) * previous;
    endpoint.has_sample = true;
    endpoint.sampled_at = context_.now;
    utilization_sum_ += std::min(endpoint.smoothed_utilization, kMaxUtilizationInMean);
    ++sampled_count_;
    return true;
  }
  void ResetUtilization(EndpointRecord& endpoint) {  // It counts as not sampled until the next sample.
    if (!std::exchange(endpoint.has_sample, false)) return;
    utilization_sum_ -= std::min(std::exchange(endpoint.smoothed_utilization, 0),
                                 kMaxUtilizationInMean);  // Restarted ones are empty.
    --sampled_count_;
  }
  void RecordPlacement(EndpointRecord& endpoint, RequestId id) {  // Counts until a report includes it.
    ErasePlacementsUntil(endpoint, context_.now - kMaxReportStaleness - Micros(1));
    endpoint.unreported_placements.push_back({context_.now, id});
  }
  void RecordLoad(Request& request, double load) {  // Reported of a connection.
    if (request.reported_load < 0) {
      mean_load_ += (load - mean_load_) / std::min(++reported_load_count_, kMeanLoadWindow);
    }
    request.reported_load = load;
    if (request.endpoint == nullptr || mean_load_ <= 0) return;
    for (UnreportedPlacement& placed : request.endpoint->unreported_placements) {
      if (placed.id == request.info.id) placed.weight = load / mean_load_;
    }
  }

  double MeanUtilization() const { return sampled_count_ > 0 ? utilization_sum_ / sampled_count_ : 0.0; }
  // The utilization expected now. An endpoint that has just started is empty until it reports.
  double Estimate(const EndpointRecord& endpoint) const {
    const double without_sample = slow_start_policy_.IsActive(endpoint.slow_start) ? 0.0 : MeanUtilization();
    double weight = endpoint.unreported_by_peers;
    for (const UnreportedPlacement& placed : endpoint.unreported_placements) weight += placed.weight;
    const double load = weight == 0 ? 0 : LoadPerConnection() / std::max(endpoint.info.size, 1e-9);
    return (endpoint.has_sample ? endpoint.smoothed_utilization : without_sample) + weight * load;
  }
  // Utilization of size 1 by a mean connection. Reported loads lack the cost of sharing a group's work.
  double LoadPerConnection(LoadEstimate bound = LoadEstimate::kExpected) const {
    double load = 0, sampled_size = 0, size = 0, load_with_count = 0, reported_connections = 0;
    double own_connections = 0;
    for (const EndpointRecord* endpoint : ready_.Items()) {
      const std::size_t unreported = endpoint->has_sample ? endpoint->unreported_placements.size() : 0;
      const auto established = static_cast<double>(endpoint->established.size());
      own_connections += std::max(0.0, established - static_cast<double>(unreported));
      size += endpoint->info.size;
      if (!endpoint->has_sample) continue;
      sampled_size += endpoint->info.size;
      load += endpoint->smoothed_utilization * endpoint->info.size;
      load_with_count +=
          endpoint->latest_sample.connections < 0 ? 0 : endpoint->smoothed_utilization * endpoint->info.size;
      reported_connections += std::max(endpoint->latest_sample.connections, 0.0);
    }
    if (reported_connections >= kMinReportedConnections) return load_with_count / reported_connections;
    // Own connections stand for those of other replicas, sampled endpoints for the rest.
    if (own_connections <= 0) own_connections = static_cast<double>(EstablishedConnections());
    const double mean = LacksLoadData() ? kAssumedMeanUtilization : load / std::max(sampled_size, 1e-9);
    const double from_own_connections =
        own_connections > 0 ? mean * size / (own_connections * context_.settings.replicas) : 0;
    const double from_reported_loads = mean_load_ / kLoadPerCore;
    if (bound == LoadEstimate::kUpperBound || from_reported_loads <= 0 || from_own_connections <= 0) {
      return std::max(from_reported_loads, from_own_connections);
    }
    return std::min(from_reported_loads, from_own_connections);
  }

 private:
  void SetState(EndpointRecord& endpoint, EndpointState state) {
    endpoint.info.state = state;
    if (state == EndpointState::kReady) ready_.Insert(endpoint);
    if (state != EndpointState::kReady && ready_.Erase(endpoint)) ResetUtilization(endpoint);
  }
  static void ErasePlacementsUntil(EndpointRecord& endpoint, Micros until) {
    std::erase_if(endpoint.unreported_placements,
                  [&](const auto& placed) { return placed.placed_at <= until; });
  }

  Context& context_;
  SlowStartPolicy slow_start_policy_{context_};
  stoatrun::StableTable<EndpointId, EndpointRecord> records_;
  std::vector<EndpointRecord*> all_;  // In the order in which they were first listed.
  stoatrun::DenseSet<EndpointRecord, &EndpointRecord::ready_index> ready_;
  std::uint64_t updates_ = 0;
  double utilization_sum_ = 0;  // Of capped smoothed utilization, of so many endpoints:
  int sampled_count_ = 0;
  double mean_connections_per_core_ = -1;  // Connections by endpoint size; negative: none seen.
  double mean_load_ = 0,
         reported_load_count_ = 0;  // Of the first loads reported of connections; and their number.
};

}  // namespace balancer
