// The harness's event loop: timers and readable descriptors on one libev loop. All of the harness runs on the
// thread that calls Run(); nothing blocks.
#ifndef STOATRUN_FAULT_INJECTION_EVENT_LOOP_H_
#define STOATRUN_FAULT_INJECTION_EVENT_LOOP_H_

#include <ev.h>

#include <chrono>
#include <functional>
#include <map>

namespace stoatrun::fault_injection {

using Micros = std::chrono::microseconds;

// A libev loop with one-shot timers.
class EventLoop {
 public:
  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  // The underlying loop, for watchers.
  struct ev_loop* native_handle() {
    return loop_;
  }
  // Time since the loop was made.
  Micros Now() const;
  // Calls `callback` once, after the delay at the earliest.
  void After(Micros delay, std::function<void()> callback);
  // Runs until Stop is called from a callback.
  void Run() { ev_run(loop_, 0); }
  // Makes Run return when the present callbacks are done.
  void Stop() { ev_break(loop_, EVBREAK_ALL); }

 private:
  static void OnTimer(struct ev_loop* loop, ev_timer* timer, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* prepare, int events);

  struct ev_loop* loop_;
  ev_timer timer_{};  // Set for the next callback, each time that the loop goes to sleep.
  ev_prepare prepare_{};
  std::multimap<Micros, std::function<void()>> callbacks_;  // By the time that they are due.
  std::chrono::steady_clock::time_point start_;
};

// Owns a descriptor and calls back while it can be read. The loop must outlive it.
class DescriptorWatcher {
 public:
  // `on_readable` may destroy the watcher.
  DescriptorWatcher(EventLoop& loop, int fd, std::function<void()> on_readable);
  ~DescriptorWatcher();
  DescriptorWatcher(const DescriptorWatcher&) = delete;
  DescriptorWatcher& operator=(const DescriptorWatcher&) = delete;

  // Stays open until the watcher is destroyed.
  int Fd() const { return fd_; }

 private:
  static void OnIo(struct ev_loop* loop, ev_io* watcher, int events);

  EventLoop& loop_;
  int fd_;
  ev_io io_{};
  std::function<void()> on_readable_;
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_EVENT_LOOP_H_
