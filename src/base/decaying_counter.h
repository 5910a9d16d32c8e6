// A counter whose increments decay exponentially; estimates the number of recent events in constant space.
// Not thread-safe. Times passed in must not decrease.
#ifndef STOATRUN_BASE_DECAYING_COUNTER_H_
#define STOATRUN_BASE_DECAYING_COUNTER_H_

#include <algorithm>
#include <chrono>
#include <cmath>

#include "base/durations.h"

namespace stoatrun {

class DecayingCounter {
 public:
  // The value decays to 1/e of itself in each `time_constant`.
  explicit DecayingCounter(std::chrono::microseconds time_constant)
      : time_constant_(ToSeconds(time_constant)) {}
  // The decayed sum of all increments, as of `now`.
  double ValueAt(std::chrono::microseconds now) const {
    return count_ * std::exp(-ToSeconds(now - updated_at_) / time_constant_);
  }
  // Adds one at `now`.
  void Increment(std::chrono::microseconds now) {
    count_ = ValueAt(now) + 1;
    updated_at_ = now;
  }
  // Takes back an increment that was made shortly before `now`.
  void Decrement(std::chrono::microseconds now) {
    count_ = std::max(0.0, ValueAt(now) - 1);
    updated_at_ = now;
  }

 private:
  double time_constant_;  // Seconds.
  double count_ = 0;      // As of `updated_at_`.
  std::chrono::microseconds updated_at_{0};
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_DECAYING_COUNTER_H_
