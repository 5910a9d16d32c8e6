// Rebalancing by migration, after Xu, Huang, Yan and Drwiega, "De-Registration Based S-CSCF Load Balancing in
// IMS Core Network", applied to long-lived connections. When a new sample puts an endpoint's utilization
// above the mean by a margin, each replica migrates 5% of its connections there, idle ones first.
#pragma once

#include "balancer/endpoint_table.h"

namespace balancer {

constexpr double kMigrationFraction = 0.05;  // Of this replica's connections per trigger, as in the paper.
// The trigger is mean + kMigrationMargin * (1 - mean): the paper's 20% over the mean at a mean of 2/3. The
// margin shrinks as the fleet fills up, as the paper suggests, and is wide at low utilization, where
// migrations gain nothing.
constexpr double kMigrationMargin = 0.4;
// A connection is idle if its reported load is below this fraction of the endpoint's mean.
constexpr double kIdleLoadFraction = 0.2;
// Near capacity, 5% per sample would take minutes. Above kOverloadThreshold all load in excess of
// kOverloadTarget is migrated at once, each replica contributing its part.
constexpr double kOverloadThreshold = 0.95, kOverloadTarget = 0.8;
constexpr Micros kMigrationInterval = std::chrono::seconds(3);  // Time until samples show a migration.

struct MigrationCandidate {
  double sort_key;  // Candidates are taken in ascending order.
  // On an overloaded endpoint the load where known, else 1. Counting connections would migrate too much, as
  // the heaviest go first.
  double weight;
  Request* request;
};

// Returns the connections to migrate, in order, from an endpoint that has just been sampled.
inline std::vector<Request*> SelectMigrations(Context& context, EndpointRecord& endpoint, double mean) {
  if (endpoint.established.empty() || context.now < endpoint.next_migration_at) return {};
  if (endpoint.smoothed_utilization <= mean + kMigrationMargin * (1 - mean)) return {};
  // The lower of the two, as utilization may be falling.
  const double utilization = std::min(endpoint.smoothed_utilization, endpoint.latest_sample.utilization);
  const bool overloaded = utilization > kOverloadThreshold;
  std::vector<MigrationCandidate> candidates;
  double total_weight = 0, total_load = 0;
  for (Request* request : endpoint.established.Items()) {
    const double load =
        request->reported_load >= 0 ? request->reported_load : request->info.load_hint.value_or(-1);
    // In ascending order of load where it is known, else in random order. On an overloaded endpoint the
    // heaviest go first, which takes the fewest migrations.
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
    // Fractions are rounded at random: 5% of two connections migrates one of them with a probability of 0.1.
    if (context.random.Unit() * candidate.weight >= remaining_weight) break;
    if (!overloaded && candidate.request->reported_load > idle_load) break;
    remaining_weight -= candidate.weight;
    selected.push_back(candidate.request);
  }
  if (!selected.empty()) endpoint.next_migration_at = context.now + kMigrationInterval;
  return selected;
}

}  // namespace balancer
