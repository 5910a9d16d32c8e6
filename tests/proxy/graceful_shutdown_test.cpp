// The graceful shutdown of the process. See docs/design/endings.md.
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/downstream.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

// If the connection stayed open until the process exits, the request would be answered by a TCP reset.
TEST_CASE_METHOD(
    SingleEndpointFixture,
    "a request on an idle connection at the moment of the graceful shutdown is rejected in order") {
  const std::string idle_client = GENERATE("a send PING\na expect PONG", "a raw OPEN 1 k", "a raw");
  Play(idle_client + "\nwait 300\nturns 0\ndrain\nwait 5\nturns 3");
  Play("a send OPEN 1 k c=watch,d=2000\na expect BUSY\na expect-end\ns-1 legs 0\na close\nwait 510\nstopped");
}

TEST_CASE_METHOD(
    SingleEndpointFixture,
    "a request line that comes in pieces is served in the graceful shutdown while others are pending") {
  Play(R"(
    a send OPEN 1 k c=watch,d=2000
    s-1 expect OPEN 1 k*
    b raw OPEN 2 k c=wa
    wait 300
    drain
    wait 800
    b send tch,d=1000
    s-1#3 expect OPEN 2 k*
    s-1#3 send UP r2
    b expect UP r2
  )");
}

// Guards against using evicted clients in EndIdle: one of the idle clients has sent a request that has not
// been read yet, and reading it evicts other idle clients that EndIdle was about to end.
TEST_CASE("a graceful shutdown ends idle clients, though some of them are evicted meanwhile") {
  struct CountingEvents : DownstreamEvents {
    int opened = 0;
    std::optional<OpenRequestError> Validate(const OpenRequest& /*request*/) override { return std::nullopt; }
    SlotId OnOpen(SlotId /*client*/, const OpenRequest& /*request*/) override { return ++opened, SlotId{}; }
    void OnClientBytes(SlotId /*owner*/) override {}
    void OnClientEnd(SlotId /*owner*/, ConnectionEnd /*end*/) override {}
    void OnClientWritable(SlotId /*owner*/) override {}
  } events;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Downstream downstream(loop, events, counters, 96);
  downstream.Listen(*Address::Parse("127.0.0.1:0"));
  const auto address = Address::Parse("127.0.0.1:" + std::to_string(downstream.Port()));
  std::vector<int> clients;
  for (int k = 0; k < 48; ++k) {  // The maximum that the descriptor limit allows.
    clients.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(clients.back(), reinterpret_cast<const sockaddr*>(&address->raw), sizeof address->raw) ==
            0);
    loop.Poll();
  }
  loop.clock.Advance(std::chrono::milliseconds(300));
  const std::string_view line = "OPEN 1 k c=watch,d=2000\r\n";
  CHECK(send(clients.front(), line.data(), line.size(), 0) == static_cast<ssize_t>(line.size()));
  downstream.EndIdle(false);
  CHECK(events.opened == 1);
  CHECK(counters.evicted == 1);
  for (std::size_t k = 1; k < clients.size(); ++k) {
    std::array<char, 16> answer{};
    CHECK(recv(clients[k], answer.data(), answer.size(), 0) >= 5);
  }
  for (const int fd : clients) close(fd);
}

// Guards against closing the listener after one turn, which accepts only 64 queued clients: the others were
// reset.
TEST_CASE_METHOD(SingleEndpointFixture, "all clients in the listen queue when accepting ends are answered") {
  Play("drain\nwait 495\nturns 0");
  for (int k = 0; k < 400; ++k) Play(fmt::format("q{0} send OPEN q{0} k c=watch,d=900", k));
  Play("turns 3\nwait 5\nwait 1800");
  for (int k = 0; k < 400; ++k) Play(fmt::format("q{} answered", k));
}

#ifndef __SANITIZE_ADDRESS__  // For the same reason as the test of `exhaust` in request_test.cpp.
TEST_CASE_METHOD(
    SingleEndpointFixture,
    "clients in the listen queue are told to retry when accepting ends and no descriptor is left") {
  Play("drain\nwait 495\nturns 0");
  for (int k = 0; k < 70; ++k) {
    Play(fmt::format("q{0} send OPEN q{0} k c=watch,d=900", k));
    if (k % 2 == 0) Play(fmt::format("q{} send M 1 {}", k, std::string(6000, 'x')));
  }
  Play("exhaust z wait 5\nturns 3");
  for (int k = 0; k < 70; ++k) Play(fmt::format("q{0} expect BUSY\nq{0} expect-end", k));
}
#endif

TEST_CASE_METHOD(
    SingleEndpointFixture,
    "what is pending at the graceful shutdown is answered, and its client may send on without a reset") {
  Play(kEstablishSession);
  Play("drain\nwait 480\nb send OPEN 2 k c=watch,d=2000\ns-1#2 expect OPEN 2 k*\nwait 1775");
  Play(
      "b send M 1 x\nb expect ERR\nb expect-end\na expect MOVE\na expect-end\na close\nb close\nwait "
      "300\nstopped");
}

// A client that reads late must still receive all its lines.
TEST_CASE_METHOD(SingleEndpointFixture, "the graceful shutdown waits for what a client has not read yet") {
  Play(kEstablishSession);
  Play("s-1 flood 12000\ndrain\nwait 1900\na expect-moved\na close\nwait 300\nstopped");
  CHECK(Counts().migrated == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "a graceful shutdown keeps its times whatever else happens in it") {
  Play(kEstablishSession);
  const std::string disturbance = GENERATE("an endpoint that does not answer", "discovery down", "a reload",
                                           "an operator's drain", "a second shutdown request");
  INFO(disturbance);
  Play("b send OPEN 2 k c=watch,d=2000\ns-1#2 expect OPEN 2 k*\na send M 1 x");
  if (disturbance == "discovery down") Play("discovery refuse\ndiscovery close");
  if (disturbance == "a reload") Play("reload discovery2");
  if (disturbance == "an operator's drain") Play("drain-call");
  Play("drain\nwait 100");
  if (disturbance == "a reload") Play("reload discovery");
  if (disturbance == "an operator's drain") Play("activate");
  Play("c send OPEN 3 k c=watch,d=500\nwait 1000");
  if (disturbance == "a second shutdown request") Play("drain");
  Play("wait 1000\na expect MOVE\na expect-end\nb answered\nc answered\na close\nwait 400\nstopped");
}

TEST_CASE_METHOD(
    SingleEndpointFixture,
    "a graceful shutdown still accepts clients, then migrates all established sessions and stops") {
  Play(kEstablishSession);
  Play(R"(
    drain
    wait 300
    b send OPEN 2 k c=watch,d=2000
    s-1#2 expect OPEN 2 k*
    s-1#2 send UP r2
    b expect UP r2
    wait 150
    a send M 1 x
    s-1 expect M 1 x
    wait 1700
    a expect MOVE
    a expect-end
    b expect MOVE
    b expect-end
    a close
    b close
    wait 100
    stopped
  )");
  CHECK(Counts().migrated == 2);
}

// The front load balancer's health checks keep connections without a request line open. Guards against a
// shutdown that waits for them until its time limit.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a graceful shutdown does not wait for connections without a request") {
  SECTION("PING") { Play("a send PING\na expect PONG"); }
  SECTION("incomplete line") { Play("a raw OPEN 1 k"); }
  SECTION("an answered client that does not close its connection") { Play("a send HELLO"); }
  Play("drain\nwait 510\nstopped");
}

}  // namespace
}  // namespace stoatrun
