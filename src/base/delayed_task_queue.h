// Tasks ordered by the time at which they fall due; those of one moment in the order of their insertion.
// Reads no clock and starts no timer itself: it says which timer its owner is to start. Not thread-safe.
#ifndef STOATRUN_BASE_DELAYED_TASK_QUEUE_H_
#define STOATRUN_BASE_DELAYED_TASK_QUEUE_H_

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <utility>

namespace stoatrun {

// The pending tasks of one owner.
class DelayedTaskQueue {
 public:
  using Time = std::chrono::microseconds;

  // Adds a task that falls due at `due`; it runs within RunDue.
  void Add(Time due, std::function<void()> task) { tasks_.emplace(due, std::move(task)); }
  // Runs the tasks that are due at `now`, those that they add included.
  void RunDue(Time now) {
    while (!tasks_.empty() && tasks_.begin()->first <= now) {
      const auto task = tasks_.extract(tasks_.begin());
      task.mapped()();
    }
  }
  // The delay of the timer to start for the first task, at least 1 us; none if a timer started before, which
  // can't be cancelled, fires in time.
  std::optional<Time> TimerToStart(Time now) {
    if (tasks_.empty()) return std::nullopt;
    const Time due = tasks_.begin()->first;
    if (timer_due_ > now && timer_due_ <= due) return std::nullopt;
    timer_due_ = std::max(due, now + Time(1));
    return timer_due_ - now;
  }

 private:
  std::multimap<Time, std::function<void()>> tasks_;
  Time timer_due_{0};
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_DELAYED_TASK_QUEUE_H_
