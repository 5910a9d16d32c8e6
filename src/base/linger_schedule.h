// How long a connection stays open after this side has finished: as long as its peer takes what it has not
// been sent yet, and for a limited time when it takes nothing. Pure: the time and the connection's state are
// passed in. Not thread-safe.
#ifndef STOATRUN_BASE_LINGER_SCHEDULE_H_
#define STOATRUN_BASE_LINGER_SCHEDULE_H_

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <optional>

#include "base/clock.h"

namespace stoatrun {

// The schedule of one connection. `unsent`: its TcpConnection::UnsentBytes.
class LingerSchedule {
 public:
  // The durations that define a schedule.
  struct Limits {
    Micros check_interval{
        0};  // How often to look whether everything has been sent; then the connection closes.
    Micros stall_timeout{
        0};  // After which it closes although something is left, if nothing was taken meanwhile.
  };

  // Starts at `now` and returns the time of the first check.
  Micros Begin(Micros now, std::size_t unsent, const Limits& limits) {
    limits_ = limits;
    unsent_ = unsent;
    progress_at_ = now;
    return now + limits_.check_interval;
  }
  // To be called at a check: returns the time of the next one; nullopt: the connection is to be closed.
  std::optional<Micros> Check(Micros now, std::size_t unsent) {
    if (unsent == 0) return std::nullopt;
    if (unsent < unsent_) progress_at_ = now;
    unsent_ = unsent;
    if (now >= progress_at_ + limits_.stall_timeout) return std::nullopt;
    return NextCheck(now);
  }
  // The time of the next check, after the peer has sent something.
  Micros NextCheck(Micros now) const {
    return std::min(progress_at_ + limits_.stall_timeout, now + limits_.check_interval);
  }

 private:
  Limits limits_;
  std::size_t unsent_ = 0;
  Micros progress_at_{0};  // When the peer was last found to have taken something, or the start.
};

// For a connection that ends with a FIN. Waits for the peer's own, because closing a socket with unread bytes
// sends a reset, which may overtake the last bytes.
inline constexpr LingerSchedule::Limits kFinishLinger{std::chrono::milliseconds(800),
                                                      std::chrono::milliseconds(2400)};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_LINGER_SCHEDULE_H_
