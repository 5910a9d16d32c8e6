// The harness's event loop: timers and readable descriptors on one libev loop. The whole harness runs on the
// thread that calls Run(); callbacks must not block.
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

  // The underlying libev loop, for watchers.
  struct ev_loop* native_handle() {
    return loop_;
  }
  // Time since the loop was created.
  Micros Now() const;
  // Calls `callback` once, no earlier than after `delay`.
  void RunAfter(Micros delay, std::function<void()> callback);
  // Runs until Stop is called from a callback.
  void Run() { ev_run(loop_, 0); }
  // Makes Run return after the callbacks that are running now.
  void Stop() { ev_break(loop_, EVBREAK_ALL); }

 private:
  static void OnTimer(struct ev_loop* loop, ev_timer* timer, int events);
  static void OnPrepare(struct ev_loop* loop, ev_prepare* prepare, int events);

  struct ev_loop* loop_;
  ev_timer timer_{};  // Armed for the next callback whenever the loop is about to wait.
  ev_prepare prepare_{};
  std::multimap<Micros, std::function<void()>> callbacks_;  // By due time.
  std::chrono::steady_clock::time_point start_;
};

// Owns a file descriptor and calls back while it is readable. The loop must outlive it.
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
