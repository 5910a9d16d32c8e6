// Placement of requests on endpoints, which the paper named in rebalancing.h leaves open: by a small pool of
// recent probe results, else by estimated utilization.
#pragma once

#include "balancer/admission.h"
#include "base/arg_min.h"

namespace balancer {

constexpr std::size_t kProbePoolCapacity = 12;
constexpr int kMaxProbeResultUses = 2;  // More would send this replica's clients to a single endpoint.
constexpr Micros kMaxProbeResultAge = std::chrono::seconds(1);  // About the age of a report on arrival.
constexpr std::size_t kProbeCandidates = 3;                     // Endpoints compared to choose one to probe.
constexpr std::size_t kPlacementCandidates = 8;  // Endpoints compared for a placement without probe results.
constexpr double kZoneCrossingWeight = 5.0;      // Utilization that equals a zone crossing cost of one point.
// Added to the cost of a tried or ejected endpoint: more than the cost of any other.
constexpr double kLastResortPenalty = 100.0;
// Subtracted from the cost of an endpoint that serves connections of the group, or else of the group's home,
// because the connections of a group share work.
constexpr double kGroupMemberBonus = 0.5, kGroupHomeBonus = 0.3;
// Above this utilization an endpoint is no home, and the next one in the group's order is used.
constexpr double kGroupMaxUtilization = 0.6;

// Selects endpoints for attempts and for probes.
class Placement {
 public:
  Placement(Context& context, EndpointTable& endpoints) : context_(context), endpoints_(endpoints) {}

  // Whether the request may be sent to the endpoint. Checked for every attempt.
  bool CanSend(const Request& request, EndpointRecord& endpoint) const {
    if (endpoint.info.state != EndpointState::kReady || !request.IsSafeToRepeat(context_.now)) return false;
    const bool needs_key = request.may_have_run && request.HasIdempotencyKey();
    if (needs_key && !request.IsDeduplicatedAt(endpoint.info, request.first_run_endpoint->info)) return false;
    return endpoints_.GetSlowStartPolicy().HasTokens(endpoint.slow_start, endpoint.info.size, request);
  }

  // Adds an endpoint that has just been sampled to the pool, in place of its previous result.
  void AddProbeResult(EndpointRecord& endpoint) {
    const Micros oldest = context_.now - kMaxProbeResultAge;
    std::erase_if(pool_,
                  [&](auto& result) { return result.endpoint == &endpoint || result.received_at < oldest; });
    if (pool_.size() >= kProbePoolCapacity) pool_.erase(pool_.begin());
    pool_.push_back({&endpoint, context_.now, 0});
  }
  // Adds the endpoints in the pool to `used`.
  void CollectEndpoints(std::unordered_set<const EndpointRecord*>& used) const {
    for (const ProbeResult& result : pool_) used.insert(result.endpoint);
  }
  std::ptrdiff_t CountUsableProbeResults(const Request& request) const {
    return std::count_if(pool_.begin(), pool_.end(), [&](auto& result) { return IsUsable(request, result); });
  }

  // An endpoint in slow start for which this replica has tokens. Used before any other, as with many replicas
  // one rarely has tokens.
  EndpointRecord* FindInSlowStart(const Request& request) {
    const std::vector<EndpointRecord*>& ready = endpoints_.Ready();
    const std::size_t start = context_.random.Below(ready.size());
    for (std::size_t k = 0; k < ready.size(); ++k) {
      EndpointRecord* endpoint = ready[(start + k) % ready.size()];
      if (!endpoints_.GetSlowStartPolicy().IsActive(endpoint->slow_start)) continue;
      if (endpoint->smoothed_utilization < kAdmissionLimit && IsProbeCandidate(request, *endpoint)) {
        return endpoint;
      }
    }
    return nullptr;
  }
  // The cheapest of a few random endpoints, as it is likely to be selected for the request.
  EndpointRecord* FindProbeTarget(const Request& request) {
    if (EndpointRecord* in_slow_start = FindInSlowStart(request)) return in_slow_start;
    EndpointRecord* home = request.pending_probes.empty() ? request.group_home : nullptr;
    if (home != nullptr && IsProbeCandidate(request, *home)) return home;
    stoatrun::ArgMin<EndpointRecord> best;
    for (std::size_t k = 0; k < kProbeCandidates; ++k) {
      EndpointRecord& endpoint = *endpoints_.Ready()[context_.random.Below(endpoints_.Ready().size())];
      if (IsProbeCandidate(request, endpoint)) best.Offer(&endpoint, Cost(request, endpoint));
    }
    return best.Best();
  }
  // The group's home, the preferred endpoint for its connections: the least utilized one that serves some of
  // them, else the first with capacity in an order of the group that is the same at every replica (weighted
  // rendezvous hashing).
  EndpointRecord* FindGroupHome(const Request& request) const {
    if (!UsesAffinity(request)) return nullptr;
    const std::uint64_t group = request.info.affinity_group;
    stoatrun::ArgMin<EndpointRecord> member, home;
    for (EndpointRecord* endpoint : endpoints_.Ready()) {
      if (endpoint->health.IsEjected(context_.now)) continue;
      const double estimate = endpoints_.Estimate(*endpoint);
      if (estimate > kGroupMaxUtilization) continue;
      if (endpoint->affinity_groups.contains(group)) member.Offer(endpoint, estimate);
      const double rank = stoatrun::SplitMix64(group ^ endpoint->info.name_hash).Unit();
      home.Offer(endpoint, -std::log(1 - rank) / std::max(endpoint->info.size, 1e-9));
    }
    return member.Best() != nullptr ? member.Best() : home.Best();
  }

  // Null while no endpoint may take the request. Adds to each cost a random load with a mean of
  // `concurrent_load`, as other replicas may have placed since the reports, so that replicas with equal data
  // select different endpoints.
  EndpointRecord* SelectEndpoint(const Request& request, double concurrent_load) {
    stoatrun::ArgMin<ProbeResult> best;
    for (ProbeResult& result : pool_) {
      if (!IsUsable(request, result)) continue;
      const double cost = Cost(request, *result.endpoint);
      best.Offer(&result, cost - concurrent_load * std::log(1 - context_.random.Unit()));
    }
    if (best.Best() == nullptr) return SelectByEstimate(request);
    ++best.Best()->uses;
    return best.Best()->endpoint;
  }

 private:
  struct ProbeResult {
    EndpointRecord* endpoint;
    Micros received_at;
    int uses;
  };

  bool IsUntriedAndNotEjected(const Request& request, const EndpointRecord& endpoint) const {
    return !endpoint.health.IsEjected(context_.now) && !request.WasTried(endpoint);
  }
  bool IsProbeCandidate(const Request& request, EndpointRecord& endpoint) const {
    return !endpoint.probe_in_flight && IsUntriedAndNotEjected(request, endpoint) &&
           CanSend(request, endpoint);
  }
  bool IsUsable(const Request& request, const ProbeResult& result) const {
    if (result.uses >= kMaxProbeResultUses || context_.now > result.received_at + kMaxProbeResultAge) {
      return false;
    }
    return IsUntriedAndNotEjected(request, *result.endpoint) && CanSend(request, *result.endpoint);
  }
  // With more replicas than endpoints, each serves too few of a group's connections to know their endpoints.
  bool UsesAffinity(const Request& request) const {
    return request.info.affinity_group != 0 &&
           (!endpoints_.HasMoreReplicasThanEndpoints() || endpoints_.LacksLoadData());
  }
  double Cost(const Request& request, const EndpointRecord& endpoint) const {
    const bool crosses_zones = endpoint.info.zone != context_.settings.zone;
    const double crossing = crosses_zones ? kZoneCrossingWeight * context_.settings.zone_crossing_cost : 0.0;
    const double cost = endpoints_.Estimate(endpoint) + crossing;
    if (!UsesAffinity(request)) return cost;
    if (endpoint.affinity_groups.contains(request.info.affinity_group)) return cost - kGroupMemberBonus;
    return &endpoint == request.group_home ? cost - kGroupHomeBonus : cost;
  }
  EndpointRecord* SelectByEstimate(const Request& request) {
    if (endpoints_.LacksLoadData()) {
      EndpointRecord* home = request.group_home;
      if (home != nullptr && !request.WasTried(*home) && CanSend(request, *home)) return home;
      if (EndpointRecord* in_slow_start = FindInSlowStart(request)) return in_slow_start;
    }
    const std::vector<EndpointRecord*>& ready = endpoints_.Ready();
    const std::size_t start = context_.random.Below(ready.size());
    stoatrun::ArgMin<EndpointRecord> best;
    for (std::size_t k = 0; k < ready.size() && (k < kPlacementCandidates || best.Best() == nullptr); ++k) {
      EndpointRecord& endpoint = *ready[(start + k) % ready.size()];
      const double penalty = IsUntriedAndNotEjected(request, endpoint) ? 0.0 : kLastResortPenalty;
      if (CanSend(request, endpoint)) best.Offer(&endpoint, Cost(request, endpoint) + penalty);
    }
    return best.LowestCost() < kLastResortPenalty || context_.now >= request.placement_deadline ? best.Best()
                                                                                                : nullptr;
  }

  Context& context_;
  EndpointTable& endpoints_;
  std::vector<ProbeResult> pool_;  // Oldest first.
};

}  // namespace balancer
