// The requests and reports of the proxy to its fleet.
#include <catch2/catch.hpp>
#include <string>
#include <utility>
#include <vector>

#include "proxy/fleet_client_recorder.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

TEST_CASE("every connection is reported to the fleet once, with its outcome") {
  FleetClientRecorder fleet;
  LoopbackFixture fixture({"s-1"}, {.fleet = &fleet});
  fixture.Play(R"(
    a send OPEN 1 k c=watch,t=wetland,d=2000
    s-1 expect OPEN 1 k c=watch,t=wetland*
    s-1 send UP r1
    a expect UP r1
    b send OPEN 2 k c=watch,d=2000
    s-1#2 expect OPEN 2 k*
    b close
    wait 100
    a close
    s-1 expect-end
    s-1 close
    wait 1000
  )");
  CHECK(fleet.begun == 2);
  CHECK(fleet.groups == std::vector<std::string>{"wetland", ""});
  CHECK(fleet.outcomes[FleetClient::ConnectionOutcome::kServed] == 1);
  CHECK(fleet.outcomes[FleetClient::ConnectionOutcome::kFailed] == 1);
  CHECK(fleet.sent["s-1"] == 2);
  CHECK(fleet.listed == 1);
  REQUIRE(!fleet.observed.empty());
  CHECK(fleet.observed[0] == std::pair(std::string("s-1"), FleetClient::EndpointCondition::kHealthy));
}

TEST_CASE("a connection beyond its group's quota is rejected at once, with retry-after, and not forwarded") {
  FleetClientRecorder fleet;
  fleet.quota = 1;
  LoopbackFixture fixture({"s-1"}, {.fleet = &fleet});
  fixture.Play(R"(
    a send OPEN 1 k c=watch,t=wetland,d=2000
    s-1 expect OPEN 1 k*
    s-1 send UP r1
    a expect UP r1
    b send OPEN 2 k c=watch,t=wetland,d=2000
    b expect BUSY 1000
    b expect-end
    s-1 legs 1
  )");
  CHECK(fleet.outcomes[FleetClient::ConnectionOutcome::kRejected] == 1);
  CHECK(fleet.reserved == 1);
  // When the quota shrinks, as at the end of a loan, connections that exceed it are migrated.
  fleet.quota = 0;
  fixture.Play(R"(
    wait 300
    a expect MOVE
    a expect-end
  )");
  CHECK(fleet.reserved == 0);
}

TEST_CASE("a retry that exceeds the fleet's quota ends in the final answer at once") {
  FleetClientRecorder fleet;
  fleet.retries = 0;
  LoopbackFixture fixture({"s-1", "s-2"}, {.fleet = &fleet});
  fixture.Play(
      "s-1 down\ns-2 down\na send OPEN 1 k c=watch,d=2000\nwait 100\nwait 300\nwait 300\na expect BUSY*\n");
  CHECK(fixture.Counts().attempts_denied_by_quota == 1);
  CHECK(fleet.outcomes[FleetClient::ConnectionOutcome::kRejected] == 1);
}

TEST_CASE("a probe that exceeds the fleet's quota reports nothing to the balancer, and placement goes on") {
  FleetClientRecorder fleet;
  fleet.probes = 0;
  LoopbackFixture fixture({"s-1"}, {.fleet = &fleet});
  fixture.Play(R"(
    a send OPEN 1 k c=watch,d=2000
    wait 100
    s-1 expect OPEN 1 k*
    s-1 send UP r1
    a expect UP r1
  )");
  CHECK(fixture.Counts().probes == 0);
}

TEST_CASE("endpoints that others found failing are ejected") {
  FleetClientRecorder fleet;
  LoopbackFixture fixture({"s-1", "s-2"}, {.fleet = &fleet});
  fleet.hints = {{"s-1", 0, -1, true}, {"s-unknown", 3, 3, true}};
  fixture.Play(R"(
    wait 260
    a send OPEN 1 k c=watch,d=2000
    s-2 expect OPEN 1 k*
    s-2 send UP r1
    a expect UP r1
  )");
  CHECK(fixture.ProxyUnderTest().EjectedCount() == 1);
}

}  // namespace
}  // namespace stoatrun
