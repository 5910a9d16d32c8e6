// Endpoint lists, the watch at discovery and configuration reloads, on loopback sockets.
#include <fmt/format.h>
#include <malloc.h>

#include <catch2/catch.hpp>
#include <cstddef>
#include <string>
#include <vector>

#include "proxy/endpoint_table.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

constexpr int kIdsPerUpdate = 200;

// An update that lists the next endpoints and removes those of the update before.
std::string NextUpdate(int number) {
  std::string members;
  for (int k = 0; k < kIdsPerUpdate; ++k) {
    const int added = number * kIdsPerUpdate + k;
    members += fmt::format(R"({{"id":"n{}","host_port":"127.0.0.1:1","phase":"draining","locality":"z{}"}},)",
                           added, added);
    members += fmt::format(R"({{"id":"n{}","phase":"gone"}},)", added - kIdsPerUpdate);
  }
  members.pop_back();
  return fmt::format("discovery send {{\"revision\":{},\"members\":[{}]}}\nwait 5", number + 2, members);
}

// Every endpoint ever listed was kept: 98,000 took 35 MB, and each change was compared with all of them.
TEST_CASE_METHOD(SingleEndpointFixture, "memory does not grow with the number of endpoints ever listed") {
  Play(kEstablishSession);
  for (int k = 0; k < 20; ++k) Play(NextUpdate(k));
  const std::size_t used_before = mallinfo2().uordblks;
  for (int k = 20; k < 220; ++k) Play(NextUpdate(k));
  constexpr std::size_t kMaxGrowth = std::size_t{512} * 1024;  // 13 bytes for each of 40,000.
  CHECK(mallinfo2().uordblks < used_before + kMaxGrowth);
  Play("a send M 1 x\ns-1 expect M 1 x\ns-1 send M 1 x\na expect M 1 x");
  CHECK(ProxyUnderTest().EndpointCount() == kIdsPerUpdate + 1);
}

TEST_CASE("an endpoint that is gone is kept while it is used, and its index is not used again") {
  EndpointTable table;
  const auto update = [&](const std::string& id, EndpointState state) {
    EndpointUpdate one;
    one.entries.push_back({id, "127.0.0.1:1", "z"});
    table.Apply(one);
    one.entries.back().state = state;
    table.Apply(one);
    return *table.Find(id);
  };
  const EndpointIndex used = update("used", EndpointState::kGone);
  const EndpointIndex unused = update("unused", EndpointState::kGone);
  const EndpointIndex listed = update("listed", EndpointState::kDraining);
  CHECK(table.EraseRemoved({used}) == std::vector<EndpointIndex>{unused});
  CHECK((table.IdOf(used) == "used" && table.IdOf(listed) == "listed" && table.IdOf(unused).empty()));
  CHECK(table.Get(unused).state == EndpointState::kGone);
  CHECK(update("unused", EndpointState::kReady) > listed);
  for (std::size_t k = 0; k < 2 * kMaxEndpoints; ++k) {
    EndpointUpdate one;
    one.entries.push_back({std::to_string(k), "127.0.0.1:1", "z"});
    table.Apply(one);
  }
  CHECK(table.ListedCount() == kMaxEndpoints);
  CHECK(table.Size() == kMaxEndpoints + 1);  // And `used`, which is gone.
}

// Endpoints that were gone counted towards the limit, and a large list could not be replaced.
TEST_CASE("the limit on endpoints is one on those that are listed") {
  constexpr std::size_t kListed = 12'000;
  EndpointTable table;
  EndpointUpdate update;
  for (const std::string prefix : {"old", "new", "newer"}) {
    for (Endpoint& endpoint : update.entries) endpoint.state = EndpointState::kGone;
    for (std::size_t k = 0; k < kListed; ++k) {
      update.entries.push_back({prefix + std::to_string(k), "127.0.0.1:1", "z"});
    }
    table.Apply(update);
    if (table.IsSweepDue()) table.EraseRemoved({});
    update.entries.erase(update.entries.begin(), update.entries.end() - static_cast<std::ptrdiff_t>(kListed));
    CHECK(table.ListedCount() == kListed);
    CHECK(table.Find(prefix + std::to_string(kListed - 1)));
  }
  update.entries.assign(1, {"unknown", "127.0.0.1:1", "z", EndpointState::kGone});
  table.Apply(update);
  CHECK_FALSE(table.Find("unknown"));
}

// Nothing may be sent to a draining endpoint after its grace time. Guards against an attempt that sends its
// first byte when it connects, long after the grace time.
TEST_CASE_METHOD(
    SingleEndpointFixture,
    "an attempt that still connects when a drain is announced is abandoned within the grace time") {
  Play(kEstablishSession);
  Play(R"(
    s-1 full
    b send OPEN 2 k c=watch,d=2000
    wait 20
    discovery send {"revision":2,"complete":false,"members":[{"id":"s-1","phase":"draining"}]}
    wait 160
  )");
  CHECK(Counts().attempts == 2);
  CHECK(Counts().attempts_not_connected == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "an announced drain stops sending") {
  Play(R"(
    discovery send {"revision":2,"complete":false,"members":[{"id":"s-1","host_port":"","phase":"draining"}]}
    a send OPEN 1 k c=watch,d=1000
    wait 1000
    a expect BUSY*
    s-1 legs 0
  )");
  CHECK(Counts().attempts == 0);
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a watch that ends, is refused or falls silent is renewed and the endpoint list stays") {
  Play("discovery watches 1");
  SECTION("ends") { Play("discovery close\nwait 100\ndiscovery watches 2"); }
  SECTION("refused") {
    Play("discovery refuse\ndiscovery close\nwait 300\ndiscovery watches 3\ndiscovery serve\nwait 1000");
    Play("discovery watches 4");
  }
  SECTION("silent") {
    Play("discovery send {\"revision\":2,\"members\":[]}\nwait 2700\ndiscovery watches 2");
  }
  SECTION("incomplete line") {
    Play("discovery raw {\"revision\":9,\"complete\":true,\"mem\nwait 2700\ndiscovery watches 2");
    CHECK(Counts().watch_failures == 1);
    CHECK(Counts().endpoint_updates == 0);
  }
  SECTION("malformed") { Play("discovery send {\"revision\":}\nwait 100\ndiscovery watches 2"); }
  SECTION("not an object") { Play("discovery send 17\nwait 100\ndiscovery watches 2"); }
  // The object may be formatted over several lines, so its rest may still arrive. The next object must not be
  // taken for that rest.
  SECTION("truncated object") {
    Play("discovery send {\"revision\":\ndiscovery send {\"revision\":2,\"members\":[]}\nwait 2700");
    Play("discovery watches 2");
    CHECK(Counts().endpoint_updates == 0);
  }
  Play(kEstablishSession);
}

// Guards against a proxy without a watch: the balancer does not request one where lists are pushed, and the
// proxy then used its initial list for the whole day.
TEST_CASE("where endpoint lists are pushed the proxy keeps the watch by itself, and renews it") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = 100, .discovery_mode = "automatic"});
  // Without delay, because the discovery agent runs on the same machine.
  fixture.Play("discovery watches 1\ndiscovery asked after=1 ");
  SECTION("ended") { fixture.Play("discovery close\nwait 100\ndiscovery watches 2"); }
  SECTION("silent") { fixture.Play("wait 3700\ndiscovery watches 2"); }
  fixture.Play(R"(
    discovery send {"revision":2,"complete":false,"members":[{"id":"s-1","host_port":"","phase":"draining"}]}
    a send OPEN 1 k c=watch,d=500
    wait 500
    a expect BUSY*
  )");
  CHECK(fixture.Counts().attempts == 0);
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a list without any available endpoint costs bounded attempts, and the next list is used") {
  Play(R"(
    discovery send {"revision":5,"complete":true,"members":[{"id":"s-9","host_port":"127.0.0.1:1"}]}
    a send OPEN 1 k c=watch,d=600
    wait 600
    a expect BUSY*
    discovery send {"revision":6,"complete":true,"members":[{"id":"s-1","host_port":"","phase":"ready"}]}
    b send OPEN 2 k c=watch,d=2000
    s-1 expect OPEN 2 k*
    s-1 send UP r1
    b expect UP r1
  )");
  CHECK(Counts().attempts_not_connected >= 1);
  CHECK(Counts().attempts_not_connected <= 5);
}

// Discovery serves calls one after the other: a hundred proxies that lost their watches at the same time
// overloaded it permanently.
TEST_CASE("one proxy of a hundred begins its watch with jitter and retries late") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = 100});
  fixture.Play("wait 4000\ndiscovery watches 1\ndiscovery refuse\ndiscovery close\nwait 1000");
  CHECK(fixture.Counts().watch_failures == 1);
  fixture.Play("wait 2500\ndiscovery watches 2\ndiscovery serve\nwait 6000\ndiscovery watches 3");
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");  // The first event since the start.
  fixture.Play(kEstablishSession);
}

// The old discovery service closes its watches soon after a reload. Waiting for that, or for a backoff from
// its failures, would leave the proxy without updates for seconds. Each service numbers its revisions
// independently, so the proxy requests the whole list from the new one.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a reload calls the new address at once and the old list stays until the new one arrives") {
  Play(R"(discovery send {"revision":41,"members":[]})");
  SECTION("from an open watch") {
    Play(R"(
      reload discovery2
      discovery2 watches 1
      discovery2 send {"revision":1,"members":[]}
      discovery expect-end
    )");
  }
  SECTION("from a backoff") {
    Play("discovery refuse\ndiscovery close\nwait 600\nreload discovery2\ndiscovery serve");
  }
  Play("discovery2 watches 1\ndiscovery2 asked after=0 ");
  Play(kEstablishSession);
  Play(R"(
    discovery2 send {"revision":1,"complete":true,"members":[]}
    b send OPEN 2 k c=watch,d=300
    wait 300
    b expect BUSY*
    a send M 1 x
    s-1 expect M 1 x
  )");
  CHECK(Counts().reloads == 1);
}

// Guards against requests to a draining endpoint between a reload and the new address's answer: updates of
// the old address used to be lost from the reload on.
TEST_CASE("after a reload the old watch's updates apply until the new address answers") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = GENERATE(1, 205)});
  while (!fixture.DiscoveryCallCount()) fixture.Play("wait 50");
  fixture.Play(R"(
    discovery send {"revision":41,"members":[]}
    discovery mute
    reload discovery2
    discovery send {"revision":42,"members":[{"id":"s-1","phase":"draining"}]}
    a send OPEN 1 k c=watch,d=300
    wait 300
    a expect BUSY*
    wait 1500
    discovery2 watches 1
    discovery2 asked after=0 HTTP
    discovery2 plain HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n{"revision":3,"members":[{"id":"s-1"}]}
    discovery expect-end
    b send OPEN 2 k c=watch,d=2000
    s-1 expect OPEN 2 k*
  )");
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a reload that changes nothing does not end the watch, and one may follow another") {
  Play(
      "discovery watches 1\nreload discovery\nreload discovery2\nreload discovery2\ndrain\nreload discovery");
  Play("discovery watches 2\ndiscovery2 expect-end");
  CHECK(Counts().reloads == 4);
  CHECK(Counts().watch_failures == 0);
}

}  // namespace
}  // namespace stoatrun
