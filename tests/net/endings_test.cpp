// The instants in which something ends and something else is still owed: docs/design/endings.md has a row for
// each. The language is described in world.h.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "net/fleet_told.h"
#include "net/issuer.h"
#include "net/world.h"

namespace stoatrun {
namespace {

class Alone : public World {
 public:
  Alone() : World({"s-1"}) {}
};

constexpr const char* kStand = R"(
  a send OPEN 1 k c=watch,d=2000
  s-1 expect OPEN 1 k c=watch,d=*
  s-1 send UP r1
  a expect UP r1
)";
constexpr const char* kDrained =
    R"(discovery send {"revision":2,"members":[{"id":"s-1","phase":"draining"}]})";
constexpr const char* kReady =
    R"(discovery send {"revision":3,"members":[{"id":"s-1","phase":"ready","up_since_ms":1999900}]})";

// ---- a client that leaves while its request waits ----

TEST_CASE("a request whose client has left is not sent on, wherever it waits and whatever lies behind it") {
  const std::string way = GENERATE("close", "half", "reset");
  const std::string behind = GENERATE("nothing", "part of a line", "a full buffer");
  const std::string place = GENERATE("queue", "between attempts", "connecting", "budget");
  INFO(way << ", " << behind << ", " << place);
  FleetTold fleet;
  World world({"s-1"}, 0, 1, -1, "subscribe", &fleet);
  if (place == "queue") world.Play(kDrained);
  if (place == "budget") {
    fleet.cold = 0;
    world.Play(kReady);
  }
  if (place == "connecting") world.Play("s-1 full");
  if (behind == "a full buffer") {
    world.Play("a both OPEN 1 k c=watch,d=2000 | M 1 " + std::string(20'000, 'x'));
  } else {
    world.Play("a send OPEN 1 k c=watch,d=2000");
  }
  if (behind == "part of a line") world.Play("a raw M 1 par");
  if (place == "between attempts") world.Play("s-1 expect OPEN 1 k*\ns-1 send BUSY\ns-1 expect-end");
  world.Play("wait 30\na " + way);
  world.Play("wait 150");  // Half of the time after which nothing may be sent.
  CHECK(world.Counts().client_left == 1);
  CHECK(world.Relayed().Outstanding() == 0);
  const auto legs = world.Counts().legs;
  fleet.cold = 100;
  if (place == "queue") world.Play(kReady);
  world.Play("wait 2000");
  CHECK(world.Counts().legs == legs);
  world.Play("s-1 legs " + std::string(place == "between attempts" ? "1" : "0"));
}

TEST_CASE_METHOD(Alone,
                 "an attempt that comes up in the turn in which its client's end lies unread sends nothing") {
  const std::string way = GENERATE("close", "half", "reset");
  Play("turns 0\na send OPEN 1 k c=watch,d=2000,at=s-1");
  while (Counts().legs == 0) Play("turn");
  // The connection is up in the kernel, and the loop has told of neither.
  Play("a " + way + "\nturns 3\nwait 20\ns-1 legs 0");
  CHECK(Counts().client_left == 1);
}

TEST_CASE_METHOD(Alone, "the answer of one that left by half is ERR, at once") {
  Play("s-1 full\na both OPEN 1 k c=watch,d=2000 | M 1 " + std::string(20'000, 'x'));
  Play("a half\nwait 110\na expect ERR\na expect-end");
}

// ---- a break that nothing read or written would tell of ----

// Reading is held back while the other side takes nothing: a reset was then seen when that side read again.
TEST_CASE_METHOD(Alone, "a reset is noticed while reading is held back") {
  Play(kStand);
  SECTION("the client's") {
    Play("a flood 12000\na reset\nwait 150");
    CHECK(Counts().client_left == 1);
  }
  SECTION("the host's") {
    Play("s-1 flood 12000\ns-1 reset\nwait 150");
    CHECK(Counts().legs_cut == 1);
  }
  CHECK(Relayed().Outstanding() == 0);
}

// ---- attempts ----

// What was never written whole has never run, and may be tried again whatever its class.
TEST_CASE_METHOD(Alone, "a break tells by the first line's last byte whether the attempt may have run") {
  Play("turns 0\na send OPEN 1 k c=watch,d=2000,at=s-1");
  while (Counts().legs == 0) Play("turn");
  SECTION("before the first byte") {
    Play("s-1 break\nturns 3\nwait 20");
    CHECK(Counts().legs_cut == 0);
    CHECK(Counts().legs_not_connected == 1);
    CHECK(Counts().classes[0].forwards == 0);
  }
  SECTION("after the last byte") {
    Play("turns 3\ns-1 expect OPEN 1 k*\ns-1 reset\nwait 20");
    CHECK(Counts().legs_cut == 1);
    CHECK(Counts().classes[0].forwards == 1);
  }
}

// A connection that the host closes as idle must not count as a failed look at the host.
TEST_CASE_METHOD(Alone, "a look on a connection that was closed at that moment is taken on a new one") {
  Play(kStand);
  // Both lie in sockets when the turn begins; the client's is served first, and asks.
  Play("wait 4000\nb raw OPEN 2 k c=watch\nwait 1500\nturns 0\ns-1 idle-end\nb send ,d=2000\nturns 3");
  Play("s-1#2 expect OPEN 2 k*");
  CHECK(Counts().probes_failed == 0);
}

// A reset just before the line is written: it was counted as sent, and a class that may not run twice not
// tried again.
TEST_CASE("a line whose writing fails has not been sent") {
  struct Cut : IssuerEvents {
    int listener = -1;
    std::optional<LegEnd> end;
    bool sent = false;
    void OnLegConnected(SlotId /*owner*/) override {
      const int fd = accept(listener, nullptr, nullptr);
      const linger hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close(fd);
    }
    void OnLegUp(SlotId /*owner*/, std::string_view /*line*/) override {}
    void OnLegSent(SlotId /*owner*/) override { sent = true; }
    void OnLegEnd(SlotId /*owner*/, LegEnd how, std::string_view /*line*/) override { end = how; }
    void OnLegBytes(SlotId /*owner*/) override {}
    void OnLegFinished(SlotId /*owner*/, StreamEnd /*how*/) override {}
    void OnLegRoom(SlotId /*owner*/) override {}
    void OnProbe(HostNumber /*host*/, bool /*ok*/, std::string_view /*report*/) override {}
  } cut;
  cut.listener = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof at;
  REQUIRE(bind(cut.listener, reinterpret_cast<sockaddr*>(&at), size) == 0);
  REQUIRE(listen(cut.listener, 4) == 0);
  getsockname(cut.listener, reinterpret_cast<sockaddr*>(&at), &size);
  Loop loop(Clock::Mode::kManual);
  Counters counters;
  Issuer issuer(loop, cut, counters, {});
  issuer.TakeList(
      {1,
       true,
       {{.id = "s-1", .address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port)), .locality = ""}}});
  issuer.Open({}, 0, {"OPEN 1 k d=", "", true, Micros(1'000'000)});
  for (int k = 0; k < 1'000'000 && !cut.end; ++k) loop.Poll();
  CHECK(cut.end == LegEnd::kNotConnected);
  CHECK_FALSE(cut.sent);
  close(cut.listener);
}

}  // namespace
}  // namespace stoatrun
