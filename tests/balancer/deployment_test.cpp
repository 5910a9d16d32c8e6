// What one deployment has and another has not: groups whose members share work, sizes, reports without
// counts. Each test is a failure found on the second deployment.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <memory>
#include <set>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

Endpoint Named(std::uint64_t id, std::uint64_t name, double size = 1.0) {
  Endpoint e = Ready(id);
  e.name_hash = name;
  e.size = size;
  return e;
}

// A request of a group; its probes are answered by `loads` (server 1 first), and the server that it is sent
// to.
EndpointId Place(Harness& h, std::uint64_t id, std::uint64_t group, const std::vector<double>& loads) {
  RequestArrived e;
  e.id = Rq(id);
  e.affinity_group = group;
  e.deadline = h.now + Ms(2000);
  std::vector<Action> actions = h.Give(e);
  for (std::size_t k = 0; k < actions.size(); ++k) {
    const auto* p = std::get_if<ProbeEndpoint>(&actions[k]);
    if (p == nullptr) continue;
    const auto server = static_cast<std::uint64_t>(p->endpoint);
    const std::vector<Action> more = h.Report(server, loads[server - 1]);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  const std::vector<Action> later = h.Pass(Ms(40));
  actions.insert(actions.end(), later.begin(), later.end());
  const auto sent = Of<SendAttempt>(actions);
  if (sent.empty()) return EndpointId(0);
  h.Give(AttemptEstablished{Rq(id), sent[0].endpoint});
  return sent[0].endpoint;
}

// Every server that holds some of a group pays for it: 8 groups on 14 servers once asked for more than their
// connections did, as each new one went where most room was.
TEST(Groups, ANewConnectionGoesWhereItsGroupIsHeldUntilAnotherIsClearlyEmptier) {
  for (const double held : {0.55, 0.95}) {
    Harness h;
    h.List({Named(1, 11), Named(2, 12), Named(3, 13), Named(4, 14)});
    ConnectionResumed standing;
    standing.request.id = Rq(1);
    standing.request.affinity_group = 77;
    standing.endpoint = Sv(3);
    h.Give(standing);
    const EndpointId to = Place(h, 2, 77, {0.3, 0.3, held, 0.3});
    EXPECT_EQ(to == Sv(3), held < 0.6) << held;
  }
}

TEST(Groups, OfANewGroupEveryGatewayThinksOfTheSameServer) {
  // The second gateway lists the same servers under other ids and in another order.
  int same = 0;
  std::set<std::uint64_t> used;
  for (std::uint64_t group = 1; group <= 20; ++group) {
    Settings other = PlainSettings();
    other.seed = 99;
    Harness a;
    Harness b(other);
    a.List({Named(1, 11), Named(2, 12), Named(3, 13), Named(4, 14)});
    b.List({Named(1, 14), Named(2, 13), Named(3, 12), Named(4, 11)});
    const auto at_a = static_cast<std::uint64_t>(Place(a, 1, group, {0.3, 0.3, 0.3, 0.3}));
    const auto at_b = static_cast<std::uint64_t>(Place(b, 1, group, {0.3, 0.3, 0.3, 0.3}));
    same += at_a == 5 - at_b ? 1 : 0;
    used.insert(at_a);
  }
  EXPECT_GE(same, 19);  // By chance: 5.
  EXPECT_EQ(used.size(), 4U);
}

Settings BlindSettings(std::uint64_t seed) {
  Settings s = PlainSettings();
  s.seed = seed;
  s.replicas = 300;
  s.report_mode = ReportMode::kOff;
  s.probes_allowed = false;
  return s;
}

// A site without load reports, 300 relays and groups that cost three connections each lost half its service:
// every server held some of nearly every group, and asked for three times what its connections did.
TEST(Groups, WithoutReportsManyGatewaysSendAGroupToOneHome) {
  for (std::uint64_t group = 1; group <= 20; ++group) {
    std::set<std::uint64_t> homes;
    for (std::uint64_t gateway = 1; gateway <= 5; ++gateway) {
      Harness h(BlindSettings(gateway));
      h.List({Named(1, 11), Named(2, 12), Named(3, 13), Named(4, 14)});
      for (std::uint64_t k = 1; k <= 3; ++k) homes.insert(static_cast<std::uint64_t>(Place(h, k, group, {})));
    }
    EXPECT_EQ(homes.size(), 1U) << group;
  }
}

// Their own counts made a server with two of their connections look full, for its clients to be moved or
// declined; and what late messages told was never unsaid.
TEST(Groups, WithoutReportsManyGatewaysHeedLateMessagesForAWhileAndNoCounts) {
  Harness h(BlindSettings(1));
  h.List({Named(1, 11), Named(2, 12), Named(3, 13), Named(4, 14)});
  const EndpointId home = Place(h, 1, 77, {});
  for (std::uint64_t k = 2; k <= 6; ++k) EXPECT_EQ(Place(h, k, 77, {}), home);
  EXPECT_TRUE(Of<MigrateConnection>(h.Pass(Ms(5000))).empty());
  h.Give(MessageLatencyReported{home, Ms(500)});
  EXPECT_NE(Place(h, 7, 77, {}), home);
  for (std::uint64_t k = 1; k <= 6; ++k) h.Give(AttemptEnded{Rq(k), home, Outcome::kServed, true, {}});
  h.Give(AttemptEnded{Rq(7), Sv(1), Outcome::kServed, true, {}});
  h.Pass(Ms(8000));
  EXPECT_EQ(Place(h, 8, 77, {}), home);
}

// 300 replicas, each with one connection on one of eight servers, as a ninth starts.
class LargeFleet {
 public:
  explicit LargeFleet(bool reports) : reports_(reports) {
    std::vector<Endpoint> servers;
    for (std::uint64_t k = 1; k <= 8; ++k) servers.push_back(Named(k, 10 + k));
    for (std::uint64_t k = 0; k < 300; ++k) {
      Settings settings = BlindSettings(k + 1);
      if (reports) settings.report_mode = ReportMode::kOnProbe;
      settings.probes_allowed = reports;
      gateways_.emplace_back(std::make_unique<Harness>(settings));
      gateways_.back()->List(servers);
      gateways_.back()->Resume(1, 1 + k % 8);
      for (std::uint64_t server = 1; reports && server <= 8; ++server) gateways_.back()->Report(server, 0.5);
      gateways_.back()->Pass(Ms(2000));
    }
    servers.push_back(Named(9, 19));
    servers.back().started_at = gateways_.front()->now;
    for (auto& g : gateways_) g->List(servers, EndpointUpdate::Kind::kFull);
    while (true) {  // A group that all replicas think of the ninth for, once it is warm.
      Harness h(BlindSettings(1));
      servers.back().started_at = Micros(0);
      h.List(servers);
      if (Place(h, 1, ++group_, {}) == Sv(9)) break;
    }
  }
  // After `pause` every `n`-th asks for the group; how many are sent to the cold server.
  std::size_t Ask(Micros pause, std::size_t n) {
    std::size_t sent = 0;
    ++round_;
    for (std::size_t k = 0; k < gateways_.size(); ++k) {
      gateways_[k]->Pass(pause);
      if (reports_) gateways_[k]->Report(1 + k % 8, 0.5);
      if ((k + round_) % n == 0) sent += Place(*gateways_[k], 1 + round_, group_, loads_) == Sv(9) ? 1 : 0;
    }
    return sent;
  }

 private:
  std::vector<std::unique_ptr<Harness>> gateways_;
  const bool reports_;
  const std::vector<double> loads_ = {0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0};
  std::uint64_t group_ = 0, round_ = 0;
};

// Of what a connection weighs nothing was known, so the budget never filled: 53 of 85 servers that had just
// started were sent nothing for as long as they were cold, and those left were asked for twice what they can.
TEST(Cold, WithoutReportsManyGatewaysUseAServerByWhatTheOthersCarry) {
  LargeFleet fleet(false);
  std::size_t sent = 0;
  for (int k = 0; k < 30; ++k) sent += fleet.Ask(Ms(160), 10);
  EXPECT_GE(sent, 16U);  // Half of what it takes while one of the others carries 37.
}

// 300 that had each saved a connection's worth spent them at once, on one home or on the emptiest: it fell.
TEST(Cold, WhatManyGatewaysSavedDoesNotComeInOneMoment) {
  for (const bool reports : {false, true}) {
    LargeFleet fleet(reports);
    const double carried = 300.0 / 8, present = 0.3 + 0.7 * 5 / 9, allowed = 4 * present * carried;
    const auto sent = static_cast<double>(fleet.Ask(Ms(5000), 1));
    EXPECT_LE(sent, allowed + 3 * std::sqrt(allowed) + 3) << reports;
    EXPECT_GE(sent, 1) << reports;
  }
}

TEST(Groups, AGroupThatIsGoneFromAServerIsNoReasonToGoThere) {
  Harness h;
  h.List({Named(1, 11), Named(2, 12), Named(3, 13), Named(4, 14)});
  const EndpointId first = Place(h, 1, 77, {0.3, 0.3, 0.3, 0.3});
  h.End(1, static_cast<std::uint64_t>(first), Outcome::kServed, true);
  h.now += Ms(5000);
  std::vector<double> loads(4, 0.3);
  loads[static_cast<std::uint64_t>(first) - 1] = 0.9;  // Smoothed 0.72: a holder would still be chosen.
  EXPECT_NE(Place(h, 2, 77, loads), first);
}

// A hundred replicas with views equally old all sent a group to its one home: on the whole fleet's days more
// was lost by that than groups cost there.
TEST(Groups, OneOfMoreReplicasThanServersGoesWhereMostRoomIs) {
  for (const std::uint32_t replicas : {4U, 5U}) {
    Settings s = PlainSettings();
    s.replicas = replicas;
    Harness h(s);
    h.List({Named(1, 11), Named(2, 12), Named(3, 13), Named(4, 14)});
    ConnectionResumed standing;
    standing.request.id = Rq(1);
    standing.request.affinity_group = 77;
    standing.endpoint = Sv(3);
    h.Give(standing);
    h.Give(LoadReported{Rq(1), 10'000.0});
    EXPECT_EQ(Place(h, 2, 77, {0.3, 0.3, 0.55, 0.3}) == Sv(3), replicas == 4) << replicas;
  }
}

// Reports without counts: what a connection weighs was taken from own ones alone. After a start one that
// stood was taken for a third of the fleet, each further one filled a server by itself, and all were
// declined.
TEST(Weights, AGatewayThatHasJustStartedDoesNotTakeItsFewConnectionsForTheFleetsLoad) {
  Settings s = PlainSettings();
  s.replicas = 2;
  Harness h(s);
  h.List({Named(1, 11, 2), Named(2, 12, 2), Named(3, 13, 2), Named(4, 14, 6), Named(5, 15, 2)});
  const std::vector<double> loads{0.3, 0.6, 0.9, 0.55, 0.6};
  int sent = 0;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    const EndpointId to = Place(h, id, 0, loads);
    if (to == EndpointId(0)) continue;
    ++sent;
    h.Give(LoadReported{Rq(id), 40'000.0});  // A fiftieth of a server of two cores.
  }
  EXPECT_GE(sent, 11);  // 9 without this.
}

// Two servers of equal size; the second holds 20 own connections of a told load that is half of what it can
// do.
Harness HalfFull(double size) {
  Harness h;
  h.List({Named(1, 11, size), Named(2, 12, size)});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    h.Resume(id, 2);
    h.Give(LoadReported{Rq(id), size * 25'000.0});
  }
  return h;
}

// Equal figures are one report, looked at again: it knows nothing of what was sent since, with counts or
// without. Each look once wiped the sends away, and an empty server was sent whatever came until it told
// more.
TEST(Weights, SendsThatNoReportShowsYetCountWithoutCountsToo) {
  Harness h = HalfFull(2);
  int at_empty = 0;
  for (std::uint64_t id = 101; id <= 116; ++id) {
    const EndpointId to = Place(h, id, 0, {0.2, 0.5});
    h.Give(LoadReported{Rq(id), 50'000.0});  // 12 fill the difference.
    at_empty += to == Sv(1) ? 1 : 0;
  }
  EXPECT_LE(at_empty, 14);  // All 16 without this.
  EXPECT_GE(at_empty, 10);
}

// Loads differ by a factor of hundreds: a heavy one that has just come up counts as what it tells.
TEST(Weights, AConnectionThatNoReportShowsYetCountsWithTheLoadThatItTells) {
  for (const double load : {50'000.0, 800'000.0}) {
    Harness h = HalfFull(2);
    ASSERT_EQ(Place(h, 101, 0, {0.2, 0.4}), Sv(1));
    h.Give(LoadReported{Rq(101), load});
    EXPECT_EQ(Place(h, 102, 0, {0.2, 0.4}), load < 100'000 ? Sv(1) : Sv(2));
  }
}

// A connection fills more of a small server than of a large one.
TEST(Weights, ASendCountsByTheSizeOfItsServer) {
  for (const double size : {1.0, 8.0}) {
    Harness h = HalfFull(size);
    ASSERT_EQ(Place(h, 101, 0, {0.40, 0.45}), Sv(1));
    h.Give(LoadReported{Rq(101), 100'000.0});
    EXPECT_EQ(Place(h, 102, 0, {0.40, 0.45}), size > 2 ? Sv(1) : Sv(2));
  }
}

// One that fails fast has little load and drew everybody: an eighth of all attempts was answered with an
// error.
TEST(Errors, AServerThatAnswersWithAnErrorIsLeftAloneForAWhileThoughItLooksEmpty) {
  Harness h;
  h.List({Named(1, 11), Named(2, 12), Named(3, 13)});
  int failed = 0;
  for (std::uint64_t id = 101; id <= 110; ++id) {
    std::vector<Action> actions = h.RequestThenPass(id, Ms(0));
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* p = std::get_if<ProbeEndpoint>(&actions[k])) {
        const auto server = static_cast<std::uint64_t>(p->endpoint);
        more = h.Report(server, server == 1 ? 0.1 : 0.5);
      } else if (const auto* s = std::get_if<SendAttempt>(&actions[k])) {
        failed += s->endpoint == Sv(1) ? 1 : 0;
        more = h.End(id, static_cast<std::uint64_t>(s->endpoint),
                     s->endpoint == Sv(1) ? Outcome::kError : Outcome::kServed, s->endpoint != Sv(1));
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
    h.Pass(Ms(40));
  }
  EXPECT_LE(failed, 2);  // In 0.4 s.
}

// What connections tell of themselves leaves out what their groups cost a server: a cold one was sent 6.4
// times what it could then do, on a day of ten replicas.
TEST(Cold, ItsBudgetTakesTheLargerOfTheWeightsThatAConnectionMayHave) {
  Settings settings = PlainSettings();
  settings.replicas = 4;
  Harness h(settings);
  Endpoint cold = Named(2, 12);
  cold.started_at = h.now;
  h.List({Named(1, 11), cold});
  for (std::uint64_t k = 1; k <= 10; ++k) {
    h.Resume(k, 1);
    h.Give(LoadReported{Rq(k), 5000});  // A two-hundredth of a server.
  }
  h.Report(1, 0.7);  // Of which ten of forty connections are a fiftieth each.
  h.Pass(Ms(1000));
  std::size_t sent = 0;
  for (std::uint64_t k = 100; k < 125; ++k) sent += Place(h, k, 0, {0.7, 0.05}) == Sv(2) ? 1 : 0;
  EXPECT_GE(sent, 3U);
  EXPECT_LE(sent, 16U);
}

// A gateway of 300 had looked at one of forty servers, the one that holds its one connection: by that a
// server is filled by 600 connections, not by 15, and 37 cold ones fell in ten seconds of a day.
TEST(Cold, ServersNotLookedAtCountForTheWeightOfAConnection) {
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Settings settings = PlainSettings();
    settings.replicas = 300;
    settings.seed = seed;
    Harness h(settings);
    std::vector<Endpoint> servers;
    for (std::uint64_t k = 1; k <= 40; ++k) servers.push_back(Named(k, 10 + k));
    h.List(servers);
    h.Resume(1, 1);
    h.Report(1, 0.5);
    h.Pass(Ms(2000));
    servers.push_back(Named(41, 51));
    servers.back().started_at = h.now;
    h.List(servers, EndpointUpdate::Kind::kFull);
    std::vector<double> loads(41, 0.5);
    loads[40] = 0.05;
    for (std::uint64_t k = 2; k <= 11; ++k) {
      sent += Place(h, k, 0, loads) == Sv(41) ? 1 : 0;
      h.Pass(Ms(500));
    }
  }
  EXPECT_LE(sent, 15U);  // Five seconds of ten replicas' parts, and what they start with.
}

// ---- what other replicas tell ----

TEST(Peers, WhatOthersSentToAServerCountsThereUntilTheySayOtherwise) {
  Harness h;
  h.List({Named(1, 11), Named(2, 12)});
  for (std::uint64_t k = 1; k <= 10; ++k) h.Resume(k, 1 + k % 2);
  for (const std::uint64_t server : {1, 2}) h.Report(server, server == 1 ? 0.4 : 0.45, 20.0);
  h.Give(FleetHint{Sv(1), 20, -1, false});
  EXPECT_EQ(Place(h, 100, 0, {0.4, 0.45}), Sv(2));
  h.Give(FleetHint{Sv(1), 0, -1, false});
  EXPECT_EQ(Place(h, 101, 0, {0.2, 0.45}), Sv(1));
}

TEST(Peers, AServerThatTheyFoundFailingIsLeftAloneForAWhileAndNoLonger) {
  Harness h;
  h.List({Named(1, 11), Named(2, 12)});
  h.Give(FleetHint{Sv(1), 0, -1, true});
  EXPECT_EQ(h.Avoided(), 1U);
  EXPECT_EQ(Place(h, 1, 0, {0.1, 0.5}), Sv(2));
  h.Pass(Ms(600));
  EXPECT_EQ(h.Avoided(), 0U);
  h.Give(FleetHint{Sv(9), 5, 5, true});  // Not in the list: passed by.
  EXPECT_EQ(h.Avoided(), 0U);
}

TEST(Peers, AColdServerIsSentWhatTheySayItMayBeSent) {
  Harness h;
  Endpoint cold = Named(1, 11);
  cold.started_at = h.now - Ms(10);
  h.List({cold, Named(2, 12)});
  h.Give(FleetHint{Sv(1), 0, 0, false});
  for (std::uint64_t k = 1; k <= 3; ++k) EXPECT_EQ(Place(h, k, 0, {0.0, 0.5}), Sv(2)) << k;
  h.Give(FleetHint{Sv(1), 0, 2, false});
  EXPECT_EQ(Place(h, 10, 0, {0.0, 0.5}), Sv(1));
  EXPECT_EQ(Place(h, 11, 0, {0.0, 0.5}), Sv(1));
  EXPECT_EQ(Place(h, 12, 0, {0.0, 0.5}), Sv(2));
}

}  // namespace
}  // namespace balancer
