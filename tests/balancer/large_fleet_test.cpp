// A hundred replicas side by side that share nothing: what is harmless at one and harmful when all do it.
#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <variant>
#include <vector>

#include "balancer/balancer_fixture.h"

namespace balancer {
namespace {

constexpr std::size_t kGateways = 100;

// What a server tells: load over capacity, connections.
struct Told {
  double load, count;
};

class Fleet {
 public:
  explicit Fleet(const std::vector<Endpoint>& list, std::map<std::uint64_t, Told> told)
      : told_(std::move(told)) {
    for (std::size_t k = 0; k < kGateways; ++k) {
      Settings s = PlainSettings();
      s.seed = 1000 + k;
      s.replicas = kGateways;
      all_.push_back(std::make_unique<Harness>(s));
      all_.back()->now = Ms(10'000);
      all_.back()->List(list);
    }
  }
  void Pass(Micros span) {
    for (auto& g : all_) Play(*g, g->Pass(span));
  }
  // A client that comes back to each gateway.
  void RetryAfter(std::uint64_t id) {
    for (std::size_t k = 0; k < kGateways; ++k) {
      RequestArrived e;
      e.id = Rq(id);
      e.deadline = all_[k]->now + Ms(2000);
      e.is_reconnect = true;
      Play(*all_[k], all_[k]->Give(e));
    }
  }
  void List(const std::vector<Endpoint>& list) {
    for (auto& g : all_) Play(*g, g->List(list, EndpointUpdate::Kind::kFull));
  }
  int SentTo(std::uint64_t server) const {
    const auto at = sent_.find(Sv(server));
    return at == sent_.end() ? 0 : at->second;
  }
  int refused = 0;

 private:
  void Play(Harness& g, std::vector<Action> actions) {
    for (std::size_t k = 0; k < actions.size(); ++k) {
      std::vector<Action> more;
      if (const auto* p = std::get_if<ProbeEndpoint>(&actions[k])) {
        const Told& t = told_.at(static_cast<std::uint64_t>(p->endpoint));
        more = g.Report(static_cast<std::uint64_t>(p->endpoint), t.load, t.count);
      } else if (const auto* s = std::get_if<SendAttempt>(&actions[k])) {
        ++sent_[s->endpoint];
        more = g.Give(AttemptEstablished{s->id, s->endpoint});
      } else if (std::holds_alternative<RejectRequest>(actions[k])) {
        ++refused;
      }
      actions.insert(actions.end(), more.begin(), more.end());
    }
  }

  std::vector<std::unique_ptr<Harness>> all_;
  std::map<std::uint64_t, Told> told_;
  std::map<EndpointId, int> sent_;
};

// Clients of a lost server come back to all replicas at once. Each sees the same reports; when each took the
// least utilised server that one was asked for twice what it can do before it had told anything new.
TEST(Fleet, EqualViewsDoNotLeadToEqualChoices) {
  std::vector<Endpoint> list;
  std::map<std::uint64_t, Told> told;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    list.push_back(Ready(id));
    told[id] = {0.25 + 0.05 * static_cast<double>(id), 20};
  }
  Fleet fleet(list, told);
  fleet.RetryAfter(1);
  int most = 0, all = 0;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    most = std::max(most, fleet.SentTo(id));
    all += fleet.SentTo(id);
  }
  EXPECT_GE(all, 30);
  EXPECT_LE(most, all / 2);
}

// A hundred that each see room for a few more would fill a server many times over.
TEST(Fleet, AFleetNearlyFullTakesNoHerd) {
  std::vector<Endpoint> list;
  std::map<std::uint64_t, Told> told;
  for (std::uint64_t id = 1; id <= 4; ++id) {
    list.push_back(Ready(id));
    told[id] = {0.75, 20};
  }
  Fleet fleet(list, told);
  fleet.RetryAfter(1);
  EXPECT_GE(fleet.refused, 90);
}

// Each gateway has a hundredth of a cold server's budget. Looked at like any other server it was used by few:
// new servers stayed empty through their warm-up while the old ones were full.
TEST(Fleet, AColdServersBudgetIsUsedWhileTheOthersAreFull) {
  std::vector<Endpoint> list;
  std::map<std::uint64_t, Told> told;
  for (std::uint64_t id = 1; id <= 12; ++id) {
    list.push_back(Ready(id));
    told[id] = {0.9, 27};
  }
  told[13] = {0.1, 3};
  Fleet fleet(list, told);
  for (int k = 0; k < 4; ++k) {  // They learn what a full server carries.
    fleet.RetryAfter(static_cast<std::uint64_t>(10 + k));
    fleet.Pass(Ms(1500));
  }
  Endpoint cold = Ready(13);
  cold.started_at = Ms(16'000);
  list.push_back(cold);
  fleet.List(list);
  for (int k = 0; k < 9; ++k) {
    const int before = fleet.SentTo(13);
    fleet.RetryAfter(static_cast<std::uint64_t>(100 + k));
    fleet.Pass(Ms(1000));
    EXPECT_LE(fleet.SentTo(13) - before, 4 * (0.3 + 0.7 * k / 9) * 30);  // What would make it fall.
  }
  EXPECT_GE(fleet.SentTo(13), 40);
}

// What it told before its restart kept a cold server from being looked at first.
TEST(Fleet, ARestartedServerIsOpenThoughItWasFull) {
  for (std::uint64_t seed = 1; seed <= 10; ++seed) {
    Settings s = PlainSettings();
    s.seed = seed;
    Harness h(s);
    std::vector<Endpoint> list;
    for (std::uint64_t id = 1; id <= 12; ++id) list.push_back(Ready(id));
    h.List(list);
    for (std::uint64_t id = 1; id <= 12; ++id) h.Report(id, 0.9, 27);
    h.Pass(Ms(1000));
    list[6].started_at = h.now;
    h.List({list[6]}, EndpointUpdate::Kind::kChanges);
    h.Pass(Ms(1000));
    const auto actions = h.Request(1);
    const auto first = std::find_if(actions.begin(), actions.end(),
                                    [](const Action& a) { return std::holds_alternative<ProbeEndpoint>(a); });
    ASSERT_NE(first, actions.end());
    EXPECT_EQ(std::get<ProbeEndpoint>(*first).endpoint, Sv(7)) << "seed " << seed;
  }
}

// Looked at by each gateway that holds a client there, a server answered the same question a hundred times.
TEST(Fleet, ProbesDoNotGrowWithTheGatewaysThatStartTogether) {
  int probes = 0;
  for (std::size_t k = 0; k < kGateways; ++k) {
    Settings s = PlainSettings();
    s.replicas = kGateways;
    s.seed = k;
    Harness h(s);
    h.List({Ready(1), Ready(2), Ready(3), Ready(4)});
    for (std::uint64_t id = 1; id <= 4; ++id) h.Resume(id, id);
    for (const Action& a : h.Pass(Ms(500))) probes += std::holds_alternative<ProbeEndpoint>(a) ? 1 : 0;
    for (const Action& a : h.Request(9)) probes += std::holds_alternative<ProbeEndpoint>(a) ? 1 : 0;
  }
  EXPECT_LE(probes, 320);  // Three for each landing; each gateway looked at all four besides.
}

// Nothing but its own samples tells a gateway without arrivals what its client stands on. One look in five
// seconds left clients for ten on servers that answered nobody in time.
TEST(Fleet, AGatewayWithoutArrivalsLooksOftenerAtAFullServer) {
  const auto probes_of = [](double load) {
    Settings s = PlainSettings();
    s.replicas = kGateways;
    Harness h(s);
    h.List({Ready(1), Ready(2)});
    h.Resume(1, 1);
    h.Report(2, load);
    h.Report(1, load);  // As full as the other: no move is asked for.
    int probes = 0;
    for (int k = 0; k < 100; ++k) {
      for (const Action& a : h.Pass(Ms(100))) {
        if (!std::holds_alternative<ProbeEndpoint>(a)) continue;
        ++probes;
        h.Report(1, load);
      }
    }
    return probes;
  };
  EXPECT_GE(probes_of(0.9), 5);
  EXPECT_LE(probes_of(0.5), 3);
}

}  // namespace
}  // namespace balancer
