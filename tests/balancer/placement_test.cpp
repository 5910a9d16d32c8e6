// Placement: the pool of probe results, zones and affinity groups.
#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(Placement, SelectsTheLeastUtilizedProbedEndpoint) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3), ReadyEndpoint(4)});
  const auto probes = ActionsOfType<ProbeEndpoint>(fixture.SendRequest(1));
  ASSERT_GE(probes.size(), 2U);
  std::vector<Action> after;
  for (std::size_t k = 0; k < probes.size(); ++k) {
    after = fixture.ReportLoad(static_cast<std::uint64_t>(probes[k].endpoint), k == 1 ? 0.2 : 0.5);
    EXPECT_EQ(ActionsOfType<SendAttempt>(after).size(), k + 1 == probes.size() ? 1U : 0U);
  }
  EXPECT_EQ(ActionsOfType<SendAttempt>(after)[0].endpoint, probes[1].endpoint);
}

TEST(Placement, DoesNotWaitForLostProbes) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  EXPECT_TRUE(ActionsOfType<SendAttempt>(fixture.SendRequest(1)).empty());
  EXPECT_EQ(ActionsOfType<SendAttempt>(fixture.AdvanceTime(Milliseconds(40))).size(),
            1U);  // An eighth of the latency objective of 300 ms.
}

TEST(Placement, ProbeResultServesFewRequestsAndExpires) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3), ReadyEndpoint(4),
                           ReadyEndpoint(5), ReadyEndpoint(6), ReadyEndpoint(7), ReadyEndpoint(8)});
  for (std::uint64_t k = 1; k <= 8; ++k) fixture.ReportLoad(k, k == 3 ? 0.1 : 0.5);
  std::size_t placed = 0;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    const auto sent = ActionsOfType<SendAttempt>(fixture.RequestAndAdvance(id, Milliseconds(40)));
    ASSERT_EQ(sent.size(), 1U);
    placed += sent[0].endpoint == EndpointId(3) ? 1 : 0;
  }
  EXPECT_LE(placed, 3U);  // Two by the probe result, any others by estimates.
  BalancerFixture expired;
  expired.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  expired.ReportLoad(1, 0.1);
  expired.now += Milliseconds(1001);
  EXPECT_FALSE(ActionsOfType<ProbeEndpoint>(expired.SendRequest(1)).empty());
}

TEST(Placement, PrefersItsZoneUntilARemoteEndpointIsClearlyEmptier) {
  for (const double remote_load : {0.45, 0.2}) {
    Settings settings = DefaultSettings();
    settings.zone_crossing_cost = 0.02;  // Weighs 0.1 of utilization.
    BalancerFixture fixture(settings);
    fixture.UpdateEndpoints({ReadyEndpoint(1, 0), ReadyEndpoint(2, 1)});
    fixture.ReportLoad(1, 0.5);
    fixture.ReportLoad(2, remote_load);
    const auto sent = ActionsOfType<SendAttempt>(fixture.RequestAndAdvance(1, Milliseconds(40)));
    ASSERT_EQ(sent.size(), 1U);
    EXPECT_EQ(sent[0].endpoint, remote_load < 0.4 ? EndpointId(2) : EndpointId(1));
  }
}

TEST(Placement, WithoutProbesUsesOwnConnectionCounts) {
  Settings settings = DefaultSettings();
  settings.probes_allowed = false;
  settings.report_mode = ReportMode::kOff;
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  for (std::uint64_t k = 1; k <= 40; ++k) fixture.ResumeConnection(k, 1);
  fixture.ResumeConnection(41, 2);
  fixture.AdvanceTime(Milliseconds(2000));
  const auto sent = ActionsOfType<SendAttempt>(fixture.SendRequest(50));
  ASSERT_EQ(sent.size(), 1U);
  EXPECT_EQ(sent[0].endpoint, EndpointId(2));
}

// Each endpoint that serves connections of a group bears the group's cost. When each new connection went to
// the emptiest endpoint, 8 groups spread over 14 endpoints cost more than their connections.
TEST(AffinityGroups, NewConnectionJoinsItsGroupUntilAnotherEndpointIsClearlyEmptier) {
  for (const double member_load : {0.55, 0.95}) {
    BalancerFixture fixture;
    fixture.UpdateEndpoints(
        {NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13), NamedEndpoint(4, 14)});
    ConnectionResumed resumed;
    resumed.request.id = RequestId(1);
    resumed.request.affinity_group = 77;
    resumed.endpoint = EndpointId(3);
    fixture.Handle(resumed);
    const EndpointId target = PlaceRequest(fixture, 2, 77, {0.3, 0.3, member_load, 0.3});
    EXPECT_EQ(target == EndpointId(3), member_load < 0.6) << member_load;
  }
}

TEST(AffinityGroups, EveryReplicaChoosesTheSameHomeForANewGroup) {
  // The second replica lists the same endpoints with other ids and in another order.
  int same = 0;
  std::set<std::uint64_t> used;
  for (std::uint64_t group = 1; group <= 20; ++group) {
    Settings other = DefaultSettings();
    other.seed = 99;
    BalancerFixture first;
    BalancerFixture second(other);
    first.UpdateEndpoints(
        {NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13), NamedEndpoint(4, 14)});
    second.UpdateEndpoints(
        {NamedEndpoint(1, 14), NamedEndpoint(2, 13), NamedEndpoint(3, 12), NamedEndpoint(4, 11)});
    const auto first_home = static_cast<std::uint64_t>(PlaceRequest(first, 1, group, {0.3, 0.3, 0.3, 0.3}));
    const auto second_home = static_cast<std::uint64_t>(PlaceRequest(second, 1, group, {0.3, 0.3, 0.3, 0.3}));
    same += first_home == 5 - second_home ? 1 : 0;
    used.insert(first_home);
  }
  EXPECT_GE(same, 19);  // A random choice would give 5.
  EXPECT_EQ(used.size(), 4U);
}

// Without load reports, 300 replicas spread nearly every group over all endpoints. With groups that cost as
// much as three connections each, the endpoints had three times the load of the connections, and half of the
// service was lost.
TEST(AffinityGroups, WithoutLoadDataManyReplicasUseOneHome) {
  for (std::uint64_t group = 1; group <= 20; ++group) {
    std::set<std::uint64_t> homes;
    for (std::uint64_t replica = 1; replica <= 5; ++replica) {
      BalancerFixture fixture(NoLoadDataSettings(replica));
      fixture.UpdateEndpoints(
          {NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13), NamedEndpoint(4, 14)});
      for (std::uint64_t k = 1; k <= 3; ++k) {
        homes.insert(static_cast<std::uint64_t>(PlaceRequest(fixture, k, group, {})));
      }
    }
    EXPECT_EQ(homes.size(), 1U) << group;
  }
}

// Judged by the replica's own counts, an endpoint with two connections seemed full, so that its clients were
// migrated or rejected. And the utilization set by missed message latencies was never reset.
TEST(AffinityGroups, WithoutLoadDataMissedLatencyIsResetAndOwnCountsAreIgnored) {
  BalancerFixture fixture(NoLoadDataSettings(1));
  fixture.UpdateEndpoints(
      {NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13), NamedEndpoint(4, 14)});
  const EndpointId home = PlaceRequest(fixture, 1, 77, {});
  for (std::uint64_t k = 2; k <= 6; ++k) EXPECT_EQ(PlaceRequest(fixture, k, 77, {}), home);
  EXPECT_TRUE(ActionsOfType<MigrateConnection>(fixture.AdvanceTime(Milliseconds(5000))).empty());
  fixture.Handle(MessageLatencyReported{home, Milliseconds(500)});
  EXPECT_NE(PlaceRequest(fixture, 7, 77, {}), home);
  for (std::uint64_t k = 1; k <= 6; ++k) {
    fixture.Handle(AttemptEnded{RequestId(k), home, Outcome::kServed, true, {}});
  }
  fixture.Handle(AttemptEnded{RequestId(7), EndpointId(1), Outcome::kServed, true, {}});
  fixture.AdvanceTime(Milliseconds(8000));
  EXPECT_EQ(PlaceRequest(fixture, 8, 77, {}), home);
}

TEST(AffinityGroups, EndedConnectionsDoNotAttractTheirGroup) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints(
      {NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13), NamedEndpoint(4, 14)});
  const EndpointId first = PlaceRequest(fixture, 1, 77, {0.3, 0.3, 0.3, 0.3});
  fixture.EndAttempt(1, static_cast<std::uint64_t>(first), Outcome::kServed, true);
  fixture.now += Milliseconds(5000);
  std::vector<double> loads(4, 0.3);
  loads[static_cast<std::uint64_t>(first) - 1] =
      0.9;  // Smoothed 0.72: still selected if it counted as serving the group.
  EXPECT_NE(PlaceRequest(fixture, 2, 77, loads), first);
}

// A hundred replicas with equally old samples sent a group to the same home at once, which in runs of large
// fleets cost more service than spreading groups does.
TEST(AffinityGroups, IgnoredWithMoreReplicasThanEndpoints) {
  for (const std::uint32_t replicas : {4U, 5U}) {
    Settings settings = DefaultSettings();
    settings.replicas = replicas;
    BalancerFixture fixture(settings);
    fixture.UpdateEndpoints(
        {NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13), NamedEndpoint(4, 14)});
    ConnectionResumed resumed;
    resumed.request.id = RequestId(1);
    resumed.request.affinity_group = 77;
    resumed.endpoint = EndpointId(3);
    fixture.Handle(resumed);
    fixture.Handle(LoadReported{RequestId(1), 10'000.0});
    EXPECT_EQ(PlaceRequest(fixture, 2, 77, {0.3, 0.3, 0.55, 0.3}) == EndpointId(3), replicas == 4)
        << replicas;
  }
}

}  // namespace
}  // namespace balancer
