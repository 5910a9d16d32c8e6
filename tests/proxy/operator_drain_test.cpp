// The operators' drain of the proxy, on loopback sockets.
#include <catch2/catch.hpp>
#include <string>

#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

TEST_CASE_METHOD(SingleEndpointFixture,
                 "the operators' drain fails health checks and migrates established sessions in time") {
  Play(kEstablishSession);
  CHECK(ProxyUnderTest().Ready());
  Play(R"(
    drain-call
    drain-call
    b send PING
    b expect ERR
    wait 300
    a send M 1 x
    s-1 expect M 1 x
    s-1 send M 1 x
    a expect M 1 x
  )");
  CHECK_FALSE(ProxyUnderTest().Ready());
  CHECK(Counts().migrated == 0);  // The front load balancer could still send migrated clients back.
  // Clients that arrive within 0.2 s after the first failed health check are served, and migrated as well.
  Play(R"(
    c send OPEN 3 k c=watch,d=2000
    s-1#2 expect OPEN 3 k*
    s-1#2 send UP r3
    c expect UP r3
    wait 2400
    a expect MOVE
    a expect-end
    c expect MOVE
    c expect-end
    s-1 expect-end
  )");
  CHECK(Counts().migrated == 2);
  CHECK(Counts().drain_migrations == 2);
  CHECK(Counts().drain_calls == 2);
  Play(R"(
    activate
    activate
    d send PING
    d expect PONG
    e send OPEN 5 k c=watch,d=2000
    s-1#3 expect OPEN 5 k*
    s-1#3 send UP r5
    e expect UP r5
    wait 3000
    e send M 5 x
    s-1#3 expect M 5 x
  )");
  CHECK(ProxyUnderTest().Ready());
  CHECK(Counts().migrated == 2);  // No session is migrated after activation.
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a graceful shutdown during the operators' drain still ends the process") {
  Play(kEstablishSession);
  Play("drain-call\nwait 100\ndrain\nwait 2000\na expect MOVE\na expect-end\na close\nwait 1500\nstopped");
  CHECK_FALSE(ProxyUnderTest().Ready());
}

}  // namespace
}  // namespace stoatrun
