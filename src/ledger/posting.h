// A posting is a batch of usage that the accounting passes to the store.
//
// It holds the usage of one interval within one accounting period. Plain data: no I/O, no threads.
#ifndef STOATRUN_LEDGER_POSTING_H_
#define STOATRUN_LEDGER_POSTING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::ledger {

using Micros = std::chrono::microseconds;

// Names under which connections without a group, and groups beyond `max_unlisted_groups`, are accounted.
// They cannot clash with a group's name, which may not contain parentheses.
inline constexpr const char* kMissingGroup = "(missing)";
inline constexpr const char* kOtherGroups = "(other)";

// Usage of one class of connections within a group.
struct ClassUse {
  std::string name;
  std::int64_t use_us = 0;  // Connection time.
  std::uint64_t begun = 0;  // Connections opened.
};

// Usage of one group.
struct GroupUse {
  std::string name;
  std::int64_t use_us = 0;        // Connection time.
  std::int64_t within_us = 0;     // The part within the group's quota.
  std::int64_t quota_milli = -1;  // Thousandths of a connection; negative: no quota, all usage is within.
  std::uint32_t peak = 0;         // Maximum number of concurrently open connections.
  std::vector<ClassUse> classes;

  // Connection time beyond the quota.
  std::int64_t BeyondUs() const { return use_us - within_us; }
};

// A jump of the wall clock, in Unix time.
struct ClockStep {
  std::int64_t from_wall_us = 0, to_wall_us = 0;
};

// Open connections of one group.
struct OpenCount {
  std::string group;
  std::uint32_t open = 0;
};

// Open connections by group. The upper bound on the usage that a crash leaves unattested is computed from
// them.
using OpenCounts = std::vector<OpenCount>;

// Usage of one interval within one period. Times are Unix time unless said otherwise.
struct Posting {
  // Assigned by the recorder, unique within this run of the relay; makes Store::Apply idempotent.
  std::uint64_t number = 0;
  std::int64_t period_start_s = 0, period_s = 0;
  std::int64_t wall_us = 0;             // End of the interval.
  std::int64_t connection_time_us = 0;  // Counted independently; the groups must add up to it.
  bool period_ended = false;            // No more postings of this period follow: it can be closed.
  std::vector<GroupUse> groups;
  std::vector<ClockStep> steps;
  // Usage whose breakdown by group was dropped because the backlog in memory was full while the store could
  // not be written: reported, never billed.
  std::int64_t unrecorded_us = 0, unrecorded_from_wall_us = 0;

  // Connection time, summed over all groups.
  std::int64_t UseUs() const;
  // The size that counts towards the limit on the backlog: one cell for the posting itself and for each
  // group, class of a group and clock step.
  std::size_t Cells() const;
};

// Merges `from`, the later posting, into `into`. Both must be of the same period, or both without usage.
void MergePosting(Posting& into, const Posting& from);

// Returns a copy without the groups, whose usage is added to `unrecorded_us`.
Posting WithoutUsage(const Posting& posting);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_POSTING_H_
