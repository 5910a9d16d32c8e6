// Virtual time: runs callbacks in the order of their times.
#ifndef STOATRUN_SIMULATION_EVENT_QUEUE_H_
#define STOATRUN_SIMULATION_EVENT_QUEUE_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <utility>
#include <vector>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Callbacks for the same time run in the order in which they were added.
class EventQueue {
 public:
  using Callback = std::function<void()>;

  // The time of the running callback, or of the last one that ran.
  Micros Now() const { return now_; }
  // The number of callbacks added so far.
  std::uint64_t AddedCount() const { return added_; }

  // Adds a callback. One with a time in the past runs next.
  void At(Micros at, Callback callback) {
    events_.push({at, added_++, std::make_shared<Callback>(std::move(callback))});
  }

  // Runs all callbacks up to and including `end`, also those added meanwhile.
  void RunUntil(Micros end) {
    while (!events_.empty() && events_.top().at <= end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      (*event.callback)();
    }
  }

 private:
  struct Event {
    Micros at{0};
    std::uint64_t order = 0;
    std::shared_ptr<Callback> callback;  // Shared, since std::priority_queue::top() only allows a copy.
    // Reversed: std::priority_queue has the greatest element on top, which must be the earliest event.
    bool operator<(const Event& other) const {
      return std::pair(at, order) > std::pair(other.at, other.order);
    }
  };

  Micros now_{0};
  std::uint64_t added_ = 0;
  std::priority_queue<Event> events_;
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_EVENT_QUEUE_H_
