// A recorded integer value over time.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_TIME_SERIES_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_TIME_SERIES_H_

#include <cstdint>
#include <vector>

namespace stoatrun::history {

// A step function: each value holds until the next one is set. It is 0 before the first.
class TimeSeries {
 public:
  // Both ends are included.
  struct Range {
    std::int64_t min = 0, max = 0;
  };

  // `at_us` must not decrease from call to call.
  void Set(std::int64_t at_us, std::int64_t value);
  // Changes the latest value.
  void Add(std::int64_t at_us, std::int64_t change) { Set(at_us, Last() + change); }
  // The latest value.
  std::int64_t Last() const { return points_.empty() ? 0 : points_.back().value; }
  // The smallest and largest value in the closed interval from `from_us` to `to_us`.
  Range RangeBetween(std::int64_t from_us, std::int64_t to_us) const;

 private:
  struct Point {
    std::int64_t at_us = 0;
    std::int64_t value = 0;
    Range range;  // Of all values that were set for the same time.
  };
  std::vector<Point> points_;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_TIME_SERIES_H_
