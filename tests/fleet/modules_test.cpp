// The fleet's modules one by one, by hand: quota_templates test is a case that the schedules may not reach by
// chance.
#include <catch2/catch.hpp>
#include <string>
#include <variant>
#include <vector>

#include "base/random.h"
#include "fleet/connection_counts.h"
#include "fleet/io/codec.h"
#include "fleet/membership.h"
#include "fleet/node.h"
#include "fleet/outlier_consensus.h"
#include "fleet/quota_leases.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kStart = seconds(1000);
constexpr Incarnation kIncarnation{5, 50}, kOther{6, 60};

Settings Three(MemberId self) {
  Settings s;
  s.fleet = "test";
  s.self = self;
  s.fleet_size = 3;
  for (MemberId k = 0; k < 3; ++k) {
    if (k != self) s.peers.push_back({k, "n" + std::to_string(k)});
  }
  s.quotas = {{"retry", 12, seconds(1)}, {"group", 12, Micros(0)}};
  s.quota_templates = {{"cold", 3, seconds(1)}};
  s.max_accepted_per_s = 10;
  s.max_open = 100;
  return s;
}

std::uint32_t SpendAll(QuotaLeases& b, Micros now, const std::string& quota) {
  std::uint32_t n = 0;
  while (b.TryAcquire(now, quota)) ++n;
  return n;
}

// Past the time in which a new run holds back.
constexpr Micros kSettled = kStart + seconds(10);

LeaseRequest RequestFor(QuotaLeases& b, Micros now, const std::string& quota) {
  for (const auto& w : b.Tick(now)) {
    if (w.request.quota == quota) return w.request;
  }
  return {};
}

TEST_CASE("shares of all places add up to the budget, for any name and size") {
  for (const std::uint32_t fleet_size : {1U, 2U, 3U, 7U, 100U}) {
    for (std::uint32_t units = 0; units < 40; ++units) {
      for (const char* name : {"retry", "cold:s1", "cold:s2"}) {
        std::uint32_t sum = 0;
        for (MemberId s = 0; s < fleet_size; ++s) sum += ShareOf(name, units, s, fleet_size);
        REQUIRE(sum == units);
      }
    }
  }
  CHECK(ShareOf("retry", 10, 9, 5) == 0);
}

TEST_CASE("a share is spent once a window, and a new run waits until the former's is surely over") {
  Settings s = Three(0);
  s.quotas[0].units = 48;
  QuotaLeases b(s, 1, kStart);
  // The former run may have spent it just now.
  CHECK(SpendAll(b, kStart + milliseconds(1000), "retry") == 0);
  CHECK(SpendAll(b, kStart + milliseconds(1011), "retry") == 2);  // The eighth that is never lent.
  CHECK(SpendAll(b, kStart + milliseconds(3020), "retry") == 2);
  CHECK(SpendAll(b, kStart + milliseconds(3031), "retry") == 14);  // The rest, once any lease is ended.
  CHECK(SpendAll(b, kStart + milliseconds(3900), "retry") == 0);
  CHECK(SpendAll(b, kStart + milliseconds(4042), "retry") == 16);
  CHECK_FALSE(b.TryAcquire(kSettled, "unknown"));
  CHECK_FALSE(b.TryAcquire(kSettled, "cold:"));
  CHECK(b.HasQuota("cold:s1"));
  CHECK_FALSE(b.HasQuota("cold"));
}

TEST_CASE(
    "a lease ends for the borrower before it does for the lender, and its window before the units are back") {
  QuotaLeases lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  const Micros asked = kSettled;
  CHECK(SpendAll(borrower, asked, "retry") == 4);
  const LeaseRequest request = RequestFor(borrower, asked, "retry");
  REQUIRE(request.units > 0);
  borrower.OnRequestSent(asked, 0, request);
  const Micros granted = kSettled + milliseconds(300);
  const LeaseGrant grant = lender.OnRequest(granted, 1, kOther, request);
  CHECK(grant.units == std::min<std::uint32_t>(request.units, 4));
  // The same request again, doubled on its way, is the same lease.
  const LeaseGrant again = lender.OnRequest(granted + milliseconds(1), 1, kOther, request);
  CHECK(again.lease == grant.lease);
  CHECK(SpendAll(lender, granted, "retry") == 4 - grant.units);

  borrower.OnGrant(asked + milliseconds(600), 0, kIncarnation, kOther, grant);
  borrower.OnGrant(asked + milliseconds(601), 0, kIncarnation, kOther, again);
  CHECK(SpendAll(borrower, asked + milliseconds(700), "retry") == grant.units);
  // Its end counts from the request; a clock that is slow may not hold it longer.
  CHECK(borrower.Available(asked + milliseconds(1979), "retry") == 4 + grant.units);
  CHECK(borrower.Available(asked + milliseconds(1980), "retry") == 4);
  CHECK(lender.Available(granted + milliseconds(3029), "retry") == 4 - grant.units);
  CHECK(lender.Available(granted + milliseconds(3031), "retry") == 4);
}

TEST_CASE("a borrower that was stopped past its lease finds it over in the turn in which it would spend") {
  QuotaLeases lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  SpendAll(borrower, kSettled, "retry");
  const LeaseRequest request = RequestFor(borrower, kSettled, "retry");
  borrower.OnRequestSent(kSettled, 0, request);
  borrower.OnGrant(kSettled, 0, kIncarnation, kOther, lender.OnRequest(kSettled, 1, kOther, request));
  CHECK(SpendAll(borrower, kSettled + seconds(20), "retry") == 4);
  CHECK(borrower.Borrowed(kSettled + seconds(20)).empty());
}

TEST_CASE("grants for another run, another ask or too late are not taken") {
  QuotaLeases lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  SpendAll(borrower, kSettled, "retry");
  const LeaseRequest request = RequestFor(borrower, kSettled, "retry");
  borrower.OnRequestSent(kSettled, 0, request);
  const LeaseGrant grant = lender.OnRequest(kSettled, 1, kOther, request);
  borrower.OnGrant(kSettled, 0, kIncarnation, Incarnation{7, 70}, grant);
  borrower.OnGrant(kSettled, 2, kIncarnation, kOther, grant);
  LeaseGrant forged = grant;
  forged.nonce += 1000;
  borrower.OnGrant(kSettled, 0, kIncarnation, kOther, forged);
  CHECK(borrower.Borrowed(kSettled).empty());
  borrower.Tick(kSettled + milliseconds(1100));
  borrower.OnGrant(kSettled + milliseconds(1100), 0, kIncarnation, kOther, grant);
  CHECK(borrower.Borrowed(kSettled + milliseconds(1100)).empty());
  CHECK(borrower.GetCounts().late_grants == 3);
}

TEST_CASE("a level's units come back when the borrower says so, not by the lender's clock") {
  QuotaLeases lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  for (QuotaLeases* b : {&lender, &borrower}) {
    for (MemberId k = 0; k < 3; ++k)
      b->OnHeldLeases(kStart, k, Incarnation{1, 1 + k}, kIncarnation, {kIncarnation, 0, {}});
  }
  CHECK(SpendAll(borrower, kSettled, "group") == 4);
  const LeaseRequest request = RequestFor(borrower, kSettled, "group");
  borrower.OnRequestSent(kSettled, 0, request);
  const LeaseGrant grant = lender.OnRequest(kSettled, 1, kOther, request);
  REQUIRE(grant.units == 2);  // Half of a level's share is never lent.
  borrower.OnGrant(kSettled, 0, kIncarnation, kOther, grant);
  CHECK(SpendAll(borrower, kSettled, "group") == 2);
  const Micros late = kSettled + seconds(3600);
  CHECK(lender.Available(late, "group") == 2);
  // The borrower gives up what is ended before it hands the lease back.
  CHECK(borrower.Excess(late, "group") == 2);
  borrower.Tick(late);
  CHECK(borrower.Returns(0).empty());
  borrower.Release("group");
  borrower.Release("group");
  borrower.Tick(late);
  const auto returns = borrower.Returns(0);
  REQUIRE(returns.size() == 1);
  const auto settled = lender.OnReturn(late, 1, returns[0]);
  CHECK(settled.lease == returns[0].lease);
  CHECK(lender.Available(late, "group") == 4);
  lender.OnReturn(late, 1, returns[0]);  // Doubled on its way.
  CHECK(lender.Available(late, "group") == 4);
  borrower.OnReturnAck(0, settled);
  CHECK(borrower.Returns(0).empty());
}

TEST_CASE("a lender that started anew has a level's lent part when all have said what they hold of it") {
  QuotaLeases lender(Three(0), 1, kStart);
  CHECK(lender.Available(kSettled, "group") == 2);
  lender.OnHeldLeases(kSettled, 1, kOther, kIncarnation, {kIncarnation, 0, {{"group", 77, 1}}});
  CHECK(lender.Available(kSettled, "group") == 1);  // What is said to be lent counts at once.
  lender.OnHeldLeases(kSettled, 2, Incarnation{1, 3}, Incarnation{9, 99},
                      {kIncarnation, 0, {}});  // To a former run: no notice is accepted.
  CHECK(lender.NeedsHeldFrom(2));
  lender.OnHeldLeases(kSettled, 2, Incarnation{1, 3}, kIncarnation, {kIncarnation, 0, {}});
  CHECK(lender.Available(kSettled, "group") == 3);
  // A new run of the borrower holds nothing of what the former did.
  lender.OnIncarnationSuperseded(1, kOther);
  CHECK(lender.Available(kSettled, "group") == 4);
}

TEST_CASE("a statement of what is held takes no grant afterwards for an ask before it") {
  QuotaLeases lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  for (MemberId k = 0; k < 3; ++k)
    lender.OnHeldLeases(kStart, k, Incarnation{1, 1 + k}, kIncarnation, {kIncarnation, 0, {}});
  SpendAll(borrower, kSettled, "group");
  const LeaseRequest request = RequestFor(borrower, kSettled, "group");
  borrower.OnRequestSent(kSettled, 0, request);
  const LeaseGrant grant = lender.OnRequest(kSettled, 1, kOther, request);
  REQUIRE(grant.units > 0);
  const HeldLeases held = borrower.HeldFrom(0, kIncarnation);
  lender.OnHeldLeases(kSettled, 1, kOther, kIncarnation, held);
  CHECK(lender.Available(kSettled, "group") == 4);
  const std::uint32_t before = borrower.Available(kSettled, "group");
  borrower.OnGrant(kSettled, 0, kIncarnation, kOther, grant);
  CHECK(borrower.Available(kSettled, "group") == before);
}

// ---- members ----

TEST_CASE("a run that comes back with an older generation is told, and raises itself above its former self") {
  Membership peer(Three(1), Incarnation{100, 1}, 1, kStart);
  peer.OnUpdate(kStart, {0, Incarnation{900, 7}, 0, MemberState::kAlive});
  const Incarnation fresh{10, 8};  // Its clock was set back, and its disk is empty.
  CHECK_FALSE(peer.OnUpdate(kStart, {0, fresh, 0, MemberState::kAlive}).superseded);
  CHECK_FALSE(peer.IsPresent(0, fresh));
  Membership self(Three(0), fresh, 2, kStart);
  self.OnUpdate(kStart, {0, Incarnation{900, 7}, 0, MemberState::kAlive});
  CHECK(self.SelfIncarnation() == Incarnation{901, 8});
  const auto change = peer.OnUpdate(kStart, {0, self.SelfIncarnation(), 0, MemberState::kAlive});
  CHECK(change.superseded);
  CHECK(change.former.id == 7);
  CHECK(peer.IsPresent(0, self.SelfIncarnation()));
  CHECK_FALSE(self.HasDuplicate());
  CHECK_FALSE(peer.Find(0)->duplicate);
}

TEST_CASE("two processes under one name raise themselves in turn, which tells them from a restart") {
  Membership peer(Three(1), Incarnation{100, 1}, 1, kStart);
  Membership a(Three(0), Incarnation{10, 7}, 2, kStart), b(Three(0), Incarnation{11, 8}, 3, kStart);
  for (int k = 0; k < 12; ++k) {
    peer.OnUpdate(kStart, {0, a.SelfIncarnation(), 0, MemberState::kAlive});
    peer.OnUpdate(kStart, {0, b.SelfIncarnation(), 0, MemberState::kAlive});
    const Incarnation of_a = a.SelfIncarnation(), of_b = b.SelfIncarnation();
    a.OnUpdate(kStart, {0, of_b, 0, MemberState::kAlive});
    b.OnUpdate(kStart, {0, of_a, 0, MemberState::kAlive});
  }
  CHECK(peer.Find(0)->duplicate);
  CHECK(a.HasDuplicate());
  CHECK(b.HasDuplicate());
}

TEST_CASE("who does not answer is suspected, then silent; a higher incarnation disproves it") {
  Membership m(Three(0), kIncarnation, 1, kStart);
  m.OnUpdate(kStart, {1, kOther, 0, MemberState::kAlive});
  m.OnUpdate(kStart, {2, Incarnation{3, 30}, 0, MemberState::kAlive});
  Micros now = kStart;
  bool suspected = false;
  for (int k = 0; k < 400 && m.Find(1)->state != MemberState::kDead; ++k) {
    now += milliseconds(250);
    for (const auto& [to, ping] : m.Tick(now)) {
      if (to == 2 && !ping.target) m.OnAck(now, 2, ping.nonce);
    }
    suspected = suspected || m.Find(1)->state == MemberState::kSuspect;
  }
  CHECK(suspected);
  CHECK(m.Find(1)->state == MemberState::kDead);
  CHECK(m.Find(2)->state == MemberState::kAlive);
  m.OnUpdate(now, {1, kOther, 0, MemberState::kAlive});  // A datagram that was long under way.
  CHECK(m.Find(1)->state == MemberState::kDead);
  m.OnUpdate(now, {1, kOther, 1, MemberState::kAlive});
  CHECK(m.Find(1)->state == MemberState::kAlive);
}

TEST_CASE("a relay that stood still blames itself and suspects nobody for it") {
  Membership m(Three(0), kIncarnation, 1, kStart);
  m.OnUpdate(kStart, {1, kOther, 0, MemberState::kAlive});
  m.Tick(kStart);
  m.Tick(kStart + seconds(30));
  CHECK(m.GetCounts().pauses == 1);
  CHECK(m.LocalHealthScore() > 0);
  CHECK(m.Find(1)->state == MemberState::kAlive);
}

// ---- counts ----

TEST_CASE("every connection goes through one state machine; ending it twice is found") {
  LocalConnectionCounts a;
  auto t = a.Begin(0, "wetland"), u = a.Begin(1, "");
  CHECK(a.Sum() == ConnectionCounts{2, 0, 0, 0, 2});
  a.End(t, LocalConnectionCounts::Outcome::kServed);
  a.End(u, LocalConnectionCounts::Outcome::kRejected);
  CHECK(a.Sum() == ConnectionCounts{2, 1, 1, 0, 0});
  CHECK(a.IsBalanced());
  a.End(t, LocalConnectionCounts::Outcome::kFailed);
  CHECK(a.Sum() == ConnectionCounts{2, 1, 1, 0, 0});
  CHECK_FALSE(a.IsBalanced());
  for (int k = 0; k < 2000; ++k) a.Begin(0, "g" + std::to_string(k));
  CHECK(a.Rows().size() <= LocalConnectionCounts::kMaxRows + 2);
}

CountsUpdate UpdateAbout(MemberId member_id, Incarnation incarnation, std::uint64_t version,
                         ConnectionCounts t, std::optional<Micros> age) {
  return {member_id, incarnation, version, 0, 1, age, false, {{"", 0, t}}};
}

// As if a peer that knows all runs had told of the three places.
FleetCounts IsComplete() {
  FleetCounts f(Three(0), 1);
  f.SetLocal(kStart, kIncarnation, 1, {});
  CHECK(f.Sum(kStart).accepted.high == kUnbounded);
  CHECK(f.MemberListWanted(kStart, 1) == MemberId{0});
  CHECK_FALSE(f.MemberListWanted(kStart, 2));  // One at a time.
  CHECK_FALSE(f.OnMemberList(kStart, 2, {0, 3, true, "", {}}));
  CHECK_FALSE(f.IsComplete());
  CHECK(f.OnMemberList(kStart, 1, {0, 2, true, "", {}}) == MemberId{2});
  CHECK_FALSE(f.OnMemberList(kStart, 1, {2, 3, true, "", {}}));
  CHECK(f.IsComplete());
  return f;
}

TEST_CASE("a new run neither replaces the former's counts nor counts them twice") {
  FleetCounts f = IsComplete();
  f.OnUpdate(kStart, UpdateAbout(2, Incarnation{1, 9}, 1, {}, Micros(0)), Micros(0));
  f.OnUpdate(kStart, UpdateAbout(1, kOther, 4, {10, 6, 1, 1, 2}, Micros(0)), Micros(0));
  CHECK(f.Sum(kStart).accepted.low == 10);
  f.OnUpdate(kStart, UpdateAbout(1, kOther, 3, {9, 6, 1, 1, 1}, Micros(0)), Micros(0));   // Late.
  f.OnUpdate(kStart, UpdateAbout(1, kOther, 4, {10, 6, 1, 1, 2}, Micros(0)), Micros(0));  // Twice.
  CHECK(f.Sum(kStart).accepted.high == 10);
  f.OnIncarnationEnded(kStart + seconds(1), 1, kOther);
  f.OnUpdate(kStart + seconds(1), UpdateAbout(1, Incarnation{8, 80}, 1, {3, 0, 0, 0, 3}, Micros(0)),
             Micros(0));
  const auto sum = f.Sum(kStart + seconds(1));
  CHECK(sum.accepted.low == 13);
  // Within the second before its end it may have accepted ten more, by the rule.
  CHECK(sum.accepted.high >= 23);
  CHECK(sum.accepted.high <= 25);
  CHECK(sum.open.low == 3);
  CHECK(sum.open.high == 3);  // What the former held ended with it.
  CHECK(sum.ended == 1);
}

TEST_CASE("a part that is not heard widens by the written rule") {
  FleetCounts f = IsComplete();
  CHECK(f.Sum(kStart).accepted.high == kUnbounded);
  CHECK(f.Sum(kStart).unheard == 2);
  f.OnUpdate(kStart, UpdateAbout(1, kOther, 1, {10, 6, 1, 1, 2}, milliseconds(500)), milliseconds(500));
  f.OnUpdate(kStart, UpdateAbout(2, Incarnation{1, 9}, 1, {1, 0, 0, 0, 1}, std::nullopt), milliseconds(1));
  CHECK(f.Sum(kStart).accepted.high == kUnbounded);  // Its age has no bound.
  f.OnUpdate(kStart, UpdateAbout(2, Incarnation{1, 9}, 1, {1, 0, 0, 0, 1}, Micros(0)), Micros(0));
  CHECK(f.Sum(kStart).accepted.high == 11);
  CHECK(f.Sum(kStart).oldest >= seconds(1));
  CHECK(f.Sum(kStart).oldest < milliseconds(1001));
  f.SetLocal(kStart + seconds(20), kIncarnation, 1, {});
  const auto late = f.Sum(kStart + seconds(20));
  CHECK(late.widened == 2);
  CHECK(late.accepted.low == 11);
  CHECK(late.accepted.high >= 11 + 410);
  CHECK(late.open.low == 0);
  CHECK(late.open.high == 200);  // No relay holds more than it may.
}

TEST_CASE("relays that start together hand on what each knew, until somebody knows what all did") {
  std::vector<FleetCounts> all;
  for (MemberId k = 0; k < 3; ++k) {
    all.emplace_back(Three(k), k);
    all.back().SetLocal(kStart, Incarnation{1, 10 + k}, 1, {});
  }
  const auto read = [&](MemberId by, MemberId of) {
    if (all[by].MemberListWanted(kStart + seconds(3) * (by + 3 * of), of))
      all[by].OnMemberList(kStart, of, all[of].MemberList(0, 1000));
  };
  read(1, 2);
  CHECK_FALSE(all[1].IsComplete());
  read(0, 1);
  CHECK(all[0].IsComplete());  // Its own, n1's, and n2's that n1 had.
  read(2, 0);
  CHECK(all[2].IsComplete());
}

TEST_CASE("counts in several parts count when all are there") {
  FleetCounts f(Three(0), 1);
  f.SetLocal(kStart, kIncarnation, 1, {});
  CountsUpdate one{1, kOther, 2, 0, 2, Micros(0), false, {{"a", 0, {5, 5, 0, 0, 0}}}};
  CountsUpdate two{1, kOther, 2, 1, 2, Micros(0), false, {{"b", 0, {7, 7, 0, 0, 0}}}};
  f.OnUpdate(kStart, one, Micros(0));
  CHECK(f.Sum(kStart).accepted.low == 0);
  f.OnUpdate(kStart, two, Micros(0));
  CHECK(f.Sum(kStart).accepted.low == 12);
  CHECK(f.Sum(kStart, 0, "b").accepted.low == 7);
}

// ---- judgements ----

Evidence Bad(MemberId author, const std::string& endpoint, std::uint64_t version, std::int64_t start = 1) {
  return {
      author,    Incarnation{1, author + 1U}, endpoint, start, HealthVerdict::kFailing, 9, version, Micros(0),
      seconds(6)};
}

Settings Many(MemberId self, std::uint32_t fleet_size) {
  Settings s;
  s.self = self;
  s.fleet_size = fleet_size;
  s.max_ejected_fraction = 0.3;
  return s;
}

OutlierConsensus Ten() {
  OutlierConsensus j(Many(0, 10));
  std::vector<FleetClient::ListedEndpoint> listed;
  for (int k = 0; k < 10; ++k) listed.push_back({"s" + std::to_string(k), 1});
  j.SetEndpoints(listed);
  return j;
}

TEST_CASE("two witnesses move a relay to avoid a server, one or one's own eyes do not") {
  OutlierConsensus j = Ten();
  j.OnEvidence(kStart, Bad(1, "s1", 1), Micros(0));
  j.OnEvidence(kStart, Bad(1, "s1", 2), Micros(0));
  CHECK(j.EndpointsToEject(kStart).empty());
  j.OnEvidence(kStart, Bad(2, "s1", 1), Micros(0));
  CHECK(j.EndpointsToEject(kStart) == std::set<std::string>{"s1"});
  j.Observe(kStart + milliseconds(10), "s1", HealthVerdict::kHealthy);
  CHECK(j.EndpointsToEject(kStart + milliseconds(10)).empty());
}

TEST_CASE("hearsay ends by itself, and is not followed longer than a look takes") {
  OutlierConsensus j = Ten();
  for (MemberId a = 1; a <= 3; ++a) j.OnEvidence(kStart, Bad(a, "s1", 1), Micros(0));
  CHECK(j.EndpointsToEject(kStart).size() == 1);
  CHECK(j.EndpointsToEject(kStart + milliseconds(1900)).size() == 1);
  CHECK(j.EndpointsToEject(kStart + milliseconds(2100)).empty());
  // ReportedAge anew it is not followed at once again.
  for (MemberId a = 1; a <= 3; ++a) j.OnEvidence(kStart + seconds(5), Bad(a, "s1", 2), Micros(0));
  CHECK(j.EndpointsToEject(kStart + seconds(5)).empty());
  // What has no bound on its age, or is too old by it, is not heard at all.
  for (MemberId a = 1; a <= 3; ++a) {
    j.OnEvidence(kStart, Bad(a, "s2", 1), std::nullopt);
    j.OnEvidence(kStart, Bad(a, "s3", 1), seconds(7));
  }
  CHECK(j.EndpointsToEject(kStart) == std::set<std::string>{"s1"});
  CHECK(j.GetCounts().stale_after == 6);
}

TEST_CASE("no more than the stated part is avoided on hearsay, whatever is claimed") {
  OutlierConsensus j = Ten();
  for (MemberId a = 1; a <= 9; ++a) {
    for (int s = 0; s < 5; ++s) j.OnEvidence(kStart, Bad(a, "s" + std::to_string(s), 1), Micros(0));
  }
  CHECK(j.EndpointsToEject(kStart).size() == 3);
  // Who finds more than half of them bad speaks of its own link.
  for (MemberId a = 1; a <= 9; ++a) j.OnEvidence(kStart, Bad(a, "s5", 1), Micros(0));
  CHECK(j.EndpointsToEject(kStart).empty());
  CHECK(j.Distrusted(kStart).size() == 9);
}

TEST_CASE("evidence ends with the run of the server and of the witness") {
  OutlierConsensus j = Ten();
  for (MemberId a = 1; a <= 3; ++a)
    j.OnEvidence(kStart, Bad(a, "s1", 1, 0), Micros(0));  // Of an earlier start.
  CHECK(j.EndpointsToEject(kStart).empty());
  for (MemberId a = 1; a <= 2; ++a) j.OnEvidence(kStart, Bad(a, "s2", 1), Micros(0));
  j.OnIncarnationEnded(1, Incarnation{1, 2});
  CHECK(j.EndpointsToEject(kStart).empty());
}

TEST_CASE("a witness that was found wrong is not heard for a while") {
  OutlierConsensus j = Ten();
  Micros now = kStart;
  for (std::uint64_t v = 1; v <= 3; ++v) {
    j.OnEvidence(now, Bad(4, "s" + std::to_string(v), v), Micros(0));
    now += seconds(2);
    j.Observe(now, "s" + std::to_string(v), HealthVerdict::kHealthy);
  }
  j.OnEvidence(now, Bad(4, "s9", 9), Micros(0));
  j.OnEvidence(now, Bad(5, "s9", 1), Micros(0));
  CHECK(j.EndpointsToEject(now).empty());
  CHECK(j.Distrusted(now) == std::vector<std::pair<MemberId, std::string>>{{4, "was found wrong here"}});
}

// ---- the wire ----

Datagram Full() {
  Datagram d;
  d.from = 3;
  d.name = "n3";
  d.incarnation = {~0ULL, ~0ULL};
  d.refutations = 9;
  d.seq = 77;
  d.fleet_size = 100;
  d.echo_run = ~0U;
  d.echo_seq = 5;
  d.echo_held = milliseconds(12);
  d.ping = Ping{99, MemberId{0}};
  d.ack = 7;
  d.member_updates = {{1, {4, 5}, 6, MemberState::kLeft}};
  d.counts_updates = {{2, {8, 9}, 10, 0, 1, Micros(0), true, {{"wetland", 1, {6, 1, 2, 1, 2}}}},
                      {2, {8, 9}, 10, 0, 1, std::nullopt, false, {}}};
  d.digests = {{4, 0, 0, std::nullopt, false}, {5, ~0U, 3, Micros(1), true}};
  d.periodic = true;
  d.member_list_from = 0;
  d.member_list = MemberListPage{3, 9, true, std::string("\x05\x00", 2), {{4, {1, 2}}}};
  d.evidence = {{1, {1, 2}, "s-1", 1790000000000, HealthVerdict::kSlow, 3, 4, Micros(0), seconds(6)}};
  d.unreported_sends = {{"s-1", 4}};
  d.lease_requests = {{1, "cold:s-1", 3, 0}};
  d.grants = {{1, 2, "cold:s-1", 3, seconds(2), {1, 2}}};
  d.returns = {{1, {3, 4}, "group", 2}};
  d.return_acks = {{1, "group", 2, {3, 4}}};
  d.held_leases = HeldLeases{{1, 2}, 3, {{"group", 4, 5}}};
  d.wants_held_leases = true;
  d.idle_units = {{"retry", 6}};
  return d;
}

TEST_CASE("a datagram comes back as it was sent, and takes no more than was reckoned") {
  const Datagram d = Full();
  const std::string bytes = Encode(d, "test");
  CHECK(bytes.size() <= SizeOf(d));
  const auto read = Decode(bytes, "test");
  REQUIRE(std::holds_alternative<Datagram>(read));
  // Every field has its place in the form: what is read writes the same bytes.
  CHECK(Encode(std::get<Datagram>(read), "test") == bytes);
  const auto& back = std::get<Datagram>(read);
  CHECK(back.ping->target == MemberId{0});
  CHECK(back.counts_updates[0].age == Micros(0));
  CHECK_FALSE(back.counts_updates[1].age);
  CHECK(back.digests[0].run == 0);
  CHECK(back.evidence[0].endpoint_start == 1790000000000);
}

TEST_CASE("datagrams of another fleet, schema or sender, cut short or changed, are told apart and dropped") {
  const std::string bytes = Encode(Full(), "test");
  CHECK(std::get<DecodeError>(Decode(bytes, "other")) == DecodeError::kChecksum);
  CHECK(std::get<DecodeError>(Decode("GET / HTTP/1.1\r\n", "test")) == DecodeError::kNotOurs);
  CHECK(std::get<DecodeError>(Decode("", "test")) == DecodeError::kNotOurs);
  std::string older = bytes;
  older[2] = 0;
  CHECK(std::get<DecodeError>(Decode(older, "test")) == DecodeError::kSchema);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    REQUIRE(std::holds_alternative<DecodeError>(Decode(std::string_view(bytes).substr(0, n), "test")));
    std::string flipped = bytes;
    flipped[n] = static_cast<char>(flipped[n] ^ 0x10);
    REQUIRE(std::holds_alternative<DecodeError>(Decode(flipped, "test")));
  }
  Datagram unbalanced = Full();
  unbalanced.counts_updates[0].rows[0].counts.accepted = 1;
  CHECK(std::get<DecodeError>(Decode(Encode(unbalanced, "test"), "test")) == DecodeError::kMalformed);
}

TEST_CASE("a million datagrams of garbage do nothing") {
  Random random(20261201);
  Node node(Three(0), "n0", kIncarnation, 1, kStart);
  const std::string good = Encode(Full(), "test");
  std::size_t read = 0;
  for (int k = 0; k < 1'000'000; ++k) {
    std::string bytes(random.Below(200), '\0');
    for (char& c : bytes) c = static_cast<char>(random.Next());
    // Half of them begin as ours do.
    if (k % 2 == 0 && bytes.size() > 11) std::copy(good.begin(), good.begin() + 3, bytes.begin());
    read += std::holds_alternative<Datagram>(Decode(bytes, "test")) ? 1 : 0;
  }
  CHECK(read == 0);
}

TEST_CASE("who is not named, or speaks under a name that is not its place's, is a stranger") {
  Node node(Three(0), "n0", kIncarnation, 1, kStart);
  Outbox out;
  Datagram d;
  d.from = 1;
  d.name = "n2";
  d.incarnation = kOther;
  node.OnDatagram(kStart, d, out);
  d.from = 9;
  node.OnDatagram(kStart, d, out);
  d.from = 0;
  d.name = "n0";
  node.OnDatagram(kStart, d, out);
  CHECK(node.GetCounts().strangers == 3);
  CHECK(out.empty());
}

// Two nodes that hand quota_templates other everything at once.
TEST_CASE("nodes learn of each other, lend, and agree on the sum") {
  std::vector<Node> nodes;
  nodes.reserve(3);
  for (MemberId k = 0; k < 3; ++k)
    nodes.emplace_back(Three(k), "n" + std::to_string(k), Incarnation{1, 10 + k}, k, kStart);
  Micros now = kStart;
  const auto turn = [&] {
    now += milliseconds(50);
    std::vector<std::pair<MemberId, Outbox>> all;
    for (MemberId k = 0; k < 3; ++k) {
      Outbox out;
      if (now.count() / 50'000 % 5 == k) nodes[k].Tick(now, out);
      all.emplace_back(k, std::move(out));
    }
    for (int hop = 0; hop < 4; ++hop) {
      std::vector<std::pair<MemberId, Outbox>> next;
      for (auto& [from, out] : all) {
        for (auto& o : out) {
          CHECK(SizeOf(o.datagram) <= kMaxDatagramBytes);
          CHECK(Encode(o.datagram, "test").size() <= SizeOf(o.datagram));
          Outbox answers;
          nodes[o.to].OnDatagram(now, o.datagram, answers);
          next.emplace_back(o.to, std::move(answers));
        }
      }
      all = std::move(next);
    }
  };
  for (int k = 0; k < 200; ++k) turn();
  for (Node& n : nodes) CHECK(n.Members().Alive() == 2);
  // One relay alone comes to use most of the quota, while the others don't want it.
  std::uint32_t spent = 0;
  const Micros from = now + seconds(2);
  while (now < from + seconds(4)) {
    Outbox out;
    while (nodes[1].TryAcquire(now, "retry", out)) spent += now >= from ? 1 : 0;
    for (auto& o : out) {
      Outbox answers;
      nodes[o.to].OnDatagram(now, o.datagram, answers);
      for (auto& a : answers) {
        Outbox more;
        nodes[a.to].OnDatagram(now, a.datagram, more);
      }
    }
    turn();
  }
  CHECK(spent >= 4 * 8);  // 12 a second are the quota, 4 its own share; a quarter of quota_templates other's
                          // is never lent.
  CHECK(spent <= 4 * 12 + 12);
  auto t = nodes[2].LocalConnections().Begin(0, "wetland");
  for (int k = 0; k < 100; ++k) turn();
  const auto sum = nodes[0].Sum(now);
  CHECK(sum.accepted.low == 1);
  CHECK(sum.accepted.high == 1);
  CHECK(sum.open.high == 1);
  nodes[2].LocalConnections().End(t, LocalConnectionCounts::Outcome::kServed);
}

}  // namespace
}  // namespace stoatrun::fleet
