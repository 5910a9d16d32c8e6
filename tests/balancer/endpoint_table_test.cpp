// Endpoint updates and renewal of watches.
#include <gtest/gtest.h>

#include <cstdint>

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
