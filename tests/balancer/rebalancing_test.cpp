// Rebalancing by migration: smoothing, trigger, batch sizes, and overloaded endpoints.
#include <gtest/gtest.h>

#include <cstdint>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

// Two endpoints at a utilization of 0.5; the replica has `connections` connections to endpoint 1.
BalancerFixture TwoEndpoints(std::uint64_t connections, const Settings& settings = DefaultSettings()) {
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  for (std::uint64_t k = 1; k <= connections; ++k) fixture.ResumeConnection(k, 1);
  fixture.ReportLoad(2, 0.5);
  fixture.ReportLoad(1, 0.5);
  return fixture;
}

TEST(Rebalancing, UtilizationIsSmoothedAndComparedWithTheMean) {
  // Latest 0.90: smoothed 0.7 * 0.90 + 0.3 * 0.5 = 0.780, mean 0.640, threshold 0.640 + 0.4 * 0.360 = 0.784.
  BalancerFixture under = TwoEndpoints(100);
  EXPECT_TRUE(ActionsOfType<MigrateConnection>(under.ReportLoad(1, 0.90)).empty());
  // Latest 0.91: smoothed 0.787, mean 0.6435, threshold 0.7861. 5% of 100 connections.
  BalancerFixture over = TwoEndpoints(100);
  EXPECT_EQ(ActionsOfType<MigrateConnection>(over.ReportLoad(1, 0.91)).size(), 5U);
}

TEST(Rebalancing, BatchesAreSpacedByTheMigrationInterval) {
  BalancerFixture fixture = TwoEndpoints(100);
  ASSERT_EQ(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.93)).size(), 5U);
  EXPECT_TRUE(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.93)).empty());
  fixture.now += Milliseconds(3100);
  EXPECT_FALSE(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.93)).empty());
}

TEST(Rebalancing, SmallBatchesAreRoundedAtRandom) {
  // 5% of 2 connections is 0.1: one replica in ten migrates one.
  std::size_t migrations = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Settings settings = DefaultSettings();
    settings.seed = seed;
    BalancerFixture fixture = TwoEndpoints(2, settings);
    migrations += ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.93)).size();
  }
  EXPECT_GT(migrations, 70U);
  EXPECT_LT(migrations, 130U);
}

TEST(Rebalancing, IdleConnectionsMigrateFirst) {
  Settings settings = DefaultSettings();
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  for (std::uint64_t k = 1; k <= 20; ++k) fixture.ResumeConnection(k, 1, 100.0 + static_cast<double>(k));
  fixture.Handle(LoadReported{RequestId(13), 0.0});
  fixture.ReportLoad(2, 0.5);
  fixture.ReportLoad(1, 0.5);
  const auto migrated = ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.93));
  ASSERT_EQ(migrated.size(), 1U);
  EXPECT_EQ(migrated[0].id, RequestId(13));  // Reported load takes precedence over the load hint.
}

TEST(Rebalancing, OnlyIdleConnectionsMigrateWhereLoadIsReported) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  for (std::uint64_t k = 1; k <= 100; ++k) {
    fixture.ResumeConnection(k, 1, 100.0);
    fixture.Handle(LoadReported{RequestId(k), k <= 2 ? 1.0 : 100.0});
  }
  fixture.ReportLoad(2, 0.5);
  fixture.ReportLoad(1, 0.5);
  EXPECT_EQ(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.93)).size(),
            2U);  // 5% would be five, but only two are idle.
}

TEST(Rebalancing, ZeroLoadOfAnEndpointWithOwnConnectionsIsIgnored) {
  // After a start all endpoints report zero. With a mean of zero, every later sample would exceed the margin.
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3)});
  for (std::uint64_t k = 1; k <= 60; ++k) fixture.ResumeConnection(k, 1 + k % 3);
  fixture.ReportLoad(2, 0.0);
  fixture.ReportLoad(3, 0.0);
  fixture.ReportLoad(1, 0.6);
  EXPECT_TRUE(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 0.6)).empty());
}

TEST(OverloadedEndpoint, AllLoadAboveTheOverloadTargetMigratesAtOnce) {
  // Smoothing includes the old 0.5: smoothed 2.95, latest 4, so 1 - max(0.75, 0.8) / 2.95 = 72.9% of 100.
  BalancerFixture fixture = TwoEndpoints(100);
  const std::size_t migrated = ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 4.0)).size();
  EXPECT_GE(migrated, 72U);
  EXPECT_LE(migrated, 73U);
}

TEST(OverloadedEndpoint, MigrationsAreWeightedByLoad) {
  // One connection has half of the load, more than the 1 - 0.8 / 1.37 = 42% to migrate.
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  for (std::uint64_t k = 1; k <= 20; ++k) fixture.ResumeConnection(k, 1, k == 9 ? 190.0 : 10.0);
  fixture.ReportLoad(2, 0.5);
  fixture.ReportLoad(1, 0.5);
  EXPECT_LE(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 1.74)).size(), 1U);
}

TEST(OverloadedEndpoint, MissedMessageLatencyCountsAsASample) {
  BalancerFixture fixture = TwoEndpoints(100);
  EXPECT_TRUE(ActionsOfType<MigrateConnection>(
                  fixture.Handle(MessageLatencyReported{EndpointId(1), Milliseconds(99)}))
                  .empty());  // Within the objective.
  EXPECT_FALSE(ActionsOfType<MigrateConnection>(
                   fixture.Handle(MessageLatencyReported{EndpointId(1), Milliseconds(101)}))
                   .empty());  // Beyond it.
}

TEST(OverloadedEndpoint, ExtremeSamplesDoNotHideOthersBehindTheMean) {
  BalancerFixture fixture(DefaultSettings());
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3), ReadyEndpoint(4)});
  for (std::uint64_t k = 1; k <= 100; ++k) fixture.ResumeConnection(k, 1);
  fixture.ReportLoad(2, 9.0);
  fixture.ReportLoad(3, 0.4);
  fixture.ReportLoad(4, 0.4);
  // Uncapped, the mean would be 2.75.
  EXPECT_FALSE(ActionsOfType<MigrateConnection>(fixture.ReportLoad(1, 1.2)).empty());
}

}  // namespace
}  // namespace balancer
