// A hundred replicas that share no state: decisions that are harmless in one may add up to an overload.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

constexpr std::size_t kReplicas = 100;

// The load report of an endpoint: load over capacity, and connections.
struct ReportedLoad {
  double load, count;
};

class Fleet {
 public:
  explicit Fleet(const std::vector<Endpoint>& list, std::map<std::uint64_t, ReportedLoad> reports)
      : reports_(std::move(reports)) {
    for (std::size_t k = 0; k < kReplicas; ++k) {
      Settings settings = DefaultSettings();
      settings.seed = 1000 + k;
      settings.replicas = kReplicas;
      replicas_.push_back(std::make_unique<BalancerFixture>(settings));
      replicas_.back()->now = Milliseconds(10'000);
      replicas_.back()->UpdateEndpoints(list);
    }
  }
  void AdvanceTime(Micros span) {
    for (auto& replica : replicas_) Dispatch(*replica, replica->AdvanceTime(span));
  }
  // At each replica a client reconnects.
  void ReconnectClients(std::uint64_t id) {
    for (std::size_t k = 0; k < kReplicas; ++k) {
      RequestArrived request;
      request.id = RequestId(id);
      request.deadline = replicas_[k]->now + Milliseconds(2000);
      request.is_reconnect = true;
      Dispatch(*replicas_[k], replicas_[k]->Handle(request));
    }
  }
  void UpdateEndpoints(const std::vector<Endpoint>& list) {
    for (auto& replica : replicas_) {
      Dispatch(*replica, replica->UpdateEndpoints(list, EndpointUpdate::Kind::kFull));
    }
  }
  int SentTo(std::uint64_t endpoint) const {
    const auto at = sent_.find(EndpointId(endpoint));
    return at == sent_.end() ? 0 : at->second;
  }
  int rejected = 0;

 private:
  void Dispatch(BalancerFixture& replica, std::vector<Action> actions) {
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* probe = std::get_if<ProbeEndpoint>(&actions[k])) {
        const ReportedLoad& report = reports_.at(static_cast<std::uint64_t>(probe->endpoint));
        more = replica.ReportLoad(static_cast<std::uint64_t>(probe->endpoint), report.load, report.count);
      } else if (const auto* attempt = std::get_if<SendAttempt>(&actions[k])) {
        ++sent_[attempt->endpoint];
        more = replica.Handle(AttemptEstablished{attempt->id, attempt->endpoint});
      } else if (std::holds_alternative<RejectRequest>(actions[k])) {
        ++rejected;
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
  }

  std::vector<std::unique_ptr<BalancerFixture>> replicas_;
  std::map<std::uint64_t, ReportedLoad> reports_;
  std::map<EndpointId, int> sent_;
};

// Clients of a lost endpoint reconnect at all replicas at once, and all replicas have the same reports. When
// each selected the least utilized endpoint, that one was sent twice its capacity before its next report.
TEST(LargeFleet, ReplicasWithEqualReportsSelectDifferentEndpoints) {
  std::vector<Endpoint> list;
  std::map<std::uint64_t, ReportedLoad> reports;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    list.push_back(ReadyEndpoint(id));
    reports[id] = {0.25 + 0.05 * static_cast<double>(id), 20};
  }
  Fleet fleet(list, reports);
  fleet.ReconnectClients(1);
  int max_sent = 0, total_sent = 0;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    max_sent = std::max(max_sent, fleet.SentTo(id));
    total_sent += fleet.SentTo(id);
  }
  EXPECT_GE(total_sent, 30);
  EXPECT_LE(max_sent, total_sent / 2);
}

// Each replica sees capacity for a few more connections. A hundred of them would overload an endpoint many
// times.
TEST(LargeFleet, NearlyFullFleetRejectsConcurrentPlacements) {
  std::vector<Endpoint> list;
  std::map<std::uint64_t, ReportedLoad> reports;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    list.push_back(ReadyEndpoint(id));
    reports[id] = {0.75, 20};
  }
  Fleet fleet(list, reports);
  fleet.ReconnectClients(1);
  EXPECT_GE(fleet.rejected, 90);
}

// Each replica has a hundredth of the slow-start budget. When new endpoints were probed like any others, few
// replicas used them, and they stayed nearly empty during their slow start while the old endpoints were full.
TEST(LargeFleet, SlowStartBudgetIsUsedWhileOtherEndpointsAreFull) {
  std::vector<Endpoint> list;
  std::map<std::uint64_t, ReportedLoad> reports;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    list.push_back(ReadyEndpoint(id));
    reports[id] = {0.9, 27};
  }
  reports[13] = {0.1, 3};
  Fleet fleet(list, reports);
  for (std::uint64_t k = 0; k < 4; ++k) {  // The replicas estimate the capacity of an endpoint.
    fleet.ReconnectClients(10 + k);
    fleet.AdvanceTime(Milliseconds(1500));
  }
  Endpoint starting = ReadyEndpoint(13);
  starting.started_at = Milliseconds(16'000);
  list.push_back(starting);
  fleet.UpdateEndpoints(list);
  for (std::uint64_t second = 0; second < 9; ++second) {
    const int before = fleet.SentTo(13);
    fleet.ReconnectClients(100 + second);
    fleet.AdvanceTime(Milliseconds(1000));
    const double ramp = 0.3 + 0.7 * static_cast<double>(second) / 9;
    EXPECT_LE(fleet.SentTo(13) - before, 4 * ramp * 30);  // More would overload it.
  }
  EXPECT_GE(fleet.SentTo(13), 40);
}

// The utilization sampled before its restart kept an endpoint in slow start from being probed first.
TEST(LargeFleet, RestartedEndpointIsProbedFirstAlthoughItWasFull) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Settings settings = DefaultSettings();
    settings.seed = seed;
    BalancerFixture fixture(settings);
    std::vector<Endpoint> list;
    for (std::uint64_t id = 1; id <= 12; ++id) list.push_back(ReadyEndpoint(id));
    fixture.UpdateEndpoints(list);
    for (std::uint64_t id = 1; id <= 12; ++id) fixture.ReportLoad(id, 0.9, 27);
    fixture.AdvanceTime(Milliseconds(1000));
    list[6].started_at = fixture.now;
    fixture.UpdateEndpoints({list[6]}, EndpointUpdate::Kind::kChanges);
    fixture.AdvanceTime(Milliseconds(1000));
    const auto actions = fixture.SendRequest(1);
    const auto first = std::find_if(actions.begin(), actions.end(), [](const Action& action) {
      return std::holds_alternative<ProbeEndpoint>(action);
    });
    ASSERT_NE(first, actions.end());
    EXPECT_EQ(std::get<ProbeEndpoint>(*first).endpoint, EndpointId(7)) << "seed " << seed;
  }
}

// When each replica probed all endpoints that served its connections, an endpoint was probed a hundred
// times.
TEST(LargeFleet, ProbesDoNotGrowWithReplicasThatStartTogether) {
  std::size_t probes = 0;
  for (std::size_t k = 0; k < kReplicas; ++k) {
    Settings settings = DefaultSettings();
    settings.replicas = kReplicas;
    settings.seed = k;
    BalancerFixture fixture(settings);
    fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2), ReadyEndpoint(3), ReadyEndpoint(4)});
    for (std::uint64_t id = 1; id <= 4; ++id) fixture.ResumeConnection(id, id);
    probes += ActionsOfType<ProbeEndpoint>(fixture.AdvanceTime(Milliseconds(500))).size();
    probes += ActionsOfType<ProbeEndpoint>(fixture.SendRequest(9)).size();
  }
  EXPECT_LE(probes, 320U);  // Three per placement. Without the limit each replica takes four samples more.
}

// A replica without arrivals learns the state of its endpoints from samples only. With one sample in five
// seconds, clients stayed for ten seconds on endpoints that answered no message in time.
TEST(LargeFleet, ReplicaWithoutArrivalsSamplesAFullEndpointMoreOften) {
  const auto probes_of = [](double load) {
    Settings settings = DefaultSettings();
    settings.replicas = kReplicas;
    BalancerFixture fixture(settings);
    fixture.UpdateEndpoints({ReadyEndpoint(1), ReadyEndpoint(2)});
    fixture.ResumeConnection(1, 1);
    fixture.ReportLoad(2, load);
    fixture.ReportLoad(1, load);  // As utilized as the other, so that nothing migrates.
    int probes = 0;
    for (int k = 0; k < 100; ++k) {
      for (const Action& action : fixture.AdvanceTime(Milliseconds(100))) {
        if (!std::holds_alternative<ProbeEndpoint>(action)) continue;
        ++probes;
        fixture.ReportLoad(1, load);
      }
    }
    return probes;
  };
  EXPECT_GE(probes_of(0.9), 5);
  EXPECT_LE(probes_of(0.5), 3);
}

}  // namespace
}  // namespace balancer
