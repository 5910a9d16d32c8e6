// Tracks the item with the lowest cost among those offered; ties go to the item offered first. Not
// thread-safe.
#ifndef STOATRUN_BASE_ARG_MIN_H_
#define STOATRUN_BASE_ARG_MIN_H_

#include <limits>

namespace stoatrun {

template <typename Item>
class ArgMin {
 public:
  // Offers `item`, which must not be null, at `cost`.
  void Offer(Item* item, double cost) {
    if (cost < lowest_cost_) {
      best_ = item;
      lowest_cost_ = cost;
    }
  }
  // The item with the lowest cost; null if none has been offered.
  Item* Best() const { return best_; }
  // The lowest cost; infinity if no item has been offered.
  double LowestCost() const { return lowest_cost_; }

 private:
  Item* best_ = nullptr;
  double lowest_cost_ = std::numeric_limits<double>::infinity();
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_ARG_MIN_H_
