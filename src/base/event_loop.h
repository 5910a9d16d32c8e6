// The event loop: libev for descriptors, with a clock that is read once a turn and a timer queue driven by
// one libev timer.
//
// A turn: read the clock, run the callbacks of descriptors and expired timers, run the turn-end hooks.
// Everything on the loop runs on the one thread that calls Run; only BackgroundWorker passes work in from
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

// One libev loop with its clock and timers.
class EventLoop {
 public:
  // Throws Error (kUnavailable) if the system provides no event mechanism.
  explicit EventLoop(Clock::Mode mode = Clock::Mode::kMonotonic);
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The libev loop, for watchers of descriptors and signals.
  struct ev_loop* native_handle() {
    return loop_;
  }
  // The time of this turn.
  Micros Now() const { return clock.Now(); }
  // Runs `hook` at the end of each turn, before the loop waits; hooks run in the order in which they were
  // added. It can't be removed: what it refers to must outlive the loop's last turn.
  void AddTurnEndHook(std::function<void()> hook) { turn_end_hooks_.push_back(std::move(hook)); }
  // Turns until Stop.
  void Run() { ev_run(loop_, 0); }
  // Ends Run after the current turn.
  void Stop() {
    stopped_ = true;
    ev_break(loop_, EVBREAK_ALL);
  }
  // Has Stop been called?
  bool Stopped() const { return stopped_; }
  // One turn that doesn't wait (for tests).
  void Poll();

  Clock clock;
  TimerQueue timers;

 private:
  static void OnCheck(struct ev_loop* loop, ev_check* watcher, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* watcher, int events);
  static void OnTimer(struct ev_loop* loop, ev_timer* watcher, int events);

  struct ev_loop* loop_;
  ev_check check_{};      // The start of a turn.
  ev_prepare prepare_{};  // The end of a turn.
  ev_timer timer_{};      // Set to the earliest timer of the queue.
  bool stopped_ = false;
  std::vector<std::function<void()>> turn_end_hooks_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_EVENT_LOOP_H_
