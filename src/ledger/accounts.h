// Accounting of connection time by group, class and period.
//
// Usage is the time that connections are open, in whole microseconds of the monotonic clock. It is accounted
// per group and connection class and split into periods, whose boundaries are wall-clock times aligned to
// UTC. A group may have a quota of connections: the time integral of its open connections, up to the quota,
// is usage within the quota; the rest is usage beyond it.
//
// Invariant: the sum over all rows (one per group and class) equals the connection time, which is counted
// independently; ComputeSums returns both. The caller guarantees that `now` never decreases and that each
// handle is ended once; a handle that is ended twice, through a copy, is detected by `double_ends`.
//
// Pure: no I/O and no clock. Not thread-safe: used by the event loop's thread only.
#ifndef STOATRUN_LEDGER_ACCOUNTS_H_
#define STOATRUN_LEDGER_ACCOUNTS_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/usage_meter.h"
#include "ledger/posting.h"

namespace stoatrun::ledger {

// A configured group.
struct GroupSetup {
  std::string name;
  std::optional<std::int64_t> quota_milli;  // Thousandths of a connection; unset: all usage is within.
};

// Settings of the accounting.
struct AccountsSetup {
  Micros period{0};                // Positive.
  std::vector<GroupSetup> groups;  // From the settings or the operator file.
  std::vector<std::string> classes;
  std::size_t max_unlisted_groups = 64;  // Groups not in `groups` that are accounted separately.
};

// See the comment at the top of this file.
class Accounts {
 public:
  // Whether the current period continues after its posting is taken.
  enum class CurrentPeriod {
    kContinues,  // More postings of it follow.
    kEnds        // It can be closed; no more postings follow.
  };

  // A change of the wall clock against the monotonic clock by more than this is a step; a smaller one is
  // drift.
  static constexpr Micros kClockStepThreshold = std::chrono::milliseconds(250);

  // `wall` is Unix time.
  Accounts(const AccountsSetup& setup, Micros now, Micros wall);

  // Records that a connection opens. An empty name is accounted as kMissingGroup. Unlisted groups beyond
  // `max_unlisted_groups` and malformed names are accounted together as kOtherGroups, so that clients cannot
  // use up memory by inventing names.
  UsageHandle Begin(Micros now, std::string_view group, std::size_t class_index);
  // Records that the connection closes. A handle that is not open is ignored.
  void End(Micros now, UsageHandle& handle);

  // Compares the wall clock with the time extrapolated from the monotonic clock. A difference over
  // kClockStepThreshold is recorded as a step, and accounting continues in the period that contains the new
  // time; a smaller difference shifts the period boundaries.
  void OnClockReading(Micros now, Micros wall);
  // Returns all usage since the last call, oldest first. The last posting is of the current period.
  std::vector<Posting> TakePostings(Micros now, CurrentPeriod current);

  // Two independently computed sums of usage; they differ only if the program has a bug.
  struct Sums {
    std::int64_t row_time_us = 0;         // Summed over the rows.
    std::int64_t connection_time_us = 0;  // From the connections' start and end times.
    std::uint64_t double_ends = 0;        // Handles ended when their row had no open connection.

    bool AreBalanced() const { return row_time_us == connection_time_us && double_ends == 0; }
  };
  // Computes both sums as of `now`.
  Sums ComputeSums(Micros now);

  std::uint64_t OpenConnections() const { return open_; }
  // The groups that have open connections. Their usage from here on is unattested if the process crashes.
  OpenCounts OpenByGroup() const;
  // The start of the current period in Unix time.
  std::int64_t PeriodStart() const { return period_start_s_; }
  // Whether a period has ended since the last TakePostings.
  bool HasEndedPeriod(Micros now) {
    Advance(now);
    return !pending_postings_.empty();
  }
  // The number of rows, one for each combination of group and class used so far.
  std::size_t RowCount() const { return rows_.size(); }
  // Converts a monotonic time to wall-clock time, based on the last clock reading.
  Micros WallAt(Micros now) const { return now + wall_offset_; }

 private:
  struct Group {
    std::string name;
    std::optional<std::int64_t> quota_milli;
    std::uint32_t open = 0, peak = 0;
    std::int64_t accrued_until_us = 0;  // Monotonic time up to which usage is accrued.
    std::int64_t use_us = 0, within_us = 0;
    std::int64_t within_remainder_milli = 0;  // Thousandths of a microsecond, carried over.
    bool has_new_connection = false;          // Listed in the next posting even without usage.
  };
  struct Row {
    std::uint32_t group = 0, class_index = 0;
    std::uint32_t open = 0, begun = 0;
    std::int64_t accrued_until_us = 0, use_us = 0;
  };

  std::uint32_t AddGroup(const std::string& name, std::optional<std::int64_t> quota_milli);
  std::uint32_t FindOrAddGroup(std::string_view name);
  std::uint32_t FindOrAddRow(std::uint32_t group, std::size_t class_index);
  void Accrue(Row& row, std::int64_t now_us);
  void Accrue(Group& group, std::int64_t now_us);
  void AccrueAll(std::int64_t now_us);
  // Ends each period whose end is not after `now`.
  void Advance(Micros now);
  void EmitPosting(std::int64_t at_us, CurrentPeriod current);
  std::vector<GroupUse> TakeUsage();
  std::int64_t PeriodStartAt(Micros wall) const;
  std::int64_t ConnectionTimeUntil(std::int64_t at_us) const;

  const AccountsSetup setup_;
  Micros wall_offset_;  // Wall clock minus monotonic clock.
  std::int64_t period_start_s_ = 0;
  std::int64_t latest_us_ = 0;  // The latest monotonic time passed in; no usage is accrued beyond it.
  std::vector<Group> groups_;
  std::unordered_map<std::string, std::uint32_t> group_by_name_;
  std::size_t unlisted_groups_ = 0;
  std::vector<Row> rows_;
  // By group and class: the row's index plus 1; 0: no row yet.
  std::vector<std::vector<std::uint32_t>> row_numbers_;
  std::vector<Posting> pending_postings_;
  std::vector<ClockStep> steps_;
  // Connection time, counted independently of the rows: the sum of the open connections' start times, and
  // the total duration of the ended ones.
  std::uint64_t open_ = 0, double_ends_ = 0;
  std::int64_t open_start_sum_us_ = 0, ended_duration_us_ = 0;
  std::int64_t posted_row_time_us_ = 0, posted_connection_time_us_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_ACCOUNTS_H_
