// Virtual time: callbacks in the order of their times.
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

  // The time of the callback that runs, or of the last one.
  Micros Now() const { return now_; }
  // How many callbacks were added so far.
  std::uint64_t Added() const { return added_; }

  // Adds a callback; a time in the past counts as the next to run.
  void At(Micros at, Callback callback) {
    events_.push({at, added_++, std::make_shared<Callback>(std::move(callback))});
  }

  // Runs all callbacks up to `end`, those included that they add.
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
    std::shared_ptr<Callback> callback;  // Shared: a priority queue gives out copies only.
    // The queue's top is the greatest: the earliest.
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
