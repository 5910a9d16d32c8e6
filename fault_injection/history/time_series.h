// An integer over time.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_TIME_SERIES_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_TIME_SERIES_H_

#include <cstdint>
#include <vector>

namespace stoatrun::history {

// A step function: each value holds from its time to the next. It is 0 before the first.
class TimeSeries {
 public:
  // Both ends are included.
  struct Range {
    std::int64_t min = 0, max = 0;
  };

  // Times must not fall.
  void Set(std::int64_t at_us, std::int64_t value);
  // Changes the latest value.
  void Add(std::int64_t at_us, std::int64_t change) { Set(at_us, Last() + change); }
  // The latest value.
  std::int64_t Last() const { return points_.empty() ? 0 : points_.back().value; }
  // The least and the greatest value between both times, which are included.
  Range RangeBetween(std::int64_t from_us, std::int64_t to_us) const;

 private:
  struct Point {
    std::int64_t at_us = 0;
    std::int64_t value = 0;
    Range range;  // More than the value if several were set for the same time.
  };
  std::vector<Point> points_;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_TIME_SERIES_H_
