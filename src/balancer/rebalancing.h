// Rebalancing by migration: the mechanism of Xu, Huang, Yan and Drwiega, "De-Registration Based S-CSCF Load
// Balancing in IMS Core Network", for long-lived connections. When a fresh sample of an endpoint is over the
// mean utilization by a margin, each replica migrates 5% of its connections there, idle ones first.
#pragma once

#include "balancer/endpoint_table.h"

namespace balancer {

constexpr double kMigrationFraction = 0.05;  // Share of own connections per trigger, as in the paper.
// Over margin: above mean + kMigrationMargin * (1 - mean), the paper's 20% over the mean at a mean of 2/3. It
// shrinks as the fleet fills, as the paper suggests, and grows while migrations would gain nothing.
constexpr double kMigrationMargin = 0.4;
constexpr double kIdleLoadFraction = 0.2;  // Idle: a reported load below this part of the endpoint's mean.
// Near capacity 5% a sample would take minutes: all above kOverloadTarget goes at once, a part by each
// replica.
constexpr double kOverloadThreshold = 0.95, kOverloadTarget = 0.8;
constexpr Micros kMigrationInterval = std::chrono::seconds(3);  // Until samples show a migration.

struct MigrationCandidate {  // In ascending order of keys.
  double sort_key, weight;   // Weights are loads where known: a count of the heaviest would overshoot.
  Request* request;
};

// The connections to migrate from an endpoint that has just been sampled, in order.
inline std::vector<Request*> SelectMigrations(Context& context, EndpointRecord& endpoint, double mean) {
  if (endpoint.established.empty() || context.now < endpoint.next_migration_at) return {};
  if (endpoint.smoothed_utilization <= mean + kMigrationMargin * (1 - mean)) return {};
  const double utilization =
      std::min(endpoint.smoothed_utilization, endpoint.latest_sample.utilization);  // It may be falling.
  const bool overloaded = utilization > kOverloadThreshold;
  std::vector<MigrationCandidate> candidates;
  double total_weight = 0, total_load = 0;
  for (Request* request : endpoint.established.Items()) {
    const double load =
        request->reported_load >= 0 ? request->reported_load : request->info.load_hint.value_or(-1);
    // Idle first: by load, else at random. On an overloaded endpoint the heaviest: the fewest migrations.
    const double sort_key = load < 0 ? context.random.Unit() : overloaded ? -load : load;
    candidates.push_back({sort_key, overloaded && load >= 0 ? load : 1.0, request});
    total_weight += candidates.back().weight;
    total_load += std::max(load, 0.0);
  }
  std::sort(candidates.begin(), candidates.end(),
            [](auto& left, auto& right) { return left.sort_key < right.sort_key; });
  const double idle_load = kIdleLoadFraction * total_load / static_cast<double>(candidates.size());
  const double excess_fraction = overloaded ? 1 - kOverloadTarget / utilization : 0;
  double remaining_weight = total_weight * std::max(kMigrationFraction, excess_fraction);
  std::vector<Request*> selected;
  for (const MigrationCandidate& candidate : candidates) {
    // Fractions are rounded at random: 5% of two connections is one of them in a tenth of the cases.
    if (context.random.Unit() * candidate.weight >= remaining_weight) break;
    if (!overloaded && candidate.request->reported_load > idle_load) break;
    remaining_weight -= candidate.weight;
    selected.push_back(candidate.request);
  }
  if (!selected.empty()) endpoint.next_migration_at = context.now + kMigrationInterval;
  return selected;
}

}  // namespace balancer
