// Probes that sample utilization, and their budget.
#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(Probing, SamplesEndpointsWithOwnConnectionsWithinTheBudget) {
  BalancerFixture fixture;
  std::vector<Endpoint> list;
  for (std::uint64_t k = 1; k <= 100; ++k) list.push_back(ReadyEndpoint(k));
  fixture.UpdateEndpoints(list);
  for (std::uint64_t k = 1; k <= 50; ++k) fixture.ResumeConnection(k, k);
  std::set<EndpointId> probed;
  auto collect = [&](const std::vector<Action>& actions) {
    std::size_t count = 0;
    for (const ProbeEndpoint& probe : ActionsOfType<ProbeEndpoint>(actions)) {
      probed.insert(probe.endpoint);
      ++count;
    }
    return count;
  };
  collect(fixture.AdvanceTime(Milliseconds(3000)));
  EXPECT_EQ(probed.size(), 50U);  // Each endpoint with connections, once at the start.
  for (const EndpointId id : probed) fixture.ReportLoad(static_cast<std::uint64_t>(id), 0.5);
  // Without arrivals a replica may take 0.2 samples per second, however many endpoints it has.
  EXPECT_LE(collect(fixture.AdvanceTime(Milliseconds(60000))), 14U);
}

// After a start the endpoints have no load to report yet. Sampling each of them once used up the budget for
// seconds.
TEST(Probing, EmptyReportsAreRefundedAndRetried) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3)});
  for (std::uint64_t id = 1; id <= 3; ++id) fixture.ResumeConnection(id, id);
  std::size_t late = 0;
  for (int tick = 0; tick < 12; ++tick) {  // Three seconds of empty reports.
    const auto probes = ActionsOfType<ProbeEndpoint>(fixture.AdvanceTime(Milliseconds(250)));
    for (const ProbeEndpoint& probe : probes) {
      fixture.Handle(ProbeCompleted{probe.endpoint, true, std::nullopt});
    }
    if (tick >= 6) late += probes.size();
  }
  EXPECT_GE(late, 6U);   // All three are still probed, ...
  EXPECT_LE(late, 12U);  // ... but not at every tick.
}

TEST(Probing, ProbesAfterSeveralOwnAttempts) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1)});
  std::size_t probes = 0;
  for (std::uint64_t id = 1; id <= 8; ++id) {
    auto actions = fixture.SendRequest(id);
    probes += ActionsOfType<ProbeEndpoint>(actions).size();
    fixture.ReportLoad(1, 0.3);
  }
  EXPECT_GE(probes, 2U);
}

}  // namespace
}  // namespace balancer
