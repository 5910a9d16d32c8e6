// Node: datagrams from unknown senders, and three nodes that exchange datagrams without delay or loss.
#include "fleet/node.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "fleet/fleet_fixture.h"
#include "fleet/io/codec.h"
#include "fleet/local_connection_counts.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE(
    "datagrams of an unlisted member, under a wrong name, or under the node's own id count as from unknown "
    "senders") {
  Node node(ThreeMembers(0), "n0", kIncarnation, 1, kStart);
  Outbox out;
  Datagram datagram;
  datagram.from = 1;
  datagram.name = "n2";
  datagram.incarnation = kOtherIncarnation;
  node.OnDatagram(kStart, datagram, out);
  datagram.from = 9;
  node.OnDatagram(kStart, datagram, out);
  datagram.from = 0;
  datagram.name = "n0";
  node.OnDatagram(kStart, datagram, out);
  CHECK(node.GetCounts().unknown_senders == 3);
  CHECK(out.empty());
}

// Three nodes whose datagrams arrive immediately and without loss.
class ThreeNodes {
 public:
  // The datagrams that one node sent.
  struct Sent {
    MemberId from = 0;
    Outbox out;
  };

  ThreeNodes() {
    nodes_.reserve(3);
    for (MemberId member = 0; member < 3; ++member) {
      nodes_.emplace_back(ThreeMembers(member), "n" + std::to_string(member), Incarnation{1, 10 + member},
                          member, kStart);
    }
  }
  Node& At(MemberId member) { return nodes_[member]; }
  Micros Now() const { return now_; }

  // Advances the time by 50 ms, runs the tick of the node whose turn it is, if any, and delivers four hops of
  // answers.
  void Step() {
    now_ += milliseconds(50);
    std::vector<Sent> sent;
    for (MemberId member = 0; member < 3; ++member) {
      Outbox out;
      if (now_.count() / 50'000 % 5 == member) nodes_[member].Tick(now_, out);
      sent.push_back({member, std::move(out)});
    }
    for (int hop = 0; hop < 4; ++hop) sent = Deliver(sent);
  }

  // Acquires all units of the rate quota "retry" that are available to the member now, and delivers its lease
  // requests and the answers to them. Returns the number of units acquired.
  std::uint32_t AcquireAll(MemberId member) {
    Outbox out;
    std::uint32_t acquired = 0;
    while (nodes_[member].TryAcquire(now_, "retry", out)) ++acquired;
    for (const Outgoing& request : out) {
      Outbox answers;
      nodes_[request.to].OnDatagram(now_, request.datagram, answers);
      for (const Outgoing& answer : answers) {
        Outbox ignored;
        nodes_[answer.to].OnDatagram(now_, answer.datagram, ignored);
      }
    }
    return acquired;
  }

 private:
  // Delivers all datagrams and returns the answers to them. Checks the size bounds of each.
  std::vector<Sent> Deliver(const std::vector<Sent>& sent) {
    std::vector<Sent> answered;
    for (const Sent& datagrams : sent) {
      for (const Outgoing& outgoing : datagrams.out) {
        CHECK(SizeOf(outgoing.datagram) <= kMaxDatagramBytes);
        CHECK(Encode(outgoing.datagram, "test").size() <= SizeOf(outgoing.datagram));
        Outbox answers;
        nodes_[outgoing.to].OnDatagram(now_, outgoing.datagram, answers);
        answered.push_back({outgoing.to, std::move(answers)});
      }
    }
    return answered;
  }

  Micros now_ = kStart;
  std::vector<Node> nodes_;
};

TEST_CASE("nodes learn of each other, lend units, and agree on the sum of connections") {
  ThreeNodes fleet;
  for (int step = 0; step < 200; ++step) fleet.Step();
  for (MemberId member = 0; member < 3; ++member) CHECK(fleet.At(member).Members().Alive() == 2);

  // A relay that is the only one to use the quota obtains most of it by leases. The first two seconds are not
  // counted.
  std::uint32_t acquired = 0;
  const Micros counted_from = fleet.Now() + seconds(2);
  while (fleet.Now() < counted_from + seconds(4)) {
    const bool counted = fleet.Now() >= counted_from;
    const std::uint32_t acquired_now = fleet.AcquireAll(1);
    if (counted) acquired += acquired_now;
    fleet.Step();
  }
  // The quota is 12 units per second, of which the relay's share is 4: leases must at least double that.
  CHECK(acquired >= 4 * 8);
  CHECK(acquired <= 4 * 12 + 12);

  auto connection = fleet.At(2).LocalConnections().Begin(0, "wetland");
  for (int step = 0; step < 100; ++step) fleet.Step();
  const auto sum = fleet.At(0).Sum(fleet.Now());
  CHECK(sum.accepted.low == 1);
  CHECK(sum.accepted.high == 1);
  CHECK(sum.open.high == 1);
  fleet.At(2).LocalConnections().End(connection, LocalConnectionCounts::Outcome::kServed);
}

}  // namespace
}  // namespace stoatrun::fleet
