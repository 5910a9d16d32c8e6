// The proxy's time: whole microseconds on the monotonic clock, read once a turn of the event loop, so that
// all decisions of a turn see the same time. Not thread-safe.
#ifndef STOATRUN_BASE_CLOCK_H_
#define STOATRUN_BASE_CLOCK_H_

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace stoatrun {

using Micros = std::chrono::microseconds;  // A duration, or a time since the clock's own origin.

// The clock of one event loop.
class Clock {
 public:
  // The source of time. kManual: only Advance moves the time (for tests).
  enum class Mode { kMonotonic, kManual };

  // Starts at the present time, or at a fixed time in manual mode.
  explicit Clock(Mode mode = Mode::kMonotonic) : mode_(mode) {
    const bool manual = mode == Mode::kManual;
    now_ = manual ? kManualStart : ReadMonotonic();
    unix_origin_ = (manual ? kManualUnixStart : ReadUnix()) - now_;
  }

  // Reads the monotonic clock. Time never goes back.
  void Read() {
    if (mode_ == Mode::kMonotonic) now_ = std::max(now_, ReadMonotonic());
  }
  // Moves the time, in manual mode.
  void Advance(Micros duration) { now_ += duration; }
  // The time of the last reading.
  Micros Now() const { return now_; }

  // Converts Unix time in milliseconds to this clock's time; 0 or less ("long ago") gives 0. The offset of
  // both clocks is taken once, so the same Unix time always gives the same result. A time before this clock's
  // origin gives 1, as 0 would mean "long ago".
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
