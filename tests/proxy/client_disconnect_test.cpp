// Clients that disconnect before they have been answered, or while data is still to be delivered; see
// docs/design/endings.md.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "proxy/fleet_client_recorder.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

constexpr const char* kDrained =
    R"(discovery send {"revision":2,"members":[{"id":"s-1","phase":"draining"}]})";

constexpr const char* kReady =
    R"(discovery send {"revision":3,"members":[{"id":"s-1","phase":"ready","up_since_ms":1999900}]})";

TEST_CASE(
    "a request whose client has disconnected is not forwarded, wherever it waits and whatever follows it") {
  const std::string client_end = GENERATE("close", "half", "reset");
  const std::string sent_after_request = GENERATE("nothing", "part of a line", "a full buffer");
  const std::string request_state = GENERATE("queue", "between attempts", "connecting", "budget");
  INFO(client_end << ", " << sent_after_request << ", " << request_state);
  FleetClientRecorder fleet;
  LoopbackFixture fixture({"s-1"}, {.fleet = &fleet});
  if (request_state == "queue") fixture.Play(kDrained);
  if (request_state == "budget") {
    fleet.slow_start_sends = 0;
    fixture.Play(kReady);
  }
  if (request_state == "connecting") fixture.Play("s-1 full");
  if (sent_after_request == "a full buffer") {
    fixture.Play("a both OPEN 1 k c=watch,d=2000 | M 1 " + std::string(20'000, 'x'));
  } else {
    fixture.Play("a send OPEN 1 k c=watch,d=2000");
  }
  if (sent_after_request == "part of a line") fixture.Play("a raw M 1 par");
  if (request_state == "between attempts") {
    fixture.Play("s-1 expect OPEN 1 k*\ns-1 send BUSY\ns-1 expect-end");
  }
  fixture.Play("wait 30\na " + client_end);
  fixture.Play("wait 150");  // Half of the time after which no attempt may be sent.
  CHECK(fixture.Counts().client_disconnects == 1);
  CHECK(fixture.ProxyUnderTest().SessionCount() == 0);
  const auto attempts = fixture.Counts().attempts;
  fleet.slow_start_sends = 100;
  if (request_state == "queue") fixture.Play(kReady);
  fixture.Play("wait 2000");
  CHECK(fixture.Counts().attempts == attempts);
  fixture.Play("s-1 legs " + std::string(request_state == "between attempts" ? "1" : "0"));
}

TEST_CASE_METHOD(
    SingleEndpointFixture,
    "an attempt that connects in the turn in which its client's end is still unread sends nothing") {
  const std::string client_end = GENERATE("close", "half", "reset");
  Play("turns 0\na send OPEN 1 k c=watch,d=2000,at=s-1");
  while (Counts().attempts == 0) Play("turn");
  // The kernel has established the connection, but the event loop has reported neither that nor the client's
  // end.
  Play("a " + client_end + "\nturns 3\nwait 20\ns-1 legs 0");
  CHECK(Counts().client_disconnects == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "a client that half-closes while pending is answered ERR at once") {
  Play("s-1 full\na both OPEN 1 k c=watch,d=2000 | M 1 " + std::string(20'000, 'x'));
  Play("a half\nwait 110\na expect ERR\na expect-end");
}

// A client that closed behind more than the proxy read was taken to be there, and its request was sent on up
// to 2.8 s later.
TEST_CASE("a request is not forwarded if its client closed behind any amount of unread data") {
  const std::string address = GENERATE("", ",at=s-1");
  LoopbackFixture fixture({"s-1"});
  fixture.Play("s-1 full\na send OPEN 1 k c=watch,d=2000" + address + "\na flood 12000\na close\nwait 150");
  CHECK(fixture.ProxyUnderTest().SessionCount() == 0);
  fixture.Play("wait 1000\ns-1 legs 0");
}

// The same where the process is held up: it finds the request, the data and the end at once.
TEST_CASE("a request is not forwarded if its client has closed while the process was held up") {
  const std::string address = GENERATE("", ",at=s-1");
  LoopbackFixture fixture({"s-1"});
  fixture.Play("turns 0\na send OPEN 1 k c=watch,d=2000" + address + "\na raw " + std::string(40'000, 'x'));
  fixture.Play("a close\nturns 3\nwait 500\ns-1 legs 0");
  CHECK(fixture.Counts().client_disconnects == 1);
}

// The input buffer and the rest that was set aside must be joined in order.
TEST_CASE_METHOD(SingleEndpointFixture, "much that a client sends before its answer is forwarded after it") {
  Play("a send OPEN 1 k c=watch,d=2000\na flood 40\ns-1 expect OPEN 1 k*\ns-1 send UP r1\na expect UP r1");
  Play("a flood 20\ns-1 expect-flood");
}

TEST_CASE_METHOD(SingleEndpointFixture, "early data of many clients stays within a limit") {
  Play("s-1 full");
  const std::string early(60'000, 'x');
  for (int k = 0; k < 60; ++k) {
    Play(fmt::format("c{0} send OPEN {0} k c=watch,d=2000\nc{0} raw {1}", k, early));
  }
  const std::size_t set_aside = early.size() - TcpConnection::kInputCapacity;  // Of each client, at least.
  constexpr std::size_t kLimit = std::size_t{2} * 1024 * 1024;
  CHECK(ProxyUnderTest().SessionCount() <= kLimit / set_aside + 1);
  CHECK(ProxyUnderTest().SessionCount() >= kLimit / early.size());
  for (int k = 0; k < 60; ++k) Play(fmt::format("c{} close", k));
  CHECK(ProxyUnderTest().SessionCount() == 0);
  Play("z send OPEN z k c=watch,d=2000\nz raw " + early);
  CHECK(ProxyUnderTest().SessionCount() == 1);
}

// An id ran twice when it came again after its client had left, here or at the process that replaces this
// one.
TEST_CASE("an id that was sent to an endpoint is not sent again, by this process or its successor") {
  SharedMemory sent_ids(SentRequestIds::kMemorySize);
  LoopbackFixture before({"s-1"}, {.sent_ids = &sent_ids});
  LoopbackFixture after({"s-1"}, {.sent_ids = &sent_ids});
  before.Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\na close\ns-1 expect-end");
  SECTION("this process") {
    before.Play("b send OPEN 1 k c=watch,d=2000\nb expect ERR\nb expect-end\ns-1 legs 1");
  }
  SECTION("its successor") {
    after.Play("b send OPEN 1 k c=watch,d=2000\nb expect ERR\nb expect-end\nwait 500\ns-1 legs 0");
  }
  SECTION("its successor accepted the id before it was sent") {
    after.Play("s-1 full\nb send OPEN 2 k c=watch,d=2000");
    before.Play("b send OPEN 2 k c=watch,d=2000\ns-1#2 expect OPEN 2 k*");
    after.Play("c send OPEN 2 k c=watch,d=2000\nc expect ERR");
  }
  SECTION("an id that was not sent is free") {
    before.Play("s-1 full\nb send OPEN 3 k c=watch,d=2000\nwait 50\nb close");
    after.Play("b send OPEN 3 k c=watch,d=2000\ns-1 expect OPEN 3 k*");
  }
}

// Reading is paused while the other side accepts no data. A reset was then detected only when that side read
// again.
TEST_CASE_METHOD(SingleEndpointFixture, "a reset is detected while reading is paused") {
  Play(kEstablishSession);
  SECTION("the client's") {
    Play("a flood 12000\na reset\nwait 150");
    CHECK(Counts().client_disconnects == 1);
  }
  SECTION("the endpoint's") {
    Play("s-1 flood 12000\ns-1 reset\nwait 150");
    CHECK(Counts().attempts_connection_lost == 1);
    // The client, which reads nothing, is left time for the lines before the reset; it must be told of the
    // endpoint's end within a second.
    Play("wait 800");
  }
  CHECK(ProxyUnderTest().SessionCount() == 0);
}

// Clients with malformed requests are evicted. Closing their connections with unread bytes must not lose an
// answer to any client.
TEST_CASE(
    "beside a thousand that send much and disconnect, every client is answered, and so are those that stay") {
  LoopbackFixture fixture({"s-1"}, {.descriptor_limit = 96});
  for (int k = 0; k < 1000; ++k) {
    fixture.Play(k % 100 == 99 ? "turns 3" : "turns 0");
    if (k % 100 == 50) fixture.Play(fmt::format("good{0} send OPEN g{0} k c=watch,d=2000", k));
    if (k % 3 == 0) {
      fixture.Play(fmt::format("stay{} raw {}", k, std::string(k % 2 == 0 ? 2000 : 30'000, 'k')));
    } else {
      const char* end = k % 3 == 1 ? "close" : "reset";
      fixture.Play(fmt::format("bad{0} raw {1}\nbad{0} {2}", k, std::string(9000, 'k'), end));
    }
  }
  fixture.Play("turns 3\nwait 2100");
  for (int k = 0; k < 1000; ++k) {
    if (k % 100 == 50) fixture.Play(fmt::format("good{} answered", k));
    if (k % 3 == 0) fixture.Play(fmt::format("stay{0} expect ERR\nstay{0} expect-end", k));
  }
}

}  // namespace
}  // namespace stoatrun
