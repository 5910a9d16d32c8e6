// Accounting of connection time by group, class and period.
//
// Usage is the time that connections are open, in whole microseconds of the monotonic clock. It is accounted
// per group and class of connection, and cut into periods whose boundaries lie on the wall clock, aligned to
// UTC. A group may have a quota of connections: the integral over time of its open connections up to the
// quota is usage within it, the rest is usage beyond it.
//
// Invariant: the sum of the rows (group and class) equals the connection time, which is counted independently
// of them; ComputeSums compares the two. The caller guarantees that `now` never goes backwards and that each
// handle is ended once; a handle that is ended twice shows as `double_ends`.
//
// Pure: no I/O and no clock of its own. Not synchronized: of one thread, the event loop's.
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

// A group that the configuration lists.
struct GroupSetup {
  std::string name;
  std::optional<std::int64_t> quota_milli;  // Thousandths of a connection; nothing: all usage is within.
};

// Settings of the accounting.
struct AccountsSetup {
  Micros period{0};                // Over 0.
  std::vector<GroupSetup> groups;  // Named by the settings or the operator file.
  std::vector<std::string> classes;
  std::size_t max_unlisted_groups = 64;  // So many groups that nobody listed get rows of their own.
};

// See the comment at the top of this file.
class Accounts {
 public:
  // What becomes of the period that is current when postings are taken.
  enum class CurrentPeriod {
    kContinues,  // Further postings of it follow.
    kEnds        // It can be closed.
  };

  // A difference between the clocks beyond this is a step of the wall clock, not drift.
  static constexpr Micros kClockStepThreshold = std::chrono::milliseconds(250);

  // `wall` is Unix time.
  Accounts(const AccountsSetup& setup, Micros now, Micros wall);

  // A connection opens. An empty name is a missing group. Unlisted groups beyond the bound, and names that
  // are not well-formed, share one row, so that clients can't take up memory by inventing names.
  UsageHandle Begin(Micros now, std::string_view group, std::size_t class_index);
  // The connection closes. A handle that is not open is ignored.
  void End(Micros now, UsageHandle& handle);

  // Compares the wall clock with what the monotonic one led to expect. A difference over kClockStepThreshold
  // is recorded as a step, and accounting goes on in the period that holds the new time; a smaller one shifts
  // the boundaries of periods.
  void OnClockReading(Micros now, Micros wall);
  // All usage since the last call, oldest first. The last posting is that of the current period.
  std::vector<Posting> TakePostings(Micros now, CurrentPeriod current);

  // Two independent sums up to now; they differ only if the program has an error.
  struct Sums {
    std::int64_t row_time_us = 0;         // By the rows.
    std::int64_t connection_time_us = 0;  // By the connections' times of begin and end.
    std::uint64_t double_ends = 0;        // Handles ended that were not open.

    bool AreBalanced() const { return row_time_us == connection_time_us && double_ends == 0; }
  };
  // Both sums as of now.
  Sums ComputeSums(Micros now);

  // The number of open connections.
  std::uint64_t OpenConnections() const { return open_; }
  // Open connections of each group that has any: what a crash from here on leaves unattested.
  OpenCounts OpenByGroup() const;
  // The start of the current period, Unix time in seconds.
  std::int64_t PeriodStart() const { return period_start_s_; }
  // Whether a period has ended since the last TakePostings.
  bool HasEndedPeriod(Micros now) {
    Advance(now);
    return !ready_.empty();
  }
  // The number of rows, one for each group and class that was ever used.
  std::size_t RowCount() const { return rows_.size(); }
  // The wall clock at a monotonic time, as of the last reading.
  Micros WallAt(Micros now) const { return now + wall_offset_; }

 private:
  struct Group {
    std::string name;
    std::optional<std::int64_t> quota_milli;
    std::uint32_t open = 0, peak = 0;
    std::int64_t settled_us = 0;  // Monotonic time up to which usage is accounted.
    std::int64_t use_us = 0, within_us = 0;
    std::int64_t within_remainder_milli = 0;  // Thousandths of a microsecond, carried on.
    bool touched = false;                     // To be listed in the next posting, even without usage.
  };
  struct Row {
    std::uint32_t group = 0, class_index = 0;
    std::uint32_t open = 0, begun = 0;
    std::int64_t settled_us = 0, use_us = 0;
  };

  std::uint32_t AddGroup(const std::string& name, std::optional<std::int64_t> quota_milli);
  std::uint32_t FindOrAddGroup(std::string_view name);
  std::uint32_t FindOrAddRow(std::uint32_t group, std::size_t class_index);
  void Settle(Row& row, std::int64_t now_us);
  void Settle(Group& group, std::int64_t now_us);
  void SettleAll(std::int64_t now_us);
  // Cuts at each boundary of periods that lies before `now`.
  void Advance(Micros now);
  void Cut(std::int64_t at_us, CurrentPeriod current);
  std::vector<GroupUse> TakeUsage();
  std::int64_t PeriodStartAt(Micros wall) const;
  std::int64_t ConnectionTimeUntil(std::int64_t at_us) const;

  const AccountsSetup setup_;
  Micros wall_offset_;  // Wall clock less monotonic clock.
  std::int64_t period_start_s_ = 0;
  std::int64_t latest_us_ = 0;  // No usage is accounted beyond this time.
  std::vector<Group> groups_;
  std::unordered_map<std::string, std::uint32_t> group_by_name_;
  std::size_t unlisted_groups_ = 0;
  std::vector<Row> rows_;
  std::vector<std::vector<std::uint32_t>>
      row_of_;  // By group and class; 0: none, else the row's index plus 1.
  std::vector<Posting> ready_;
  std::vector<ClockStep> steps_;
  // Connection time, counted independently of the rows.
  std::uint64_t open_ = 0, double_ends_ = 0;
  std::int64_t open_since_sum_us_ = 0, ended_us_ = 0;
  std::int64_t posted_row_time_us_ = 0, posted_connection_time_us_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_ACCOUNTS_H_
