// How many connections the whole fleet has accepted, served, rejected, failed and holds open.
//
// Each incarnation of a relay keeps its own counts and reports them as a whole, under a version that rises;
// whoever has a later version of the same incarnation drops an earlier one. Incarnations are never added to
// each other, and an ended one stays in the sum. So the counts are a state-based CRDT (a map of incarnations
// to versioned registers; compare delta-state CRDTs, Almeida, Shoker, Baquero 2018): a report that comes
// twice, late or by many ways changes nothing. Peers exchange digests and send each other only what is
// missing (anti-entropy).
//
// counts_interval.h says how the reports become a sum that holds the true value. Deterministic and not
// thread-safe; see node.h. Bounded: four incarnations are kept apart per member, older ended ones are merged.
#ifndef STOATRUN_FLEET_CONNECTION_COUNTS_H_
#define STOATRUN_FLEET_CONNECTION_COUNTS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "fleet/counts_interval.h"
#include "fleet/counts_record.h"
#include "fleet/local_connection_counts.h"
#include "fleet/member_list_sync.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The connection counts of all relays, as this relay knows them.
class FleetCounts {
 public:
  // One incarnation's counts, for the status call.
  struct Part {
    MemberId member_id = 0;
    Incarnation incarnation;
    std::uint64_t version = 0;
    std::optional<Micros> age;
    bool ended = false;
    ConnectionCounts sum;
  };
  // A class and group that some report names.
  struct Key {
    std::uint32_t class_index = 0;
    std::string group;
    // NOLINTNEXTLINE(modernize-use-nullptr): the generated comparison with 0 is taken for one with a pointer.
    auto operator<=>(const Key&) const = default;
  };

  // `seed`: of the random choice of digests.
  FleetCounts(const Settings& settings, std::uint64_t seed);

  // Sets this relay's own rows, which are exact as of `now`.
  void SetLocal(Micros now, const Incarnation& incarnation, std::uint64_t version,
                const std::vector<ConnectionCountsRow>& rows);
  // Takes a report in, of whatever age. `transit`: upper bound on its datagram's time under way; nothing:
  // unknown.
  void OnUpdate(Micros now, const CountsUpdate& update, std::optional<Micros> transit);
  // A peer has a report: takes over its bound on the age if that is tighter.
  void OnDigest(Micros now, const CountsDigest& digest, std::optional<Micros> transit);
  // An incarnation was heard of, perhaps before any report of it.
  void OnIncarnation(Micros now, MemberId member_id, const Incarnation& incarnation);
  // An incarnation has ended: a new one (`present`) was heard of, or the member left (none).
  void OnIncarnationEnded(Micros now, MemberId member_id, const Incarnation& incarnation,
                          const Incarnation& present = {});

  // Where to start reading the member list of `peer`; nothing: not wanted now. See member_list_sync.h.
  std::optional<MemberId> MemberListWanted(Micros now, MemberId peer) {
    return member_list_sync_.StartReading(now, peer);
  }
  // A page of the own member list that starts at `from`, within `max_bytes` if it names more than one member.
  MemberListPage MemberList(MemberId from, std::size_t max_bytes) const;
  // Takes a page in. Returns the start of the next page to ask for, if there is one.
  std::optional<MemberId> OnMemberList(Micros now, MemberId peer, const MemberListPage& page);
  // True if all incarnations that any relay knows are known here.
  bool IsComplete() const { return member_list_sync_.IsComplete(); }
  // Follows a changed operator file: peers added or removed.
  void Follow(const std::vector<Peer>& peers);

  // Digests of this relay's own reports and of some members drawn at random, within `max_bytes`.
  std::vector<CountsDigest> Digests(Micros now, std::size_t max_bytes);
  // The reports that a peer with the digests `theirs` lacks, within `max_bytes`.
  std::vector<CountsUpdate> Missing(Micros now, const std::vector<CountsDigest>& theirs,
                                    std::size_t max_bytes) const;
  // Digests of the members of which the peer has reports that this relay lacks.
  std::vector<CountsDigest> Lacking(Micros now, const std::vector<CountsDigest>& theirs) const;
  // Of the reports that both have, those on whose age this relay knows a much tighter bound, within
  // `max_bytes`.
  std::vector<CountsDigest> Fresher(Micros now, const std::vector<CountsDigest>& theirs,
                                    std::size_t max_bytes) const;

  // The least time between two reports of one relay, in a fleet of so many: each report costs every relay its
  // bytes.
  static Micros ReportPause(std::size_t relays);
  // A report older than this is widened: the setting, or what two reports take to arrive, if that is longer.
  Micros StaleAfter() const;

  // The fleet's connections as intervals, over all classes and groups or those named.
  ConnectionTotals Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
                       std::optional<std::string_view> group = std::nullopt) const;
  // Every incarnation that is kept apart, by member.
  std::vector<Part> Parts(Micros now) const;
  // The classes and groups that any report names, sorted.
  std::vector<Key> Keys() const;

 private:
  // The record of an incarnation that was heard of; made if there is none.
  CountsRecord& Expect(Micros now, MemberId member_id, MemberCounts& member,
                       const Incarnation& incarnation) const;
  // The ends and bounds that an update of a known version brings.
  static void ApplyBounds(Micros now, const MemberCounts& member, CountsRecord& record,
                          const CountsUpdate& update, std::optional<Micros> age);
  // True if the update can be taken in at all.
  bool IsAcceptable(const MemberCounts& member, const CountsUpdate& update) const;
  static std::vector<CountsDigest> DigestsOf(Micros now, MemberId member_id, const MemberCounts& member);

  Settings settings_;
  Random random_;
  std::map<MemberId, MemberCounts> members_;
  MemberListSync member_list_sync_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_CONNECTION_COUNTS_H_
