// Fleet-wide counts of accepted, served, rejected, failed and open connections.
//
// Each incarnation of a relay maintains its own counts and reports them in full under an increasing version;
// a receiver drops any version older than the one it holds for that incarnation. Counts of different
// incarnations are stored separately, and an ended incarnation stays in the sum. The counts therefore form a
// state-based CRDT (a map from incarnations to versioned registers; compare delta-state CRDTs, Almeida,
// Shoker, Baquero 2018): duplicated, late or repeatedly forwarded reports have no effect. Peers exchange
// digests and send each other only the missing reports (anti-entropy).
//
// counts_interval.h describes how the reports are combined into a sum that contains the true value.
// Deterministic and not thread-safe; see node.h. Memory is bounded: up to four incarnations per member are
// stored separately, older ended ones are merged.
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

// The connection counts of all relays, as known to this relay.
class FleetCounts {
 public:
  // The counts of one incarnation, for the status document.
  struct IncarnationCounts {
    MemberId member_id = 0;
    Incarnation incarnation;
    std::uint64_t version = 0;
    std::optional<Micros> age;
    bool ended = false;
    ConnectionCounts sum;
  };
  // A class and group that occurs in at least one report.
  struct Key {
    std::uint32_t class_index = 0;
    std::string group;
    // NOLINTNEXTLINE(modernize-use-nullptr): the generated comparison with 0 is taken for one with a pointer.
    auto operator<=>(const Key&) const = default;
  };

  // `seed`: for the random selection of digests.
  FleetCounts(const Settings& settings, std::uint64_t seed);

  // Sets this relay's own rows, exact as of `now`.
  void SetLocal(Micros now, const Incarnation& incarnation, std::uint64_t version,
                const std::vector<ConnectionCountsRow>& rows);
  // Processes a received report of any age. `transit`: upper bound on the transit time of its datagram;
  // nullopt: unknown.
  void OnUpdate(Micros now, const CountsUpdate& update, std::optional<Micros> transit);
  // Processes a digest of a peer: adopts the peer's bound on a report's age if it is tighter.
  void OnDigest(Micros now, const CountsDigest& digest, std::optional<Micros> transit);
  // An incarnation became known, possibly before its first report arrived.
  void OnIncarnation(Micros now, MemberId member_id, const Incarnation& incarnation);
  // An incarnation has ended: a new one (`present`) became known, or the member left (`present` is empty).
  void OnIncarnationEnded(Micros now, MemberId member_id, const Incarnation& incarnation,
                          const Incarnation& present = {});

  // The member at which to start reading the member list of `peer`; nullopt: no read is due. See
  // member_list_sync.h.
  std::optional<MemberId> MemberListWanted(Micros now, MemberId peer) {
    return member_list_sync_.StartReading(now, peer);
  }
  // A page of this relay's member list that starts at `from`. It fits `max_bytes` unless it contains a single
  // member.
  MemberListPage MemberList(MemberId from, std::size_t max_bytes) const;
  // Processes a received page. Returns the start of the next page to request, if there is one.
  std::optional<MemberId> OnMemberList(Micros now, MemberId peer, const MemberListPage& page);
  // True if this relay knows every incarnation that any relay knows.
  bool IsComplete() const { return member_list_sync_.IsComplete(); }
  // Applies a reloaded operator file that adds or removes peers.
  void SetPeers(const std::vector<Peer>& peers);

  // Digests of this relay's own reports and of randomly selected members, within `max_bytes`.
  std::vector<CountsDigest> Digests(Micros now, std::size_t max_bytes);
  // The reports that are missing at a peer with the digests `theirs`, within `max_bytes`.
  std::vector<CountsUpdate> MissingUpdates(Micros now, const std::vector<CountsDigest>& theirs,
                                           std::size_t max_bytes) const;
  // This relay's digests of the members for which the peer has newer reports; sending them requests those.
  std::vector<CountsDigest> DigestsToRequest(Micros now, const std::vector<CountsDigest>& theirs) const;
  // Digests of the reports that both sides have and for which this relay has a much tighter bound on the age,
  // within `max_bytes`.
  std::vector<CountsDigest> TighterDigests(Micros now, const std::vector<CountsDigest>& theirs,
                                           std::size_t max_bytes) const;

  // The minimum interval between two reports of one relay in a fleet of `relays` relays. It grows with the
  // fleet because every report costs bandwidth at every relay.
  static Micros ReportInterval(std::size_t relays);
  // Reports older than this are widened: the setting, or the time two reports take to arrive if that is
  // longer.
  Micros StaleAfter() const;

  // The fleet's connection counts as intervals, over all classes and groups or the given ones.
  ConnectionTotals Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
                       std::optional<std::string_view> group = std::nullopt) const;
  // Every separately stored incarnation, ordered by member.
  std::vector<IncarnationCounts> CountsByIncarnation(Micros now) const;
  // All classes and groups that occur in the reports, sorted.
  std::vector<Key> Keys() const;

 private:
  // The record of an incarnation, created if it does not exist.
  CountsRecord& FindOrCreateRecord(Micros now, MemberId member_id, MemberCounts& member,
                                   const Incarnation& incarnation) const;
  // Applies the end of an incarnation and the bounds on age and gap that an update carries.
  static void ApplyBounds(Micros now, const MemberCounts& member, CountsRecord& record,
                          const CountsUpdate& update, std::optional<Micros> age);
  // True if the update is well-formed and concerns an incarnation whose counts may be updated.
  bool IsAcceptable(const MemberCounts& member, const CountsUpdate& update) const;
  static std::vector<CountsDigest> DigestsForMember(Micros now, MemberId member_id,
                                                    const MemberCounts& member);

  Settings settings_;
  Random random_;
  std::map<MemberId, MemberCounts> members_;
  MemberListSync member_list_sync_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_CONNECTION_COUNTS_H_
