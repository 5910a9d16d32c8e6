// Conversions between microsecond durations, milliseconds and floating-point seconds. Pure functions.
#ifndef STOATRUN_BASE_DURATIONS_H_
#define STOATRUN_BASE_DURATIONS_H_

#include <chrono>
#include <cstdint>

namespace stoatrun {

// Converts `duration` to seconds.
inline double ToSeconds(std::chrono::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

// Converts `duration` to whole milliseconds, rounded towards zero.
inline std::int64_t ToMilliseconds(std::chrono::microseconds duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

// Converts `seconds` to a duration, truncated to whole microseconds.
inline std::chrono::microseconds FromSeconds(double seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace stoatrun

#endif  // STOATRUN_BASE_DURATIONS_H_
