// Tests of connection counts: the local state machine, reports of peers' incarnations, and sums as intervals.
#include "fleet/connection_counts.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fleet/fleet_fixture.h"
#include "fleet/local_connection_counts.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("every connection goes through one state machine; ending it twice is detected") {
  LocalConnectionCounts connections;
  auto first = connections.Begin(0, "wetland"), second = connections.Begin(1, "");
  CHECK(connections.Sum() == ConnectionCounts{2, 0, 0, 0, 2});
  connections.End(first, LocalConnectionCounts::Outcome::kServed);
  connections.End(second, LocalConnectionCounts::Outcome::kRejected);
  CHECK(connections.Sum() == ConnectionCounts{2, 1, 1, 0, 0});
  CHECK(connections.IsBalanced());
  connections.End(first, LocalConnectionCounts::Outcome::kFailed);
  CHECK(connections.Sum() == ConnectionCounts{2, 1, 1, 0, 0});
  CHECK_FALSE(connections.IsBalanced());
  for (int group = 0; group < 2000; ++group) connections.Begin(0, "g" + std::to_string(group));
  CHECK(connections.Rows().size() <= LocalConnectionCounts::kMaxRows + 2);
}

CountsUpdate UpdateAbout(MemberId member_id, Incarnation incarnation, std::uint64_t version,
                         ConnectionCounts counts, std::optional<Micros> age) {
  return {member_id, incarnation, version, 0, 1, age, false, {{"", 0, counts}}};
}

// The counts at member 0 of three, complete because a peer that knows all incarnations sent its member list.
FleetCounts CompleteCounts() {
  FleetCounts counts(ThreeMembers(0), 1);
  counts.SetLocal(kStart, kIncarnation, 1, {});
  CHECK(counts.Sum(kStart).accepted.high == kUnbounded);
  CHECK(counts.MemberListWanted(kStart, 1) == MemberId{0});
  CHECK_FALSE(counts.MemberListWanted(kStart, 2));  // Only one list is read at a time.
  CHECK_FALSE(counts.OnMemberList(kStart, 2, {0, 3, true, "", {}}));
  CHECK_FALSE(counts.IsComplete());
  CHECK(counts.OnMemberList(kStart, 1, {0, 2, true, "", {}}) == MemberId{2});
  CHECK_FALSE(counts.OnMemberList(kStart, 1, {2, 3, true, "", {}}));
  CHECK(counts.IsComplete());
  return counts;
}

TEST_CASE("a new incarnation neither replaces the counts of the previous one nor counts them twice") {
  FleetCounts counts = CompleteCounts();
  counts.OnUpdate(kStart, UpdateAbout(2, Incarnation{1, 9}, 1, {}, Micros(0)), Micros(0));
  counts.OnUpdate(kStart, UpdateAbout(1, kOtherIncarnation, 4, {10, 6, 1, 1, 2}, Micros(0)), Micros(0));
  CHECK(counts.Sum(kStart).accepted.low == 10);
  // A delayed report.
  counts.OnUpdate(kStart, UpdateAbout(1, kOtherIncarnation, 3, {9, 6, 1, 1, 1}, Micros(0)), Micros(0));
  // A duplicated report.
  counts.OnUpdate(kStart, UpdateAbout(1, kOtherIncarnation, 4, {10, 6, 1, 1, 2}, Micros(0)), Micros(0));
  CHECK(counts.Sum(kStart).accepted.high == 10);
  counts.OnIncarnationEnded(kStart + seconds(1), 1, kOtherIncarnation);
  counts.OnUpdate(kStart + seconds(1), UpdateAbout(1, Incarnation{8, 80}, 1, {3, 0, 0, 0, 3}, Micros(0)),
                  Micros(0));
  const auto sum = counts.Sum(kStart + seconds(1));
  CHECK(sum.accepted.low == 13);
  // max_accepted_per_s allows ten more in the second before the incarnation's end.
  CHECK(sum.accepted.high >= 23);
  CHECK(sum.accepted.high <= 25);
  CHECK(sum.open.low == 3);
  CHECK(sum.open.high == 3);  // The connections of the previous incarnation ended with it.
  CHECK(sum.ended == 1);
}

TEST_CASE("a stale report is widened to an interval by the documented rule") {
  FleetCounts counts = CompleteCounts();
  CHECK(counts.Sum(kStart).accepted.high == kUnbounded);
  CHECK(counts.Sum(kStart).unheard == 2);
  counts.OnUpdate(kStart, UpdateAbout(1, kOtherIncarnation, 1, {10, 6, 1, 1, 2}, milliseconds(500)),
                  milliseconds(500));
  counts.OnUpdate(kStart, UpdateAbout(2, Incarnation{1, 9}, 1, {1, 0, 0, 0, 1}, std::nullopt),
                  milliseconds(1));
  CHECK(counts.Sum(kStart).accepted.high == kUnbounded);  // The age of the report has no bound.
  counts.OnUpdate(kStart, UpdateAbout(2, Incarnation{1, 9}, 1, {1, 0, 0, 0, 1}, Micros(0)), Micros(0));
  CHECK(counts.Sum(kStart).accepted.high == 11);
  CHECK(counts.Sum(kStart).oldest >= seconds(1));
  CHECK(counts.Sum(kStart).oldest < milliseconds(1001));
  counts.SetLocal(kStart + seconds(20), kIncarnation, 1, {});
  const auto late = counts.Sum(kStart + seconds(20));
  CHECK(late.widened == 2);
  CHECK(late.accepted.low == 11);
  CHECK(late.accepted.high >= 11 + 410);
  CHECK(late.open.low == 0);
  CHECK(late.open.high == 200);  // At most max_open per relay.
}

TEST_CASE("relays that start together learn transitively, through member lists, what all of them knew") {
  std::vector<FleetCounts> relays;
  for (MemberId member = 0; member < 3; ++member) {
    relays.emplace_back(ThreeMembers(member), member);
    relays.back().SetLocal(kStart, Incarnation{1, 10 + member}, 1, {});
  }
  const auto read = [&](MemberId reader, MemberId peer) {
    if (relays[reader].MemberListWanted(kStart + seconds(3) * (reader + 3 * peer), peer)) {
      relays[reader].OnMemberList(kStart, peer, relays[peer].MemberList(0, 1000));
    }
  };
  read(1, 2);
  CHECK_FALSE(relays[1].IsComplete());
  read(0, 1);
  CHECK(relays[0].IsComplete());  // From its own basis, n1's, and n2's, which n1 had read.
  read(2, 0);
  CHECK(relays[2].IsComplete());
}

TEST_CASE("a report in several parts counts once all parts have arrived") {
  FleetCounts counts(ThreeMembers(0), 1);
  counts.SetLocal(kStart, kIncarnation, 1, {});
  CountsUpdate first_part{1, kOtherIncarnation, 2, 0, 2, Micros(0), false, {{"a", 0, {5, 5, 0, 0, 0}}}};
  CountsUpdate second_part{1, kOtherIncarnation, 2, 1, 2, Micros(0), false, {{"b", 0, {7, 7, 0, 0, 0}}}};
  counts.OnUpdate(kStart, first_part, Micros(0));
  CHECK(counts.Sum(kStart).accepted.low == 0);
  counts.OnUpdate(kStart, second_part, Micros(0));
  CHECK(counts.Sum(kStart).accepted.low == 12);
  CHECK(counts.Sum(kStart, 0, "b").accepted.low == 7);
}

}  // namespace
}  // namespace stoatrun::fleet
