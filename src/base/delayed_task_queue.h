// A queue of tasks ordered by due time; tasks with the same due time run in insertion order. It reads no
// clock and starts no timer itself: it tells its owner which timer to start. Not thread-safe.
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

  // Adds a task to be run by RunDue at or after `due`.
  void Add(Time due, std::function<void()> task) { tasks_.emplace(due, std::move(task)); }
  // Runs the tasks that are due at `now`, including due tasks that they add.
  void RunDue(Time now) {
    while (!tasks_.empty() && tasks_.begin()->first <= now) {
      const auto task = tasks_.extract(tasks_.begin());
      task.mapped()();
    }
  }
  // The delay of the timer to start for the first task, at least 1 us. nullopt if there is no task, or if a
  // timer started earlier (timers can't be cancelled) fires in time.
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
