// Estimates of utilization between load reports.
#include <gtest/gtest.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

// A new replica has few connections. When it derived the load per connection from these alone, one connection
// seemed to fill an endpoint, and it rejected requests while all endpoints had capacity.
TEST(LoadEstimate, NewReplicaUsesReportedConnectionCounts) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3), ReadyEndpoint(4)});
  std::size_t sent = 0, rejected = 0;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    auto actions = fixture.SendRequest(id);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* probe = std::get_if<ProbeEndpoint>(&actions[k])) {
        more = fixture.ReportLoad(static_cast<std::uint64_t>(probe->endpoint), 0.4, 8.0);
      } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        ++sent;
        more = fixture.Handle(AttemptEstablished{attempt->id, attempt->endpoint});
      }
      rejected += std::holds_alternative<RejectRequest>(actions[k]) ? 1 : 0;
      actions.insert(actions.end(), more.begin(), more.end());
    }
    fixture.AdvanceTime(Milliseconds(20));
  }
  EXPECT_EQ(sent, 8U);
  EXPECT_EQ(rejected, 0U);
}

// Equal samples are the same report. When every probe result erased the placements made since that report,
// all requests went to the endpoint with the lowest reported load until it was overloaded.
TEST(LoadEstimate, OwnPlacementsCountUntilAReportCanIncludeThem) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  std::size_t to_first = 0, all = 0;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    auto actions = fixture.SendRequest(id);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* probe = std::get_if<ProbeEndpoint>(&actions[k])) {
        const bool first = probe->endpoint == EndpointId(1);
        more = fixture.ReportLoad(static_cast<std::uint64_t>(probe->endpoint), first ? 0.20 : 0.25,
                                  first ? 4.0 : 5.0);
      } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        ++all;
        to_first += attempt->endpoint == EndpointId(1) ? 1 : 0;
        more = fixture.Handle(AttemptEstablished{attempt->id, attempt->endpoint});
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
    fixture.AdvanceTime(Milliseconds(30));
  }
  EXPECT_GE(all, 6U);
  EXPECT_LE(to_first, all / 2 + 1);
}

// Reports without counts: the load per connection was derived from the replica's own connections alone. A new
// replica attributed a third of the fleet's load to one connection and rejected further requests.
TEST(LoadEstimate, NewReplicaDoesNotAttributeTheFleetsLoadToItsFewConnections) {
  Settings settings = DefaultSettings();
  settings.replicas = 2;
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({NamedEndpoint(1, 11, 2), NamedEndpoint(2, 12, 2), NamedEndpoint(3, 13, 2),
                           NamedEndpoint(4, 14, 6), NamedEndpoint(5, 15, 2)});
  const std::vector<double> loads{0.3, 0.6, 0.9, 0.55, 0.6};
  int sent = 0;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    const EndpointId target = PlaceRequest(fixture, id, 0, loads);
    if (target == EndpointId(0)) continue;
    ++sent;
    fixture.Handle(LoadReported{RequestId(id), 40'000.0});  // A fiftieth of an endpoint of two cores.
  }
  EXPECT_GE(sent, 11);  // 9 by own connections alone.
}

// Two endpoints of equal size; the second has 20 own connections whose reported load is half of its capacity.
BalancerFixture HalfFullEndpoint(double size) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({NamedEndpoint(1, 11, size), NamedEndpoint(2, 12, size)});
  for (std::uint64_t id = 1; id <= 20; ++id) {
    fixture.ResumeConnection(id, 2);
    fixture.Handle(LoadReported{RequestId(id), size * 25'000.0});
  }
  return fixture;
}

// Equal samples are the same report, with or without counts. When every probe result erased the placements
// made since that report, an empty endpoint was sent all requests until its next report.
TEST(LoadEstimate, UnreportedPlacementsCountWithoutReportedCounts) {
  BalancerFixture fixture = HalfFullEndpoint(2);
  int sent_to_empty = 0;
  for (std::uint64_t id = 101; id <= 116; ++id) {
    const EndpointId target = PlaceRequest(fixture, id, 0, {0.2, 0.5});
    fixture.Handle(LoadReported{RequestId(id), 50'000.0});  // 12 make up for the difference in load.
    sent_to_empty += target == EndpointId(1) ? 1 : 0;
  }
  EXPECT_LE(sent_to_empty, 14);  // All 16 if each probe result erased the placements.
  EXPECT_GE(sent_to_empty, 10);
}

// Loads of connections differ by a factor of hundreds, so an unreported placement is weighted by the load
// reported for it.
TEST(LoadEstimate, UnreportedPlacementCountsWithItsReportedLoad) {
  for (const double load : {50'000.0, 800'000.0}) {
    BalancerFixture fixture = HalfFullEndpoint(2);
    ASSERT_EQ(PlaceRequest(fixture, 101, 0, {0.2, 0.4}), EndpointId(1));
    fixture.Handle(LoadReported{RequestId(101), load});
    EXPECT_EQ(PlaceRequest(fixture, 102, 0, {0.2, 0.4}), load < 100'000 ? EndpointId(1) : EndpointId(2));
  }
}

// A connection uses a larger part of a small endpoint than of a large one.
TEST(LoadEstimate, PlacementIsWeightedByTheSizeOfItsEndpoint) {
  for (const double size : {1.0, 8.0}) {
    BalancerFixture fixture = HalfFullEndpoint(size);
    ASSERT_EQ(PlaceRequest(fixture, 101, 0, {0.40, 0.45}), EndpointId(1));
    fixture.Handle(LoadReported{RequestId(101), 100'000.0});
    EXPECT_EQ(PlaceRequest(fixture, 102, 0, {0.40, 0.45}), size > 2 ? EndpointId(1) : EndpointId(2));
  }
}

}  // namespace
}  // namespace balancer
