// The item with the lowest of the costs offered so far; of equal costs the one offered first. Not
// thread-safe.
#ifndef STOATRUN_BASE_ARG_MIN_H_
#define STOATRUN_BASE_ARG_MIN_H_

#include <limits>

namespace stoatrun {

template <typename Item>
class ArgMin {
 public:
  // Considers `item`, which is not null, at `cost`.
  void Offer(Item* item, double cost) {
    if (cost < cost_) {
      item_ = item;
      cost_ = cost;
    }
  }
  // The item of the lowest cost; null while none has been offered.
  Item* item() const { return item_; }
  // The lowest cost; infinite while none has been offered.
  double cost() const { return cost_; }

 private:
  Item* item_ = nullptr;
  double cost_ = std::numeric_limits<double>::infinity();
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_ARG_MIN_H_
