// The endpoints listed by discovery with their health, connections and utilization. A record keeps its
// address, and is kept for a while when its endpoint is removed from the list.
#pragma once

#include <unordered_set>

#include "balancer/slow_start.h"
#include "base/stable_table.h"
#include "base/sweep_threshold.h"

namespace balancer {

// Weight of the latest sample against the previous one: alpha in the paper named in rebalancing.h.
constexpr double kSmoothingFactor = 0.7;
// Cap of an endpoint's utilization in the mean: uncapped, a few overloaded endpoints would hide the rest.
constexpr double kMaxUtilizationInMean = 1.0;
// A report may omit placements of the last kMaxReportStaleness. A new report includes those made up to
// kReportLatency before the previous sample.
constexpr Micros kMaxReportStaleness = std::chrono::milliseconds(1500),
                 kReportLatency = std::chrono::milliseconds(300);
constexpr double kLoadPerCore = 1e6;  // Connections report load in microseconds of CPU time per second.
// Connections that the mean load averages over; loads differ by a factor of hundreds.
constexpr double kMeanLoadWindow = 200;
constexpr double kMinReportedConnections = 4;    // Fewer do not suffice to derive the load per connection.
constexpr double kAssumedMeanUtilization = 0.5;  // Where only connection counts are known.

// Outlier detection: a failing endpoint is ejected for a time that doubles with each consecutive failure.
constexpr Micros kBaseEjectionTime = std::chrono::milliseconds(500);
constexpr int kMaxEjectionDoublings = 4;

enum class FailureSource { kProbe, kAttempt };

// The failures of one endpoint and its ejection.
class EndpointHealth {
 public:
  // Whether to avoid the endpoint while others may take the request.
  bool IsEjected(Micros now) const { return now < ejected_until_; }
  void RecordFailure(Micros now, stoatrun::SplitMix64& random, FailureSource source) {
    failed_attempt_ |= source == FailureSource::kAttempt;
    if (IsEjected(now)) return;  // One fault that several requests meet counts once.
    const Micros mean = kBaseEjectionTime * (1 << std::min(consecutive_failures_++, kMaxEjectionDoublings));
    ejected_until_ = now + random.Jittered(mean, 0.75, 1.25);
  }
  // Does not clear a failed attempt: a draining endpoint answers probes while it rejects attempts.
  void RecordProbeSuccess(Micros now) {
    if (!failed_attempt_ && !IsEjected(now)) consecutive_failures_ = 0;
  }
  void RecordEstablished() {  // A successful attempt clears all failures.
    consecutive_failures_ = 0;
    failed_attempt_ = false;
  }
  void EjectByHint(Micros now) { ejected_until_ = std::max(ejected_until_, now + kBaseEjectionTime); }

 private:
  int consecutive_failures_ = 0;
  bool failed_attempt_ = false;
  Micros ejected_until_{0};
};

// The utilization derived from one load report.
struct UtilizationSample {
  double utilization = 0;   // Load over capacity.
  double connections = -1;  // The connection count in the same report; negative: not reported.
  bool operator==(const UtilizationSample&) const = default;
};

// An attempt sent by this replica that the endpoint's latest report may not include yet.
struct UnreportedPlacement {
  Micros placed_at{0};
  RequestId id{};
  double weight = 1.0;  // Its load over the mean load of a connection.
};

// Everything this replica knows about one endpoint.
struct EndpointRecord {
  Endpoint info;
  std::uint64_t last_update = 0;                       // Number of the last update that listed it.
  std::size_t ready_index = stoatrun::kNotInDenseSet;  // In EndpointTable::Ready.
  UtilizationSample latest_sample;
  double smoothed_utilization = 0;
  double unreported_by_peers = 0;  // FleetHint::unreported_in_flight.
  std::vector<UnreportedPlacement> unreported_placements;
  Micros sampled_at{0}, next_migration_at{0};
  int attempts_since_probe = 0;
  bool has_sample = false;  // Sampled since it became ready or restarted.
  bool probe_in_flight = false, probe_from_sample_budget = false;
  EndpointHealth health;
  SlowStartState slow_start;
  stoatrun::DenseSet<Request, &Request::established_index> established;
  // Attempts and connections of this replica by affinity group.
  std::unordered_map<std::uint64_t, int> affinity_groups;
};

enum class LoadEstimate { kExpected, kUpperBound };

// The endpoints by id. Also samples, smooths and estimates their utilization.
class EndpointTable {
 public:
  explicit EndpointTable(Context& context) : context_(context) {}

  // Null if the endpoint was never listed, or was removed and its record erased.
  EndpointRecord* Find(EndpointId id) { return records_.Find(id); }
  // Includes removed endpoints whose records are not erased.
  const std::vector<EndpointRecord*>& All() const { return all_; }
  const std::vector<EndpointRecord*>& Ready() const { return ready_.Items(); }
  SlowStartPolicy& GetSlowStartPolicy() { return slow_start_policy_; }

  // Applies an update of any kind but kFailed.
  void Apply(const EndpointUpdate& update) {
    ++updates_;
    for (const Endpoint& info : update.entries) {
      auto [endpoint, added] = records_.FindOrAdd(info.id);
      if (added) all_.push_back(&endpoint);
      if (info.started_at.count() > 0 && info.started_at != endpoint.info.started_at) {
        ResetUtilization(endpoint);  // The samples belong to the previous process.
        endpoint.health = {};
        slow_start_policy_.Begin(endpoint.slow_start, info.started_at);
      }
      endpoint.info = info;
      endpoint.last_update = updates_;
      SetState(endpoint, info.state);
    }
    if (update.kind == EndpointUpdate::Kind::kChanges) return;
    for (EndpointRecord* endpoint : all_) {  // A full list removes the endpoints that it does not name.
      if (endpoint->last_update != updates_) SetState(*endpoint, EndpointState::kRemoved);
    }
  }

  // Whether so many endpoints have been added that EraseRemoved is due.
  bool IsSweepDue() const { return sweep_threshold_.IsReached(all_.size()); }
  // Erases the records of removed endpoints, except those in `used`.
  void EraseRemoved(const std::unordered_set<const EndpointRecord*>& used) {
    std::erase_if(all_, [&](const EndpointRecord* endpoint) {
      const bool is_removed = endpoint->info.state == EndpointState::kRemoved && !endpoint->probe_in_flight;
      const bool is_unused = is_removed && !used.contains(endpoint);
      if (is_unused) records_.Erase(endpoint->info.id);
      return is_unused;
    });
    sweep_threshold_.Update(all_.size());
  }

  bool HasMoreReplicasThanEndpoints() const { return context_.settings.replicas > ready_.size(); }
  // True if there are no load reports and too few connections of this replica to infer utilization from.
  bool LacksLoadData() const {
    return context_.settings.report_mode == ReportMode::kOff && HasMoreReplicasThanEndpoints();
  }
  // This replica's connections at all endpoints.
  std::size_t EstablishedConnections() const {
    std::size_t count = 0;
    for (const EndpointRecord* endpoint : all_) count += endpoint->established.size();
    return count;
  }

  // Uses the load ratio if reported, else CPU utilization, else the reported connection count, or without
  // load reports this replica's own count, relative to the mean count. None if the report holds no usable
  // value.
  std::optional<UtilizationSample> ToSample(const EndpointRecord& endpoint, const LoadReport& report) {
    const double connections = report.outstanding.value_or(-1);
    // An endpoint that serves connections has load: zero means that it has not measured any yet.
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
  // Updates the smoothed utilization, u(n) in the paper. Ignores the sample and returns false if the endpoint
  // is not ready.
  bool Record(EndpointRecord& endpoint, const UtilizationSample& sample) {
    if (endpoint.info.state != EndpointState::kReady) return false;
    const double previous = endpoint.has_sample ? endpoint.latest_sample.utilization : sample.utilization;
    // Equal samples are taken for the same report. Without connection counts and reported loads, the weight
    // of a placement is too inaccurate to keep it beyond a sample.
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
  // Discards the samples. Utilization becomes 0, as a restarted endpoint is empty.
  void ResetUtilization(EndpointRecord& endpoint) {
    if (!std::exchange(endpoint.has_sample, false)) return;
    utilization_sum_ -= std::min(std::exchange(endpoint.smoothed_utilization, 0), kMaxUtilizationInMean);
    --sampled_count_;
  }
  // Adds an attempt to the estimate until a report includes it.
  void RecordPlacement(EndpointRecord& endpoint, RequestId id) {
    ErasePlacementsUntil(endpoint, context_.now - kMaxReportStaleness - Micros(1));
    endpoint.unreported_placements.push_back({context_.now, id});
  }
  // Takes the reported load of a connection.
  void RecordLoad(Request& request, double load) {
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
  // The expected present utilization. Without a sample an endpoint in slow start counts as empty, any other
  // as having the mean utilization.
  double Estimate(const EndpointRecord& endpoint) const {
    const double without_sample = slow_start_policy_.IsActive(endpoint.slow_start) ? 0.0 : MeanUtilization();
    double weight = endpoint.unreported_by_peers;
    for (const UnreportedPlacement& placed : endpoint.unreported_placements) weight += placed.weight;
    const double load = weight == 0 ? 0 : LoadPerConnection() / std::max(endpoint.info.size, 1e-9);
    return (endpoint.has_sample ? endpoint.smoothed_utilization : without_sample) + weight * load;
  }
  // The utilization that a connection of mean load adds to an endpoint of size 1. Loads reported for
  // connections exclude the cost that an affinity group has at its endpoint.
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
    // Assumes that other replicas have as many connections and that the other endpoints are as utilized as
    // the sampled ones.
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
  stoatrun::SweepThreshold sweep_threshold_;
  std::uint64_t updates_ = 0;
  double utilization_sum_ = 0;             // Of the sampled endpoints, each capped at kMaxUtilizationInMean.
  int sampled_count_ = 0;                  // Endpoints in utilization_sum_.
  double mean_connections_per_core_ = -1;  // Moving average; negative: none seen.
  double mean_load_ = 0;                   // Moving average of each connection's first reported load.
  double reported_load_count_ = 0;         // Connections in mean_load_.
};

}  // namespace balancer
