// Admission control: rejections, the set-up window and the overload guard.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(Admission, RejectsAtOnceWhenTheBestEndpointIsFull) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  const auto probes = ActionsOfType<ProbeEndpoint>(fixture.SendRequest(1));
  std::vector<Action> actions;
  for (const ProbeEndpoint& probe : probes) {
    actions = fixture.ReportLoad(static_cast<std::uint64_t>(probe.endpoint), 1.3);
  }
  EXPECT_EQ(ActionsOfType<RejectRequest>(actions).size(), 1U);
  EXPECT_TRUE(ActionsOfType<SendAttempt>(actions).empty());
  // The next request is rejected by the same reports, without probes.
  const auto next = fixture.SendRequest(2);
  EXPECT_EQ(ActionsOfType<RejectRequest>(next).size(), 1U);
  EXPECT_TRUE(ActionsOfType<ProbeEndpoint>(next).empty());
}

// A rejection is sent at once. Its Retry-After keeps the client from retrying too early.
TEST(Admission, RetryAfterCoversTheReasonForTheRejection) {
  Settings settings = DefaultSettings();
  for (const Micros max_retry_after : {Milliseconds(0), Milliseconds(200), Milliseconds(2000)}) {
    settings.max_retry_after = max_retry_after;
    BalancerFixture fixture(settings);
    fixture.UpdateEndpoints({ReadyEndpoint(1)});
    fixture.SendRequest(1);
    const auto rejected = ActionsOfType<RejectRequest>(fixture.ReportLoad(1, 0.99));
    ASSERT_EQ(rejected.size(), 1U);
    EXPECT_LE(rejected[0].retry_after, std::min(max_retry_after, Milliseconds(300)));
    EXPECT_GE(rejected[0].retry_after, std::min(max_retry_after, Milliseconds(100)));
    if (max_retry_after < Milliseconds(2000)) continue;
    fixture.AdvanceTime(rejected[0].retry_after - Milliseconds(1));
    EXPECT_EQ(ActionsOfType<RejectRequest>(fixture.SendRequest(2)).size(),
              1U);  // Too early: rejected without probes.
    fixture.AdvanceTime(Milliseconds(2));
    EXPECT_TRUE(ActionsOfType<RejectRequest>(fixture.SendRequest(3)).empty());  // Probed again.
  }
}

// Guards against rejections after a time in which attempts were decided but not sent, as while the endpoint
// list was overdue: each used to count as a placement that the other replicas make too.
TEST(Admission, AttemptsThatWereNotSentAreNoPlacements) {
  Settings settings = DefaultSettings();
  settings.replicas = 10;
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(1)});
  fixture.SendRequest(1);
  fixture.ReportLoad(1, 0.2, 5);
  fixture.EndAttempt(1, 1, Outcome::kServed, true);
  for (std::uint64_t id = 2; id < 42; ++id) {
    fixture.SendRequest(id);
    fixture.ReportLoad(1, 0.2, 5);
    fixture.EndAttempt(id, 1, Outcome::kNotSent);
  }
  fixture.SendRequest(100);
  EXPECT_EQ(ActionsOfType<SendAttempt>(fixture.ReportLoad(1, 0.2, 5)).size(), 1U);
}

TEST(Admission, CountsConcurrentPlacementsOfOtherReplicas) {
  // Ten endpoints at 0.7 with one connection of this replica each. The nine other replicas are assumed to
  // have as many, so one more connection per endpoint and replica adds 0.7. At the same utilization, one
  // arrival in three seconds is admitted, and a burst is rejected.
  for (const bool is_burst : {false, true}) {
    Settings settings = DefaultSettings();
    settings.replicas = 10;
    BalancerFixture fixture(settings);
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 10; ++k) list.push_back(ReadyEndpoint(k));
    fixture.UpdateEndpoints(list);
    for (std::uint64_t k = 1; k <= 10; ++k) fixture.ResumeConnection(1000 + k, k);
    std::size_t rejected = 0;
    for (std::uint64_t id = 1; id <= 8; ++id) {
      for (std::uint64_t k = 1; k <= 10; ++k) fixture.ReportLoad(k, 0.7);
      const auto actions = fixture.RequestAndAdvance(id, Milliseconds(40));
      rejected += ActionsOfType<RejectRequest>(actions).size();
      for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(actions)) {
        fixture.Handle(AttemptEstablished{attempt.id, attempt.endpoint});
      }
      if (!is_burst) fixture.AdvanceTime(Milliseconds(3000));
    }
    EXPECT_EQ(rejected > 0, is_burst);
  }
}

// A draining relay migrates all its clients at once. Samples still include them at their endpoints. Counting
// them again, together with concurrent placements, rejected most of them despite free capacity.
TEST(Admission, ReconnectingClientsFindFreeCapacity) {
  for (const bool is_reconnect : {false, true}) {
    Settings settings = DefaultSettings();
    settings.replicas = 10;
    BalancerFixture fixture(settings);
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 10; ++k) list.push_back(ReadyEndpoint(k));
    fixture.UpdateEndpoints(list);
    std::size_t rejected = 0, sent = 0;
    for (std::uint64_t id = 1; id <= 25; ++id) {
      RequestArrived request;
      request.id = RequestId(id);
      request.deadline = fixture.now + Milliseconds(2000);
      request.is_reconnect = is_reconnect;
      auto actions = fixture.Handle(request);
      for (std::uint64_t k = 1; k <= 10; ++k) {
        const auto placed = fixture.ReportLoad(k, 0.6, 12.0);
        actions.insert(actions.end(), placed.begin(), placed.end());
      }
      fixture.AdvanceTime(Milliseconds(10));
      rejected += ActionsOfType<RejectRequest>(actions).size();
      for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(actions)) {
        ++sent;
        fixture.Handle(AttemptEstablished{attempt.id, attempt.endpoint});
      }
    }
    EXPECT_EQ(rejected > 0, !is_reconnect);
    EXPECT_EQ(sent == 25, is_reconnect);
  }
}

TEST(Admission, FaultsOfAllEndpointsStopAttempts) {
  Settings settings = DefaultSettings();
  settings.probes_allowed = false;
  BalancerFixture fixture(settings);
  std::vector<Endpoint> list;
  for (std::uint64_t k = 1; k <= 50; ++k) list.push_back(ReadyEndpoint(k));
  fixture.UpdateEndpoints(list);
  std::size_t attempts = 0;
  for (std::uint64_t id = 1; id <= 100; ++id) {
    auto actions = fixture.SendRequest(id);
    while (!ActionsOfType<SendAttempt>(actions).empty()) {
      ++attempts;
      actions = fixture.Handle(AttemptEnded{
          RequestId(id), ActionsOfType<SendAttempt>(actions)[0].endpoint, Outcome::kError, false, {}});
    }
    EXPECT_EQ(ActionsOfType<RejectRequest>(actions).size(), 1U);
  }
  EXPECT_LE(attempts, 10U);  // 400 without the guard.
}

TEST(Admission, MassReconnectWaitsForTheSetupWindow) {
  Settings settings = DefaultSettings();
  settings.probes_allowed = false;
  BalancerFixture fixture(settings);
  std::vector<Endpoint> list;
  for (std::uint64_t k = 1; k <= 50; ++k) list.push_back(ReadyEndpoint(k));
  fixture.UpdateEndpoints(list);
  std::vector<SendAttempt> out;
  for (std::uint64_t id = 1; id <= 200; ++id) {
    for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(fixture.SendRequest(id))) {
      out.push_back(attempt);
    }
  }
  ASSERT_EQ(out.size(), 8U);
  // Each establishment in time grows the window by one, and waiting requests are sent.
  for (const SendAttempt& attempt : out) fixture.Handle(AttemptEstablished{attempt.id, attempt.endpoint});
  EXPECT_EQ(ActionsOfType<SendAttempt>(fixture.AdvanceTime(Milliseconds(200))).size(), 16U);
  // A timeout halves the window.
  BalancerFixture slow(settings);
  slow.UpdateEndpoints(list);
  const auto first = ActionsOfType<SendAttempt>(slow.SendRequest(1));
  slow.EndAttempt(1, static_cast<std::uint64_t>(first[0].endpoint), Outcome::kTimedOut);
  std::size_t more = 0;
  for (std::uint64_t id = 2; id <= 200; ++id) more += ActionsOfType<SendAttempt>(slow.SendRequest(id)).size();
  EXPECT_EQ(more, 3U);  // A window of four, one of which the retry takes.
}

}  // namespace
}  // namespace balancer
