// Membership and failure detection: restarts, duplicate members, suspicion and refutation, paused processes.
#include "fleet/membership.h"

#include <catch2/catch.hpp>
#include <chrono>

#include "fleet/fleet_fixture.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE(
    "an incarnation that starts with an older generation learns of it and raises its own above the former "
    "one") {
  Membership peer(ThreeMembers(1), Incarnation{100, 1}, 1, kStart);
  peer.OnUpdate(kStart, {0, Incarnation{900, 7}, 0, MemberState::kAlive});
  const Incarnation fresh{10, 8};  // Its clock was set back and its disk was lost.
  CHECK_FALSE(peer.OnUpdate(kStart, {0, fresh, 0, MemberState::kAlive}).superseded);
  CHECK_FALSE(peer.IsCurrent(0, fresh));
  Membership self(ThreeMembers(0), fresh, 2, kStart);
  self.OnUpdate(kStart, {0, Incarnation{900, 7}, 0, MemberState::kAlive});
  CHECK(self.SelfIncarnation() == Incarnation{901, 8});
  const auto change = peer.OnUpdate(kStart, {0, self.SelfIncarnation(), 0, MemberState::kAlive});
  CHECK(change.superseded);
  CHECK(change.former.id == 7);
  CHECK(peer.IsCurrent(0, self.SelfIncarnation()));
  CHECK_FALSE(self.HasDuplicate());
  CHECK_FALSE(peer.Find(0)->duplicate);
}

TEST_CASE(
    "two processes under one name raise their generations in turn, which distinguishes them from a restart") {
  Membership peer(ThreeMembers(1), Incarnation{100, 1}, 1, kStart);
  Membership first(ThreeMembers(0), Incarnation{10, 7}, 2, kStart),
      second(ThreeMembers(0), Incarnation{11, 8}, 3, kStart);
  for (int round = 0; round < 12; ++round) {
    peer.OnUpdate(kStart, {0, first.SelfIncarnation(), 0, MemberState::kAlive});
    peer.OnUpdate(kStart, {0, second.SelfIncarnation(), 0, MemberState::kAlive});
    const Incarnation of_first = first.SelfIncarnation(), of_second = second.SelfIncarnation();
    first.OnUpdate(kStart, {0, of_second, 0, MemberState::kAlive});
    second.OnUpdate(kStart, {0, of_first, 0, MemberState::kAlive});
  }
  CHECK(peer.Find(0)->duplicate);
  CHECK(first.HasDuplicate());
  CHECK(second.HasDuplicate());
}

TEST_CASE(
    "a member that does not acknowledge is suspected, then dead; a higher refutation number refutes it") {
  Membership membership(ThreeMembers(0), kIncarnation, 1, kStart);
  membership.OnUpdate(kStart, {1, kOtherIncarnation, 0, MemberState::kAlive});
  membership.OnUpdate(kStart, {2, Incarnation{3, 30}, 0, MemberState::kAlive});
  Micros now = kStart;
  bool suspected = false;
  for (int tick = 0; tick < 400 && membership.Find(1)->state != MemberState::kDead; ++tick) {
    now += milliseconds(250);
    for (const auto& [to, ping] : membership.Tick(now)) {
      if (to == 2 && !ping.target) membership.OnAck(now, 2, ping.nonce);
    }
    suspected = suspected || membership.Find(1)->state == MemberState::kSuspect;
  }
  CHECK(suspected);
  CHECK(membership.Find(1)->state == MemberState::kDead);
  CHECK(membership.Find(2)->state == MemberState::kAlive);
  membership.OnUpdate(now, {1, kOtherIncarnation, 0, MemberState::kAlive});  // A delayed datagram.
  CHECK(membership.Find(1)->state == MemberState::kDead);
  membership.OnUpdate(now, {1, kOtherIncarnation, 1, MemberState::kAlive});
  CHECK(membership.Find(1)->state == MemberState::kAlive);
}

TEST_CASE("a relay that was paused worsens its own health score and suspects nobody") {
  Membership membership(ThreeMembers(0), kIncarnation, 1, kStart);
  membership.OnUpdate(kStart, {1, kOtherIncarnation, 0, MemberState::kAlive});
  membership.Tick(kStart);
  membership.Tick(kStart + seconds(30));
  CHECK(membership.GetCounts().pauses == 1);
  CHECK(membership.LocalHealthScore() > 0);
  CHECK(membership.Find(1)->state == MemberState::kAlive);
}

}  // namespace
}  // namespace stoatrun::fleet
