// A queue of timers, independent of any event loop: the owner of the queue passes in the time.
//
// Timers expire in the order of their times; timers with the same time in the order in which they were set.
// Not thread-safe.
#ifndef STOATRUN_BASE_TIMER_QUEUE_H_
#define STOATRUN_BASE_TIMER_QUEUE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <tuple>
#include <utility>

#include "base/clock.h"

namespace stoatrun {

class Timer;

// The pending timers of one event loop. Must outlive its timers.
class TimerQueue {
 public:
  // Runs the callbacks of the timers that have expired at `now`. A timer that is set by a callback runs in
  // the next call at the earliest, even if it has already expired.
  void RunExpired(Micros now);
  // The time of the earliest timer. The queue must not be empty.
  Micros Next() const { return timers_.begin()->first.time; }
  // Returns true if no timer is set.
  bool Empty() const { return timers_.empty(); }

 private:
  friend class Timer;
  struct Key {
    Micros time{0};
    std::uint64_t sequence = 0;  // Increases with each call of Timer::Set.
    bool operator<(const Key& other) const {
      return std::tie(time, sequence) < std::tie(other.time, other.sequence);
    }
  };
  std::map<Key, Timer*> timers_;
  std::uint64_t next_sequence_ = 0;
};

// A one-shot timer with a fixed callback. It is owned by the object that the callback uses; destruction
// cancels it.
class Timer {
 public:
  Timer(TimerQueue& queue, std::function<void()> callback) : queue_(queue), callback_(std::move(callback)) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Schedules the callback to run once at `time`, replacing an earlier setting. A time in the past expires in
  // the queue's next run.
  void Set(Micros time);
  // Cancels the timer, if it is set.
  void Cancel();
  // Returns true if the callback has yet to run.
  bool IsSet() const { return is_set_; }
  // The time for which the timer is set. Valid only if it is set.
  Micros Time() const { return key_.time; }

 private:
  friend class TimerQueue;
  TimerQueue& queue_;
  std::function<void()> callback_;
  TimerQueue::Key key_{};
  bool is_set_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_TIMER_QUEUE_H_
