// What is known of the connection counts of one incarnation, and of all incarnations of one member.
//
// Plain values that FleetCounts (connection_counts.h) keeps and changes, on its thread.
#ifndef STOATRUN_FLEET_COUNTS_RECORD_H_
#define STOATRUN_FLEET_COUNTS_RECORD_H_

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The sum of two bounds; nothing if either is unknown.
std::optional<Micros> SumOfBounds(std::optional<Micros> first, std::optional<Micros> second);

// The last complete report of one incarnation, with bounds on its age. The bounds only ever get tighter.
struct CountsRecord {
  Incarnation incarnation;
  std::uint64_t version = 0;  // 0: no report has arrived.
  std::vector<ConnectionCountsRow> rows;
  std::optional<Micros> age;  // Upper bound, as of `age_at`.
  Micros age_at{0};
  bool ended = false;
  Micros ended_at{0};
  std::optional<Micros> gap;  // Upper bound on the time between the report and the incarnation's end.

  // A later version, not all of whose parts have arrived.
  struct Assembly {
    std::uint64_t version = 0;  // 0: none.
    std::map<std::uint32_t, std::vector<ConnectionCountsRow>> parts;
    std::uint32_t parts_wanted = 0;
    std::optional<Micros> age;  // Of the part that came first; it holds for all, as they are of one moment.
    Micros at{0};
  };
  Assembly assembly;

  // Upper bound on the report's age; nothing: unknown.
  std::optional<Micros> AgeBound(Micros now) const;
  // What is reported to peers: the age, or of an ended incarnation the gap.
  std::optional<Micros> ReportedAge(Micros now) const { return ended ? gap : AgeBound(now); }
  // Takes `bound` if it is tighter than what is known.
  void TightenAge(Micros now, std::optional<Micros> bound);
  // The same for the gap.
  void TightenGap(std::optional<Micros> bound);
  // Bounds the gap of an ended incarnation by its report's age when the end was heard of.
  void CloseGap(Micros now);
  // The incarnation has ended.
  void End(Micros now);
  // Adds a part of a version later than `version`. Returns true if that version is now complete and in force.
  bool AddPart(Micros now, const CountsUpdate& update, std::optional<Micros> part_age);
};

// All incarnations of one member that are known.
struct MemberCounts {
  std::map<std::uint64_t, CountsRecord> incarnations;  // By id.
  CountsRecord merged;                                 // Ended ones that are not kept apart, added up.
  std::uint64_t merged_generation = 0;                 // The highest that was merged.

  // True if the incarnation is known, or was merged.
  bool Covers(const Incarnation& incarnation) const;
  // The record that ShortIncarnationId() names, or null.
  const CountsRecord* Find(std::uint32_t run) const;
  // The same, to be changed.
  CountsRecord* Find(std::uint32_t run);
  // True if a later incarnation than the record's is known. Only then is an end that a peer reports believed:
  // the peer may have taken the order of the two for the wrong one.
  bool IsFollowed(const CountsRecord& record) const;
  // Merges the oldest incarnation, if it has ended and too many are kept apart.
  void MergeOldest();
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_COUNTS_RECORD_H_
