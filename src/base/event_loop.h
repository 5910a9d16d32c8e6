// The event loop: libev for file descriptors, a clock that is read once per iteration, and a timer queue
// driven by one libev timer.
//
// A turn (one iteration) reads the clock, runs the callbacks of descriptors and expired timers, and runs the
// turn-end hooks. All callbacks run on the thread that calls Run; only BackgroundWorker passes in work from
// another thread.
#ifndef STOATRUN_BASE_EVENT_LOOP_H_
#define STOATRUN_BASE_EVENT_LOOP_H_

#include <ev.h>

#include <functional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/timer_queue.h"

namespace stoatrun {

// A libev loop with its clock and timers.
class EventLoop {
 public:
  // Throws Error (kUnavailable) if libev can't create a loop.
  explicit EventLoop(Clock::Mode mode = Clock::Mode::kMonotonic);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The libev loop, to register watchers for descriptors and signals.
  struct ev_loop* native_handle() {
    return loop_;
  }
  // The time at the start of the current turn.
  Micros Now() const { return clock.Now(); }
  // The time at the start of the previous turn. What the current turn reads has arrived since then, at any
  // time: the process may not have run in between.
  Micros PreviousTurn() const { return previous_turn_; }
  // Runs `hook` at the end of each turn, before the loop waits for events; hooks run in the order in which
  // they were added. A hook can't be removed: the objects it refers to must outlive the loop's last turn.
  void AddTurnEndHook(std::function<void()> hook) { turn_end_hooks_.push_back(std::move(hook)); }
  // Runs the loop until Stop is called.
  void Run() { ev_run(loop_, 0); }
  // Makes Run return after the current turn.
  void Stop() {
    stopped_ = true;
    ev_break(loop_, EVBREAK_ALL);
  }
  // Returns true if Stop has been called.
  bool Stopped() const { return stopped_; }
  // Runs one turn without waiting (for tests).
  void Poll();

  Clock clock;
  TimerQueue timers;

 private:
  static void OnCheck(struct ev_loop* loop, ev_check* watcher, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* watcher, int events);
  static void OnTimer(struct ev_loop* loop, ev_timer* watcher, int events);

  struct ev_loop* loop_;
  ev_check check_{};      // Runs at the start of a turn.
  ev_prepare prepare_{};  // Runs at the end of a turn.
  ev_timer timer_{};      // Set to the expiry of the earliest timer in the queue.
  bool stopped_ = false;
  Micros previous_turn_{0};
  Micros current_turn_{0};
  std::vector<std::function<void()>> turn_end_hooks_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_EVENT_LOOP_H_
