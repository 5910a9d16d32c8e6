// When to look through a table for records that are no longer needed: each time it has grown by a quarter, so
// that the cost for each record added is constant. Not thread-safe.
#ifndef STOATRUN_BASE_SWEEP_THRESHOLD_H_
#define STOATRUN_BASE_SWEEP_THRESHOLD_H_

#include <algorithm>
#include <cstddef>

namespace stoatrun {

// The threshold of one table.
class SweepThreshold {
 public:
  // Whether a table of `size` records is due for a sweep.
  bool IsReached(std::size_t size) const { return size >= threshold_; }
  // To be called after a sweep that has left `size` records.
  void Update(std::size_t size) { threshold_ = std::max(kMinSize, size + size / 4); }

 private:
  static constexpr std::size_t kMinSize = 128;
  std::size_t threshold_ = kMinSize;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_SWEEP_THRESHOLD_H_
