// Slow start: limits the connections sent to an endpoint that has just started to what its growing capacity
// can take, by a token bucket whose tokens stand for connections of mean load. Each replica refills its own
// share of the bucket, unless the fleet distributes the tokens by FleetHint.
#pragma once

#include <cmath>
#include <utility>

#include "balancer/retry_policy.h"

namespace balancer {

// Part of the budget that is used, as capacity is only estimated and arrivals vary.
constexpr double kSlowStartSafetyFactor = 0.4;
// Weight of each tick's capacity estimate; gives a time constant of about eight seconds.
constexpr double kCapacitySmoothingFactor = 0.03;

// The slow-start state of one endpoint.
struct SlowStartState {
  Micros started_at{0};  // 0: long ago.
  Micros refilled_at{0};
  double tokens = 0;
  bool tokens_set_by_fleet = false;  // FleetHint sets the tokens; they are not refilled here.
};

// The token bucket rules; the state of each endpoint is its SlowStartState.
class SlowStartPolicy {
 public:
  explicit SlowStartPolicy(Context& context) : context_(context) {}

  // Starts with a random fraction of a token, so that the replicas do not all send their first connection at
  // once.
  void Begin(SlowStartState& slow_start, Micros started_at) {
    slow_start = {started_at, context_.now, context_.random.Unit(), slow_start.tokens_set_by_fleet};
  }
  bool IsActive(const SlowStartState& slow_start) const {
    const Micros end = slow_start.started_at + context_.settings.slow_start_duration;
    return slow_start.started_at.count() > 0 && context_.now < end;
  }
  // Refills the bucket of an endpoint of capacity `size`. True if the request may be sent: slow start is
  // over, or there are enough tokens.
  bool HasTokens(SlowStartState& slow_start, double size, const Request& request) const {
    if (!IsActive(slow_start)) return true;
    RefillTokens(slow_start, size);
    return slow_start.tokens >= std::min(1.0, TokenCost(request));
  }
  // Charges an attempt. The balance may become negative.
  void ConsumeTokens(SlowStartState& slow_start, const Request& request) const {
    if (IsActive(slow_start)) slow_start.tokens -= TokenCost(request);
  }
  void UpdateMeanLoadHint(double hint) {
    mean_load_hint_ = mean_load_hint_ <= 0 ? hint : 0.98 * mean_load_hint_ + 0.02 * hint;
  }
  // Smooths the capacity estimate, because counts and utilization diverge for a while when many clients
  // disconnect or reconnect at once.
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
    // The endpoint fails if it is sent slow_start_overload_factor times its present capacity within a window.
    const double budget_factor = kSlowStartSafetyFactor * settings.slow_start_overload_factor;
    const double budget = budget_factor * std::min(1.0, capacity_fraction) * capacity_ * size;
    const double elapsed = ToSeconds(context_.now - std::exchange(slow_start.refilled_at, context_.now));
    slow_start.tokens += budget * elapsed / std::max(ToSeconds(settings.slow_start_window), 1e-6);
    // With a budget below one connection per window, surplus tokens expire: many replicas that spent saved
    // tokens at the same time would overload the endpoint.
    const double limit = 1.0 + budget / (budget < 1 ? 1 : 4);
    if (slow_start.tokens <= limit) return;
    slow_start.tokens = budget < 1 ? slow_start.tokens - std::ceil(slow_start.tokens - limit) : limit;
  }

  Context& context_;
  double capacity_ = 0;        // This replica's share of an endpoint of size 1, in connections; 0: not known.
  double mean_load_hint_ = 0;  // Moving average; 0: no hint yet.
};

}  // namespace balancer
