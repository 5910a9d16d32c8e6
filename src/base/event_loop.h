// All deadlines of the relay in one ordered structure, and the loop that drives them with one libev timer.
#ifndef STOATRUN_BASE_EVENT_LOOP_H_
#define STOATRUN_BASE_EVENT_LOOP_H_

#include <ev.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

#include "base/clock.h"

namespace stoatrun {

class Timer;

class TimerQueue {
 public:
  // Runs what is due. What a callback sets anew waits for the next call, even if it is due at once.
  void RunExpired(Micros now);
  // Of the earliest; valid only if not empty.
  Micros Next() const { return order_.begin()->first.first; }
  bool Empty() const { return order_.empty(); }

 private:
  friend class Timer;
  using Key = std::pair<Micros, std::uint64_t>;
  std::map<Key, Timer*> order_;
  std::uint64_t next_ = 0;
};

// One deadline, owned by what it guards; taken back when its owner goes.
class Timer {
 public:
  Timer(TimerQueue& all, std::function<void()> due) : all_(all), due_(std::move(due)) {}
  ~Timer() { Cancel(); }
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Set(Micros at);
  void Cancel();
  bool IsSet() const { return set_; }

 private:
  friend class TimerQueue;
  TimerQueue& all_;
  std::function<void()> due_;
  TimerQueue::Key key_{};
  bool set_ = false;
};

// One libev loop with the clock and the timers. A turn: read the clock, serve the sockets and what is due,
// then run the sweepers.
class EventLoop {
 public:
  explicit EventLoop(Clock::Mode mode = Clock::Mode::kMonotonic);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  struct ev_loop* native_handle() {
    return loop_;
  }
  Micros Now() const { return clock.Now(); }
  void AddTurnEndHook(std::function<void()> hook) { turn_end_hooks_.push_back(std::move(hook)); }
  void Run() { ev_run(loop_, 0); }
  void Stop() {
    stopped_ = true;
    ev_break(loop_, EVBREAK_ALL);
  }
  bool Stopped() const { return stopped_; }
  // One turn that does not block (tests).
  void Poll();

  Clock clock;
  TimerQueue timers;

 private:
  static void OnCheck(struct ev_loop* loop, ev_check* w, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* w, int events);
  static void OnTimer(struct ev_loop* loop, ev_timer* w, int events);

  struct ev_loop* loop_;
  ev_check check_{};
  ev_prepare prepare_{};
  ev_timer timer_{};
  bool stopped_ = false;
  std::vector<std::function<void()>> turn_end_hooks_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_EVENT_LOOP_H_
