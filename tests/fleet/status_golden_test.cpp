// Compares the status JSON of a fleet with golden files: operators' tools parse it, so it must not change.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "fleet/golden_fixture.h"
#include "fleet/io/status.h"
#include "fleet/local_connection_counts.h"
#include "fleet/message.h"
#include "fleet/node.h"
#include "fleet/types.h"
#include "golden.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using tests::GoldenText;

// A fleet of `fleet_size` members, of which the first `started` run. Datagrams are delivered immediately and
// without loss.
class TestFleet {
 public:
  TestFleet(MemberId fleet_size, MemberId started) : fleet_size_(fleet_size) {
    for (MemberId member = 0; member < started; ++member) Start(member, {100 + member, 1000 + member});
  }
  static std::string NameOf(MemberId member) { return member == 3 ? "n\"3\"" : fmt::format("n{}", member); }
  Node& At(MemberId member) { return *nodes_.at(member); }
  Micros Now() const { return now_; }

  void Start(MemberId member, const Incarnation& incarnation) {
    Settings settings;
    settings.fleet = kGoldenFleet;
    settings.self = member;
    settings.fleet_size = fleet_size_;
    for (MemberId peer = 0; peer < fleet_size_; ++peer) {
      if (peer != member) settings.peers.push_back({peer, NameOf(peer)});
    }
    settings.quotas = {{"attempts", 40, seconds(1)}, {"quota:coast", 20, Micros(0)}};
    settings.quota_templates = {{"cold", 15, seconds(1)}};
    settings.stale_after = seconds(5);
    settings.max_accepted_per_s = 10;
    settings.max_open = 100;
    nodes_[member] = std::make_unique<Node>(settings, NameOf(member), incarnation, 7 + member, now_);
    nodes_[member]->Outliers().SetEndpoints({{"s-1", 1}, {"s-2", 2}, {"s-3", 3}, {"s-4", 4}, {"s-5", 5}});
  }
  void Stop(MemberId member) { nodes_.erase(member); }
  void Leave(MemberId member) {
    At(member).Leave(now_, out_);
    DeliverAll();
    Stop(member);
  }
  void Receive(MemberId receiver, const Datagram& datagram) {
    At(receiver).OnDatagram(now_, datagram, out_);
    DeliverAll();
  }
  void Acquire(MemberId member, const std::string& quota, int times) {
    for (int round = 0; round < times; ++round) {
      At(member).TryAcquire(now_, quota, out_);
      DeliverAll();
    }
  }
  // Runs the fleet for `duration`: every 250 ms a tick of each relay, then `after_tick`.
  void Run(Micros duration, const std::function<void()>& after_tick) {
    const Micros end = now_ + duration;
    while (now_ < end) {
      now_ += milliseconds(250);
      for (MemberId member = 0; member < fleet_size_; ++member) {
        if (!nodes_.contains(member)) continue;
        At(member).Tick(now_, out_);
        DeliverAll();
      }
      after_tick();
    }
  }

 private:
  // Delivers the datagrams that were sent and the answers to them, until none is left.
  void DeliverAll() {
    std::deque<Outgoing> queue;
    const auto take_sent = [&] {
      for (Outgoing& outgoing : out_) queue.push_back(std::move(outgoing));
      out_.clear();
    };
    take_sent();
    while (!queue.empty()) {
      const Outgoing next = std::move(queue.front());
      queue.pop_front();
      if (!nodes_.contains(next.to)) continue;
      At(next.to).OnDatagram(now_, next.datagram, out_);
      take_sent();
    }
    CHECK(out_.empty());
  }

  const MemberId fleet_size_;
  Micros now_ = seconds(1000);
  std::map<MemberId, std::unique_ptr<Node>> nodes_;
  Outbox out_;
};

std::string StatusOf(TestFleet& fleet, MemberId member, const DroppedDatagrams& dropped = {}) {
  return StatusJson(fleet.At(member), TestFleet::NameOf(member), {"chat", "fe\\ed"}, fleet.Now(), dropped) +
         '\n';
}

// Compares `actual` with the golden file `name` and returns `actual`.
std::string CheckStatus(const std::string& name, const std::string& actual) {
  INFO(name);
  CHECK(actual == GoldenText("status/" + name + ".json", actual));
  return actual;
}

// Checks that `all` contains each of the texts.
void CheckContains(const std::string& all, const std::vector<const char*>& texts) {
  for (const char* text : texts) {
    INFO(text);
    CHECK(all.find(text) != std::string::npos);
  }
}

// Counts one connection with each outcome, and one that stays open.
void AddConnections(TestFleet& fleet, MemberId member) {
  LocalConnectionCounts& connections = fleet.At(member).LocalConnections();
  const char* group = member % 2 == 0 ? "coast" : "";
  for (const auto outcome :
       {LocalConnectionCounts::Outcome::kServed, LocalConnectionCounts::Outcome::kRejected,
        LocalConnectionCounts::Outcome::kFailed}) {
    auto handle = connections.Begin(member % 3, group);
    connections.End(handle, outcome);
  }
  connections.Begin(member % 3, group);
}

// Relays exhaust their quotas and observe endpoints, which leads to leases, evidence and ejections.
void RunUnderLoad(TestFleet& fleet) {
  for (int round = 0; round < 8; ++round) {
    fleet.Acquire(0, "attempts", 9);
    fleet.Acquire(1, "quota:coast", 6);
    fleet.Acquire(2, "quota:coast", 6);
    fleet.Acquire(2, "cold:s-5", 4);
    fleet.Run(milliseconds(250), [&] {
      for (const MemberId member : {1, 2}) {
        fleet.At(member).Outliers().Observe(fleet.Now(), "s-1", HealthVerdict::kFailing);
      }
      fleet.At(0).Outliers().Observe(fleet.Now(), "s-2", HealthVerdict::kSlow);
      fleet.At(2).Outliers().Observe(fleet.Now(), "s-2", HealthVerdict::kOverloaded);
    });
  }
}

// One witness reports most endpoints as failing that the others find healthy.
void RunFalseWitness(TestFleet& fleet) {
  fleet.Run(seconds(9), [&] {
    for (const char* endpoint : {"s-3", "s-4", "s-5"}) {
      fleet.At(3).Outliers().Observe(fleet.Now(), endpoint, HealthVerdict::kFailing);
      fleet.At(0).Outliers().Observe(fleet.Now(), endpoint, HealthVerdict::kHealthy);
    }
  });
}

// Member 1 restarts, and member 2 fails. Returns the status of member 0 when it first suspects member 2.
std::string RunRestartAndFailure(TestFleet& fleet) {
  fleet.Start(1, {200, 2000});
  fleet.Stop(2);
  std::string suspicion;
  fleet.Run(seconds(8), [&] {
    const auto* member = fleet.At(0).Members().Find(2);
    if (suspicion.empty() && member->state == MemberState::kSuspect) suspicion = StatusOf(fleet, 0);
  });
  return suspicion;
}

// Member 3 leaves; a non-member and a superseded incarnation send datagrams.
void RunLeaveAndUnknownSenders(TestFleet& fleet) {
  fleet.Leave(3);
  Datagram datagram = HeaderOnly();
  datagram.from = 99;
  fleet.Receive(0, datagram);
  datagram.from = 1;
  datagram.name = "n1";
  datagram.incarnation = {101, 1001};
  fleet.Receive(0, datagram);
  fleet.Run(milliseconds(2500), [] {});
}

TEST_CASE("the status JSON of a relay matches its golden file in every state of the fleet") {
  TestFleet fleet(5, 4);  // The last member never starts.
  std::string all = CheckStatus("start", StatusOf(fleet, 0));
  for (MemberId member = 0; member < 4; ++member) AddConnections(fleet, member);
  fleet.Run(seconds(12), [] {});
  RunUnderLoad(fleet);
  all += CheckStatus("busy-0", StatusOf(fleet, 0, {31, 32}));
  all += CheckStatus("busy-1", StatusOf(fleet, 1));
  all += CheckStatus("busy-2", StatusOf(fleet, 2));
  RunFalseWitness(fleet);
  all += CheckStatus("distrust", StatusOf(fleet, 0));
  all += CheckStatus("suspicion", RunRestartAndFailure(fleet));
  RunLeaveAndUnknownSenders(fleet);
  all += CheckStatus("left", StatusOf(fleet, 0));
  fleet.Run(seconds(20), [] {});
  all += CheckStatus("changed-0", StatusOf(fleet, 0));
  all += CheckStatus("changed-1", StatusOf(fleet, 1));

  CheckContains(all, {R"("standing":"alive")", R"("standing":"suspected")", R"("standing":"silent")",
                      R"("standing":"left")", R"("standing":"unheard")", R"("way":"out")", R"("way":"in")",
                      R"("own":"slow")", R"("verdict":"failing")", R"("verdict":"slow")",
                      R"("verdict":"full")", R"("avoided":true)", R"("class":"fe\\ed")",
                      R"("class":"class 2")", R"("name":"n\"3\"")", R"("whole":false)", R"("over":true)",
                      R"("distrusted":[{"name":)", R"("unreadable":31,"wrong_address":32)"});
}

TEST_CASE("the status JSON of a complete fleet matches its golden file") {
  TestFleet fleet(3, 3);
  for (MemberId member = 0; member < 3; ++member) AddConnections(fleet, member);
  fleet.Run(seconds(6), [] {});
  for (int round = 0; round < 8; ++round) {
    fleet.Acquire(1, "quota:coast", 9);
    fleet.Run(milliseconds(250), [] {});
  }
  std::string all = CheckStatus("complete-0", StatusOf(fleet, 0));
  all += CheckStatus("complete-1", StatusOf(fleet, 1));
  fleet.Stop(1);
  fleet.Run(seconds(8), [] {});
  all += CheckStatus("complete-silent", StatusOf(fleet, 0));
  CheckContains(all, {R"("taken":[12,12])", R"("ended":true)", R"("widened":1)", R"("whole":true)"});
}

}  // namespace
}  // namespace stoatrun::fleet
