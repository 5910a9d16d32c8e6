// Waits between calls on a service that many relays share and that serves them one after another.
//
// A hundred relays that fail together must not come again together: such a service goes on with calls whose
// callers have given up, and then has time for none in time. So the waits grow, are drawn at random, and are
// longer the more relays there are: all together ask about as often as two do.
#ifndef STOATRUN_BASE_BACKOFF_H_
#define STOATRUN_BASE_BACKOFF_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <random>

namespace stoatrun {

class Backoff {
 public:
  using Micros = std::chrono::microseconds;

  // `callers`: of the service, this one included. `most`: no wait is longer, however many there are.
  Backoff(unsigned callers, Micros most, std::uint64_t seed)
      : first_(std::min(most, kFirst * std::max(2U, callers) / 2)),
        last_(std::min(most, kLast * std::max(2U, callers) / 2)),
        spread_(std::min(most, kSpread * (std::max(1U, callers) - 1))),
        step_(first_),
        random_(seed) {}

  // The wait before a first call, for callers that start at one moment: uniform up to 40 ms a further caller.
  Micros Start() { return Draw(Micros(0), spread_); }
  // The wait after a failure: half of the present step up to the whole. The step doubles each time.
  Micros Next() {
    const Micros wait = Draw(step_ / 2, step_);
    step_ = std::min(step_ * 2, last_);
    return wait;
  }
  // A wait of at most so long, for a call that must not come later.
  Micros Within(Micros most) { return Draw(Micros(0), most); }
  // After a success, or where another service is called.
  void Reset() { step_ = first_; }

 private:
  // For two callers.
  static constexpr Micros kFirst = std::chrono::milliseconds(50);
  static constexpr Micros kLast = std::chrono::milliseconds(800);
  static constexpr Micros kSpread = std::chrono::milliseconds(40);

  Micros Draw(Micros from, Micros to) {
    return Micros(std::uniform_int_distribution<Micros::rep>(from.count(), to.count())(random_));
  }

  Micros first_, last_, spread_, step_;
  std::mt19937_64 random_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_BACKOFF_H_
