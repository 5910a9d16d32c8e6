// Conversions between microsecond durations and seconds as a floating-point number. Pure functions.
#ifndef STOATRUN_BASE_DURATIONS_H_
#define STOATRUN_BASE_DURATIONS_H_

#include <chrono>
#include <cstdint>

namespace stoatrun {

// A duration in seconds.
inline double ToSeconds(std::chrono::microseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

// A duration of so many seconds, truncated to whole microseconds.
inline std::chrono::microseconds FromSeconds(double seconds) {
  return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

}  // namespace stoatrun

#endif  // STOATRUN_BASE_DURATIONS_H_
