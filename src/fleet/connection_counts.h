// How many connections the fleet has taken, served, refused, failed and holds: each relay's own accounts, and
// the sum over the fleet as an interval.
//
// Each run of a relay keeps its accounts by itself and reports them whole, under a version that rises;
// whoever has a later version of the same run drops the earlier. Runs are never added to each other, and one
// that is over stays in the sum. So a report that comes twice, late or by many ways changes nothing.
//
// The written rule of the interval. A part that is no older than Stale() counts as it was reported: the sum
// is one of what each relay had at some moment within the age that is told with it. An older part, of age a,
// is widened to what may have become of it: it may have taken `taken_per_s` x a more, each of those and of
// its open ones may have ended in any way, and it holds between none and `most_open`. A run that is over
// holds none; what it may have done between its last report and its end is widened likewise. A relay of which
// nothing was heard makes the sum unbounded above.
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

// The state machine that every connection of one run goes through: taken, then exactly one of the ends.
class Accounts {
 public:
  static constexpr std::size_t kMostRows =
      512;  // Further groups share the row `*`: callers must not buy memory.
  static constexpr const char* kOthers = "*";
  enum class End { kServed, kRefused, kFailed };
  struct Ticket {
    std::uint32_t row = 0;
    bool open = false;
  };

  Ticket Take(std::uint32_t class_index, std::string_view group);
  // A ticket that is not open is counted as a breach, and nothing else changes.
  void Finish(Ticket& ticket, End end);
  // Every row balances, and all rows together are what came in and went out.
  bool Check() const;
  const std::vector<TallyRow>& Rows() const { return rows_; }
  Tally Sum() const;
  std::uint64_t Breaches() const { return breaches_; }
  // Rises whenever anything changed.
  std::uint64_t Changes() const { return changes_; }

 private:
  std::map<std::pair<std::uint32_t, std::string>, std::uint32_t, std::less<>> index_;
  std::vector<TallyRow> rows_;
  std::uint64_t taken_ = 0, finished_ = 0, breaches_ = 0, changes_ = 0;
};

class FleetCounts {
 public:
  static constexpr std::uint64_t kUnbounded = std::numeric_limits<std::uint64_t>::max();
  struct Bound {
    std::uint64_t low = 0, high = 0;
    void Add(std::uint64_t l, std::uint64_t h);
  };
  struct Total {
    Bound taken, served, refused, failed, open;
    Micros oldest{0};         // Age of the oldest part that counts as it was reported.
    std::size_t widened = 0;  // Parts that are older than `stale`.
    std::size_t unheard = 0;  // Relays of which nothing was heard.
    std::size_t over = 0;     // Runs that are over.
    bool whole = true;        // False: runs of before this relay's start may be missing.
  };
  struct Part {  // For the operators.
    Slot slot = 0;
    Life life;
    std::uint64_t version = 0;
    std::optional<Micros> age;
    bool over = false;
    Tally sum;
  };

  FleetCounts(const Settings& settings, std::uint64_t seed);

  // This relay's own rows, which are exact at any time.
  void Own(Micros now, const Life& life, std::uint64_t version, const std::vector<TallyRow>& rows);
  // `transit`: how long the datagram was under way at the most; nothing: unknown.
  void OnNews(Micros now, const CountsNews& news, std::optional<Micros> transit);
  void OnHave(Micros now, const CountsHave& have, std::optional<Micros> transit);
  // A run was heard of, perhaps before any report of it.
  void Heard(Micros now, Slot slot, const Life& life);
  // A run is over: a new one (`present`) was heard of, or the member has left (none).
  void Over(Micros now, Slot slot, const Life& life, const Life& present = {});
  // A relay that has just started knows no run of before, and its sums have no upper bound until it was told
  // of all. It asks peers for their rosters: that of a whole one is enough; where nobody is whole, as when
  // all start at once, what each knew at its start is handed on from one to the other until somebody holds
  // what all knew.
  std::optional<Slot> RosterWanted(Micros now, Slot peer);
  RosterPage Roster(Slot from, std::size_t room) const;
  // Returns the place that the next page is to begin with.
  std::optional<Slot> OnRoster(Micros now, Slot peer, const RosterPage& page);
  bool Whole() const { return whole_; }
  void Follow(const std::vector<Peer>& peers);

  // What this relay has of its own place and of some others drawn at random, within `room` bytes.
  std::vector<CountsHave> Have(Micros now, std::size_t room);
  // What `theirs` lacks, within `room` bytes, and what it has and this relay lacks.
  std::vector<CountsNews> Missing(Micros now, const std::vector<CountsHave>& theirs, std::size_t room) const;
  std::vector<CountsHave> Lacking(Micros now, const std::vector<CountsHave>& theirs);
  // Of what both have: where this relay knows a better bound on its age, within `room` bytes.
  std::vector<CountsHave> Fresher(Micros now, const std::vector<CountsHave>& theirs, std::size_t room) const;
  // Between two reports of one relay, in a fleet of so many.
  static Micros ReportPause(std::size_t relays);
  // A part that is older than this is widened: `stale`, or what two reports take to come, if that is longer.
  Micros Stale() const;

  // Over all classes and groups, or those named.
  Total Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
            std::optional<std::string_view> group = std::nullopt) const;
  std::vector<Part> Parts(Micros now) const;
  std::vector<std::pair<std::uint32_t, std::string>> Keys() const;  // Classes and groups that any part names.

 private:
  static constexpr std::size_t kMostLives = 4;  // Of one place; older ones are folded into one sum.
  static constexpr std::size_t kMostParts = 64;
  struct Record {
    Life life;
    std::uint64_t version = 0;
    std::vector<TallyRow> rows;
    std::optional<Micros> age;  // At `at`.
    Micros at{0};
    bool over = false;
    Micros over_at{0};
    std::optional<Micros> gap;  // Between the report and the end of the run, at the most.
    // A later version of which not all parts are here.
    std::uint64_t coming = 0;
    std::map<std::uint32_t, std::vector<TallyRow>> parts;
    std::uint32_t parts_wanted = 0;
    std::optional<Micros> coming_age;
    Micros coming_at{0};
  };
  struct Place {
    std::map<std::uint64_t, Record> lives;  // By id.
    Record folded;                          // Runs so old that they are not kept apart, added up.
    std::uint64_t folded_generation = 0;
    Life left;  // The run that ended in order, with none after it.
  };

  std::optional<Micros> AgeOf(const Record& r, Micros now) const;
  void Improve(Record& r, Micros now, std::optional<Micros> age);
  void CloseGap(Record& r, Micros now);
  bool Followed(const Place& place, const Record& r) const;
  void End(Record& r, Micros now);
  // What is told of the age of a report, or of the gap after it.
  std::optional<Micros> Told(const Record& r, Micros now) const { return r.over ? r.gap : AgeOf(r, now); }
  static Record* Named(Place& place, std::uint32_t run);
  // A record of a run that was heard of, and none of whose reports was.
  Record& Expect(Slot slot, Place& place, const Life& life, Micros now);
  static void TakeGap(Record& r, std::optional<Micros> gap);
  static void FoldInto(Record& sum, const Record& r);
  void AddRecord(Total& total, const Record& r, Micros now, std::optional<std::uint32_t> class_index,
                 std::optional<std::string_view> group, bool after) const;

  Settings settings_;
  Random random_;
  bool HoldsAll() const;

  std::map<Slot, Place> places_;
  bool whole_ = false;
  std::set<Slot> basis_;  // Relays whose knowledge, as of their start, is here.
  struct Reading {        // A roster that is being read, page by page.
    Slot peer = 0, next = 0;
    Micros asked_at{0};
    bool whole = true;
    std::set<Slot> basis;
  };
  std::optional<Reading> reading_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_CONNECTION_COUNTS_H_
