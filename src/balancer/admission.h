// Admission control: a window for connection set-ups in flight, an overload guard for faults common to all
// endpoints, and load shedding while even the best endpoint is full.
#pragma once

#include "balancer/endpoint_table.h"
#include "base/decaying_counter.h"

namespace balancer {

// An endpoint with a higher utilization is full: it would not meet the latency objectives.
constexpr double kAdmissionLimit = 0.8;
// Reconnecting clients add no load, unless the mean utilization shows that overload broke their connections.
constexpr double kReconnectLimit = 0.95, kReconnectMaxMeanUtilization = 0.65;
constexpr Micros kPlacementTimeConstant = std::chrono::seconds(2);  // About the age of other replicas' data.
constexpr double kAssumedReconnects = 2.0;  // Added to the recent placements: clients seldom reconnect alone.
// Part of the other replicas' expected placements that the reports do not show yet.
constexpr double kConcurrentPlacementFraction = 0.5;
constexpr Micros kFleetFullDuration = std::chrono::milliseconds(200);  // Before a full fleet is probed again.
constexpr Micros kArrivalTimeConstant = std::chrono::seconds(10);
// The overload guard's limit of attempts per success, and the faults allowed besides. More attempts would
// keep a dependency that all endpoints share overloaded.
constexpr double kMaxAttemptsPerSuccess = 2.0, kFaultAllowance = 4.0;
// Longer than a set-up takes, and short enough to recover soon.
constexpr Micros kFaultTimeConstant = std::chrono::seconds(2);
// The set-up window works like TCP's congestion window. Mass reconnects wait for it instead of in the queues
// of endpoints, where they would outlast their clients' deadlines.
constexpr double kInitialSetupWindow = 8.0, kMaxSetupWindow = 64.0, kSetupWindowDecrease = 0.5;

// Decides whether a set-up may start now, and when a rejected client should retry.
class Admission {
 public:
  Admission(Context& context, const EndpointTable& endpoints) : context_(context), endpoints_(endpoints) {}

  void RecordAttempt() {
    ++setups_in_flight_;
    placements_.Increment(context_.now);
  }
  void RecordEstablished(bool is_reconnect) {
    --setups_in_flight_;
    setup_window_ = std::min(kMaxSetupWindow, setup_window_ + 1);
    successes_.Increment(context_.now);
    if (!is_reconnect) arrivals_.Increment(context_.now);
  }
  // An attempt was not sent. It is no placement, as no endpoint has seen it.
  void RecordNotSent() { placements_.Decrement(context_.now); }
  // Takes the outcome of an attempt that ended before it was established.
  void RecordFailedSetup(Outcome outcome) {
    --setups_in_flight_;
    const bool timed_out = outcome == Outcome::kTimedOut;
    if (timed_out || outcome == Outcome::kError) faults_.Increment(context_.now);
    if (!timed_out || context_.now < window_decreased_at_ + kFaultTimeConstant / 4) {
      return;  // A burst of timeouts decreases the window once.
    }
    window_decreased_at_ = context_.now;
    setup_window_ = std::max(1.0, setup_window_ * kSetupWindowDecrease);
  }
  bool IsSetupWindowOpen() const { return static_cast<double>(setups_in_flight_) < setup_window_; }
  // Established connections per second, without reconnects.
  double ArrivalRate() const { return arrivals_.ValueAt(context_.now) / ToSeconds(kArrivalTimeConstant); }

  double RecentPlacements() const { return placements_.ValueAt(context_.now); }
  // The utilization that other replicas may have added to each endpoint, assuming that each of them made as
  // many recent placements as this one.
  double ConcurrentLoad(const RequestArrived& request, double own_placements) const {
    double size = 0;
    for (const EndpointRecord* endpoint : endpoints_.Ready()) size += endpoint->info.size;
    const double load = kConcurrentPlacementFraction * endpoints_.LoadPerConnection();
    const double placements = own_placements + (request.is_reconnect ? kAssumedReconnects : 0);
    return load * placements * (context_.settings.replicas - 1) / std::max(1.0, size);
  }
  // Whether the endpoint is too utilized to take the request.
  bool IsFull(const EndpointRecord& endpoint, const RequestArrived& request) const {
    const bool adds_no_load =
        request.is_reconnect && endpoints_.MeanUtilization() <= kReconnectMaxMeanUtilization;
    const double concurrent_load = ConcurrentLoad(request, adds_no_load ? 0 : RecentPlacements());
    const double limit = adds_no_load ? kReconnectLimit : kAdmissionLimit;
    return endpoint.has_sample && endpoints_.Estimate(endpoint) + concurrent_load - limit > 0;
  }
  // Whether the best endpoint was found full within the last kFleetFullDuration.
  bool IsFleetFull() const { return context_.now < fleet_full_until_; }
  void RecordFleetFull() {
    fleet_full_until_ = context_.now + context_.random.Jittered(kFleetFullDuration, 0.5, 1.5);
  }
  bool IsOverloadGuardActive() const {
    return faults_.ValueAt(context_.now) > AllowedFaults() + kFaultAllowance;
  }

  // The time until the reason to reject ends. Faults and successes decay with the same time constant, so the
  // excess of faults does, too.
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
  stoatrun::DecayingCounter arrivals_{kArrivalTimeConstant};  // Without reconnects, which add no connections.
  double setup_window_ = kInitialSetupWindow;
  std::size_t setups_in_flight_ = 0;
  Micros window_decreased_at_{0}, fleet_full_until_{0};
};

}  // namespace balancer
