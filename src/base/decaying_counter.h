// A counter whose past increments decay exponentially: an estimate of "how many lately" in constant space.
// Not thread-safe. Times handed in must not go backwards.
#ifndef STOATRUN_BASE_DECAYING_COUNTER_H_
#define STOATRUN_BASE_DECAYING_COUNTER_H_

#include <chrono>
#include <cmath>

#include "base/durations.h"

namespace stoatrun {

class DecayingCounter {
 public:
  // After each `time_constant` a count is worth 1/e of what it was.
  explicit DecayingCounter(std::chrono::microseconds time_constant)
      : time_constant_(ToSeconds(time_constant)) {}
  // The decayed sum of all increments up to `now`.
  double ValueAt(std::chrono::microseconds now) const {
    return count_ * std::exp(-ToSeconds(now - updated_at_) / time_constant_);
  }
  // Adds one at `now`.
  void Increment(std::chrono::microseconds now) {
    count_ = ValueAt(now) + 1;
    updated_at_ = now;
  }

 private:
  double time_constant_;  // Seconds.
  double count_ = 0;      // As of `updated_at_`.
  std::chrono::microseconds updated_at_{0};
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_DECAYING_COUNTER_H_
