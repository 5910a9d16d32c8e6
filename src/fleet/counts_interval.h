// Sums of connection counts as intervals that hold the true value.
//
// A report that is no older than a stated age counts as it was reported: the sum is one of what each relay
// had at some moment within the age that is stated with it. An older report, of age a, is widened to what may
// have become of it: the relay may have accepted `max_accepted_per_s` x a more, each of those and of its open
// connections may have ended in any way, and it holds between none and `max_open`. An ended incarnation holds
// none; what it may have done between its last report and its end is widened likewise. A relay that was never
// heard makes the sum unbounded above.
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

// The upper end of an interval without a bound.
constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();

// Bounds on a count, both inclusive.
struct Interval {
  std::uint64_t low = 0, high = 0;
  // Adds another interval, saturating at kUnbounded.
  void Add(std::uint64_t other_low, std::uint64_t other_high);
};

// The fleet's connections.
struct ConnectionTotals {
  Interval accepted, served, rejected, failed, open;
  Micros oldest{0};         // Age of the oldest report that counts as it was reported.
  std::size_t widened = 0;  // Reports that are too old for that.
  std::size_t unheard = 0;  // Relays of which nothing was heard.
  std::size_t ended = 0;    // Incarnations that have ended.
  bool complete = true;     // False: incarnations of before this relay's start may be missing.
};

// Which counts to sum: of all classes and groups, or of those named.
struct CountsFilter {
  std::optional<std::uint32_t> class_index;
  std::optional<std::string_view> group;
};

// Adds counts to totals by the rule above.
class IntervalSum {
 public:
  // `stale_after`: a report older than that is widened.
  IntervalSum(const Settings& settings, Micros now, Micros stale_after, const CountsFilter& filter)
      : settings_(settings), now_(now), stale_after_(stale_after), filter_(filter) {}

  // Adds what one incarnation did. `superseded`: a later one of the member is known, so that this one has
  // ended, though nobody reported its end yet.
  void Add(const CountsRecord& record, bool superseded);
  // Adds a relay of which nothing was heard.
  void AddUnheard();
  // Incarnations may be missing: the sum has no upper bound.
  void AddIncomplete();
  // The sum.
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
