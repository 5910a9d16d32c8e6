// Ejection of failing endpoints.
#include <gtest/gtest.h>

#include <cstdint>
#include <variant>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

TEST(OutlierDetection, FailedEndpointIsEjected) {
  Settings settings = DefaultSettings();
  settings.probes_allowed = false;
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  const auto first = ActionsOfType<SendAttempt>(fixture.SendRequest(1));
  fixture.Handle(AttemptEnded{RequestId(1), first[0].endpoint, Outcome::kNotConnected, false, {}});
  for (std::uint64_t id = 2; id <= 20; ++id) {
    for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(fixture.SendRequest(id))) {
      EXPECT_NE(attempt.endpoint, first[0].endpoint);
    }
  }
}

// A draining endpoint answers probes with decreasing load while a stale list still has it as ready.
TEST(OutlierDetection, ProbeSuccessDoesNotClearFailedAttempts) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  std::size_t to_draining = 0;
  for (std::uint64_t id = 1; id <= 60; ++id) {
    auto actions = fixture.SendRequest(id);
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* probe = std::get_if<ProbeEndpoint>(&actions[k])) {
        more = fixture.ReportLoad(static_cast<std::uint64_t>(probe->endpoint),
                                  probe->endpoint == EndpointId(1) ? 0.01 : 0.5,
                                  probe->endpoint == EndpointId(1) ? 1.0 : 50.0);
      } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        to_draining += attempt->endpoint == EndpointId(1) ? 1 : 0;
        more = attempt->endpoint == EndpointId(1)
                   ? fixture.EndAttempt(static_cast<std::uint64_t>(attempt->id), 1, Outcome::kRejected)
                   : fixture.Handle(AttemptEstablished{attempt->id, attempt->endpoint});
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
    fixture.AdvanceTime(Milliseconds(100));
  }
  EXPECT_GE(to_draining, 1U);
  EXPECT_LE(to_draining, 5U);  // Within 6 s: after 0.5, 1.5 and 3.5 s. With equal ejection times every 0.5 s.
}

// An endpoint that fails fast has a low load, which attracted requests: an eighth of all attempts ended in an
// error.
TEST(OutlierDetection, EndpointWithErrorsIsEjectedAlthoughItsUtilizationIsLow) {
  BalancerFixture fixture;
  fixture.UpdateEndpoints({NamedEndpoint(1, 11), NamedEndpoint(2, 12), NamedEndpoint(3, 13)});
  int failed = 0;
  for (std::uint64_t id = 101; id <= 110; ++id) {
    std::vector<Action> actions = fixture.RequestAndAdvance(id, Milliseconds(0));
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* probe = std::get_if<ProbeEndpoint>(&actions[k])) {
        const auto endpoint = static_cast<std::uint64_t>(probe->endpoint);
        more = fixture.ReportLoad(endpoint, endpoint == 1 ? 0.1 : 0.5);
      } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        failed += attempt->endpoint == EndpointId(1) ? 1 : 0;
        more = fixture.EndAttempt(id, static_cast<std::uint64_t>(attempt->endpoint),
                                  attempt->endpoint == EndpointId(1) ? Outcome::kError : Outcome::kServed,
                                  attempt->endpoint != EndpointId(1));
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
    fixture.AdvanceTime(Milliseconds(40));
  }
  EXPECT_LE(failed, 2);  // Within 0.4 s.
}

}  // namespace
}  // namespace balancer
