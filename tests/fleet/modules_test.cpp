// The fleet's modules one by one, by hand: each test is a case that the schedules may not reach by chance.
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
constexpr Life kLife{5, 50}, kOther{6, 60};

Settings Three(Slot self) {
  Settings s;
  s.fleet = "test";
  s.self = self;
  s.slots = 3;
  for (Slot k = 0; k < 3; ++k) {
    if (k != self) s.peers.push_back({k, "n" + std::to_string(k)});
  }
  s.budgets = {{"retry", 12, seconds(1)}, {"group", 12, Micros(0)}};
  s.each = {{"cold", 3, seconds(1)}};
  s.taken_per_s = 10;
  s.most_open = 100;
  return s;
}

std::uint32_t SpendAll(Budgets& b, Micros now, const std::string& budget) {
  std::uint32_t n = 0;
  while (b.Spend(now, budget)) ++n;
  return n;
}

// Past the time in which a new run holds back.
constexpr Micros kSettled = kStart + seconds(10);

LeaseAsk AskOf(Budgets& b, Micros now, const std::string& budget) {
  for (const auto& w : b.Tick(now)) {
    if (w.ask.budget == budget) return w.ask;
  }
  return {};
}

TEST_CASE("shares of all places add up to the budget, for any name and size") {
  for (const std::uint32_t slots : {1U, 2U, 3U, 7U, 100U}) {
    for (std::uint32_t units = 0; units < 40; ++units) {
      for (const char* name : {"retry", "cold:s1", "cold:s2"}) {
        std::uint32_t sum = 0;
        for (Slot s = 0; s < slots; ++s) sum += ShareOf(name, units, s, slots);
        REQUIRE(sum == units);
      }
    }
  }
  CHECK(ShareOf("retry", 10, 9, 5) == 0);
}

TEST_CASE("a share is spent once a window, and a new run waits until the former's is surely over") {
  Settings s = Three(0);
  s.budgets[0].units = 48;
  Budgets b(s, 1, kStart);
  // The former run may have spent it just now.
  CHECK(SpendAll(b, kStart + milliseconds(1000), "retry") == 0);
  CHECK(SpendAll(b, kStart + milliseconds(1011), "retry") == 2);  // The eighth that is never lent.
  CHECK(SpendAll(b, kStart + milliseconds(3020), "retry") == 2);
  CHECK(SpendAll(b, kStart + milliseconds(3031), "retry") == 14);  // The rest, once any lease is over.
  CHECK(SpendAll(b, kStart + milliseconds(3900), "retry") == 0);
  CHECK(SpendAll(b, kStart + milliseconds(4042), "retry") == 16);
  CHECK_FALSE(b.Spend(kSettled, "unknown"));
  CHECK_FALSE(b.Spend(kSettled, "cold:"));
  CHECK(b.Knows("cold:s1"));
  CHECK_FALSE(b.Knows("cold"));
}

TEST_CASE(
    "a lease ends for the borrower before it does for the lender, and its window before the units are back") {
  Budgets lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  const Micros asked = kSettled;
  CHECK(SpendAll(borrower, asked, "retry") == 4);
  const LeaseAsk ask = AskOf(borrower, asked, "retry");
  REQUIRE(ask.units > 0);
  borrower.Asked(asked, 0, ask);
  const Micros granted = kSettled + milliseconds(300);
  const LeaseGrant grant = lender.OnAsk(granted, 1, kOther, ask);
  CHECK(grant.units == std::min<std::uint32_t>(ask.units, 4));
  // The same ask again, doubled on its way, is the same lease.
  const LeaseGrant again = lender.OnAsk(granted + milliseconds(1), 1, kOther, ask);
  CHECK(again.lease == grant.lease);
  CHECK(SpendAll(lender, granted, "retry") == 4 - grant.units);

  borrower.OnGrant(asked + milliseconds(600), 0, kLife, kOther, grant);
  borrower.OnGrant(asked + milliseconds(601), 0, kLife, kOther, again);
  CHECK(SpendAll(borrower, asked + milliseconds(700), "retry") == grant.units);
  // Its end counts from the ask; a clock that is slow may not hold it longer.
  CHECK(borrower.Available(asked + milliseconds(1979), "retry") == 4 + grant.units);
  CHECK(borrower.Available(asked + milliseconds(1980), "retry") == 4);
  CHECK(lender.Available(granted + milliseconds(3029), "retry") == 4 - grant.units);
  CHECK(lender.Available(granted + milliseconds(3031), "retry") == 4);
}

TEST_CASE("a borrower that was stopped past its lease finds it over in the turn in which it would spend") {
  Budgets lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  SpendAll(borrower, kSettled, "retry");
  const LeaseAsk ask = AskOf(borrower, kSettled, "retry");
  borrower.Asked(kSettled, 0, ask);
  borrower.OnGrant(kSettled, 0, kLife, kOther, lender.OnAsk(kSettled, 1, kOther, ask));
  CHECK(SpendAll(borrower, kSettled + seconds(20), "retry") == 4);
  CHECK(borrower.Borrowed(kSettled + seconds(20)).empty());
}

TEST_CASE("grants for another run, another ask or too late are not taken") {
  Budgets lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  SpendAll(borrower, kSettled, "retry");
  const LeaseAsk ask = AskOf(borrower, kSettled, "retry");
  borrower.Asked(kSettled, 0, ask);
  const LeaseGrant grant = lender.OnAsk(kSettled, 1, kOther, ask);
  borrower.OnGrant(kSettled, 0, kLife, Life{7, 70}, grant);
  borrower.OnGrant(kSettled, 2, kLife, kOther, grant);
  LeaseGrant forged = grant;
  forged.nonce += 1000;
  borrower.OnGrant(kSettled, 0, kLife, kOther, forged);
  CHECK(borrower.Borrowed(kSettled).empty());
  borrower.Tick(kSettled + milliseconds(1100));
  borrower.OnGrant(kSettled + milliseconds(1100), 0, kLife, kOther, grant);
  CHECK(borrower.Borrowed(kSettled + milliseconds(1100)).empty());
  CHECK(borrower.Counted().late_grants == 3);
}

TEST_CASE("a level's units come back when the borrower says so, not by the lender's clock") {
  Budgets lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  for (Budgets* b : {&lender, &borrower}) {
    for (Slot k = 0; k < 3; ++k) b->OnHeld(kStart, k, Life{1, 1 + k}, kLife, {kLife, 0, {}});
  }
  CHECK(SpendAll(borrower, kSettled, "group") == 4);
  const LeaseAsk ask = AskOf(borrower, kSettled, "group");
  borrower.Asked(kSettled, 0, ask);
  const LeaseGrant grant = lender.OnAsk(kSettled, 1, kOther, ask);
  REQUIRE(grant.units == 2);  // Half of a level's share is never lent.
  borrower.OnGrant(kSettled, 0, kLife, kOther, grant);
  CHECK(SpendAll(borrower, kSettled, "group") == 2);
  const Micros late = kSettled + seconds(3600);
  CHECK(lender.Available(late, "group") == 2);
  // The borrower gives up what is over before it hands the lease back.
  CHECK(borrower.Excess(late, "group") == 2);
  borrower.Tick(late);
  CHECK(borrower.Returns(0).empty());
  borrower.Release("group");
  borrower.Release("group");
  borrower.Tick(late);
  const auto returns = borrower.Returns(0);
  REQUIRE(returns.size() == 1);
  const auto settled = lender.OnReturn(late, 1, kLife, returns[0]);
  REQUIRE(settled);
  CHECK(lender.Available(late, "group") == 4);
  lender.OnReturn(late, 1, kLife, returns[0]);  // Doubled on its way.
  CHECK(lender.Available(late, "group") == 4);
  borrower.OnSettled(0, *settled);
  CHECK(borrower.Returns(0).empty());
}

TEST_CASE("a lender that started anew has a level's lent part when all have said what they hold of it") {
  Budgets lender(Three(0), 1, kStart);
  CHECK(lender.Available(kSettled, "group") == 2);
  lender.OnHeld(kSettled, 1, kOther, kLife, {kLife, 0, {{"group", 77, 1}}});
  CHECK(lender.Available(kSettled, "group") == 1);  // What is said to be lent counts at once.
  lender.OnHeld(kSettled, 2, Life{1, 3}, Life{9, 99},
                {kLife, 0, {}});  // To a former run: no notice is taken.
  CHECK(lender.WantsHeldOf(2));
  lender.OnHeld(kSettled, 2, Life{1, 3}, kLife, {kLife, 0, {}});
  CHECK(lender.Available(kSettled, "group") == 3);
  // A new run of the borrower holds nothing of what the former did.
  lender.OnSuperseded(1, kOther);
  CHECK(lender.Available(kSettled, "group") == 4);
}

TEST_CASE("a statement of what is held takes no grant afterwards for an ask before it") {
  Budgets lender(Three(0), 1, kStart), borrower(Three(1), 2, kStart);
  for (Slot k = 0; k < 3; ++k) lender.OnHeld(kStart, k, Life{1, 1 + k}, kLife, {kLife, 0, {}});
  SpendAll(borrower, kSettled, "group");
  const LeaseAsk ask = AskOf(borrower, kSettled, "group");
  borrower.Asked(kSettled, 0, ask);
  const LeaseGrant grant = lender.OnAsk(kSettled, 1, kOther, ask);
  REQUIRE(grant.units > 0);
  const Held held = borrower.HeldOf(0, kLife);
  lender.OnHeld(kSettled, 1, kOther, kLife, held);
  CHECK(lender.Available(kSettled, "group") == 4);
  const std::uint32_t before = borrower.Available(kSettled, "group");
  borrower.OnGrant(kSettled, 0, kLife, kOther, grant);
  CHECK(borrower.Available(kSettled, "group") == before);
}

// ---- members ----

TEST_CASE("a run that comes back with an older generation is told, and raises itself above its former self") {
  Membership peer(Three(1), Life{100, 1}, 1, kStart);
  peer.Hear(kStart, {0, Life{900, 7}, 0, Standing::kAlive});
  const Life fresh{10, 8};  // Its clock was set back, and its disk is empty.
  CHECK_FALSE(peer.Hear(kStart, {0, fresh, 0, Standing::kAlive}).superseded);
  CHECK_FALSE(peer.Present(0, fresh));
  Membership self(Three(0), fresh, 2, kStart);
  self.Hear(kStart, {0, Life{900, 7}, 0, Standing::kAlive});
  CHECK(self.SelfLife() == Life{901, 8});
  const auto change = peer.Hear(kStart, {0, self.SelfLife(), 0, Standing::kAlive});
  CHECK(change.superseded);
  CHECK(change.former.id == 7);
  CHECK(peer.Present(0, self.SelfLife()));
  CHECK_FALSE(self.SelfTwins());
  CHECK_FALSE(peer.Find(0)->twins);
}

TEST_CASE("two processes under one name raise themselves in turn, which tells them from a restart") {
  Membership peer(Three(1), Life{100, 1}, 1, kStart);
  Membership a(Three(0), Life{10, 7}, 2, kStart), b(Three(0), Life{11, 8}, 3, kStart);
  for (int k = 0; k < 12; ++k) {
    peer.Hear(kStart, {0, a.SelfLife(), 0, Standing::kAlive});
    peer.Hear(kStart, {0, b.SelfLife(), 0, Standing::kAlive});
    const Life of_a = a.SelfLife(), of_b = b.SelfLife();
    a.Hear(kStart, {0, of_b, 0, Standing::kAlive});
    b.Hear(kStart, {0, of_a, 0, Standing::kAlive});
  }
  CHECK(peer.Find(0)->twins);
  CHECK(a.SelfTwins());
  CHECK(b.SelfTwins());
}

TEST_CASE("who does not answer is suspected, then silent; a higher incarnation disproves it") {
  Membership m(Three(0), kLife, 1, kStart);
  m.Hear(kStart, {1, kOther, 0, Standing::kAlive});
  m.Hear(kStart, {2, Life{3, 30}, 0, Standing::kAlive});
  Micros now = kStart;
  bool suspected = false;
  for (int k = 0; k < 400 && m.Find(1)->standing != Standing::kSilent; ++k) {
    now += milliseconds(250);
    for (const auto& [to, look] : m.Tick(now)) {
      if (to == 2 && !look.target) m.Answered(now, 2, look.nonce);
    }
    suspected = suspected || m.Find(1)->standing == Standing::kSuspected;
  }
  CHECK(suspected);
  CHECK(m.Find(1)->standing == Standing::kSilent);
  CHECK(m.Find(2)->standing == Standing::kAlive);
  m.Hear(now, {1, kOther, 0, Standing::kAlive});  // A datagram that was long under way.
  CHECK(m.Find(1)->standing == Standing::kSilent);
  m.Hear(now, {1, kOther, 1, Standing::kAlive});
  CHECK(m.Find(1)->standing == Standing::kAlive);
}

TEST_CASE("a relay that stood still blames itself and suspects nobody for it") {
  Membership m(Three(0), kLife, 1, kStart);
  m.Hear(kStart, {1, kOther, 0, Standing::kAlive});
  m.Tick(kStart);
  m.Tick(kStart + seconds(30));
  CHECK(m.Counted().pauses == 1);
  CHECK(m.OwnFault() > 0);
  CHECK(m.Find(1)->standing == Standing::kAlive);
}

// ---- counts ----

TEST_CASE("every connection goes through one state machine; ending it twice is found") {
  Accounts a;
  auto t = a.Take(0, "wetland"), u = a.Take(1, "");
  CHECK(a.Sum() == Tally{2, 0, 0, 0, 2});
  a.Finish(t, Accounts::End::kServed);
  a.Finish(u, Accounts::End::kRefused);
  CHECK(a.Sum() == Tally{2, 1, 1, 0, 0});
  CHECK(a.Check());
  a.Finish(t, Accounts::End::kFailed);
  CHECK(a.Sum() == Tally{2, 1, 1, 0, 0});
  CHECK_FALSE(a.Check());
  for (int k = 0; k < 2000; ++k) a.Take(0, "g" + std::to_string(k));
  CHECK(a.Rows().size() <= Accounts::kMostRows + 2);
}

CountsNews NewsOf(Slot slot, Life life, std::uint64_t version, Tally t, std::optional<Micros> age) {
  return {slot, life, version, 0, 1, age, false, {{"", 0, t}}};
}

// As if a peer that knows all runs had told of the three places.
FleetCounts Whole() {
  FleetCounts f(Three(0), 1);
  f.Own(kStart, kLife, 1, {});
  CHECK(f.Sum(kStart).taken.high == FleetCounts::kUnbounded);
  CHECK(f.RosterWanted(kStart, 1) == Slot{0});
  CHECK_FALSE(f.RosterWanted(kStart, 2));  // One at a time.
  CHECK_FALSE(f.OnRoster(kStart, 2, {0, 3, true, "", {}}));
  CHECK_FALSE(f.Whole());
  CHECK(f.OnRoster(kStart, 1, {0, 2, true, "", {}}) == Slot{2});
  CHECK_FALSE(f.OnRoster(kStart, 1, {2, 3, true, "", {}}));
  CHECK(f.Whole());
  return f;
}

TEST_CASE("a new run neither replaces the former's counts nor counts them twice") {
  FleetCounts f = Whole();
  f.OnNews(kStart, NewsOf(2, Life{1, 9}, 1, {}, Micros(0)), Micros(0));
  f.OnNews(kStart, NewsOf(1, kOther, 4, {10, 6, 1, 1, 2}, Micros(0)), Micros(0));
  CHECK(f.Sum(kStart).taken.low == 10);
  f.OnNews(kStart, NewsOf(1, kOther, 3, {9, 6, 1, 1, 1}, Micros(0)), Micros(0));   // Late.
  f.OnNews(kStart, NewsOf(1, kOther, 4, {10, 6, 1, 1, 2}, Micros(0)), Micros(0));  // Twice.
  CHECK(f.Sum(kStart).taken.high == 10);
  f.Over(kStart + seconds(1), 1, kOther);
  f.OnNews(kStart + seconds(1), NewsOf(1, Life{8, 80}, 1, {3, 0, 0, 0, 3}, Micros(0)), Micros(0));
  const auto sum = f.Sum(kStart + seconds(1));
  CHECK(sum.taken.low == 13);
  // Within the second before its end it may have taken ten more, by the rule.
  CHECK(sum.taken.high >= 23);
  CHECK(sum.taken.high <= 25);
  CHECK(sum.open.low == 3);
  CHECK(sum.open.high == 3);  // What the former held ended with it.
  CHECK(sum.over == 1);
}

TEST_CASE("a part that is not heard widens by the written rule") {
  FleetCounts f = Whole();
  CHECK(f.Sum(kStart).taken.high == FleetCounts::kUnbounded);
  CHECK(f.Sum(kStart).unheard == 2);
  f.OnNews(kStart, NewsOf(1, kOther, 1, {10, 6, 1, 1, 2}, milliseconds(500)), milliseconds(500));
  f.OnNews(kStart, NewsOf(2, Life{1, 9}, 1, {1, 0, 0, 0, 1}, std::nullopt), milliseconds(1));
  CHECK(f.Sum(kStart).taken.high == FleetCounts::kUnbounded);  // Its age has no bound.
  f.OnNews(kStart, NewsOf(2, Life{1, 9}, 1, {1, 0, 0, 0, 1}, Micros(0)), Micros(0));
  CHECK(f.Sum(kStart).taken.high == 11);
  CHECK(f.Sum(kStart).oldest >= seconds(1));
  CHECK(f.Sum(kStart).oldest < milliseconds(1001));
  f.Own(kStart + seconds(20), kLife, 1, {});
  const auto late = f.Sum(kStart + seconds(20));
  CHECK(late.widened == 2);
  CHECK(late.taken.low == 11);
  CHECK(late.taken.high >= 11 + 410);
  CHECK(late.open.low == 0);
  CHECK(late.open.high == 200);  // No relay holds more than it may.
}

TEST_CASE("relays that start together hand on what each knew, until somebody knows what all did") {
  std::vector<FleetCounts> all;
  for (Slot k = 0; k < 3; ++k) {
    all.emplace_back(Three(k), k);
    all.back().Own(kStart, Life{1, 10 + k}, 1, {});
  }
  const auto read = [&](Slot by, Slot of) {
    if (all[by].RosterWanted(kStart + seconds(3) * (by + 3 * of), of))
      all[by].OnRoster(kStart, of, all[of].Roster(0, 1000));
  };
  read(1, 2);
  CHECK_FALSE(all[1].Whole());
  read(0, 1);
  CHECK(all[0].Whole());  // Its own, n1's, and n2's that n1 had.
  read(2, 0);
  CHECK(all[2].Whole());
}

TEST_CASE("counts in several parts count when all are there") {
  FleetCounts f(Three(0), 1);
  f.Own(kStart, kLife, 1, {});
  CountsNews one{1, kOther, 2, 0, 2, Micros(0), false, {{"a", 0, {5, 5, 0, 0, 0}}}};
  CountsNews two{1, kOther, 2, 1, 2, Micros(0), false, {{"b", 0, {7, 7, 0, 0, 0}}}};
  f.OnNews(kStart, one, Micros(0));
  CHECK(f.Sum(kStart).taken.low == 0);
  f.OnNews(kStart, two, Micros(0));
  CHECK(f.Sum(kStart).taken.low == 12);
  CHECK(f.Sum(kStart, 0, "b").taken.low == 7);
}

// ---- judgements ----

Evidence Bad(Slot author, const std::string& server, std::uint64_t version, std::int64_t start = 1) {
  return {author, Life{1, author + 1U}, server, start, Verdict::kFailing, 9, version, Micros(0), seconds(6)};
}

Settings Many(Slot self, std::uint32_t slots) {
  Settings s;
  s.self = self;
  s.slots = slots;
  s.most_avoided = 0.3;
  return s;
}

Judgements Ten() {
  Judgements j(Many(0, 10));
  std::vector<std::pair<std::string, std::int64_t>> listed;
  for (int k = 0; k < 10; ++k) listed.emplace_back("s" + std::to_string(k), 1);
  j.Listed(listed);
  return j;
}

TEST_CASE("two witnesses move a relay to avoid a server, one or one's own eyes do not") {
  Judgements j = Ten();
  j.Hear(kStart, Bad(1, "s1", 1), Micros(0));
  j.Hear(kStart, Bad(1, "s1", 2), Micros(0));
  CHECK(j.OnHearsay(kStart).empty());
  j.Hear(kStart, Bad(2, "s1", 1), Micros(0));
  CHECK(j.OnHearsay(kStart) == std::set<std::string>{"s1"});
  j.Observe(kStart + milliseconds(10), "s1", Verdict::kFine);
  CHECK(j.OnHearsay(kStart + milliseconds(10)).empty());
}

TEST_CASE("hearsay ends by itself, and is not followed longer than a look takes") {
  Judgements j = Ten();
  for (Slot a = 1; a <= 3; ++a) j.Hear(kStart, Bad(a, "s1", 1), Micros(0));
  CHECK(j.OnHearsay(kStart).size() == 1);
  CHECK(j.OnHearsay(kStart + milliseconds(1900)).size() == 1);
  CHECK(j.OnHearsay(kStart + milliseconds(2100)).empty());
  // Told anew it is not followed at once again.
  for (Slot a = 1; a <= 3; ++a) j.Hear(kStart + seconds(5), Bad(a, "s1", 2), Micros(0));
  CHECK(j.OnHearsay(kStart + seconds(5)).empty());
  // What has no bound on its age, or is too old by it, is not heard at all.
  for (Slot a = 1; a <= 3; ++a) {
    j.Hear(kStart, Bad(a, "s2", 1), std::nullopt);
    j.Hear(kStart, Bad(a, "s3", 1), seconds(7));
  }
  CHECK(j.OnHearsay(kStart) == std::set<std::string>{"s1"});
  CHECK(j.Counted().stale == 6);
}

TEST_CASE("no more than the stated part is avoided on hearsay, whatever is claimed") {
  Judgements j = Ten();
  for (Slot a = 1; a <= 9; ++a) {
    for (int s = 0; s < 5; ++s) j.Hear(kStart, Bad(a, "s" + std::to_string(s), 1), Micros(0));
  }
  CHECK(j.OnHearsay(kStart).size() == 3);
  // Who finds more than half of them bad speaks of its own link.
  for (Slot a = 1; a <= 9; ++a) j.Hear(kStart, Bad(a, "s5", 1), Micros(0));
  CHECK(j.OnHearsay(kStart).empty());
  CHECK(j.Distrusted(kStart).size() == 9);
}

TEST_CASE("evidence ends with the run of the server and of the witness") {
  Judgements j = Ten();
  for (Slot a = 1; a <= 3; ++a) j.Hear(kStart, Bad(a, "s1", 1, 0), Micros(0));  // Of an earlier start.
  CHECK(j.OnHearsay(kStart).empty());
  for (Slot a = 1; a <= 2; ++a) j.Hear(kStart, Bad(a, "s2", 1), Micros(0));
  j.Over(1, Life{1, 2});
  CHECK(j.OnHearsay(kStart).empty());
}

TEST_CASE("a witness that was found wrong is not heard for a while") {
  Judgements j = Ten();
  Micros now = kStart;
  for (std::uint64_t v = 1; v <= 3; ++v) {
    j.Hear(now, Bad(4, "s" + std::to_string(v), v), Micros(0));
    now += seconds(2);
    j.Observe(now, "s" + std::to_string(v), Verdict::kFine);
  }
  j.Hear(now, Bad(4, "s9", 9), Micros(0));
  j.Hear(now, Bad(5, "s9", 1), Micros(0));
  CHECK(j.OnHearsay(now).empty());
  CHECK(j.Distrusted(now) == std::vector<std::pair<Slot, std::string>>{{4, "was found wrong here"}});
}

// ---- the wire ----

Datagram Full() {
  Datagram d;
  d.from = 3;
  d.name = "n3";
  d.life = {~0ULL, ~0ULL};
  d.incarnation = 9;
  d.seq = 77;
  d.slots = 100;
  d.echo_run = ~0U;
  d.echo_seq = 5;
  d.echo_held = milliseconds(12);
  d.look = Look{99, Slot{0}};
  d.answer = 7;
  d.members = {{1, {4, 5}, 6, Standing::kLeft}};
  d.counts = {{2, {8, 9}, 10, 0, 1, Micros(0), true, {{"wetland", 1, {6, 1, 2, 1, 2}}}},
              {2, {8, 9}, 10, 0, 1, std::nullopt, false, {}}};
  d.have = {{4, 0, 0, std::nullopt, false}, {5, ~0U, 3, Micros(1), true}};
  d.digest = true;
  d.roster_from = 0;
  d.roster = RosterPage{3, 9, true, std::string("\x05\x00", 2), {{4, {1, 2}}}};
  d.evidence = {{1, {1, 2}, "s-1", 1790000000000, Verdict::kSlow, 3, 4, Micros(0), seconds(6)}};
  d.sent = {{"s-1", 4}};
  d.asks = {{1, "cold:s-1", 3, 0}};
  d.grants = {{1, 2, "cold:s-1", 3, seconds(2), {1, 2}}};
  d.returns = {{1, {3, 4}, "group", 2}};
  d.settled = {{1, "group", 2, {3, 4}}};
  d.held = Held{{1, 2}, 3, {{"group", 4, 5}}};
  d.who_holds = true;
  d.idle = {{"retry", 6}};
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
  CHECK(back.look->target == Slot{0});
  CHECK(back.counts[0].age == Micros(0));
  CHECK_FALSE(back.counts[1].age);
  CHECK(back.have[0].run == 0);
  CHECK(back.evidence[0].server_start == 1790000000000);
}

TEST_CASE("datagrams of another fleet, schema or sender, cut short or changed, are told apart and dropped") {
  const std::string bytes = Encode(Full(), "test");
  CHECK(std::get<Unread>(Decode(bytes, "other")) == Unread::kChecksum);
  CHECK(std::get<Unread>(Decode("GET / HTTP/1.1\r\n", "test")) == Unread::kNotOurs);
  CHECK(std::get<Unread>(Decode("", "test")) == Unread::kNotOurs);
  std::string older = bytes;
  older[2] = 0;
  CHECK(std::get<Unread>(Decode(older, "test")) == Unread::kSchema);
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    REQUIRE(std::holds_alternative<Unread>(Decode(std::string_view(bytes).substr(0, n), "test")));
    std::string flipped = bytes;
    flipped[n] = static_cast<char>(flipped[n] ^ 0x10);
    REQUIRE(std::holds_alternative<Unread>(Decode(flipped, "test")));
  }
  Datagram unbalanced = Full();
  unbalanced.counts[0].rows[0].tally.taken = 1;
  CHECK(std::get<Unread>(Decode(Encode(unbalanced, "test"), "test")) == Unread::kMalformed);
}

TEST_CASE("a million datagrams of garbage do nothing") {
  Random random(20261201);
  Node node(Three(0), "n0", kLife, 1, kStart);
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
  Node node(Three(0), "n0", kLife, 1, kStart);
  Out out;
  Datagram d;
  d.from = 1;
  d.name = "n2";
  d.life = kOther;
  node.OnDatagram(kStart, d, out);
  d.from = 9;
  node.OnDatagram(kStart, d, out);
  d.from = 0;
  d.name = "n0";
  node.OnDatagram(kStart, d, out);
  CHECK(node.Counted().strangers == 3);
  CHECK(out.empty());
}

// Two nodes that hand each other everything at once.
TEST_CASE("nodes learn of each other, lend, and agree on the sum") {
  std::vector<Node> nodes;
  nodes.reserve(3);
  for (Slot k = 0; k < 3; ++k)
    nodes.emplace_back(Three(k), "n" + std::to_string(k), Life{1, 10 + k}, k, kStart);
  Micros now = kStart;
  const auto turn = [&] {
    now += milliseconds(50);
    std::vector<std::pair<Slot, Out>> all;
    for (Slot k = 0; k < 3; ++k) {
      Out out;
      if (now.count() / 50'000 % 5 == k) nodes[k].Tick(now, out);
      all.emplace_back(k, std::move(out));
    }
    for (int hop = 0; hop < 4; ++hop) {
      std::vector<std::pair<Slot, Out>> next;
      for (auto& [from, out] : all) {
        for (auto& o : out) {
          CHECK(SizeOf(o.datagram) <= kMostDatagram);
          CHECK(Encode(o.datagram, "test").size() <= SizeOf(o.datagram));
          Out answers;
          nodes[o.to].OnDatagram(now, o.datagram, answers);
          next.emplace_back(o.to, std::move(answers));
        }
      }
      all = std::move(next);
    }
  };
  for (int k = 0; k < 200; ++k) turn();
  for (Node& n : nodes) CHECK(n.Members().Alive() == 2);
  // One relay alone comes to use most of the budget, while the others don't want it.
  std::uint32_t spent = 0;
  const Micros from = now + seconds(2);
  while (now < from + seconds(4)) {
    Out out;
    while (nodes[1].Spend(now, "retry", out)) spent += now >= from ? 1 : 0;
    for (auto& o : out) {
      Out answers;
      nodes[o.to].OnDatagram(now, o.datagram, answers);
      for (auto& a : answers) {
        Out more;
        nodes[a.to].OnDatagram(now, a.datagram, more);
      }
    }
    turn();
  }
  CHECK(spent >=
        4 * 8);  // 12 a second are the budget, 4 its own share; a quarter of each other's is never lent.
  CHECK(spent <= 4 * 12 + 12);
  auto t = nodes[2].Own().Take(0, "wetland");
  for (int k = 0; k < 100; ++k) turn();
  const auto sum = nodes[0].Sum(now);
  CHECK(sum.taken.low == 1);
  CHECK(sum.taken.high == 1);
  CHECK(sum.open.high == 1);
  nodes[2].Own().Finish(t, Accounts::End::kServed);
}

}  // namespace
}  // namespace stoatrun::fleet
