// How many connections the fleet has accepted, served, rejected, failed and holds: quota_templates relay's
// own accounts, and the sum ended the fleet as an interval.
//
// Each run of a relay keeps its accounts by itself and reports them complete, under a version that rises;
// whoever has a later version of the same run drops the earlier. Runs are never added to quota_templates
// other, and one that is ended stays in the sum. So a report that comes twice, late or by many ways changes
// nothing.
//
// The written rule of the interval. A part that is no older than Stale() counts as it was reported: the sum
// is one of what quota_templates relay had at some moment within the age that is told with it. An older part,
// of age a, is widened to what may have become of it: it may have accepted `max_accepted_per_s` x a more,
// quota_templates of those and of its open ones may have ended in any way, and it holds between none and
// `max_open`. A run that is ended holds none; what it may have done between its last report and its end is
// widened likewise. A relay of which nothing was heard makes the sum unbounded above.
#ifndef STOATRUN_FLEET_CONNECTION_COUNTS_H_
#define STOATRUN_FLEET_CONNECTION_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The state machine that every connection of one run goes through: accepted, then exactly one of the ends.
class LocalConnectionCounts {
 public:
  static constexpr std::size_t kMostRows =
      512;  // Further groups share the row `*`: callers must not buy memory.
  static constexpr const char* kOthers = "*";
  enum class Outcome { kServed, kRejected, kFailed };
  struct Handle {
    std::uint32_t row = 0;
    bool open = false;
  };

  Handle Begin(std::uint32_t class_index, std::string_view group);
  // A handle that is not open is counted as a breach, and nothing else changes.
  void End(Handle& handle, Outcome outcome);
  // Every row balances, and all rows together are what came in and went out.
  bool IsBalanced() const;
  const std::vector<ConnectionCountsRow>& Rows() const { return rows_; }
  ConnectionCounts Sum() const;
  std::uint64_t Breaches() const { return breaches_; }
  // Rises whenever anything changed.
  std::uint64_t Changes() const { return changes_; }

 private:
  std::map<std::pair<std::uint32_t, std::string>, std::uint32_t, std::less<>> index_;
  std::vector<ConnectionCountsRow> rows_;
  std::uint64_t taken_ = 0, finished_ = 0, breaches_ = 0, changes_ = 0;
};

class FleetCounts {
 public:
  static constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();
  struct Interval {
    std::uint64_t low = 0, high = 0;
    void Add(std::uint64_t l, std::uint64_t h);
  };
  struct Total {
    Interval accepted, served, rejected, failed, open;
    Micros oldest{0};         // Age of the oldest part that counts as it was reported.
    std::size_t widened = 0;  // Parts that are older than `stale_after`.
    std::size_t unheard = 0;  // Relays of which nothing was heard.
    std::size_t ended = 0;    // Runs that are ended.
    bool complete = true;     // False: runs of before this relay's start may be missing.
  };
  struct Part {  // For the operators.
    MemberId member_id = 0;
    Incarnation incarnation;
    std::uint64_t version = 0;
    std::optional<Micros> age;
    bool ended = false;
    ConnectionCounts sum;
  };

  FleetCounts(const Settings& settings, std::uint64_t seed);

  // This relay's own rows, which are exact at any time.
  void SetLocal(Micros now, const Incarnation& incarnation, std::uint64_t version,
                const std::vector<ConnectionCountsRow>& rows);
  // `transit`: how long the datagram was under way at the most; nothing: unknown.
  void OnUpdate(Micros now, const CountsUpdate& update, std::optional<Micros> transit);
  void OnDigest(Micros now, const CountsDigest& have, std::optional<Micros> transit);
  // A run was heard of, perhaps before any report of it.
  void Heard(Micros now, MemberId member_id, const Incarnation& incarnation);
  // A run is ended: a new one (`present`) was heard of, or the member has left (none).
  void OnIncarnationEnded(Micros now, MemberId member_id, const Incarnation& incarnation,
                          const Incarnation& present = {});
  // A relay that has just started knows no run of before, and its sums have no upper bound until it was told
  // of all. It requests peers for their rosters: that of a complete one is enough; where nobody is complete,
  // as when all start at once, what quota_templates knew at its start is handed on from one to the other
  // until somebody holds what all knew.
  std::optional<MemberId> MemberListWanted(Micros now, MemberId peer);
  MemberListPage MemberList(MemberId from, std::size_t room) const;
  // Returns the place that the next page is to begin with.
  std::optional<MemberId> OnMemberList(Micros now, MemberId peer, const MemberListPage& page);
  bool IsComplete() const { return complete_; }
  void Follow(const std::vector<Peer>& peers);

  // What this relay has of its own place and of some others drawn at random, within `room` bytes.
  std::vector<CountsDigest> Have(Micros now, std::size_t room);
  // What `theirs` lacks, within `room` bytes, and what it has and this relay lacks.
  std::vector<CountsUpdate> Missing(Micros now, const std::vector<CountsDigest>& theirs,
                                    std::size_t room) const;
  std::vector<CountsDigest> Lacking(Micros now, const std::vector<CountsDigest>& theirs);
  // Of what both have: where this relay knows a better bound on its age, within `room` bytes.
  std::vector<CountsDigest> Fresher(Micros now, const std::vector<CountsDigest>& theirs,
                                    std::size_t room) const;
  // Between two reports of one relay, in a fleet of so many.
  static Micros ReportPause(std::size_t relays);
  // A part that is older than this is widened: `stale_after`, or what two reports take to come, if that is
  // longer.
  Micros Stale() const;

  // OnIncarnationEnded all classes and groups, or those named.
  Total Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
            std::optional<std::string_view> group = std::nullopt) const;
  std::vector<Part> Parts(Micros now) const;
  std::vector<std::pair<std::uint32_t, std::string>> Keys() const;  // Classes and groups that any part names.

 private:
  static constexpr std::size_t kMaxIncarnations = 4;  // Of one place; older ones are folded into one sum.
  static constexpr std::size_t kMostParts = 64;
  struct Record {
    Incarnation incarnation;
    std::uint64_t version = 0;
    std::vector<ConnectionCountsRow> rows;
    std::optional<Micros> age;  // At `at`.
    Micros at{0};
    bool ended = false;
    Micros ended_at{0};
    std::optional<Micros> gap;  // Between the report and the end of the run, at the most.
    // A later version of which not all parts are here.
    std::uint64_t coming = 0;
    std::map<std::uint32_t, std::vector<ConnectionCountsRow>> parts;
    std::uint32_t parts_wanted = 0;
    std::optional<Micros> coming_age;
    Micros coming_at{0};
  };
  struct Place {
    std::map<std::uint64_t, Record> incarnations;  // By id.
    Record folded;                                 // Runs so old that they are not kept apart, added up.
    std::uint64_t folded_generation = 0;
    Incarnation left;  // The run that ended in order, with none after it.
  };

  std::optional<Micros> AgeOf(const Record& r, Micros now) const;
  void Improve(Record& r, Micros now, std::optional<Micros> age);
  void CloseGap(Record& r, Micros now);
  bool Followed(const Place& place, const Record& r) const;
  void EndRecord(Record& r, Micros now);
  // What is told of the age of a report, or of the gap after it.
  std::optional<Micros> ReportedAge(const Record& r, Micros now) const {
    return r.ended ? r.gap : AgeOf(r, now);
  }
  static Record* Named(Place& place, std::uint32_t run);
  // A record of a run that was heard of, and none of whose reports was.
  Record& Expect(MemberId member_id, Place& place, const Incarnation& incarnation, Micros now);
  static void TakeGap(Record& r, std::optional<Micros> gap);
  static void Merge(Record& sum, const Record& r);
  void AddRecord(Total& total, const Record& r, Micros now, std::optional<std::uint32_t> class_index,
                 std::optional<std::string_view> group, bool after) const;

  Settings settings_;
  Random random_;
  bool HoldsAll() const;

  std::map<MemberId, Place> places_;
  bool complete_ = false;
  std::set<MemberId> basis_;  // Relays whose knowledge, as of their start, is here.
  struct Reading {            // A member_list that is being read, page by page.
    MemberId peer = 0, next = 0;
    Micros requested_at{0};
    bool complete = true;
    std::set<MemberId> basis;
  };
  std::optional<Reading> reading_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_CONNECTION_COUNTS_H_
