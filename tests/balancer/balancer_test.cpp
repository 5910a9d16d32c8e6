// Dispatch of events: determinism, and events with unknown ids.
#include <gtest/gtest.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(Balancer, UnknownIdsAreIgnored) {
  BalancerFixture fixture(NoProbeSettings(Idempotency::kIdempotent));
  fixture.UpdateEndpoints({ReadyEndpoint(5)});
  EXPECT_TRUE(ActionsOfType<SendAttempt>(fixture.EndAttempt(77, 5, Outcome::kRejected)).empty());
  fixture.Handle(ClientDisconnected{RequestId(77)});
  fixture.Handle(AttemptEstablished{RequestId(77), EndpointId(5)});
  fixture.Handle(LoadReported{RequestId(77), 3});
  fixture.Handle(MessageLatencyReported{EndpointId(77), Milliseconds(500)});
  fixture.Handle(ProbeCompleted{EndpointId(77), false, {}});
  fixture.ResumeConnection(78, 66);
  fixture.SendRequest(1);
  EXPECT_TRUE(ActionsOfType<SendAttempt>(fixture.SendRequest(1)).empty());  // An id is never reused.
}

TEST(Balancer, SameEventsGiveSameActions) {
  auto run = [] {
    Settings settings = DefaultSettings();
    settings.seed = 99;
    BalancerFixture fixture(settings);
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 30; ++k) list.push_back(ReadyEndpoint(k * 7919));
    fixture.UpdateEndpoints(list);
    std::vector<std::uint64_t> trace;
    for (std::uint64_t id = 1; id <= 100; ++id) {
      for (const Action& action : fixture.RequestAndAdvance(id, Milliseconds(30))) {
        trace.push_back(action.index());
        if (const auto* attempt = std::get_if<SendAttempt>(&action)) {
          trace.push_back(static_cast<std::uint64_t>(attempt->endpoint));
        }
        if (const auto* probe = std::get_if<ProbeEndpoint>(&action)) {
          trace.push_back(static_cast<std::uint64_t>(probe->endpoint));
          fixture.ReportLoad(static_cast<std::uint64_t>(probe->endpoint), 0.1 * static_cast<double>(id % 10));
        }
      }
    }
    return trace;
  };
  const auto first = run();
  EXPECT_GT(first.size(), 100U);
  EXPECT_EQ(first, run());
}

}  // namespace
}  // namespace balancer
