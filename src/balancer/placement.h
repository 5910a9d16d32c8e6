// Placement, which the paper leaves open: by a small pool of fresh probe answers, else by estimates.
#pragma once

#include "balancer/admission.h"
#include "base/arg_min.h"

namespace balancer {

constexpr std::size_t kProbePoolCapacity = 12;
constexpr int kMaxProbeResultUses = 2;  // More would send this replica's clients to one endpoint.
constexpr Micros kMaxProbeResultAge = std::chrono::seconds(1);  // About a report's age on arrival.
constexpr std::size_t kProbeCandidates = 3,
                      kPlacementCandidates = 8;  // Endpoints compared for a probe; for a placement.
constexpr double kZoneCrossingWeight = 5.0;   // Utilization that outweighs a zone crossing cost of one point.
constexpr double kLastResortPenalty = 100.0;  // Cost of a tried or ejected endpoint: above any other.
// Connections of a group share work: an endpoint that has some, or else the group's home, counts as emptier.
constexpr double kGroupMemberBonus = 0.5, kGroupHomeBonus = 0.3;
constexpr double kGroupMaxUtilization =
    0.6;  // Above this the next endpoint in the group's order becomes its home.

class Placement {  // Finds endpoints for attempts and for probes.
 public:
  Placement(Context& context, EndpointTable& endpoints) : context_(context), endpoints_(endpoints) {}

  // Whether the request may be sent to the endpoint: every attempt passes here.
  bool CanSend(const Request& request, EndpointRecord& endpoint) const {
    if (endpoint.info.state != EndpointState::kReady || !request.IsSafeToRepeat(context_.now)) return false;
    const bool needs_key = request.may_have_run && request.HasIdempotencyKey();
    if (needs_key && !request.IsDeduplicatedAt(endpoint.info, request.first_run_endpoint->info)) return false;
    return endpoints_.GetSlowStartPolicy().HasTokens(endpoint.slow_start, endpoint.info.size, request);
  }

  void AddProbeResult(EndpointRecord& endpoint) {  // Whose sample is fresh.
    const Micros oldest = context_.now - kMaxProbeResultAge;
    std::erase_if(pool_,
                  [&](auto& result) { return result.endpoint == &endpoint || result.received_at < oldest; });
    if (pool_.size() >= kProbePoolCapacity) pool_.erase(pool_.begin());
    pool_.push_back({&endpoint, context_.now, 0});
  }
  std::ptrdiff_t CountUsableProbeResults(const Request& request) const {  // For this request.
    return std::count_if(pool_.begin(), pool_.end(), [&](auto& result) { return IsUsable(request, result); });
  }

  // An endpoint in slow start with budget left here. With many replicas that is rare: it is used first.
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
  EndpointRecord* FindProbeTarget(const Request& request) {  // The best of a few: it may well be chosen.
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
  // The endpoint that a group's connections go to first: the emptiest that has some, else the first with
  // capacity in an order that is the group's at every replica (weighted rendezvous hashing).
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

  // Null while no endpoint may take the request. Equal views must not lead to equal choices: each replica
  // guesses at random where the others added their `concurrent` load.
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
  // With more replicas than endpoints each has too little of a group to know where it is.
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
