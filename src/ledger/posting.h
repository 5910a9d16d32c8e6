// Postings: the unit in which accounting hands usage to the store.
//
// A posting holds the usage of one interval within one accounting period. Plain data, no I/O, no threads.
#ifndef STOATRUN_LEDGER_POSTING_H_
#define STOATRUN_LEDGER_POSTING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::ledger {

using Micros = std::chrono::microseconds;

// Names under which connections without a group, and groups beyond the bound on listed ones, are accounted.
// No group can be called so: blanks and brackets are not allowed in names.
inline constexpr const char* kMissingGroup = "(missing)";
inline constexpr const char* kOtherGroups = "(other)";

// Usage of one class of connections within a group.
struct ClassUse {
  std::string name;
  std::int64_t use_us = 0;  // Connection time.
  std::uint64_t begun = 0;  // Connections that began.
};

// Usage of one group.
struct GroupUse {
  std::string name;
  std::int64_t use_us = 0;        // Connection time.
  std::int64_t within_us = 0;     // The part of it within the group's quota.
  std::int64_t quota_milli = -1;  // Thousandths of a connection; under 0: no quota, all use is within.
  std::uint32_t peak = 0;         // The most connections open at once.
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

// Open connections by group: the bound on what a crash leaves unattested is computed from them.
using OpenCounts = std::vector<OpenCount>;

// Usage of one interval within one period. Times are Unix time unless said otherwise.
struct Posting {
  std::uint64_t number =
      0;  // Within this run of the relay, assigned by the recorder; makes Apply idempotent.
  std::int64_t period_start_s = 0, period_s = 0;
  std::int64_t wall_us = 0;             // End of the interval.
  std::int64_t connection_time_us = 0;  // Counted independently: what the groups must add up to.
  bool period_ended = false;            // No further postings of this period: it can be closed.
  std::vector<GroupUse> groups;
  std::vector<ClockStep> steps;
  // Usage whose details were dropped because memory was full while the disk was away: reported, never billed.
  std::int64_t unrecorded_us = 0, unrecorded_from_wall_us = 0;

  // The sum of all groups' connection time.
  std::int64_t UseUs() const;
  // The memory it takes, counted in groups, classes and clock steps.
  std::size_t Cells() const;
};

// Adds `from`, the later one, to `into`. Both must be of the same period, or both without usage.
void MergePosting(Posting& into, const Posting& from);

// A copy without usage by group, which is counted as unrecorded instead.
Posting WithoutUsage(const Posting& posting);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_POSTING_H_
