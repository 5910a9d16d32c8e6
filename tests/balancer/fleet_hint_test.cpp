// Hints from other replicas. Each replaces the previous hint for its endpoint.
#include <gtest/gtest.h>

#include <cstdint>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(FleetHint, PlacementsOfOtherReplicasCountUntilTheNextHint) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({NamedEndpoint(1, 11), NamedEndpoint(2, 12)});
  for (std::uint64_t k = 1; k <= 10; ++k) fixture.ResumeConnection(k, 1 + k % 2);
  for (const std::uint64_t endpoint : {1, 2}) fixture.ReportLoad(endpoint, endpoint == 1 ? 0.4 : 0.45, 20.0);
  fixture.Handle(FleetHint{EndpointId(1), 20, -1, false});
  EXPECT_EQ(PlaceRequest(fixture, 100, 0, {0.4, 0.45}), EndpointId(2));
  fixture.Handle(FleetHint{EndpointId(1), 0, -1, false});
  EXPECT_EQ(PlaceRequest(fixture, 101, 0, {0.2, 0.45}), EndpointId(1));
}

TEST(FleetHint, EjectsAnEndpointForTheBaseEjectionTime) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({NamedEndpoint(1, 11), NamedEndpoint(2, 12)});
  fixture.Handle(FleetHint{EndpointId(1), 0, -1, true});
  EXPECT_EQ(fixture.EjectedCount(), 1U);
  EXPECT_EQ(PlaceRequest(fixture, 1, 0, {0.1, 0.5}), EndpointId(2));
  fixture.AdvanceTime(Milliseconds(600));
  EXPECT_EQ(fixture.EjectedCount(), 0U);
  fixture.Handle(FleetHint{EndpointId(9), 5, 5, true});  // Not listed: ignored.
  EXPECT_EQ(fixture.EjectedCount(), 0U);
}

TEST(FleetHint, SetsTheSlowStartTokens) {
  BalancerFixture fixture;
  Endpoint starting = NamedEndpoint(1, 11);
  starting.started_at = fixture.now - Milliseconds(10);
  fixture.UpdateEndpoints({starting, NamedEndpoint(2, 12)});
  fixture.Handle(FleetHint{EndpointId(1), 0, 0, false});
  for (std::uint64_t k = 1; k <= 3; ++k) {
    EXPECT_EQ(PlaceRequest(fixture, k, 0, {0.0, 0.5}), EndpointId(2)) << k;
  }
  fixture.Handle(FleetHint{EndpointId(1), 0, 2, false});
  EXPECT_EQ(PlaceRequest(fixture, 10, 0, {0.0, 0.5}), EndpointId(1));
  EXPECT_EQ(PlaceRequest(fixture, 11, 0, {0.0, 0.5}), EndpointId(1));
  EXPECT_EQ(PlaceRequest(fixture, 12, 0, {0.0, 0.5}), EndpointId(2));
}

}  // namespace
}  // namespace balancer
