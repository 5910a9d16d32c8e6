// Client requests until their session is established or they are answered, on loopback sockets.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <string>

#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

TEST_CASE_METHOD(SingleEndpointFixture, "events are counted by class") {
  const auto& watch = [this] { return Counts().classes.at(0); };
  Play(kEstablishSession);
  CHECK(watch().succeeded == 1);
  CHECK(watch().forwards == 1);
  CHECK(ProxyUnderTest().SessionCount() == 1);
  CHECK(ProxyUnderTest().EndpointCount() == 1);
  Play("b send OPEN 1 k2 c=watch,d=2000\nb expect ERR\nb expect-end");  // The id of an open connection.
  CHECK(watch().aborted == 1);
  Play("s-1 load 0.99\nwait 1000\nc send OPEN 3 k c=watch,d=2000\nc expect BUSY *\nc expect-end");
  CHECK(watch().rejected == 1);
  CHECK(watch().forwards == 1);
  Play("a send M 1 x\ns-1 expect M 1 x\ns-1 send BYE\ns-1 close\na expect BYE\na expect-end\nwait 10");
  CHECK(ProxyUnderTest().SessionCount() == 0);
  CHECK(watch().succeeded == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "the timeout is rewritten and all other fields are forwarded unchanged") {
  Play(R"(
    a send OPEN 1 k z=?,c=watch,t=acme,d=2000,g=5c,later=1
    s-1 expect OPEN 1 k z=?,c=watch,t=acme,d=998,g=5c,later=1
  )");
}

TEST_CASE_METHOD(SingleEndpointFixture, "PING is answered, and a request line may follow") {
  Play(R"(
    a send PING
    a expect PONG
    a send OPEN 1 k c=watch,d=2000
    s-1 expect OPEN 1 k c=watch,d=*
  )");
}

TEST_CASE_METHOD(SingleEndpointFixture, "malformed request lines are answered ERR, closed and counted") {
  Play("a send HELLO\na expect ERR\na expect-end");
  Play("b send OPEN 1 k c=nobody,d=2000\nb expect ERR\nb expect-end");
  Play("c send OPEN 1 k c=watch,d=-1\nc expect ERR\nc expect-end");
  Play("d raw OPEN 1 k c=wat\nd half\nd expect ERR\nd expect-end");
  Play("e raw " + std::string(5000, 'x') + "\ne expect ERR\ne expect-end");
  Play("f raw OPEN\nwait 1500\nf raw  1\nwait 550\nf expect ERR\nf expect-end");
  Play("g send OPEN 1 k c=watch,d=2000,x=\x01\ng expect ERR\ng expect-end");
  CHECK(Counts().malformed == 7);
  CHECK(Counts().attempts == 0);
}

// If the second client were served, the endpoint could not distinguish its connection from the first.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "an id that an endpoint has been sent is rejected for a new client, also after its end") {
  Play(kEstablishSession);
  Play("b send OPEN 1 k2 c=watch,d=2000\nb expect ERR\nb expect-end");
  Play("a send M 1 x\ns-1 expect M 1 x\na reset\ns-1 expect-reset");
  Play("c send OPEN 1 k c=watch,d=2000\nc expect ERR\nc expect-end\ns-1 legs 1");
  CHECK(Counts().malformed == 2);
}

// Each PING of a client that sent them at full speed took a write of its own, and other clients' answers took
// 37 ms in place of 1.
TEST_CASE_METHOD(SingleEndpointFixture, "PINGs that have arrived together are answered together") {
  Play("a pings 1000\na expect-pongs 1000");
  CHECK(Counts().pings == 1000);
  Play(
      "a both PING | PING\na send OPEN 1 k c=watch,d=2000\na expect PONG\na expect PONG\ns-1 expect OPEN 1 "
      "k*");
}

TEST_CASE_METHOD(
    SingleEndpointFixture,
    "a client that sends a second request before its answer is rejected and its attempt abandoned") {
  SECTION("in one write") { Play("a both OPEN 1 k c=watch,d=2000 | OPEN 2 k c=watch,d=2000"); }
  SECTION("later") {
    Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\na send OPEN 2 k c=watch,d=2000");
    Play("s-1 expect-end");
  }
  Play("a expect ERR\na expect-end");
  CHECK(Counts().malformed == 1);
}

// Closing a socket with unread bytes sends a reset, which overtakes an answer that the client has not read
// yet.
TEST_CASE_METHOD(SingleEndpointFixture, "the answer reaches a client that first sends 60 MB") {
  Play("a send-bytes 60000000\na expect ERR\na expect-end");
}

// The limit allows at most 16 sessions, and at least 16 clients without a request.
class FewDescriptorsFixture : public LoopbackFixture {
 public:
  FewDescriptorsFixture() : LoopbackFixture({"s-1"}, {.descriptor_limit = 96}) {}
};

// Hundreds of clients that sent nothing used up all descriptors: other clients were rejected, and attempts
// could not connect.
TEST_CASE_METHOD(
    FewDescriptorsFixture,
    "the number of idle clients is bounded, the oldest are evicted first, and requests are served") {
  Play(kEstablishSession);
  Play("connect-idle 200\nexpect-idle 46");
  Play("b send OPEN 2 k c=watch,d=2000\ns-1#2 expect OPEN 2 k*\nexpect-idle 44");
  CHECK(Counts().evicted >= 154);
  Play("wait 2050\nexpect-idle 0");
}

TEST_CASE_METHOD(FewDescriptorsFixture, "a client for which no descriptors are left is told to retry") {
  for (int k = 0; k < 16; ++k) {
    Play(fmt::format("c{0} send OPEN {0} k c=watch,d=60000,at=s-9", k));
  }
  CHECK(Counts().rejected_for_capacity == 0);
  Play("z send OPEN z k c=watch,d=2000\nz expect BUSY\nz expect-end");
  CHECK(Counts().rejected_for_capacity == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "an attempt that is rejected is closed before the next is opened") {
  Play(R"(
    a send OPEN 1 k c=watch,d=2000
    s-1 expect OPEN 1 k*
    s-1 send BUSY
    s-1 expect-end
    wait 200
    s-1#2 expect OPEN 1 k*
    s-1#2 send UP r2
    a expect UP r2
  )");
  CHECK(Counts().attempts_rejected == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a request is answered BUSY when its deadline expires and no endpoint was available") {
  Play(R"(
    s-1 down
    a send OPEN 1 k c=watch,d=2000
    wait 2000
    a expect BUSY*
    a expect-end
  )");
  CHECK(Counts().rejected == 1);
  CHECK(Counts().attempts_not_connected >= 1);
  CHECK(Counts().attempts == Counts().attempts_not_connected);
}

// A later answer would be the same, so holding it back would only delay the rejection.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "while all endpoints are overloaded, requests are answered BUSY with retry-after at once") {
  Play(R"(
    s-1 load 0.99
    a send OPEN 1 k c=watch,d=2000
    a expect BUSY *
    a expect-end
    b send OPEN 2 k c=watch,d=2000
    b expect BUSY *
    b expect-end
  )");
  CHECK(Counts().rejected == 2);
  CHECK(Counts().attempts == 0);
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "an attempt at an endpoint that does not answer times out by the client's deadline") {
  Play(R"(
    a send OPEN 1 k c=watch,d=1000
    s-1 expect OPEN 1 k*
    wait 1000
    a expect BUSY*
    a expect-end
  )");
  CHECK(Counts().attempts_timed_out >= 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "a client that disconnects before UP ends its attempt") {
  Play(R"(
    a send OPEN 1 k c=watch,d=2000
    s-1 expect OPEN 1 k*
    a close
    s-1 expect-end
  )");
  CHECK(Counts().client_disconnects == 1);
}

// The sanitizer's check of virtual calls needs a file descriptor itself and fails if none is left.
#ifndef __SANITIZE_ADDRESS__
// Closing a connection that the kernel has accepted would lose its client's request without an answer.
TEST_CASE_METHOD(SingleEndpointFixture, "without a descriptor left a client is told to retry") {
  Play("exhaust a\na expect BUSY\na expect-end");
  CHECK(Counts().accept_failed == 1);
  Play("b send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*");
}
#endif

// A machine that has crashed neither accepts nor refuses connections.
TEST_CASE_METHOD(SingleEndpointFixture, "an attempt that does not connect in time has not run") {
  Play(kEstablishSession);
  Play("s-1 full\nb send OPEN 2 k c=watch,d=2000\nwait 240");
  CHECK(Counts().attempts == 2);
  CHECK(Counts().attempts_not_connected == 0);
  Play("wait 15");
  CHECK(Counts().attempts_not_connected == 1);
}

// The other endpoint has as little load, but every endpoint that serves members of a group bears the cost of
// the group.
TEST_CASE("clients of one affinity group are placed at one endpoint by every proxy") {
  for (int proxy = 0; proxy < 2; ++proxy) {
    LoopbackFixture fixture({"s-1", "s-2"}, {.fleet_size = 2});
    for (int k = 1; k <= 4; ++k) {
      fixture.Play(fmt::format("h{0} send OPEN h{0} k c=watch,d=2000,g=herons\ns-2#{0} expect OPEN h*", k));
      fixture.Play(fmt::format("k{0} send OPEN k{0} k c=watch,d=2000,g=kites\ns-1#{0} expect OPEN k*", k));
    }
  }
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "an attempt that receives a malformed answer is counted as failed and retried") {
  Play(R"(
    a send OPEN 1 k c=watch,d=2000
    s-1 expect OPEN 1 k*
    s-1 send ?? 17
    s-1 expect-end
    wait 400
    s-1#2 expect OPEN 1 k*
    s-1#2 send UP r2
    a expect UP r2
  )");
  CHECK(Counts().attempts_failed == 1);
}

}  // namespace
}  // namespace stoatrun
