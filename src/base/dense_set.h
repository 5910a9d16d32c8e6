// An intrusive set that can be iterated as a vector of pointers. Each object stores its own position, so that
// insertion and removal take constant time. Removal moves the last item into the gap; the order depends only
// on the sequence of operations. Does not own the objects. Not thread-safe.
#ifndef STOATRUN_BASE_DENSE_SET_H_
#define STOATRUN_BASE_DENSE_SET_H_

#include <cstddef>
#include <vector>

namespace stoatrun {

// The position stored in an object that is not in the set.
constexpr std::size_t kNotInDenseSet = static_cast<std::size_t>(-1);

// `kPosition` is a member of T, initially kNotInDenseSet. An object may be in one set per such member.
template <typename T, std::size_t T::*kPosition>
class DenseSet {
 public:
  const std::vector<T*>& Items() const { return items_; }
  std::size_t size() const { return items_.size(); }
  bool empty() const { return items_.empty(); }

  // Appends `item`. Returns false if it is already in the set.
  bool Insert(T& item) {
    if (item.*kPosition != kNotInDenseSet) return false;
    item.*kPosition = items_.size();
    items_.push_back(&item);
    return true;
  }
  // Removes `item`. Returns false if it is not in the set.
  bool Erase(T& item) {
    if (item.*kPosition == kNotInDenseSet) return false;
    T* last = items_.back();
    items_[item.*kPosition] = last;
    last->*kPosition = item.*kPosition;
    items_.pop_back();
    item.*kPosition = kNotInDenseSet;
    return true;
  }

 private:
  std::vector<T*> items_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_DENSE_SET_H_
