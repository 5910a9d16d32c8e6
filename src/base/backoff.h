// Retry delays for calls to a service that many proxies share and that serves its callers one after another.
//
// Exponential backoff with jitter, scaled by the number of callers: together they call about as often as two
// callers would. A hundred proxies that fail at once must not retry at once, because such a service goes on
// with calls whose callers have given up and then serves none of them in time.
//
// Not thread-safe. The delays depend on the seed alone.
#ifndef STOATRUN_BASE_BACKOFF_H_
#define STOATRUN_BASE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

#include "base/clock.h"

namespace stoatrun {

// The delays of one caller.
class Backoff {
 public:
  // `callers`: the number of callers of the service, this one included. `max_delay` bounds every delay,
  // however many callers there are.
  Backoff(unsigned callers, Micros max_delay, std::uint64_t seed)
      : first_step_(std::min(max_delay, kFirstStep * std::max(2U, callers) / 2)),
        last_step_(std::min(max_delay, kLastStep * std::max(2U, callers) / 2)),
        initial_spread_(std::min(max_delay, kSpreadPerCaller * (std::max(1U, callers) - 1))),
        step_(first_step_),
        random_(seed) {}

  // The delay before a first call, where all callers start at one moment: uniform from 0 to 40 ms for each
  // other caller.
  Micros InitialDelay() { return Draw(Micros(0), initial_spread_); }
  // The delay after a failure: uniform from half of the current step to the whole. The step then doubles.
  Micros NextDelay() {
    const Micros delay = Draw(step_ / 2, step_);
    step_ = std::min(step_ * 2, last_step_);
    return delay;
  }
  // A delay uniform from 0 to `max_delay`, for a call that must not come later. It leaves the step as it is.
  Micros DelayWithin(Micros max_delay) { return Draw(Micros(0), max_delay); }
  // Starts over, after a success or when another service is called from now on.
  void Reset() { step_ = first_step_; }

 private:
  // The steps of two callers.
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
