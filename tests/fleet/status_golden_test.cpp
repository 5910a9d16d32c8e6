// The operators' status of a fleet against golden files: its JSON must not change.
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

// A fleet of `fleet_size` members, the first `started` of which run. Their datagrams arrive at once and
// without loss.
class SmallFleet {
 public:
  SmallFleet(MemberId fleet_size, MemberId started) : fleet_size_(fleet_size) {
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
  // Runs the fleet for `span`. Each 250 ms: a tick of every relay, then `each`.
  void Run(Micros span, const std::function<void()>& each) {
    const Micros end = now_ + span;
    while (now_ < end) {
      now_ += milliseconds(250);
      for (MemberId member = 0; member < fleet_size_; ++member) {
        if (!nodes_.contains(member)) continue;
        At(member).Tick(now_, out_);
        DeliverAll();
      }
      each();
    }
  }

 private:
  // Delivers what was sent, and the answers to it, until nothing is under way.
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

std::string StatusOf(SmallFleet& fleet, MemberId member, const StatusExtra& extra = {}) {
  return StatusJson(fleet.At(member), SmallFleet::NameOf(member), {"chat", "fe\\ed"}, fleet.Now(), extra) +
         '\n';
}

// Compares `actual` with a golden file, and returns it.
std::string CheckStatus(const std::string& name, const std::string& actual) {
  INFO(name);
  CHECK(actual == GoldenText("status/" + name + ".json", actual));
  return actual;
}

// Checks that each of the texts occurs in `all`.
void CheckHolds(const std::string& all, const std::vector<const char*>& texts) {
  for (const char* text : texts) {
    INFO(text);
    CHECK(all.find(text) != std::string::npos);
  }
}

// One connection with each outcome, and one that stays open.
void Connect(SmallFleet& fleet, MemberId member) {
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

// Relays that use their quotas up, and observe endpoints: leases, evidence, ejections.
void RunBusy(SmallFleet& fleet) {
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

// One witness finds most endpoints bad which the others find healthy.
void RunBadWitness(SmallFleet& fleet) {
  fleet.Run(seconds(9), [&] {
    for (const char* endpoint : {"s-3", "s-4", "s-5"}) {
      fleet.At(3).Outliers().Observe(fleet.Now(), endpoint, HealthVerdict::kFailing);
      fleet.At(0).Outliers().Observe(fleet.Now(), endpoint, HealthVerdict::kHealthy);
    }
  });
}

// One relay restarts, and one dies. Returns the status of member 0 when it first suspects the latter.
std::string RunRestartAndDeath(SmallFleet& fleet) {
  fleet.Start(1, {200, 2000});
  fleet.Stop(2);
  std::string suspicion;
  fleet.Run(seconds(8), [&] {
    const auto* member = fleet.At(0).Members().Find(2);
    if (suspicion.empty() && member->state == MemberState::kSuspect) suspicion = StatusOf(fleet, 0);
  });
  return suspicion;
}

// One relay leaves; a stranger and a former incarnation send datagrams.
void RunLeaveAndStrangers(SmallFleet& fleet) {
  fleet.Leave(3);
  Datagram stranger = HeaderOnly();
  stranger.from = 99;
  fleet.Receive(0, stranger);
  stranger.from = 1;
  stranger.name = "n1";
  stranger.incarnation = {101, 1001};
  fleet.Receive(0, stranger);
  fleet.Run(milliseconds(2500), [] {});
}

TEST_CASE("the operators' status of a relay is the golden text") {
  SmallFleet fleet(5, 4);  // The last member never starts.
  std::string all = CheckStatus("start", StatusOf(fleet, 0));
  for (MemberId member = 0; member < 4; ++member) Connect(fleet, member);
  fleet.Run(seconds(12), [] {});
  RunBusy(fleet);
  all += CheckStatus("busy-0", StatusOf(fleet, 0, {31, 32}));
  all += CheckStatus("busy-1", StatusOf(fleet, 1));
  all += CheckStatus("busy-2", StatusOf(fleet, 2));
  RunBadWitness(fleet);
  all += CheckStatus("distrust", StatusOf(fleet, 0));
  all += CheckStatus("suspicion", RunRestartAndDeath(fleet));
  RunLeaveAndStrangers(fleet);
  all += CheckStatus("left", StatusOf(fleet, 0));
  fleet.Run(seconds(20), [] {});
  all += CheckStatus("changed-0", StatusOf(fleet, 0));
  all += CheckStatus("changed-1", StatusOf(fleet, 1));

  CheckHolds(all, {R"("standing":"alive")", R"("standing":"suspected")", R"("standing":"silent")",
                   R"("standing":"left")", R"("standing":"unheard")", R"("way":"out")", R"("way":"in")",
                   R"("own":"slow")", R"("verdict":"failing")", R"("verdict":"slow")", R"("verdict":"full")",
                   R"("avoided":true)", R"("class":"fe\\ed")", R"("class":"class 2")", R"("name":"n\"3\"")",
                   R"("whole":false)", R"("over":true)", R"("distrusted":[{"name":)",
                   R"("unreadable":31,"wrong_address":32)"});
}

TEST_CASE("the operators' status of a complete fleet is the golden text") {
  SmallFleet fleet(3, 3);
  for (MemberId member = 0; member < 3; ++member) Connect(fleet, member);
  fleet.Run(seconds(6), [] {});
  for (int round = 0; round < 8; ++round) {
    fleet.Acquire(1, "quota:coast", 9);
    fleet.Run(milliseconds(250), [] {});
  }
  std::string all = CheckStatus("whole-0", StatusOf(fleet, 0));
  all += CheckStatus("whole-1", StatusOf(fleet, 1));
  fleet.Stop(1);
  fleet.Run(seconds(8), [] {});
  all += CheckStatus("whole-silent", StatusOf(fleet, 0));
  CheckHolds(all, {R"("taken":[12,12])", R"("ended":true)", R"("widened":1)", R"("whole":true)"});
}

}  // namespace
}  // namespace stoatrun::fleet
