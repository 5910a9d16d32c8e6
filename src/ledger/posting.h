// What the accounting hands to the store: the use that came about in a stretch of one period.
#ifndef STOATRUN_LEDGER_POSTING_H_
#define STOATRUN_LEDGER_POSTING_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::ledger {

using Micros = std::chrono::microseconds;

// The rows of connections whose group is missing, and of groups beyond those that get a row of their own.
// Blanks and brackets are not of a name's form, so no group can be called so.
inline constexpr const char* kMissingGroup = "(missing)";
inline constexpr const char* kOtherGroups = "(other)";

struct ClassUse {
  std::string name;
  std::int64_t use_us = 0;
  std::uint64_t begun = 0;
};

struct GroupUse {
  std::string name;
  std::int64_t use_us = 0, within_us = 0;  // Beyond the share is the rest.
  std::int64_t quota_milli = -1;           // Under 0: no share is set.
  std::uint32_t peak = 0;                  // The most connections open at once.
  std::vector<ClassUse> classes;
  std::int64_t BeyondUs() const { return use_us - within_us; }
};

struct ClockStep {
  std::int64_t from_wall_us = 0, to_wall_us = 0;
};

struct Posting {
  std::uint64_t number = 0;  // Of this run of the relay, given by the recorder; the store takes each once.
  std::int64_t period_start_s = 0, period_s = 0;
  std::int64_t wall_us = 0;  // When the stretch ended, by the wall clock.
  std::int64_t connection_time_us =
      0;                      // Of connections in the stretch: the sum that the rows must add up to.
  bool period_ended = false;  // The period is left: it can be closed.
  std::vector<GroupUse> groups;
  std::vector<ClockStep> steps;
  // Use of stretches whose rows found no room in memory while the disk was away: told, never billed.
  std::int64_t unrecorded_us = 0, unrecorded_from_wall_us = 0;
  std::uint64_t stretches = 1;  // So many were joined.

  std::int64_t UseUs() const;
  // Groups and their classes: what the memory it takes goes by.
  std::size_t Cells() const;
};

// Joins `from`, the later, into `into`: of the same period, or both without rows. Nothing is lost but the
// border between them.
void Join(Posting& into, const Posting& from);
// The posting without its rows, their use told as unkept.
Posting WithoutRows(const Posting& posting);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_POSTING_H_
