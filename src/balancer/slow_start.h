// Slow start: an endpoint that has just started is sent no more than its growing capacity bears, by a token
// bucket of connections of mean load. Each replica refills its own share, or the fleet hands it out.
#pragma once

#include <cmath>
#include <utility>

#include "balancer/retry_policy.h"

namespace balancer {

constexpr double kSlowStartSafety = 0.4;  // Part of the budget used: capacity is estimated, arrivals vary.
constexpr double kCapacityWeight = 0.03;  // Of each tick's estimate: a memory of some eight seconds.

struct WarmUp {                          // Of one endpoint.
  Micros started_at{0}, refilled_at{0};  // A start at 0 is long ago.
  double tokens = 0;
  bool managed_by_fleet = false;  // The tokens come with FleetHint.
};

class SlowStart {  // The rules; the state of an endpoint is its WarmUp.
 public:
  explicit SlowStart(Context& context) : context_(context) {}

  void Begin(WarmUp& warm_up, Micros started_at) {  // At random: the replicas' first sends must not coincide.
    warm_up = {started_at, context_.now, context_.random.Unit(), warm_up.managed_by_fleet};
  }
  bool IsWarmingUp(const WarmUp& warm_up) const {  // Whether the budget applies.
    const Micros end = warm_up.started_at + context_.settings.slow_start_duration;
    return warm_up.started_at.count() > 0 && context_.now < end;
  }
  bool Allows(WarmUp& warm_up, double size, const Request& request) const {  // Whether tokens suffice.
    if (!IsWarmingUp(warm_up)) return true;
    Refill(warm_up, size);
    return warm_up.tokens >= std::min(1.0, Cost(request));
  }
  void Spend(WarmUp& warm_up, const Request& request) const {  // For an attempt.
    if (IsWarmingUp(warm_up)) warm_up.tokens -= Cost(request);
  }
  void RecordLoadHint(double hint) { mean_hint_ = mean_hint_ <= 0 ? hint : 0.98 * mean_hint_ + 0.02 * hint; }
  // Slowly, as counts and utilization jump apart when many clients drop or reconnect at once.
  void LearnCapacity(double load_per_connection) {
    const double load = load_per_connection * context_.settings.replicas;
    if (load <= 0) return;
    capacity_ = capacity_ <= 0 ? 1 / load : capacity_ + kCapacityWeight * (1 / load - capacity_);
  }

 private:
  double Cost(const Request& request) const {
    const auto& hint = request.info.load_hint;
    return hint && mean_hint_ > 0 ? std::max(0.5, *hint / mean_hint_) : 1.0;
  }
  void Refill(WarmUp& warm_up, double size) const {
    if (warm_up.refilled_at == context_.now || warm_up.managed_by_fleet) return;
    const Settings& set = context_.settings;
    const double age = ToSeconds(context_.now - warm_up.started_at);
    const double progress = age / std::max(ToSeconds(set.slow_start_duration), 1e-6);
    const double ramp = set.slow_start_share + (1 - set.slow_start_share) * std::max(0.0, progress);
    // It falls over if sent a multiple of its present capacity within a window.
    const double overload = kSlowStartSafety * set.slow_start_overload_factor;
    const double budget = overload * std::min(1.0, ramp) * capacity_ * size;
    const double elapsed = ToSeconds(context_.now - std::exchange(warm_up.refilled_at, context_.now));
    warm_up.tokens += budget * elapsed / std::max(ToSeconds(set.slow_start_window), 1e-6);
    // Below one connection a window, tokens lapse: savings spent by many replicas at once would be too much.
    const double limit = 1.0 + budget / (budget < 1 ? 1 : 4);
    if (warm_up.tokens <= limit) return;
    warm_up.tokens = budget < 1 ? warm_up.tokens - std::ceil(warm_up.tokens - limit) : limit;
  }

  Context& context_;
  double capacity_ = 0, mean_hint_ = 0;  // Own share of an endpoint of size 1, in connections. 0: not known.
};

}  // namespace balancer
