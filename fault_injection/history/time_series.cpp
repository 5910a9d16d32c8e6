#include "history/time_series.h"

#include <algorithm>
#include <iterator>

namespace stoatrun::history {

void TimeSeries::Set(std::int64_t at_us, std::int64_t value) {
  if (points_.empty() || points_.back().at_us != at_us) {
    points_.push_back({at_us, value, {value, value}});
    return;
  }
  Point& last = points_.back();
  last.range.min = std::min({last.range.min, last.value, value});
  last.range.max = std::max({last.range.max, last.value, value});
  last.value = value;
}

TimeSeries::Range TimeSeries::RangeBetween(std::int64_t from_us, std::int64_t to_us) const {
  auto point = std::upper_bound(points_.begin(), points_.end(), from_us,
                                [](std::int64_t time, const Point& later) { return time < later.at_us; });
  Range range;
  const auto include = [&range](const Range& other) {
    range.min = std::min(range.min, other.min);
    range.max = std::max(range.max, other.max);
  };
  if (point != points_.begin()) {
    const Point& current = *std::prev(point);
    range = {current.value, current.value};
    if (current.at_us == from_us) include(current.range);
  }
  for (; point != points_.end() && point->at_us <= to_us; ++point) include(point->range);
  return range;
}

}  // namespace stoatrun::history
