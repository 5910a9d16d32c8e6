// Sums of connection counts as intervals that contain the true value.
//
// A report no older than `stale_after` is added exactly as reported: the sum combines the counts that each
// relay had at some moment within the age stated with the sum. An older report, of age a, is widened to the
// range of possible current values: the relay may have accepted up to `max_accepted_per_s` x a further
// connections, each of those and of its open connections may have ended with any outcome, and it has between
// 0 and `max_open` connections open. An ended incarnation has none open; its other counts are widened by the
// time between its last report and its end. A relay that never reported makes the sum unbounded above.
#ifndef STOATRUN_FLEET_COUNTS_INTERVAL_H_
#define STOATRUN_FLEET_COUNTS_INTERVAL_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string_view>

#include "fleet/counts_record.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The upper end of an unbounded interval.
constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();

// Bounds on a count, both inclusive.
struct Interval {
  std::uint64_t low = 0, high = 0;
  // Adds another interval, saturating at kUnbounded.
  void Add(std::uint64_t other_low, std::uint64_t other_high);
};

// The fleet's connection counts.
struct ConnectionTotals {
  Interval accepted, served, rejected, failed, open;
  Micros oldest{0};         // Age of the oldest report that was added exactly.
  std::size_t widened = 0;  // Reports that were too old and so were widened.
  std::size_t unheard = 0;  // Relays that have never reported.
  std::size_t ended = 0;    // Incarnations that have ended.
  bool complete = true;     // False: incarnations from before this relay's start may be missing.
};

// Selects the counts to sum: all classes and groups, or only the given ones.
struct CountsFilter {
  std::optional<std::uint32_t> class_index;
  std::optional<std::string_view> group;
};

// Accumulates totals by the rules above.
class IntervalSum {
 public:
  // `stale_after`: reports older than this are widened.
  IntervalSum(const Settings& settings, Micros now, Micros stale_after, const CountsFilter& filter)
      : settings_(settings), now_(now), stale_after_(stale_after), filter_(filter) {}

  // Adds the counts of one incarnation. `superseded`: a later incarnation of the member is known, so this one
  // has ended even if its end was not reported yet.
  void Add(const CountsRecord& record, bool superseded);
  // Adds a relay that has never reported.
  void AddUnreportedMember();
  // Incarnations may be missing: removes the upper bounds of the sum.
  void MarkIncomplete();
  const ConnectionTotals& Totals() const { return totals_; }

 private:
  ConnectionCounts Filtered(const CountsRecord& record) const;
  void AddExact(const ConnectionCounts& counts, Micros age);
  void AddWidened(const ConnectionCounts& counts, std::optional<Micros> age, bool ended);

  const Settings& settings_;
  Micros now_, stale_after_;
  CountsFilter filter_;
  ConnectionTotals totals_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_COUNTS_INTERVAL_H_
