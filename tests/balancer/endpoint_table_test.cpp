// Endpoint updates and renewal of watches.
#include <gtest/gtest.h>
#include <malloc.h>

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(EndpointTable, DrainingRemovedAndAbsentEndpointsGetNoAttempts) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5), ReadyEndpoint(6), ReadyEndpoint(7), ReadyEndpoint(8)});
  Endpoint draining = ReadyEndpoint(5), removed = ReadyEndpoint(6);
  draining.state = EndpointState::kDraining;
  removed.state = EndpointState::kRemoved;
  fixture.UpdateEndpoints({draining, removed}, EndpointUpdate::Kind::kChanges);
  for (std::uint64_t id = 1; id <= 50; ++id) {
    for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(fixture.SendRequest(id))) {
      EXPECT_TRUE(attempt.endpoint == EndpointId(7) || attempt.endpoint == EndpointId(8));
    }
  }
  fixture.UpdateEndpoints({ReadyEndpoint(8)}, EndpointUpdate::Kind::kFull);  // 7 is absent from a full list.
  for (std::uint64_t id = 51; id <= 100; ++id) {
    for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(fixture.SendRequest(id))) {
      EXPECT_EQ(attempt.endpoint, EndpointId(8));
    }
  }
}

TEST(EndpointTable, RemovedEndpointMayReturn) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  fixture.UpdateEndpoints({}, EndpointUpdate::Kind::kFull);
  EXPECT_TRUE(ActionsOfType<SendAttempt>(fixture.SendRequest(1)).empty());
  fixture.UpdateEndpoints({ReadyEndpoint(5)}, EndpointUpdate::Kind::kFull);
  EXPECT_EQ(ActionsOfType<SendAttempt>(fixture.SendRequest(2)).size(), 1U);
}

// Removed endpoints are forgotten while requests that were sent to them are still in flight, are established
// or are retried. With sanitizers this also shows any use of a record that is gone.
TEST(EndpointTable, RemovedEndpointsAreErasedWhenNoRequestUsesThem) {
  Settings settings = NoProbeSettings(Idempotency::kIdempotent);
  settings.seed = 20261205;
  BalancerFixture fixture(settings);
  std::mt19937 random(20261205);  // NOLINT(cert-msc51-cpp): reproducible.
  const auto percent = [&](unsigned chance) { return random() % 100 < chance; };
  std::vector<SendAttempt> in_flight;
  std::uint64_t next_request = 1;
  const auto collect = [&](const std::vector<Action>& actions) {
    for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(actions)) in_flight.push_back(attempt);
  };
  const auto list = [&](std::uint64_t first) {
    std::vector<Endpoint> entries;
    for (std::uint64_t id = first; id < first + 10; ++id) entries.push_back(ReadyEndpoint(id));
    collect(fixture.UpdateEndpoints(entries, EndpointUpdate::Kind::kFull));
  };
  list(0);
  std::size_t used_before = 0;
  constexpr std::uint64_t kUpdates = 6000, kWarmUp = 1000;
  for (std::uint64_t update = 1; update <= kUpdates; ++update) {
    if (update == kWarmUp) used_before = mallinfo2().uordblks;
    collect(fixture.SendRequest(next_request++));
    list(update * 5);
    collect(fixture.AdvanceTime(Milliseconds(20)));
    while (in_flight.size() > 20) {
      const std::size_t index = random() % in_flight.size();
      const SendAttempt attempt = in_flight[index];
      in_flight.erase(in_flight.begin() + static_cast<std::ptrdiff_t>(index));
      if (percent(30)) collect(fixture.Handle(AttemptEstablished{attempt.id, attempt.endpoint}));
      const bool finished = percent(50);
      const Outcome outcome = percent(50) ? Outcome::kRejected : Outcome::kServed;
      collect(fixture.Handle(AttemptEnded{attempt.id, attempt.endpoint, outcome, finished, {}}));
    }
  }
  constexpr std::size_t kMaxGrowth = std::size_t{256} * 1024;  // 10 bytes for each of 25,000 endpoints.
  EXPECT_LT(mallinfo2().uordblks, used_before + kMaxGrowth);
}

TEST(EndpointTable, FailedWatchKeepsTheListAndIsRenewed) {
  Settings settings = NoProbeSettings(Idempotency::kIdempotent);
  settings.list_mode = ListMode::kSubscribed;
  BalancerFixture fixture(settings);
  EXPECT_EQ(ActionsOfType<WatchEndpoints>(fixture.UpdateEndpoints({ReadyEndpoint(5)})).size(), 1U);
  fixture.UpdateEndpoints({}, EndpointUpdate::Kind::kFailed);
  EXPECT_EQ(ActionsOfType<SendAttempt>(fixture.SendRequest(1)).size(), 1U);
  EXPECT_EQ(ActionsOfType<WatchEndpoints>(fixture.AdvanceTime(Milliseconds(1600))).size(), 1U);
  fixture.UpdateEndpoints({ReadyEndpoint(6)}, EndpointUpdate::Kind::kChanges);  // The watch is in force.
  EXPECT_TRUE(ActionsOfType<WatchEndpoints>(fixture.AdvanceTime(Milliseconds(20000))).empty());
}

TEST(EndpointTable, WatchWithoutAnyAnswerIsRenewed) {
  Settings settings = NoProbeSettings(Idempotency::kIdempotent);
  settings.list_mode = ListMode::kSubscribed;
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  EXPECT_EQ(ActionsOfType<WatchEndpoints>(fixture.AdvanceTime(Milliseconds(7000))).size(), 1U);
}

}  // namespace
}  // namespace balancer
