// Slow start: an endpoint that has just started is sent no more than its growing capacity bears, by a token
// bucket of connections of mean load. Each replica refills its own share, or the fleet hands it out.
#pragma once

#include <cmath>
#include <utility>

#include "balancer/retry_policy.h"

namespace balancer {

constexpr double kSlowStartSafetyFactor =
    0.4;  // Part of the budget used: capacity is estimated, arrivals vary.
constexpr double kCapacitySmoothingFactor = 0.03;  // Of each tick's estimate: a memory of some eight seconds.

struct SlowStartState {                  // Of one endpoint.
  Micros started_at{0}, refilled_at{0};  // A start at 0 is long ago.
  double tokens = 0;
  bool tokens_set_by_fleet = false;  // The tokens come with FleetHint.
};

class SlowStartPolicy {  // The rules; the state of an endpoint is its SlowStartState.
 public:
  explicit SlowStartPolicy(Context& context) : context_(context) {}

  void Begin(SlowStartState& slow_start,
             Micros started_at) {  // At random: the replicas' first sends must not coincide.
    slow_start = {started_at, context_.now, context_.random.Unit(), slow_start.tokens_set_by_fleet};
  }
  bool IsActive(const SlowStartState& slow_start) const {  // Whether the budget applies.
    const Micros end = slow_start.started_at + context_.settings.slow_start_duration;
    return slow_start.started_at.count() > 0 && context_.now < end;
  }
  bool HasTokens(SlowStartState& slow_start, double size,
                 const Request& request) const {  // Whether tokens suffice.
    if (!IsActive(slow_start)) return true;
    RefillTokens(slow_start, size);
    return slow_start.tokens >= std::min(1.0, TokenCost(request));
  }
  void ConsumeTokens(SlowStartState& slow_start, const Request& request) const {  // For an attempt.
    if (IsActive(slow_start)) slow_start.tokens -= TokenCost(request);
  }
  void UpdateMeanLoadHint(double hint) {
    mean_load_hint_ = mean_load_hint_ <= 0 ? hint : 0.98 * mean_load_hint_ + 0.02 * hint;
  }
  // Slowly, as counts and utilization jump apart when many clients drop or reconnect at once.
  void UpdateCapacity(double load_per_connection) {
    const double load = load_per_connection * context_.settings.replicas;
    if (load <= 0) return;
    capacity_ = capacity_ <= 0 ? 1 / load : capacity_ + kCapacitySmoothingFactor * (1 / load - capacity_);
  }

 private:
  double TokenCost(const Request& request) const {
    const auto& hint = request.info.load_hint;
    return hint && mean_load_hint_ > 0 ? std::max(0.5, *hint / mean_load_hint_) : 1.0;
  }
  void RefillTokens(SlowStartState& slow_start, double size) const {
    if (slow_start.refilled_at == context_.now || slow_start.tokens_set_by_fleet) return;
    const Settings& settings = context_.settings;
    const double age = ToSeconds(context_.now - slow_start.started_at);
    const double progress = age / std::max(ToSeconds(settings.slow_start_duration), 1e-6);
    const double capacity_fraction =
        settings.slow_start_share + (1 - settings.slow_start_share) * std::max(0.0, progress);
    // It falls over if sent a multiple of its present capacity within a window.
    const double budget_factor = kSlowStartSafetyFactor * settings.slow_start_overload_factor;
    const double budget = budget_factor * std::min(1.0, capacity_fraction) * capacity_ * size;
    const double elapsed = ToSeconds(context_.now - std::exchange(slow_start.refilled_at, context_.now));
    slow_start.tokens += budget * elapsed / std::max(ToSeconds(settings.slow_start_window), 1e-6);
    // Below one connection a window, tokens lapse: savings spent by many replicas at once would be too much.
    const double limit = 1.0 + budget / (budget < 1 ? 1 : 4);
    if (slow_start.tokens <= limit) return;
    slow_start.tokens = budget < 1 ? slow_start.tokens - std::ceil(slow_start.tokens - limit) : limit;
  }

  Context& context_;
  double capacity_ = 0,
         mean_load_hint_ = 0;  // Own share of an endpoint of size 1, in connections. 0: not known.
};

}  // namespace balancer
