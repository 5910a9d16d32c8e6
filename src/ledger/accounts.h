// Pure accounting of use: no I/O, no clock of its own.
//
// Use is the time that standing connections last, in whole microseconds of the monotonic clock, per group and
// class, cut into periods whose borders lie on the wall clock, aligned to UTC. A group has a share of
// connections; the integral over time of its open connections up to the share is use within it, the rest is
// use beyond it.
//
// What the caller guarantees: `now` never goes backwards; each handle is ended once. What is broken all the
// same (a handle ended twice, say) shows in Check, which compares two sums that are kept apart: the rows, and
// the lives of the connections.
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

struct GroupSetup {
  std::string name;
  std::optional<std::int64_t> quota_milli;  // Thousandths of a connection; nothing: all use is within.
};

struct AccountsSetup {
  Micros period{0};                // Over 0.
  std::vector<GroupSetup> groups;  // Named by the settings or the operator file.
  std::vector<std::string> classes;
  std::size_t max_unlisted_groups = 64;  // Groups that nobody named get rows of their own up to this many.
};

class Accounts {
 public:
  // `wall` is Unix time.
  Accounts(const AccountsSetup& setup, Micros now, Micros wall);

  // An empty name is a missing group. Names beyond `max_unlisted_groups`, or not of a name's form, share one
  // row: callers must not buy memory with names.
  UsageHandle Begin(Micros now, std::string_view group, std::size_t class_index);
  void End(Micros now, UsageHandle& handle);

  // Compares the wall clock with what the monotonic one led to expect. A difference over the slack is a step:
  // it is recorded, and the period that holds the new time goes on from here. A smaller one moves the
  // borders.
  void Tick(Micros now, Micros wall);
  // All that came about since the last call, oldest first. The last posting is of the period that goes on.
  // With `leave` that one is left, too (a planned end).
  std::vector<Posting> Take(Micros now, bool leave);

  // What is booked in rows, and the lives of connections, up to now; equal unless the code is wrong.
  struct Sums {
    std::int64_t row_time_us = 0, connection_time_us = 0;
    std::uint64_t double_ends = 0;  // Tickets ended that were not open.
    bool Balance() const { return row_time_us == connection_time_us && double_ends == 0; }
  };
  Sums Check(Micros now);

  std::uint64_t Open() const { return open_; }
  // Open connections of each group that has any: what a crash from here on leaves unattested.
  std::vector<std::pair<std::string, std::uint32_t>> OpenByGroup() const;
  std::int64_t PeriodStart() const { return period_start_s_; }
  // Whether a period was left since the last Take.
  bool PeriodDone(Micros now) {
    Advance(now);
    return !ready_.empty();
  }
  std::size_t Rows() const { return rows_.size(); }
  Micros WallAt(Micros now) const { return now + offset_; }

  static constexpr Micros kSlack = std::chrono::milliseconds(250);

 private:
  struct Group {
    std::string name;
    std::optional<std::int64_t> quota_milli;
    std::uint32_t open = 0, peak = 0;
    std::int64_t settled_us = 0;  // Monotonic time up to which it is settled.
    std::int64_t use_us = 0, within_us = 0, carry_milli = 0;
    bool touched = false;  // Anything to tell in the next posting.
  };
  struct Row {
    std::uint32_t group = 0, class_index = 0;
    std::uint32_t open = 0, begun = 0;
    std::int64_t settled_us = 0, use_us = 0;
  };

  std::uint32_t GroupNamed(std::string_view name);
  std::uint32_t RowOf(std::uint32_t group, std::size_t class_index);
  void Settle(Row& row, std::int64_t now_us);
  void Settle(Group& group, std::int64_t now_us);
  void SettleAll(std::int64_t now_us);
  // Cuts at each border that lies before `now`.
  void Advance(Micros now);
  void Cut(std::int64_t at_us, bool period_ended);
  std::int64_t StartOf(Micros wall) const;

  const AccountsSetup setup_;
  Micros offset_;  // Wall clock less monotonic.
  std::int64_t period_start_s_ = 0;
  std::int64_t latest_us_ = 0;  // Nothing is settled beyond this time.
  std::vector<Group> groups_;
  std::unordered_map<std::string, std::uint32_t> numbers_;
  std::size_t unlisted_groups_ = 0;
  std::vector<Row> rows_;
  std::vector<std::vector<std::uint32_t>> row_of_;  // By group and class; 0: none, else the row and one.
  std::vector<Posting> ready_;
  std::vector<ClockStep> steps_;
  // The lives, kept apart from the rows.
  std::uint64_t open_ = 0, double_ends_ = 0;
  std::int64_t since_sum_us_ = 0, ended_us_ = 0;
  std::int64_t posted_row_time_us_ = 0,
               posted_connection_time_us_ = 0;  // Booked and lived, as far as postings hold them.
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_ACCOUNTS_H_
