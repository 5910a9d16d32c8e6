// Exactly one final answer per request, and no retry that may run a request twice.
#include <gtest/gtest.h>

#include <cstdint>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

std::size_t CountAnswers(const std::vector<Action>& actions) {
  return ActionsOfType<RejectRequest>(actions).size() + ActionsOfType<FailRequest>(actions).size();
}

TEST(FinalAnswer, WithoutEndpointsIsSentAtTheDeadline) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({});
  EXPECT_EQ(CountAnswers(fixture.SendRequest(1, Milliseconds(500))), 0U);
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(499))), 0U);
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(20))), 1U);
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(5000))), 0U);
}

TEST(FinalAnswer, WaitingRequestIsSentToAnEndpointThatAppears) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({});
  fixture.SendRequest(1);
  fixture.UpdateEndpoints({ReadyEndpoint(5)}, EndpointUpdate::Kind::kChanges);
  EXPECT_EQ(ActionsOfType<SendAttempt>(fixture.AdvanceTime(Milliseconds(400))).size(), 1U);
}

TEST(FinalAnswer, AttemptInFlightAtTheDeadlineIsCancelledAndAnsweredOnce) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  ASSERT_EQ(ActionsOfType<SendAttempt>(fixture.SendRequest(1, Milliseconds(500))).size(), 1U);
  const auto actions = fixture.AdvanceTime(Milliseconds(520));
  EXPECT_EQ(CountAnswers(actions), 1U);
  EXPECT_EQ(ActionsOfType<CancelAttempt>(actions).size(), 1U);
  const auto late = fixture.EndAndAdvance(1, 5, Outcome::kTimedOut, Milliseconds(2000));
  EXPECT_EQ(CountAnswers(late), 0U);
  EXPECT_TRUE(ActionsOfType<SendAttempt>(late).empty());
}

TEST(FinalAnswer, IsSentAtTheAttemptLimit) {
  Settings settings = NoProbeSettings(Idempotency::kIdempotent);
  settings.max_attempts = 2;
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6), ReadyEndpoint(7)});
  const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1));
  ASSERT_EQ(first.size(), 1U);
  const auto second = ActionsOfType<SendAttempt>(
      fixture.Handle(AttemptEnded{RequestId(1), first[0].endpoint, Outcome::kRejected, false, {}}));
  ASSERT_EQ(second.size(), 1U);
  EXPECT_NE(second[0].endpoint, first[0].endpoint);  // Untried endpoints first.
  EXPECT_EQ(CountAnswers(fixture.Handle(
                AttemptEnded{RequestId(1), second[0].endpoint, Outcome::kRejected, false, {}})),
            1U);
}

TEST(FinalAnswer, NoneForAServedOrDisconnectedClient) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  fixture.SendRequest(1, Milliseconds(500));
  fixture.EndAttempt(1, 5, Outcome::kServed, true);
  fixture.SendRequest(2, Milliseconds(500));
  fixture.Handle(ClientDisconnected{RequestId(2)});
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(1000))), 0U);
}

TEST(FinalAnswer, NoneForAnEstablishedConnection) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  fixture.SendRequest(1, Milliseconds(500));
  fixture.Handle(AttemptEstablished{RequestId(1), EndpointId(5)});
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(3000))), 0U);
}

TEST(FinalAnswer, AttemptTimeoutLeavesTimeForARetry) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  const auto sent = ActionsOfType<SendAttempt>(fixture.SendRequest(1, Milliseconds(2000)));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_GE(sent[0].timeout, Milliseconds(300));
  EXPECT_LE(sent[0].timeout, Milliseconds(1700));
}

TEST(Idempotency, NotIdempotentIsRetriedOnlyIfItNeverRan) {
  for (const Outcome outcome : {Outcome::kRejected, Outcome::kNotConnected}) {
    BalancerFixture fixture(NoProbeSettings(Idempotency::kNotIdempotent));
    fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6)});
    const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1));
    EXPECT_EQ(ActionsOfType<SendAttempt>(
                  fixture.Handle(AttemptEnded{RequestId(1), first[0].endpoint, outcome, false, {}}))
                  .size(),
              1U);
  }
  for (const Outcome outcome : {Outcome::kError, Outcome::kTimedOut, Outcome::kConnectionLost,
                                Outcome::kCancelled, Outcome::kUnknown}) {
    BalancerFixture fixture(NoProbeSettings(Idempotency::kNotIdempotent));
    fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6)});
    const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1));
    const auto actions = fixture.Handle(AttemptEnded{RequestId(1), first[0].endpoint, outcome, false, {}});
    EXPECT_TRUE(ActionsOfType<SendAttempt>(actions).empty());
    // A rejection would tell the client that a retry is harmless.
    EXPECT_TRUE(ActionsOfType<RejectRequest>(actions).empty());
    EXPECT_EQ(ActionsOfType<FailRequest>(actions).size(), 1U);
  }
}

TEST(Idempotency, NotIdempotentInFlightAtTheDeadlineFailsAndUnsentIsRejected) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kNotIdempotent));
  fixture.UpdateEndpoints({});
  fixture.SendRequest(1, Milliseconds(100));
  EXPECT_EQ(ActionsOfType<RejectRequest>(fixture.AdvanceTime(Milliseconds(120))).size(), 1U);
  fixture.UpdateEndpoints({ReadyEndpoint(5)}, EndpointUpdate::Kind::kFull);
  fixture.SendRequest(2, Milliseconds(100));
  EXPECT_EQ(ActionsOfType<FailRequest>(fixture.AdvanceTime(Milliseconds(120))).size(), 1U);
}

TEST(Idempotency, KeyedRetryStaysInItsDeduplicationScope) {
  for (const DeduplicationScope scope : {DeduplicationScope::kZone, DeduplicationScope::kCell}) {
    BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotencyKey, scope));
    // Endpoints 5 and 6 share zone and cell, the others share neither with them.
    fixture.UpdateEndpoints(
        {ReadyEndpoint(5, 0, 1), ReadyEndpoint(6, 0, 1), ReadyEndpoint(7, 1, 2), ReadyEndpoint(8, 1, 2)});
    const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1));
    const auto at = static_cast<std::uint64_t>(first[0].endpoint);
    const auto next =
        ActionsOfType<SendAttempt>(fixture.EndAndAdvance(1, at, Outcome::kTimedOut, Milliseconds(600)));
    ASSERT_EQ(next.size(), 1U);
    EXPECT_EQ(at <= 6, static_cast<std::uint64_t>(next[0].endpoint) <= 6);
  }
}

TEST(Idempotency, KeyedIsNotRetriedAfterItsDeduplicationWindow) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotencyKey, DeduplicationScope::kCell));
  fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6)});
  const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1, Milliseconds(3000)));
  fixture.now += Milliseconds(801);  // Counted from when the attempt was sent, not from its end.
  const auto actions =
      fixture.Handle(AttemptEnded{RequestId(1), first[0].endpoint, Outcome::kTimedOut, false, {}});
  EXPECT_TRUE(ActionsOfType<SendAttempt>(actions).empty());
  EXPECT_EQ(ActionsOfType<FailRequest>(actions).size(), 1U);
}

// Guards against a repeat that is written after the deduplication window: its connection may come up late.
TEST(Idempotency, KeyedRetryTellsItsCallerUntilWhenItMayBeWritten) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotencyKey));
  fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6)});
  const Micros window_end = fixture.now + Milliseconds(800);
  const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1, Milliseconds(3000)));
  ASSERT_EQ(first.size(), 1U);
  EXPECT_FALSE(first[0].send_before);
  fixture.now += Milliseconds(300);
  const auto repeats = ActionsOfType<SendAttempt>(
      fixture.EndAttempt(1, static_cast<std::uint64_t>(first[0].endpoint), Outcome::kError));
  ASSERT_EQ(repeats.size(), 1U);
  EXPECT_EQ(repeats[0].send_before, window_end);
  // Counted from the first attempt that may have run, not from the latest.
  fixture.now += Milliseconds(300);
  const auto third = ActionsOfType<SendAttempt>(
      fixture.EndAttempt(1, static_cast<std::uint64_t>(repeats[0].endpoint), Outcome::kError));
  ASSERT_EQ(third.size(), 1U);
  EXPECT_EQ(third[0].send_before, window_end);
}

// Guards against a final answer that is delayed to the client's deadline although the request, which waits
// for an endpoint, can't be repeated any more.
TEST(FinalAnswer, IsSentWhenTheDeduplicationWindowOfAWaitingRequestEnds) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotencyKey));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  ASSERT_EQ(ActionsOfType<SendAttempt>(fixture.SendRequest(1, Milliseconds(3000))).size(), 1U);
  fixture.UpdateEndpoints({}, EndpointUpdate::Kind::kFull);
  fixture.AdvanceTime(Milliseconds(500));
  EXPECT_EQ(CountAnswers(fixture.EndAndAdvance(1, 5, Outcome::kError, Milliseconds(290))), 0U);
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(20))), 1U);
  EXPECT_EQ(CountAnswers(fixture.AdvanceTime(Milliseconds(3000))), 0U);
}

TEST(Idempotency, KeyedThatMayHaveRunIsRejectedOnlyInAScopeOfAll) {
  for (const DeduplicationScope scope : {DeduplicationScope::kAll, DeduplicationScope::kCell}) {
    BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotencyKey, scope));
    fixture.UpdateEndpoints({ReadyEndpoint(5)});
    fixture.SendRequest(1, Milliseconds(400));
    const auto actions = fixture.AdvanceTime(Milliseconds(420));
    EXPECT_EQ(ActionsOfType<RejectRequest>(actions).size(), scope == DeduplicationScope::kAll ? 1U : 0U);
    EXPECT_EQ(CountAnswers(actions), 1U);
  }
}

TEST(Idempotency, NeverTwoAttemptsInFlight) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6)});
  ASSERT_EQ(ActionsOfType<SendAttempt>(fixture.SendRequest(1)).size(), 1U);
  EXPECT_TRUE(ActionsOfType<SendAttempt>(fixture.AdvanceTime(Milliseconds(1900))).empty());
}

}  // namespace
}  // namespace balancer
