// The four rules: one final answer in time, no idempotency twice, drains kept, cold servers not pushed over.
#include <gtest/gtest.h>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

Settings WithoutProbes(Idempotency idempotency, DeduplicationScope group = DeduplicationScope::kAll) {
  Settings s = PlainSettings();
  s.probes_allowed = false;
  s.classes[0].idempotency = idempotency;
  s.classes[0].deduplication_scope = group;
  s.classes[0].deduplication_window = Ms(800);
  return s;
}

std::size_t Answers(const std::vector<Action>& a) {
  return Of<RejectRequest>(a).size() + Of<FailRequest>(a).size();
}

TEST(OneAnswer, HeldWithoutAnyServerIsAnsweredAtTheDeadline) {
  Harness h;
  h.List({});
  EXPECT_EQ(Answers(h.Request(1, Ms(500))), 0U);
  EXPECT_EQ(Answers(h.Pass(Ms(499))), 0U);
  EXPECT_EQ(Answers(h.Pass(Ms(20))), 1U);
  EXPECT_EQ(Answers(h.Pass(Ms(5000))), 0U);
}

TEST(OneAnswer, HeldRequestGoesToAServerThatAppears) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({});
  h.Request(1);
  h.List({Ready(5)}, EndpointUpdate::Kind::kChanges);
  EXPECT_EQ(Of<SendAttempt>(h.Pass(Ms(400))).size(), 1U);
}

TEST(OneAnswer, AttemptOutAtTheDeadlineIsCancelledAndAnsweredOnce) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5)});
  ASSERT_EQ(Of<SendAttempt>(h.Request(1, Ms(500))).size(), 1U);
  const auto a = h.Pass(Ms(520));
  EXPECT_EQ(Answers(a), 1U);
  EXPECT_EQ(Of<CancelAttempt>(a).size(), 1U);
  const auto late = h.EndThenPass(1, 5, Outcome::kTimedOut, Ms(2000));
  EXPECT_EQ(Answers(late), 0U);
  EXPECT_TRUE(Of<SendAttempt>(late).empty());
}

TEST(OneAnswer, AttemptLimitEndsInAnAnswer) {
  Settings s = WithoutProbes(Idempotency::kIdempotent);
  s.max_attempts = 2;
  Harness h(s);
  h.List({Ready(5), Ready(6), Ready(7)});
  const auto first = Of<SendAttempt>(h.Request(1));
  ASSERT_EQ(first.size(), 1U);
  const auto second =
      Of<SendAttempt>(h.Give(AttemptEnded{Rq(1), first[0].endpoint, Outcome::kRejected, false, {}}));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].endpoint, first[0].endpoint);  // Other servers first.
  EXPECT_EQ(Answers(h.Give(AttemptEnded{Rq(1), second[0].endpoint, Outcome::kRejected, false, {}})), 1U);
}

TEST(OneAnswer, NoneIsOwedForAServedOrLostClient) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5)});
  h.Request(1, Ms(500));
  h.End(1, 5, Outcome::kServed, true);
  h.Request(2, Ms(500));
  h.Give(ClientDisconnected{Rq(2)});
  EXPECT_EQ(Answers(h.Pass(Ms(1000))), 0U);
}

TEST(OneAnswer, EstablishedConnectionHasNoDeadline) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5)});
  h.Request(1, Ms(500));
  h.Give(AttemptEstablished{Rq(1), Sv(5)});
  EXPECT_EQ(Answers(h.Pass(Ms(3000))), 0U);
}

TEST(OneAnswer, AttemptTimeOutLeavesRoomForAnother) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5)});
  const auto sent = Of<SendAttempt>(h.Request(1, Ms(2000)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_GE(sent[0].timeout, Ms(300));
  EXPECT_LE(sent[0].timeout, Ms(1700));
}

TEST(NoEffectTwice, UnsafeIsSentAgainOnlyIfItNeverRan) {
  for (const Outcome o : {Outcome::kRejected, Outcome::kNotConnected}) {
    Harness h(WithoutProbes(Idempotency::kNotIdempotent));
    h.List({Ready(5), Ready(6)});
    const auto first = Of<SendAttempt>(h.Request(1));
    EXPECT_EQ(Of<SendAttempt>(h.Give(AttemptEnded{Rq(1), first[0].endpoint, o, false, {}})).size(), 1U);
  }
  for (const Outcome o : {Outcome::kError, Outcome::kTimedOut, Outcome::kConnectionLost, Outcome::kCancelled,
                          Outcome::kUnknown}) {
    Harness h(WithoutProbes(Idempotency::kNotIdempotent));
    h.List({Ready(5), Ready(6)});
    const auto first = Of<SendAttempt>(h.Request(1));
    const auto a = h.Give(AttemptEnded{Rq(1), first[0].endpoint, o, false, {}});
    EXPECT_TRUE(Of<SendAttempt>(a).empty());
    EXPECT_TRUE(Of<RejectRequest>(a).empty());  // A refusal would call a repeat harmless.
    EXPECT_EQ(Of<FailRequest>(a).size(), 1U);
  }
}

TEST(NoEffectTwice, UnsafeOutAtTheDeadlineFailsAndUnsentIsRefused) {
  Harness h(WithoutProbes(Idempotency::kNotIdempotent));
  h.List({});
  h.Request(1, Ms(100));
  EXPECT_EQ(Of<RejectRequest>(h.Pass(Ms(120))).size(), 1U);
  h.List({Ready(5)}, EndpointUpdate::Kind::kFull);
  h.Request(2, Ms(100));
  EXPECT_EQ(Of<FailRequest>(h.Pass(Ms(120))).size(), 1U);
}

TEST(NoEffectTwice, KeyedStaysInItsGroup) {
  for (const DeduplicationScope group : {DeduplicationScope::kZone, DeduplicationScope::kCell}) {
    Harness h(WithoutProbes(Idempotency::kIdempotencyKey, group));
    // Servers 5 and 6 share zone and cell, the others share neither.
    h.List({Ready(5, 0, 1), Ready(6, 0, 1), Ready(7, 1, 2), Ready(8, 1, 2)});
    const auto first = Of<SendAttempt>(h.Request(1));
    const std::uint64_t at = static_cast<std::uint64_t>(first[0].endpoint);
    const auto next = Of<SendAttempt>(h.EndThenPass(1, at, Outcome::kTimedOut, Ms(600)));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(at <= 6, static_cast<std::uint64_t>(next[0].endpoint) <= 6);
  }
}

TEST(NoEffectTwice, KeyedIsNotRepeatedAfterItsWindow) {
  Harness h(WithoutProbes(Idempotency::kIdempotencyKey, DeduplicationScope::kCell));
  h.List({Ready(5), Ready(6)});
  const auto first = Of<SendAttempt>(h.Request(1, Ms(3000)));
  h.now += Ms(801);  // Measured from the send, not from the outcome.
  const auto a = h.Give(AttemptEnded{Rq(1), first[0].endpoint, Outcome::kTimedOut, false, {}});
  EXPECT_TRUE(Of<SendAttempt>(a).empty());
  EXPECT_EQ(Of<FailRequest>(a).size(), 1U);
}

TEST(NoEffectTwice, KeyedThatMayHaveRunIsRefusedOnlyWithinAGroupOfAll) {
  for (const DeduplicationScope group : {DeduplicationScope::kAll, DeduplicationScope::kCell}) {
    Harness h(WithoutProbes(Idempotency::kIdempotencyKey, group));
    h.List({Ready(5)});
    h.Request(1, Ms(400));
    const auto a = h.Pass(Ms(420));
    EXPECT_EQ(Of<RejectRequest>(a).size(), group == DeduplicationScope::kAll ? 1U : 0U);
    EXPECT_EQ(Answers(a), 1U);
  }
}

TEST(NoEffectTwice, NeverTwoAttemptsOut) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5), Ready(6)});
  ASSERT_EQ(Of<SendAttempt>(h.Request(1)).size(), 1U);
  EXPECT_TRUE(Of<SendAttempt>(h.Pass(Ms(1900))).empty());
}

TEST(Drains, NothingGoesToADrainingGoneOrAbsentServer) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5), Ready(6), Ready(7), Ready(8)});
  Endpoint draining = Ready(5), gone = Ready(6);
  draining.state = EndpointState::kDraining;
  gone.state = EndpointState::kGone;
  h.List({draining, gone}, EndpointUpdate::Kind::kChanges);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    for (const SendAttempt& s : Of<SendAttempt>(h.Request(id)))
      EXPECT_TRUE(s.endpoint == Sv(7) || s.endpoint == Sv(8));
  }
  h.List({Ready(8)}, EndpointUpdate::Kind::kFull);  // 7 is absent from a full list.
  for (std::uint64_t id = 51; id <= 100; ++id) {
    for (const SendAttempt& s : Of<SendAttempt>(h.Request(id))) EXPECT_EQ(s.endpoint, Sv(8));
  }
}

TEST(Drains, AServerMayComeBack) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5)});
  h.List({}, EndpointUpdate::Kind::kFull);
  EXPECT_TRUE(Of<SendAttempt>(h.Request(1)).empty());
  h.List({Ready(5)}, EndpointUpdate::Kind::kFull);
  EXPECT_EQ(Of<SendAttempt>(h.Request(2)).size(), 1U);
}

TEST(Drains, FailedWatchKeepsTheListAndIsRenewed) {
  Settings s = WithoutProbes(Idempotency::kIdempotent);
  s.list_mode = ListMode::kSubscribed;
  Harness h(s);
  EXPECT_EQ(Of<WatchEndpoints>(h.List({Ready(5)})).size(), 1U);
  h.List({}, EndpointUpdate::Kind::kFailed);
  EXPECT_EQ(Of<SendAttempt>(h.Request(1)).size(), 1U);
  EXPECT_EQ(Of<WatchEndpoints>(h.Pass(Ms(1600))).size(), 1U);
  h.List({Ready(6)}, EndpointUpdate::Kind::kChanges);  // Stands.
  EXPECT_TRUE(Of<WatchEndpoints>(h.Pass(Ms(20000))).empty());
}

TEST(Drains, WatchWithoutAnyAnswerIsMadeAgain) {
  Settings s = WithoutProbes(Idempotency::kIdempotent);
  s.list_mode = ListMode::kSubscribed;
  Harness h(s);
  h.List({Ready(5)});
  EXPECT_EQ(Of<WatchEndpoints>(h.Pass(Ms(7000))).size(), 1U);
}

// One warm fleet, one cold server that reports hardly any load: the pool would send everything there.
struct ColdFleet {
  Harness h;
  std::uint64_t next = 1;
  static Settings Make() {
    Settings s = PlainSettings();
    s.replicas = 1;
    return s;
  }
  ColdFleet() : h(Make()) {
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 20; ++k) list.push_back(Ready(k));
    h.List(list);
  }
  // Sets up `rate` connections a second for a span; gives the times of the sends to `watched`.
  std::vector<Micros> Run(double rate, Micros span, std::uint64_t watched) {
    std::vector<Micros> sends;
    const Micros end = h.now + span;
    while (h.now < end) {
      auto actions = h.Request(next++);
      for (std::size_t k = 0; k < actions.size(); ++k) {
        std::vector<Action> more;
        if (const auto* p = std::get_if<ProbeEndpoint>(&actions[k])) {
          more = h.Report(static_cast<std::uint64_t>(p->endpoint), p->endpoint == Sv(watched) ? 0.1 : 0.6);
        } else if (const auto* s = std::get_if<SendAttempt>(&actions[k])) {
          if (s->endpoint == Sv(watched)) sends.push_back(h.now);
          more = h.Give(AttemptEstablished{s->id, s->endpoint});
        }
        actions.insert(actions.end(), more.begin(), more.end());
      }
      h.Pass(Micros(static_cast<std::int64_t>(1e6 / rate)));
    }
    return sends;
  }
};

TEST(ColdServers, EveryWindowStaysWithinTheBudget) {
  ColdFleet f;
  f.Run(40, Ms(20000),
        99);  // 40 connections a server at a load of 0.6: about 67 fill one.
  Endpoint cold = Ready(99);
  cold.started_at = f.h.now;
  f.h.List({cold}, EndpointUpdate::Kind::kChanges);
  const Micros start = f.h.now;
  const auto sends = f.Run(100, Ms(9000), 99);
  EXPECT_GT(sends.size(), 100U);  // It is used, though.
  for (std::size_t k = 0; k < sends.size(); ++k) {
    std::size_t in_window = 0;
    while (k + in_window < sends.size() && sends[k + in_window] < sends[k] + Ms(1000)) ++in_window;
    const double age = static_cast<double>((sends[k] - start).count()) / 9e6;
    const double full = 67 * (1 + 9 * age * 100 / 800);  // The others go on to take some and tell 0.6 of all.
    EXPECT_LE(static_cast<double>(in_window), 0.5 * 4 * (0.3 + 0.7 * age) * full + 1) << "window " << k;
  }
}

TEST(ColdServers, ARestartIsColdAgain) {
  ColdFleet f;
  f.Run(40, Ms(10000), 3);
  Endpoint again = Ready(3);
  again.started_at = f.h.now;
  f.h.List({again}, EndpointUpdate::Kind::kChanges);
  // 20 held a server: 33 fill one, and a third of four times that would make it fall.
  EXPECT_LE(f.Run(200, Ms(1000), 3).size(), 20U);
}

TEST(ColdServers, NewServersDoNotDiluteWhatIsKnownOfFullOnes) {
  // Two servers hold 20 connections each at 0.8: 25 fill one. Eighteen new ones that carry nothing yet must
  // not lower that: a start seen later still gets 0.5 * 4 * 0.3 * 25 / 60 s = 0.25 connections a second.
  Settings settings = PlainSettings();
  settings.slow_start_duration = Ms(60000);
  Harness h(settings);
  h.List({Ready(1), Ready(2)});
  for (std::uint64_t k = 1; k <= 40; ++k) h.Resume(k, 1 + k % 2);
  h.Report(1, 0.8);
  h.Report(2, 0.8);
  h.Pass(Ms(1000));
  std::vector<Endpoint> fresh;
  for (std::uint64_t k = 3; k <= 20; ++k) {
    fresh.push_back(Ready(k));
    fresh.back().started_at = h.now;
  }
  h.List(fresh, EndpointUpdate::Kind::kChanges);
  h.Pass(Ms(20000));
  Endpoint late = Ready(99);
  late.started_at = h.now;
  h.List({late}, EndpointUpdate::Kind::kChanges);
  std::size_t sends = 0;
  for (std::uint64_t id = 1000; id < 1400; ++id) {  // Ten seconds in which only the late one has room.
    h.Report(99, 0.2);
    const auto actions = h.RequestThenPass(id, Ms(40));
    for (const SendAttempt& a : Of<SendAttempt>(actions)) {
      sends += a.endpoint == Sv(99) ? 1 : 0;
      h.Give(AttemptEstablished{a.id, a.endpoint});
    }
  }
  EXPECT_GE(sends, 2U);
}

TEST(ColdServers, ManyGatewaysKeepSharesOfOneBudget) {
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings s = PlainSettings();
    s.probes_allowed = false;
    s.replicas = 40;
    s.seed = seed;
    Harness h(s);
    Endpoint cold = Ready(9);
    cold.started_at = h.now;
    h.List({Ready(1), Ready(2), cold});
    for (std::uint64_t id = 1; id <= 30; ++id) {
      for (const SendAttempt& a : Of<SendAttempt>(h.Request(id))) sent += a.endpoint == Sv(9) ? 1 : 0;
      h.Pass(Ms(20));
    }
  }
  EXPECT_LE(sent, 10U);  // Nothing is known of what a server takes: hardly any of 1200 requests may go there.
}

TEST(BadCalls, UnknownIdsAreIgnored) {
  Harness h(WithoutProbes(Idempotency::kIdempotent));
  h.List({Ready(5)});
  EXPECT_TRUE(Of<SendAttempt>(h.End(77, 5, Outcome::kRejected)).empty());
  h.Give(ClientDisconnected{Rq(77)});
  h.Give(AttemptEstablished{Rq(77), Sv(5)});
  h.Give(LoadReported{Rq(77), 3});
  h.Give(MessageLatencyReported{Sv(77), Ms(500)});
  h.Give(ProbeCompleted{Sv(77), false, {}});
  h.Resume(78, 66);
  h.Request(1);
  EXPECT_TRUE(Of<SendAttempt>(h.Request(1)).empty());  // An id is used once.
}

}  // namespace
}  // namespace balancer
