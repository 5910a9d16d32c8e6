// Retry delays for calls to a service that many proxies share and that handles calls sequentially.
//
// Exponential backoff with jitter, scaled by the number of callers so that their combined call rate is about
// that of two callers. If a hundred proxies fail at the same time, they must not retry at the same time: such
// a service keeps processing calls whose callers have timed out, and would then answer no call in time.
//
// Not thread-safe. The delays are determined by the seed.
#ifndef STOATRUN_BASE_BACKOFF_H_
#define STOATRUN_BASE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace stoatrun {

// Computes the delays of one caller.
class Backoff {
 public:
  // `callers`: the number of callers of the service, including this one. `max_delay` bounds every delay,
  // regardless of the number of callers.
  Backoff(unsigned callers, Micros max_delay, std::uint64_t seed)
      : first_step_(std::min(max_delay, kFirstStep * std::max(2U, callers) / 2)),
        last_step_(std::min(max_delay, kLastStep * std::max(2U, callers) / 2)),
        initial_spread_(std::min(max_delay, kSpreadPerCaller * (std::max(1U, callers) - 1))),
        step_(first_step_),
        random_(seed) {}

  // The delay before the first call, for callers that all start at the same time: uniform in [0, 40 ms times
  // the number of other callers], or in [0, `limit`] if that is less.
  Micros InitialDelay(Micros limit = Micros::max()) {
    return Draw(Micros(0), std::min(initial_spread_, limit));
  }
  // The delay after a failure: uniform between half of the current step and the full step, or in [0, `limit`]
  // if that is less than the step. Then doubles the step.
  Micros NextDelay(Micros limit = Micros::max()) {
    const Micros delay = step_ <= limit ? Draw(step_ / 2, step_) : Draw(Micros(0), limit);
    step_ = std::min(step_ * 2, last_step_);
    return delay;
  }
  // Returns to the first step, after a success or a change of the service's address.
  void Reset() { step_ = first_step_; }

 private:
  // The step sizes for two callers.
  static constexpr Micros kFirstStep = std::chrono::milliseconds(50);
  static constexpr Micros kLastStep = std::chrono::milliseconds(800);
  static constexpr Micros kSpreadPerCaller = std::chrono::milliseconds(40);

  Micros Draw(Micros min, Micros max) {
    return Micros(std::uniform_int_distribution<Micros::rep>(min.count(), max.count())(random_));
  }

  Micros first_step_, last_step_, initial_spread_, step_;
  std::mt19937_64 random_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_BACKOFF_H_
