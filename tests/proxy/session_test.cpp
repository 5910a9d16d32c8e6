// Established and resumed sessions, on loopback sockets.
#include <catch2/catch.hpp>
#include <string>

#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

TEST_CASE_METHOD(SingleEndpointFixture,
                 "lines are forwarded unchanged both ways until the endpoint sends BYE") {
  Play(kEstablishSession);
  Play(R"(
    a send M 1 x
    s-1 expect M 1 x
    s-1 send LOAD 250
    s-1 send M 1 x
    a expect LOAD 250
    a expect M 1 x
    s-1 send BYE
    s-1 close
    a expect BYE
    a expect-end
  )");
  CHECK(Counts().served == 1);
}

// Resumed connections ask for a timeout of 71 minutes, which was once rejected as malformed.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a connection that was open before the start is resumed at its endpoint") {
  Play(R"(
    a send OPEN 1 k c=watch,d=4294967,at=s-1
    s-1 expect OPEN 1 k c=watch,d=*
    s-1 send UP r1
    a expect UP r1
  )");
  CHECK(Counts().resumed == 1);
  CHECK(Counts().malformed == 0);
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a client that gives up resuming at an unlisted endpoint is answered") {
  Play(R"(
    a send OPEN 1 k c=watch,d=4294967,at=s-9
    wait 400
    a half
    a expect ERR
    a expect-end
  )");
}

TEST_CASE_METHOD(
    SingleEndpointFixture,
    "lines received in parts are joined, and lines that a client sends before UP are forwarded after it") {
  Play(R"(
    a raw OPEN 1 k c=wa
    a send tch,d=2000
    a send M 1 early
    s-1 expect OPEN 1 k c=watch,d=*
    s-1 raw UP r
    s-1 send 1
    a expect UP r1
    s-1 expect M 1 early
    s-1 raw M 1 e
    s-1 send arly
    a expect M 1 early
  )");
}

TEST_CASE_METHOD(SingleEndpointFixture, "each side ends as the other did") {
  Play(kEstablishSession);
  SECTION("the client's end") {
    Play("a half\ns-1 expect-end\ns-1 send BYE\ns-1 close\na expect BYE\na expect-end");
  }
  SECTION("the client's end, if the endpoint says nothing more and does not close") {
    Play("a half\ns-1 expect-end\nwait 4400\na expect MOVE\na expect-end");
  }
  SECTION("the client's reset") { Play("a reset\ns-1 expect-reset"); }
  SECTION("the endpoint's end") { Play("s-1 close\na expect-end"); }
  SECTION("the endpoint's reset") { Play("s-1 reset\na expect-reset"); }
  SECTION("the endpoint's MOVE") { Play("s-1 send MOVE\ns-1 close\na expect MOVE\na expect-end"); }
}

// The connections of a machine that has crashed stay open. Only the missing answer reveals the failure.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "clients of a silent endpoint are migrated within seven seconds of its last answer") {
  Play(kEstablishSession);
  Play(R"(
    a send M 1 x
    s-1 expect M 1 x
    s-1 send M 1 x
    a expect M 1 x
    wait 2000
    a send M 2 x
    wait 4400
    a expect MOVE
    a expect-end
    s-1 expect M 2 x
    s-1 expect-end
  )");
  CHECK(Counts().silent_endpoints == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "a session without client lines does not count as silent") {
  Play(kEstablishSession);
  Play("wait 9000\na send M 1 x\ns-1 expect M 1 x");
  CHECK(Counts().silent_endpoints == 0);
}

// The endpoint reads nothing while the client sends far more than all buffers hold and then finishes sending.
TEST_CASE_METHOD(
    SingleEndpointFixture,
    "lines for a slow endpoint are buffered within bounds and none is lost at the client's end") {
  Play(kEstablishSession);
  Play("a flood 12000\na half\nwait 50\ns-1 expect-flood\ns-1 expect-end");
}

// A client would read a MOVE inside a line as part of that line.
TEST_CASE_METHOD(SingleEndpointFixture, "MOVE does not wait for an incomplete line and never splits one") {
  Play(kEstablishSession);
  Play("s-1 raw M 1 half\ndrain\nwait 2100\na expect MOVE\na expect-end");
}

}  // namespace
}  // namespace stoatrun
