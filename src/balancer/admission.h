// Admission control: a window of set-ups in flight, an overload guard against faults that endpoints share,
// and load shedding while even the best endpoint is full.
#pragma once

#include "balancer/endpoint_table.h"
#include "base/decaying_counter.h"

namespace balancer {

constexpr double kAdmissionLimit = 0.8;  // Above this, the best endpoint is full: no objective would be met.
// Reconnecting clients bring no new load, unless the fleet is full and overload broke their connections.
constexpr double kReconnectLimit = 0.95, kReconnectMaxMeanUtilization = 0.65;
constexpr Micros kPlacementTimeConstant =
    std::chrono::seconds(2);                // About the age of what other replicas know.
constexpr double kAssumedReconnects = 2.0;  // Placements assumed at first: clients seldom reconnect alone.
constexpr double kConcurrentPlacementFraction =
    0.5;  // Of the others' expected placements: reports show some already.
constexpr Micros kFleetFullDuration =
    std::chrono::milliseconds(200);  // How long a full fleet is not probed again.
constexpr Micros kArrivalTimeConstant = std::chrono::seconds(10);
// More attempts a success than this, and a few, would keep something behind all endpoints overloaded.
constexpr double kMaxAttemptsPerSuccess = 2.0, kFaultAllowance = 4.0;
constexpr Micros kFaultTimeConstant =
    std::chrono::seconds(2);  // Over a set-up's time; short, to recover soon.
// As TCP's congestion window, for set-ups: mass reconnects wait here, not in queues that outlast patience.
constexpr double kInitialSetupWindow = 8.0, kMaxSetupWindow = 64.0, kSetupWindowDecrease = 0.5;

class Admission {  // Whether set-ups may start now, and when a rejected client should retry.
 public:
  Admission(Context& context, const EndpointTable& endpoints) : context_(context), endpoints_(endpoints) {}

  void RecordAttempt() {  // A set-up begins.
    ++setups_in_flight_;
    placements_.Increment(context_.now);
  }
  void RecordEstablished(bool is_reconnect) {  // A set-up succeeded.
    --setups_in_flight_;
    setup_window_ = std::min(kMaxSetupWindow, setup_window_ + 1);
    successes_.Increment(context_.now);
    if (!is_reconnect) arrivals_.Increment(context_.now);
  }
  void RecordFailedSetup(Outcome outcome) {  // It ended before it was established.
    --setups_in_flight_;
    const bool timed_out = outcome == Outcome::kTimedOut;
    if (timed_out || outcome == Outcome::kError) faults_.Increment(context_.now);
    if (!timed_out || context_.now < window_decreased_at_ + kFaultTimeConstant / 4) {
      return;  // Once for a burst.
    }
    window_decreased_at_ = context_.now;
    setup_window_ = std::max(1.0, setup_window_ * kSetupWindowDecrease);
  }
  bool IsSetupWindowOpen() const {
    return static_cast<double>(setups_in_flight_) < setup_window_;
  }  // For a set-up.
  double ArrivalRate() const { return arrivals_.ValueAt(context_.now) / ToSeconds(kArrivalTimeConstant); }

  double RecentPlacements() const { return placements_.ValueAt(context_.now); }  // Of this replica.
  // Utilization that other replicas may have added to each endpoint if they made as many placements as this
  // one.
  double ConcurrentLoad(const RequestArrived& request, double own_placements) const {
    double size = 0;
    for (const EndpointRecord* endpoint : endpoints_.Ready()) size += endpoint->info.size;
    const double load = kConcurrentPlacementFraction * endpoints_.LoadPerConnection();
    const double placements = own_placements + (request.is_reconnect ? kAssumedReconnects : 0);
    return load * placements * (context_.settings.replicas - 1) / std::max(1.0, size);
  }
  bool IsFull(const EndpointRecord& endpoint, const RequestArrived& request) const {  // Too full for it.
    const bool adds_no_load =
        request.is_reconnect && endpoints_.MeanUtilization() <= kReconnectMaxMeanUtilization;
    const double concurrent_load = ConcurrentLoad(request, adds_no_load ? 0 : RecentPlacements());
    const double limit = adds_no_load ? kReconnectLimit : kAdmissionLimit;
    return endpoint.has_sample && endpoints_.Estimate(endpoint) + concurrent_load - limit > 0;
  }
  bool IsFleetFull() const {
    return context_.now < fleet_full_until_;
  }  // By a recent look at the best endpoint.
  void RecordFleetFull() {
    fleet_full_until_ = context_.now + context_.random.Jittered(kFleetFullDuration, 0.5, 1.5);
  }
  bool IsOverloadGuardActive() const {
    return faults_.ValueAt(context_.now) > AllowedFaults() + kFaultAllowance;
  }

  // When the reason to reject will be over: faults and successes decay alike, so does their excess.
  Micros RetryAfter() const {
    const double excess = (faults_.ValueAt(context_.now) - AllowedFaults()) / kFaultAllowance;
    const double guard = IsOverloadGuardActive() ? ToSeconds(kFaultTimeConstant) * std::log(excess) : 0;
    const Micros wait = std::max({Micros(0), fleet_full_until_ - context_.now, FromSeconds(guard)});
    return std::min(wait, context_.settings.max_retry_after);
  }

 private:
  double AllowedFaults() const { return (kMaxAttemptsPerSuccess - 1) * successes_.ValueAt(context_.now); }

  Context& context_;
  const EndpointTable& endpoints_;
  stoatrun::DecayingCounter placements_{kPlacementTimeConstant}, successes_{kFaultTimeConstant},
      faults_{kFaultTimeConstant};
  stoatrun::DecayingCounter arrivals_{kArrivalTimeConstant};  // Without reconnects, which are no growth.
  double setup_window_ = kInitialSetupWindow;
  std::size_t setups_in_flight_ = 0;
  Micros window_decreased_at_{0}, fleet_full_until_{0};
};

}  // namespace balancer
