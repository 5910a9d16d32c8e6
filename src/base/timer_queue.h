// Timers in one ordered queue, independent of any event loop: whoever drives the queue passes the time in.
//
// Timers expire in the order of their times; those of the same time in the order in which they were set. Not
// thread-safe.
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

// The set timers of one event loop. It must outlive its timers.
class TimerQueue {
 public:
  // Runs the callbacks of the timers that have expired at `now`. A timer that a callback sets waits for the
  // next call, even if its time has come.
  void RunExpired(Micros now);
  // The time of the earliest timer; only valid if the queue is not empty.
  Micros Next() const { return timers_.begin()->first.time; }
  // Is no timer set?
  bool Empty() const { return timers_.empty(); }

 private:
  friend class Timer;
  struct Key {
    Micros time{0};
    std::uint64_t sequence = 0;  // Counts all settings of timers.
    bool operator<(const Key& other) const {
      return std::tie(time, sequence) < std::tie(other.time, other.sequence);
    }
  };
  std::map<Key, Timer*> timers_;
  std::uint64_t next_sequence_ = 0;
};

// A one-shot timer with a fixed callback, owned by the object that the callback concerns: its destruction
// cancels it.
class Timer {
 public:
  Timer(TimerQueue& queue, std::function<void()> callback) : queue_(queue), callback_(std::move(callback)) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  // Runs the callback once at `time`, in place of any time set before. A time in the past expires at the next
  // run of the queue.
  void Set(Micros time);
  // The callback will not run; no effect if the timer is not set.
  void Cancel();
  // Is the callback still to run?
  bool IsSet() const { return is_set_; }

 private:
  friend class TimerQueue;
  TimerQueue& queue_;
  std::function<void()> callback_;
  TimerQueue::Key key_{};
  bool is_set_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_TIMER_QUEUE_H_
