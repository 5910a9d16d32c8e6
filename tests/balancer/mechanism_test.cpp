// The mechanism: figures, trigger, batches, pool; and one test for each failure that was found.
#include <gtest/gtest.h>

#include <set>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

// Two servers, `held` own connections on server 1, both figures at 0.5.
Harness TwoServers(std::uint64_t held, const Settings& settings = PlainSettings()) {
  Harness h(settings);
  h.List({Ready(1), Ready(2)});
  for (std::uint64_t k = 1; k <= held; ++k) h.Resume(k, 1);
  h.Report(2, 0.5);
  h.Report(1, 0.5);
  return h;
}

TEST(Trigger, FigureIsSmoothedAndComparedWithTheMean) {
  // Latest 0.90: figure 0.7 * 0.90 + 0.3 * 0.5 = 0.780, mean 0.640, threshold 0.640 + 0.4 * 0.360 = 0.784.
  Harness under = TwoServers(100);
  EXPECT_TRUE(Of<MigrateConnection>(under.Report(1, 0.90)).empty());
  // Latest 0.91: figure 0.787, mean 0.6435, threshold 0.7861. 5% of 100 connections.
  Harness over = TwoServers(100);
  EXPECT_EQ(Of<MigrateConnection>(over.Report(1, 0.91)).size(), 5U);
}

TEST(Trigger, OneFigureIsActedOnOnceAndMovesMayShowFirst) {
  Harness h = TwoServers(100);
  ASSERT_EQ(Of<MigrateConnection>(h.Report(1, 0.93)).size(), 5U);
  EXPECT_TRUE(Of<MigrateConnection>(h.Report(1, 0.93)).empty());
  h.now += Ms(3100);
  EXPECT_FALSE(Of<MigrateConnection>(h.Report(1, 0.93)).empty());
}

TEST(Trigger, SmallBatchesAreRoundedAtRandom) {
  // 5% of 2 connections is a tenth of a move: none as a rule, one in ten replicas.
  std::size_t moves = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Settings s = PlainSettings();
    s.seed = seed;
    Harness h = TwoServers(2, s);
    moves += Of<MigrateConnection>(h.Report(1, 0.93)).size();
  }
  EXPECT_GT(moves, 70U);
  EXPECT_LT(moves, 130U);
}

TEST(Trigger, IdleConnectionsGoFirst) {
  Settings s = PlainSettings();
  Harness h(s);
  h.List({Ready(1), Ready(2)});
  for (std::uint64_t k = 1; k <= 20; ++k) h.Resume(k, 1, 100.0 + static_cast<double>(k));
  h.Give(LoadReported{Rq(13), 0.0});
  h.Report(2, 0.5);
  h.Report(1, 0.5);
  const auto moved = Of<MigrateConnection>(h.Report(1, 0.93));
  ASSERT_EQ(moved.size(), 1U);
  EXPECT_EQ(moved[0].id, Rq(13));  // Told load before any hint.
}

TEST(Trigger, NeverMoreThanAreIdleWhereLoadIsTold) {
  Harness h;
  h.List({Ready(1), Ready(2)});
  for (std::uint64_t k = 1; k <= 100; ++k) {
    h.Resume(k, 1, 100.0);
    h.Give(LoadReported{Rq(k), k <= 2 ? 1.0 : 100.0});
  }
  h.Report(2, 0.5);
  h.Report(1, 0.5);
  EXPECT_EQ(Of<MigrateConnection>(h.Report(1, 0.93)).size(), 2U);  // 5% are five, but two are idle.
}

TEST(Trigger, AReportOfNoLoadFromAServerWithOwnConnectionsIsNotBelieved) {
  // At the start all servers report zero; a mean of zero would make every later figure hot.
  Harness h;
  h.List({Ready(1), Ready(2), Ready(3)});
  for (std::uint64_t k = 1; k <= 60; ++k) h.Resume(k, 1 + k % 3);
  h.Report(2, 0.0);
  h.Report(3, 0.0);
  h.Report(1, 0.6);
  EXPECT_TRUE(Of<MigrateConnection>(h.Report(1, 0.6)).empty());
}

TEST(SickServer, AllThatLiesOverReliefGoesAtOnce) {
  // Smoothing weighs an old 0.5: figure 2.95, latest 4: over = 2.95; 1 - max(0.75, 0.8) / 2.95 = 72.9% of
  // 100.
  Harness h = TwoServers(100);
  const std::size_t moved = Of<MigrateConnection>(h.Report(1, 4.0)).size();
  EXPECT_GE(moved, 72U);
  EXPECT_LE(moved, 73U);
}

TEST(SickServer, ReliefCountsLoadNotConnections) {
  // One connection carries half of the load: 1 - 0.8 / 1.37 = 42% of the load is less than that one.
  Harness h;
  h.List({Ready(1), Ready(2)});
  for (std::uint64_t k = 1; k <= 20; ++k) h.Resume(k, 1, k == 9 ? 190.0 : 10.0);
  h.Report(2, 0.5);
  h.Report(1, 0.5);
  EXPECT_LE(Of<MigrateConnection>(h.Report(1, 1.74)).size(), 1U);
}

TEST(SickServer, ADelayNoteIsAFreshFigure) {
  Harness h = TwoServers(100);
  EXPECT_TRUE(Of<MigrateConnection>(h.Give(MessageLatencyReported{Sv(1), Ms(99)}))
                  .empty());  // Within the message aim.
  EXPECT_FALSE(Of<MigrateConnection>(h.Give(MessageLatencyReported{Sv(1), Ms(101)})).empty());  // Beyond it.
}

TEST(SickServer, AFewWildFiguresDoNotHideOthersBehindTheMean) {
  Harness h(PlainSettings());
  h.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  for (std::uint64_t k = 1; k <= 100; ++k) h.Resume(k, 1);
  h.Report(2, 9.0);
  h.Report(3, 0.4);
  h.Report(4, 0.4);
  EXPECT_FALSE(Of<MigrateConnection>(h.Report(1, 1.2)).empty());  // The raw mean would be 2.75.
}

TEST(Landing, LeastUtilisedFreshAnswerWins) {
  Harness h;
  h.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  const auto probes = Of<ProbeEndpoint>(h.Request(1));
  ASSERT_GE(probes.size(), 2U);
  std::vector<Action> after;
  for (std::size_t k = 0; k < probes.size(); ++k) {
    after = h.Report(static_cast<std::uint64_t>(probes[k].endpoint), k == 1 ? 0.2 : 0.5);
    EXPECT_EQ(Of<SendAttempt>(after).size(), k + 1 == probes.size() ? 1U : 0U);
  }
  EXPECT_EQ(Of<SendAttempt>(after)[0].endpoint, probes[1].endpoint);
}

TEST(Landing, DoesNotWaitForLostProbes) {
  Harness h;
  h.List({Ready(1), Ready(2)});
  EXPECT_TRUE(Of<SendAttempt>(h.Request(1)).empty());
  EXPECT_EQ(Of<SendAttempt>(h.Pass(Ms(40))).size(), 1U);  // An eighth of the aim of 300 ms.
}

TEST(Landing, AnAnswerServesFewRequestsAndNotForLong) {
  Harness h;
  h.List({Ready(1), Ready(2), Ready(3), Ready(4), Ready(5), Ready(6), Ready(7), Ready(8)});
  for (std::uint64_t k = 1; k <= 8; ++k) h.Report(k, k == 3 ? 0.1 : 0.5);
  std::size_t landed = 0;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    const auto sent = Of<SendAttempt>(h.RequestThenPass(id, Ms(40)));
    ASSERT_EQ(sent.size(), 1U);
    landed += sent[0].endpoint == Sv(3) ? 1 : 0;
  }
  EXPECT_LE(landed, 3U);  // Twice by its answer; further ones only by the table.
  Harness late;
  late.List({Ready(1), Ready(2)});
  late.Report(1, 0.1);
  late.now += Ms(1001);
  EXPECT_FALSE(Of<ProbeEndpoint>(late.Request(1)).empty());
}

TEST(Landing, NearServerWinsUntilTheFarOneIsClearlyEmptier) {
  for (const double far : {0.45, 0.2}) {
    Settings s = PlainSettings();
    s.zone_crossing_cost = 0.02;  // Weighs 0.1.
    Harness h(s);
    h.List({Ready(1, 0), Ready(2, 1)});
    h.Report(1, 0.5);
    h.Report(2, far);
    const auto sent = Of<SendAttempt>(h.RequestThenPass(1, Ms(40)));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].endpoint, far < 0.4 ? Sv(2) : Sv(1));
  }
}

TEST(Landing, WithoutProbesCountsOfOwnConnectionsDecide) {
  Settings s = PlainSettings();
  s.probes_allowed = false;
  s.report_mode = ReportMode::kOff;
  Harness h(s);
  h.List({Ready(1), Ready(2)});
  for (std::uint64_t k = 1; k <= 40; ++k) h.Resume(k, 1);
  h.Resume(41, 2);
  h.Pass(Ms(2000));
  const auto sent = Of<SendAttempt>(h.Request(50));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].endpoint, Sv(2));
}

TEST(Probing, SamplesHeldServersAndKeepsABudget) {
  Harness h;
  std::vector<Endpoint> list;
  for (std::uint64_t k = 1; k <= 100; ++k) list.push_back(Ready(k));
  h.List(list);
  for (std::uint64_t k = 1; k <= 50; ++k) h.Resume(k, k);
  std::set<EndpointId> probed;
  auto collect = [&](const std::vector<Action>& actions) {
    std::size_t n = 0;
    for (const ProbeEndpoint& p : Of<ProbeEndpoint>(actions)) {
      probed.insert(p.endpoint);
      ++n;
    }
    return n;
  };
  collect(h.Pass(Ms(3000)));
  EXPECT_EQ(probed.size(), 50U);  // Each held server once at the start, none of the others.
  for (const EndpointId id : probed) h.Report(static_cast<std::uint64_t>(id), 0.5);
  // Without arrivals a gateway may sample 0.2 times a second, however many servers it holds.
  EXPECT_LE(collect(h.Pass(Ms(60000))), 14U);
}

// Right after a start no server has a report made; samples of them once used up the budget for seconds.
TEST(Probing, SamplesThatCameBackEmptyAreTakenAgain) {
  Harness h;
  h.List({Ready(1), Ready(2), Ready(3)});
  for (std::uint64_t id = 1; id <= 3; ++id) h.Resume(id, id);
  std::size_t late = 0;
  for (int tick = 0; tick < 12; ++tick) {  // Three seconds, none with a figure.
    const auto probes = Of<ProbeEndpoint>(h.Pass(Ms(250)));
    for (const ProbeEndpoint& p : probes) h.Give(ProbeCompleted{p.endpoint, true, std::nullopt});
    if (tick >= 6) late += probes.size();
  }
  EXPECT_GE(late, 6U);   // All three are asked still, ...
  EXPECT_LE(late, 12U);  // ... but not with every tick.
}

TEST(Probing, ProbesAfterSomeOwnSends) {
  Harness h;
  h.List({Ready(1)});
  std::size_t probes = 0;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    auto a = h.Request(id);
    probes += Of<ProbeEndpoint>(a).size();
    h.Report(1, 0.3);
  }
  EXPECT_GE(probes, 2U);
}

TEST(Overload, RefusesAtOnceWhenTheBestServerIsFull) {
  Harness h;
  h.List({Ready(1), Ready(2)});
  const auto probes = Of<ProbeEndpoint>(h.Request(1));
  std::vector<Action> a;
  for (const ProbeEndpoint& p : probes) a = h.Report(static_cast<std::uint64_t>(p.endpoint), 1.3);
  EXPECT_EQ(Of<RejectRequest>(a).size(), 1U);
  EXPECT_TRUE(Of<SendAttempt>(a).empty());
  // The next one is refused on the same knowledge, without probes.
  const auto next = h.Request(2);
  EXPECT_EQ(Of<RejectRequest>(next).size(), 1U);
  EXPECT_TRUE(Of<ProbeEndpoint>(next).empty());
}

// Holding an answer back to keep its client from coming again is no answer: the refusal says when instead.
TEST(Overload, ARefusalTellsWhenItsReasonWillBeOver) {
  Settings set = PlainSettings();
  for (const Micros longest : {Ms(0), Ms(200), Ms(2000)}) {
    set.max_retry_after = longest;
    Harness h(set);
    h.List({Ready(1)});
    h.Request(1);
    const auto refused = Of<RejectRequest>(h.Report(1, 0.99));
    ASSERT_EQ(refused.size(), 1U);
    EXPECT_LE(refused[0].retry_after, std::min(longest, Ms(300)));
    EXPECT_GE(refused[0].retry_after, std::min(longest, Ms(100)));
    if (longest < Ms(2000)) continue;
    h.Pass(refused[0].retry_after - Ms(1));
    EXPECT_EQ(Of<RejectRequest>(h.Request(2)).size(), 1U);  // Too early: refused without a look.
    h.Pass(Ms(2));
    EXPECT_TRUE(Of<RejectRequest>(h.Request(3)).empty());  // Looked at again.
  }
}

TEST(Overload, CountsWhatOtherGatewaysMayHavePlacedMeanwhile) {
  // Ten servers at 0.7; this gateway holds one connection on each and its nine siblings likely do too, so
  // that one more on each server by all adds 0.7. Arrivals one a second pass, a rush of them is refused on
  // equal figures.
  for (const bool rush : {false, true}) {
    Settings s = PlainSettings();
    s.replicas = 10;
    Harness h(s);
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 10; ++k) list.push_back(Ready(k));
    h.List(list);
    for (std::uint64_t k = 1; k <= 10; ++k) h.Resume(1000 + k, k);
    std::size_t refused = 0;
    for (std::uint64_t id = 1; id <= 8; ++id) {
      for (std::uint64_t k = 1; k <= 10; ++k) h.Report(k, 0.7);
      const auto actions = h.RequestThenPass(id, Ms(40));
      refused += Of<RejectRequest>(actions).size();
      for (const SendAttempt& a : Of<SendAttempt>(actions)) h.Give(AttemptEstablished{a.id, a.endpoint});
      if (!rush) h.Pass(Ms(3000));
    }
    EXPECT_EQ(refused > 0, rush);
  }
}

// A relay that drains sends its clients away all at once. The figures still count them where they were, so
// that counting them again, and a herd besides, refused most of them while there was room.
TEST(Overload, ThoseWhoComeBackFindTheRoomTheyLeft) {
  for (const bool back : {false, true}) {
    Settings s = PlainSettings();
    s.replicas = 10;
    Harness h(s);
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 10; ++k) list.push_back(Ready(k));
    h.List(list);
    std::size_t refused = 0, sent = 0;
    for (std::uint64_t id = 1; id <= 25; ++id) {
      RequestArrived e;
      e.id = Rq(id);
      e.deadline = h.now + Ms(2000);
      e.is_reconnect = back;
      auto actions = h.Give(e);
      for (std::uint64_t k = 1; k <= 10; ++k) {
        const auto placed = h.Report(k, 0.6, 12.0);
        actions.insert(actions.end(), placed.begin(), placed.end());
      }
      h.Pass(Ms(10));
      refused += Of<RejectRequest>(actions).size();
      for (const SendAttempt& a : Of<SendAttempt>(actions)) {
        ++sent;
        h.Give(AttemptEstablished{a.id, a.endpoint});
      }
    }
    EXPECT_EQ(refused > 0, !back);
    EXPECT_EQ(sent == 25, back);
  }
}

TEST(Overload, FaultsEverywhereStopAttempts) {
  Settings s = PlainSettings();
  s.probes_allowed = false;
  Harness h(s);
  std::vector<Endpoint> list;
  for (std::uint64_t k = 1; k <= 50; ++k) list.push_back(Ready(k));
  h.List(list);
  std::size_t attempts = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    auto a = h.Request(id);
    while (!Of<SendAttempt>(a).empty()) {
      ++attempts;
      a = h.Give(AttemptEnded{Rq(id), Of<SendAttempt>(a)[0].endpoint, Outcome::kError, false, {}});
    }
    EXPECT_EQ(Of<RejectRequest>(a).size(), 1U);
  }
  EXPECT_LE(attempts, 10U);  // 400 without the guard.
}

TEST(Overload, AMassRejoinWaitsInsteadOfOverrunningSetups) {
  Settings s = PlainSettings();
  s.probes_allowed = false;
  Harness h(s);
  std::vector<Endpoint> list;
  for (std::uint64_t k = 1; k <= 50; ++k) list.push_back(Ready(k));
  h.List(list);
  std::vector<SendAttempt> out;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    for (const SendAttempt& a : Of<SendAttempt>(h.Request(id))) out.push_back(a);
  }
  ASSERT_EQ(out.size(), 8U);
  // All in time: the window grows by one for each, and those that wait follow.
  for (const SendAttempt& a : out) h.Give(AttemptEstablished{a.id, a.endpoint});
  EXPECT_EQ(Of<SendAttempt>(h.Pass(Ms(200))).size(), 16U);
  // One that timed out halves it.
  Harness slow(s);
  slow.List(list);
  const auto first = Of<SendAttempt>(slow.Request(1));
  slow.End(1, static_cast<std::uint64_t>(first[0].endpoint), Outcome::kTimedOut);
  std::size_t more = 0;
  for (std::uint64_t id = 2; id <= 200; ++id) more += Of<SendAttempt>(slow.Request(id)).size();
  EXPECT_EQ(more, 3U);  // A window of four, with the one sent again.
}

TEST(Health, AServerThatFailedIsAvoided) {
  Settings s = PlainSettings();
  s.probes_allowed = false;
  Harness h(s);
  h.List({Ready(1), Ready(2)});
  const auto first = Of<SendAttempt>(h.Request(1));
  h.Give(AttemptEnded{Rq(1), first[0].endpoint, Outcome::kNotConnected, false, {}});
  for (std::uint64_t id = 2; id <= 20; ++id) {
    for (const SendAttempt& a : Of<SendAttempt>(h.Request(id))) EXPECT_NE(a.endpoint, first[0].endpoint);
  }
}

// A gateway that has just started holds little itself; by that one connection seemed to fill a server, and
// the fresh gateway refused while all had room.
TEST(Beliefs, AFreshGatewayWeighsAConnectionByWhatServersCount) {
  Harness h;
  h.List({Ready(1), Ready(2), Ready(3), Ready(4)});
  std::size_t sent = 0, refused = 0;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    auto actions = h.Request(id);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* p = std::get_if<ProbeEndpoint>(&actions[k])) {
        more = h.Report(static_cast<std::uint64_t>(p->endpoint), 0.4, 8.0);
      } else if (const auto* a = std::get_if<SendAttempt>(&actions[k])) {
        ++sent;
        more = h.Give(AttemptEstablished{a->id, a->endpoint});
      }
      refused += std::holds_alternative<RejectRequest>(actions[k]) ? 1 : 0;
      actions.insert(actions.end(), more.begin(), more.end());
    }
    h.Pass(Ms(20));
  }
  EXPECT_EQ(sent, 8U);
  EXPECT_EQ(refused, 0U);
}

// Equal figures are one report looked at twice. When each look wiped out what had been sent since, all went
// to the server whose old report was lowest until it fell over.
TEST(Beliefs, OwnSendsCountUntilAReportCanHoldThem) {
  Harness h;
  h.List({Ready(1), Ready(2)});
  std::size_t to_first = 0, all = 0;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    auto actions = h.Request(id);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* p = std::get_if<ProbeEndpoint>(&actions[k])) {
        const bool first = p->endpoint == Sv(1);
        more = h.Report(static_cast<std::uint64_t>(p->endpoint), first ? 0.20 : 0.25, first ? 4.0 : 5.0);
      } else if (const auto* a = std::get_if<SendAttempt>(&actions[k])) {
        ++all;
        to_first += a->endpoint == Sv(1) ? 1 : 0;
        more = h.Give(AttemptEstablished{a->id, a->endpoint});
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
    h.Pass(Ms(30));
  }
  EXPECT_GE(all, 6U);
  EXPECT_LE(to_first, all / 2 + 1);
}

// A server that drains answers probes, and ever better ones, while a late list still calls it ready.
TEST(Beliefs, AProbesAnswerDoesNotClearAServerThatTurnsAttemptsAway) {
  Harness h;
  h.List({Ready(1), Ready(2)});
  std::size_t to_leaving = 0;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    auto actions = h.Request(id);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* p = std::get_if<ProbeEndpoint>(&actions[k])) {
        more = h.Report(static_cast<std::uint64_t>(p->endpoint), p->endpoint == Sv(1) ? 0.01 : 0.5,
                        p->endpoint == Sv(1) ? 1.0 : 50.0);
      } else if (const auto* a = std::get_if<SendAttempt>(&actions[k])) {
        to_leaving += a->endpoint == Sv(1) ? 1 : 0;
        more = a->endpoint == Sv(1) ? h.End(static_cast<std::uint64_t>(a->id), 1, Outcome::kRejected)
                                    : h.Give(AttemptEstablished{a->id, a->endpoint});
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
    h.Pass(Ms(100));
  }
  EXPECT_GE(to_leaving, 1U);
  EXPECT_LE(to_leaving, 5U);  // Six seconds: after 0.5, 1.5 and 3.5; without a memory every half second.
}

TEST(Determinism, SameEventsSameActions) {
  auto run = [] {
    Settings s = PlainSettings();
    s.seed = 99;
    Harness h(s);
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 30; ++k) list.push_back(Ready(k * 7919));
    h.List(list);
    std::vector<std::uint64_t> trace;
    for (std::uint64_t id = 1; id <= 100; ++id) {
      for (const Action& a : h.RequestThenPass(id, Ms(30))) {
        trace.push_back(a.index());
        if (const auto* x = std::get_if<SendAttempt>(&a))
          trace.push_back(static_cast<std::uint64_t>(x->endpoint));
        if (const auto* p = std::get_if<ProbeEndpoint>(&a)) {
          trace.push_back(static_cast<std::uint64_t>(p->endpoint));
          h.Report(static_cast<std::uint64_t>(p->endpoint), 0.1 * static_cast<double>(id % 10));
        }
      }
    }
    return trace;
  };
  const auto first = run();
  EXPECT_GT(first.size(), 100U);
  EXPECT_EQ(first, run());
}

}  // namespace
}  // namespace balancer
