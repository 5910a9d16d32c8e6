// The proxy's clock: monotonic time in microseconds, read once per event loop iteration, so that all
// decisions of an iteration use the same time. Not thread-safe.
#ifndef STOATRUN_BASE_CLOCK_H_
#define STOATRUN_BASE_CLOCK_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace stoatrun {

using Micros = std::chrono::microseconds;  // A duration, or a time since the clock's origin.

// The clock of one event loop.
class Clock {
 public:
  // The time source. kManual: time changes only through Advance (for tests).
  enum class Mode { kMonotonic, kManual };

  // Starts at the current time, or at a fixed time in manual mode.
  explicit Clock(Mode mode = Mode::kMonotonic) : mode_(mode) {
    const bool manual = mode == Mode::kManual;
    now_ = manual ? kManualStart : ReadMonotonic();
    unix_origin_ = (manual ? kManualUnixStart : ReadUnix()) - now_;
  }

  // Updates the time from the monotonic clock. The time never decreases.
  void Read() {
    if (mode_ == Mode::kMonotonic) now_ = std::max(now_, ReadMonotonic());
  }
  // Advances the time in manual mode.
  void Advance(Micros duration) { now_ += duration; }
  // The time as of the last Read or Advance.
  Micros Now() const { return now_; }
  // The present time, without an effect on Now. Later than Now by the time that the current iteration has
  // taken, including any time for which the process did not run.
  Micros Current() const { return mode_ == Mode::kMonotonic ? std::max(now_, ReadMonotonic()) : now_; }

  // Converts Unix time in milliseconds to this clock's time; 0 or less ("long ago") yields 0. The offset
  // between the clocks is determined once, so a given Unix time always yields the same result. A time before
  // this clock's origin yields 1, because 0 means "long ago".
  Micros FromUnixMs(std::int64_t unix_ms) const {
    if (unix_ms <= 0) return Micros(0);
    const auto unix_time = std::chrono::duration_cast<Micros>(std::chrono::milliseconds(unix_ms));
    return std::max(Micros(1), unix_time - unix_origin_);
  }

 private:
  static constexpr Micros kManualStart{1'000'000'000};
  static constexpr Micros kManualUnixStart{2'000'000'000};

  static Micros ReadMonotonic() {
    return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now().time_since_epoch());
  }
  static Micros ReadUnix() {
    return std::chrono::duration_cast<Micros>(std::chrono::system_clock::now().time_since_epoch());
  }

  Mode mode_;
  Micros now_{0};
  Micros unix_origin_{0};  // The Unix time at this clock's origin.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_CLOCK_H_
