// Slow start: endpoints that have just started are not sent more than their present capacity.
#include <gtest/gtest.h>

#include <cmath>
#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

// Twenty endpoints past their slow start. An endpoint that starts besides them has hardly any load, so that
// without slow start placement would send every request there.
struct SlowStartFleet {
  BalancerFixture fixture;
  std::uint64_t next = 1;
  static Settings OneReplica() {
    Settings settings = DefaultSettings();
    settings.replicas = 1;
    return settings;
  }
  SlowStartFleet() : fixture(OneReplica()) {
    std::vector<Endpoint> list;
    for (std::uint64_t k = 1; k <= 20; ++k) list.push_back(ReadyEndpoint(k));
    fixture.UpdateEndpoints(list);
  }
  // Establishes `rate` connections per second for `span`. Returns the times of attempts sent to `observed`.
  std::vector<Micros> Run(double rate, Micros span, std::uint64_t observed) {
    std::vector<Micros> sends;
    const Micros end = fixture.now + span;
    while (fixture.now < end) {
      auto actions = fixture.SendRequest(next++);
      for (std::size_t k = 0; k < actions.size(); ++k) {
        std::vector<Action> more;
        if (const auto* probe = std::get_if<ProbeEndpoint>(&actions[k])) {
          more = fixture.ReportLoad(static_cast<std::uint64_t>(probe->endpoint),
                                    probe->endpoint == EndpointId(observed) ? 0.1 : 0.6);
        } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
          if (attempt->endpoint == EndpointId(observed)) sends.push_back(fixture.now);
          more = fixture.Handle(AttemptEstablished{attempt->id, attempt->endpoint});
        }
        actions.insert(actions.end(), more.begin(), more.end());
      }
      fixture.AdvanceTime(Micros(static_cast<std::int64_t>(1e6 / rate)));
    }
    return sends;
  }
};

TEST(SlowStart, EveryWindowStaysWithinTheBudget) {
  SlowStartFleet fleet;
  fleet.Run(40, Milliseconds(20000),
            99);  // 40 connections on each endpoint at 0.6, so that about 67 fill one.
  Endpoint starting = ReadyEndpoint(99);
  starting.started_at = fleet.fixture.now;
  fleet.fixture.UpdateEndpoints({starting}, EndpointUpdate::Kind::kChanges);
  const Micros start = fleet.fixture.now;
  const auto sends = fleet.Run(100, Milliseconds(9000), 99);
  EXPECT_GT(sends.size(), 100U);  // It does get connections.
  for (std::size_t k = 0; k < sends.size(); ++k) {
    std::size_t in_window = 0;
    while (k + in_window < sends.size() && sends[k + in_window] < sends[k] + Milliseconds(1000)) ++in_window;
    const double age = static_cast<double>((sends[k] - start).count()) / 9e6;
    const double full = 67 * (1 + 9 * age * 100 / 800);  // The others get some, too, and still report 0.6.
    EXPECT_LE(static_cast<double>(in_window), 0.5 * 4 * (0.3 + 0.7 * age) * full + 1) << "window " << k;
  }
}

TEST(SlowStart, RestartBeginsSlowStart) {
  SlowStartFleet fleet;
  fleet.Run(40, Milliseconds(10000), 3);
  Endpoint restarted = ReadyEndpoint(3);
  restarted.started_at = fleet.fixture.now;
  fleet.fixture.UpdateEndpoints({restarted}, EndpointUpdate::Kind::kChanges);
  // 20 connections on each at 0.6: 33 fill one, and 0.3 * 4 * 33 = 40 within a window would overload it.
  EXPECT_LE(fleet.Run(200, Milliseconds(1000), 3).size(), 20U);
}

TEST(SlowStart, NewEndpointsDoNotDiluteTheKnownCapacity) {
  // Two endpoints have 20 connections each at 0.8, so that 25 fill one. Eighteen new endpoints that are still
  // empty must not lower that estimate: an endpoint started later still gets 0.5 * 4 * 0.3 * 25 / 60 s = 0.25
  // connections per second.
  Settings settings = DefaultSettings();
  settings.slow_start_duration = Milliseconds(60000);
  BalancerFixture fixture(settings);
  fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
  for (std::uint64_t k = 1; k <= 40; ++k) fixture.ResumeConnection(k, 1 + k % 2);
  fixture.ReportLoad(1, 0.8);
  fixture.ReportLoad(2, 0.8);
  fixture.AdvanceTime(Milliseconds(1000));
  std::vector<Endpoint> started;
  for (std::uint64_t k = 3; k <= 20; ++k) {
    started.push_back(ReadyEndpoint(k));
    started.back().started_at = fixture.now;
  }
  fixture.UpdateEndpoints(started, EndpointUpdate::Kind::kChanges);
  fixture.AdvanceTime(Milliseconds(20000));
  Endpoint last_started = ReadyEndpoint(99);
  last_started.started_at = fixture.now;
  fixture.UpdateEndpoints({last_started}, EndpointUpdate::Kind::kChanges);
  std::size_t sends = 0;
  for (std::uint64_t id = 1000; id < 1400; ++id) {  // Ten seconds in which only endpoint 99 has capacity.
    fixture.ReportLoad(99, 0.2);
    const auto actions = fixture.RequestAndAdvance(id, Milliseconds(40));
    for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(actions)) {
      sends += attempt.endpoint == EndpointId(99) ? 1 : 0;
      fixture.Handle(AttemptEstablished{attempt.id, attempt.endpoint});
    }
  }
  EXPECT_GE(sends, 2U);
}

TEST(SlowStart, ReplicasShareOneBudget) {
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    Settings settings = DefaultSettings();
    settings.probes_allowed = false;
    settings.replicas = 40;
    settings.seed = seed;
    BalancerFixture fixture(settings);
    Endpoint starting = ReadyEndpoint(9);
    starting.started_at = fixture.now;
    fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), starting});
    for (std::uint64_t id = 1; id <= 30; ++id) {
      for (const SendAttempt& attempt : ActionsOfType<SendAttempt>(fixture.SendRequest(id))) {
        sent += attempt.endpoint == EndpointId(9) ? 1 : 0;
      }
      fixture.AdvanceTime(Milliseconds(20));
    }
  }
  EXPECT_LE(sent, 10U);  // Capacity is unknown: hardly any of the 1200 requests.
}

// 300 replicas that each have one connection to one of eight endpoints, when a ninth endpoint starts.
class LargeFleet {
 public:
  explicit LargeFleet(bool reports) : reports_(reports) {
    std::vector<Endpoint> endpoints;
    for (std::uint64_t k = 1; k <= 8; ++k) endpoints.push_back(NamedEndpoint(k, 10 + k));
    for (std::uint64_t k = 0; k < 300; ++k) {
      Settings settings = NoLoadDataSettings(k + 1);
      if (reports) settings.report_mode = ReportMode::kOnProbe;
      settings.probes_allowed = reports;
      replicas_.emplace_back(std::make_unique<BalancerFixture>(settings));
      replicas_.back()->UpdateEndpoints(endpoints);
      replicas_.back()->ResumeConnection(1, 1 + k % 8);
      for (std::uint64_t endpoint = 1; reports && endpoint <= 8; ++endpoint) {
        replicas_.back()->ReportLoad(endpoint, 0.5);
      }
      replicas_.back()->AdvanceTime(Milliseconds(2000));
    }
    endpoints.push_back(NamedEndpoint(9, 19));
    endpoints.back().started_at = replicas_.front()->now;
    for (auto& replica : replicas_) replica->UpdateEndpoints(endpoints, EndpointUpdate::Kind::kFull);
    while (true) {  // Find a group whose home is the ninth endpoint after slow start.
      BalancerFixture fixture(NoLoadDataSettings(1));
      endpoints.back().started_at = Micros(0);
      fixture.UpdateEndpoints(endpoints);
      if (PlaceRequest(fixture, 1, ++group_, {}) == EndpointId(9)) break;
    }
  }
  // After `interval` one in `divisor` replicas gets a request of the group. Returns how many go to the new
  // endpoint.
  std::size_t SendGroupRequests(Micros interval, std::size_t divisor) {
    std::size_t sent = 0;
    ++round_;
    for (std::size_t k = 0; k < replicas_.size(); ++k) {
      replicas_[k]->AdvanceTime(interval);
      if (reports_) replicas_[k]->ReportLoad(1 + k % 8, 0.5);
      if ((k + round_) % divisor == 0) {
        sent += PlaceRequest(*replicas_[k], 1 + round_, group_, loads_) == EndpointId(9) ? 1 : 0;
      }
    }
    return sent;
  }

 private:
  std::vector<std::unique_ptr<BalancerFixture>> replicas_;
  const bool reports_;
  const std::vector<double> loads_ = {0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0.5, 0};
  std::uint64_t group_ = 0, round_ = 0;
};

// Without load data the load per connection was unknown, so the budget stayed empty: 53 of 85 new endpoints
// were sent nothing in their slow start, and the others were sent twice their capacity.
TEST(SlowStartInLargeFleet, WithoutLoadDataCapacityIsEstimatedFromOtherEndpoints) {
  LargeFleet fleet(false);
  std::size_t sent = 0;
  for (int k = 0; k < 30; ++k) sent += fleet.SendGroupRequests(Milliseconds(160), 10);
  EXPECT_GE(sent, 16U);  // Half of its capacity, as each of the others has 37.
}

// 300 replicas that had each saved a token spent them at once on the same home or the emptiest endpoint,
// which failed.
TEST(SlowStartInLargeFleet, SavedTokensAreNotSpentAllAtOnce) {
  for (const bool reports : {false, true}) {
    LargeFleet fleet(reports);
    const double per_endpoint = 300.0 / 8, capacity_fraction = 0.3 + 0.7 * 5 / 9,
                 allowed = 4 * capacity_fraction * per_endpoint;
    const auto sent = static_cast<double>(fleet.SendGroupRequests(Milliseconds(5000), 1));
    EXPECT_LE(sent, allowed + 3 * std::sqrt(allowed) + 3) << reports;
    EXPECT_GE(sent, 1) << reports;
  }
}

// Loads reported for connections exclude the cost that an affinity group has at its endpoint. By these alone,
// an endpoint in slow start was sent 6.4 times its capacity.
TEST(SlowStart, BudgetUsesTheUpperBoundOfAConnectionsLoad) {
  Settings settings = DefaultSettings();
  settings.replicas = 4;
  BalancerFixture fixture(settings);
  Endpoint starting = NamedEndpoint(2, 12);
  starting.started_at = fixture.now;
  fixture.UpdateEndpoints({NamedEndpoint(1, 11), starting});
  for (std::uint64_t k = 1; k <= 10; ++k) {
    fixture.ResumeConnection(k, 1);
    fixture.Handle(LoadReported{RequestId(k), 5000});  // A two-hundredth of an endpoint.
  }
  fixture.ReportLoad(1, 0.7);  // Forty connections, ten of them here: about a fiftieth each.
  fixture.AdvanceTime(Milliseconds(1000));
  std::size_t sent = 0;
  for (std::uint64_t k = 100; k < 125; ++k) {
    sent += PlaceRequest(fixture, k, 0, {0.7, 0.05}) == EndpointId(2) ? 1 : 0;
  }
  EXPECT_GE(sent, 3U);
  EXPECT_LE(sent, 16U);
}

// One of 300 replicas had sampled one of forty endpoints, that of its only connection. When the other
// endpoints were left out, 600 connections instead of 15 seemed to fill an endpoint, and 37 endpoints in slow
// start failed within ten seconds.
TEST(SlowStart, LoadPerConnectionIncludesUnsampledEndpoints) {
  std::size_t sent = 0;
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Settings settings = DefaultSettings();
    settings.replicas = 300;
    settings.seed = seed;
    BalancerFixture fixture(settings);
    std::vector<Endpoint> endpoints;
    for (std::uint64_t k = 1; k <= 40; ++k) endpoints.push_back(NamedEndpoint(k, 10 + k));
    fixture.UpdateEndpoints(endpoints);
    fixture.ResumeConnection(1, 1);
    fixture.ReportLoad(1, 0.5);
    fixture.AdvanceTime(Milliseconds(2000));
    endpoints.push_back(NamedEndpoint(41, 51));
    endpoints.back().started_at = fixture.now;
    fixture.UpdateEndpoints(endpoints, EndpointUpdate::Kind::kFull);
    std::vector<double> loads(41, 0.5);
    loads[40] = 0.05;
    for (std::uint64_t k = 2; k <= 11; ++k) {
      sent += PlaceRequest(fixture, k, 0, loads) == EndpointId(41) ? 1 : 0;
      fixture.AdvanceTime(Milliseconds(500));
    }
  }
  EXPECT_LE(sent, 15U);  // Ten replicas' tokens of five seconds, and their first ones.
}

}  // namespace
}  // namespace balancer
