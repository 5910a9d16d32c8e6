// The known connection counts of one incarnation, and of all incarnations of one member.
//
// Plain data owned and modified by FleetCounts (connection_counts.h) on its thread.
#ifndef STOATRUN_FLEET_COUNTS_RECORD_H_
#define STOATRUN_FLEET_COUNTS_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The sum of two bounds; nullopt if either is unknown.
std::optional<Micros> SumOfBounds(std::optional<Micros> first, std::optional<Micros> second);

// The last complete report of one incarnation, with bounds on its age. Bounds on one report only get tighter.
struct CountsRecord {
  Incarnation incarnation;
  std::uint64_t version = 0;  // 0: no report has arrived.
  std::vector<ConnectionCountsRow> rows;
  std::optional<Micros> age;  // Upper bound, as of `age_at`.
  Micros age_at{0};
  bool ended = false;
  Micros ended_at{0};
  std::optional<Micros> gap;  // Upper bound on the time between the report and the end of the incarnation.

  // A later version whose parts have not all arrived yet.
  struct Assembly {
    std::uint64_t version = 0;  // 0: none.
    std::map<std::uint32_t, std::vector<ConnectionCountsRow>> parts;
    std::uint32_t parts_wanted = 0;
    std::optional<Micros> age;  // Of the first part received; valid for all, as they share one snapshot.
    Micros at{0};
  };
  Assembly assembly;

  // Upper bound on the report's age; nullopt: unknown.
  std::optional<Micros> AgeBound(Micros now) const;
  // The bound that is reported to peers: the age, or the gap for an ended incarnation.
  std::optional<Micros> ReportedAge(Micros now) const { return ended ? gap : AgeBound(now); }
  // Adopts `bound` as the age if it is tighter than the known one.
  void TightenAge(Micros now, std::optional<Micros> bound);
  // Adopts `bound` as the gap if it is tighter than the known one.
  void TightenGap(std::optional<Micros> bound);
  // Bounds the gap of an ended incarnation by the age that its report had when the end became known.
  void BoundGapByAge(Micros now);
  // Marks the incarnation as ended.
  void MarkEnded(Micros now);
  // Adds a part of a version later than `version`. Returns true if it completed that version, which then
  // replaces the rows.
  bool AddPart(Micros now, const CountsUpdate& update, std::optional<Micros> part_age);
};

// All incarnations of one member that are known.
struct MemberCounts {
  std::map<std::uint64_t, CountsRecord> incarnations;  // By id.
  CountsRecord merged;                                 // Sum of the ended ones not stored separately.
  std::uint64_t merged_generation = 0;                 // The highest generation in `merged`.

  // True if the incarnation has a record or was merged.
  bool IsKnownOrMerged(const Incarnation& incarnation) const;
  // The record with the given ShortIncarnationId(), or null.
  const CountsRecord* Find(std::uint32_t short_id) const;
  // Mutable overload.
  CountsRecord* Find(std::uint32_t short_id);
  // True if a later incarnation than the record's is known. A reported end is accepted only in that case,
  // because the reporting peer may have mistaken the order of the two incarnations.
  bool HasSuccessor(const CountsRecord& record) const;
  // Merges the oldest incarnation if it has ended and too many are stored separately.
  void MergeOldest();
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_COUNTS_RECORD_H_
