// What either side has sent before a session ends or is migrated reaches the other side, whoever ends it and
// wherever it lies: unread in a socket, held back behind a full buffer, or in pieces.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <string>

#include "proxy/loopback_fixture.h"
#include "proxy/upstream_fixture.h"

namespace stoatrun {
namespace {

// Scripts after which the proxy migrates client a once the clock has advanced by 150 ms more.
constexpr const char* kAboutToShutDown = "drain\nwait 400";
constexpr const char* kAboutToDrain = "drain-call\nwait 1750";
constexpr const char* kAboutToLeaveSilentEndpoint = "a send M 1 x\ns-1 expect M 1 x\nwait 4200";

// The lines of an endpoint are answers, so it is not silent.
std::string AnyDrain() { return GENERATE(kAboutToShutDown, kAboutToDrain); }

std::string AnyMigration() { return GENERATE(kAboutToShutDown, kAboutToDrain, kAboutToLeaveSilentEndpoint); }

// The proxy threw away the endpoint's lines that it had not read when it migrated the client (review/7).
TEST_CASE_METHOD(SingleEndpointFixture, "a migrated client first gets all lines that lie unread") {
  Play(kEstablishSession);
  Play(AnyDrain());
  Play("stall 150 s-1 flood 300");
  Play("a expect-all-moved\ns-1 expect-end");
}

// The client's unread lines were thrown away at its migration in the same way.
TEST_CASE_METHOD(SingleEndpointFixture, "the endpoint of a migrated client gets all lines that lie unread") {
  Play(kEstablishSession);
  Play(AnyMigration());
  Play("stall 150 a flood 300");
  Play("s-1 expect-flood\nwait 30\ns-1 expect-end\na expect MOVE\na expect-end");
}

// Closing the endpoint's connection dropped the output queued for it.
TEST_CASE_METHOD(SingleEndpointFixture, "a slow endpoint of a migrated client gets all its lines") {
  Play(kEstablishSession);
  Play(AnyMigration());
  Play("a flood 12000\nwait 150\ns-1 expect-flood\nwait 800\na expect MOVE\na expect-end\ns-1 expect-end");
}

// MOVE overtook the lines that the client's full buffers held back in the endpoint's socket.
TEST_CASE_METHOD(SingleEndpointFixture, "a slow client gets all lines before MOVE") {
  Play(kEstablishSession);
  Play(AnyDrain());
  Play("s-1 flood 12000\nwait 150\na expect-all-moved");
}

// The rest of a line that came in pieces was dropped, or the endpoint was sent a part of a line as its last.
TEST_CASE_METHOD(SingleEndpointFixture, "a line in pieces is completed before the migration") {
  Play(kEstablishSession);
  const std::string migration = AnyMigration();
  INFO(migration);
  Play(migration);
  SECTION("the endpoint's") {
    Play(
        "s-1 raw M 1 fi\nwait 200\ns-1 raw rst\nwait 50\ns-1 send line\na expect M 1 firstline\na expect "
        "MOVE");
  }
  SECTION("the client's") {
    Play("a raw M 2 fi\nwait 200\na raw rst\nwait 50\na send line\na expect MOVE\na expect-end");
    Play("s-1 expect M 2 firstline\ns-1 expect-end");
  }
  SECTION("neither waits for longer than a second") {
    Play("s-1 raw M 1 fi\na raw M 2 fi\nwait 1100\na expect MOVE\na expect-end");
  }
}

// A client that had finished sending was cut off 0.8 s later, without the answer of a slow endpoint
// (review/6).
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a client that has finished sending gets what its endpoint still sends") {
  Play(kEstablishSession);
  Play("a send M 1 last\na half\ns-1 expect M 1 last\ns-1 expect-end");
  SECTION("late answers") {
    Play("wait 3000\ns-1 send M 1 a\na expect M 1 a\nwait 3000\ns-1 send M 1 b\na expect M 1 b");
    Play("s-1 send BYE\ns-1 close\na expect BYE\na expect-end");
  }
  SECTION("MOVE in a drain") {
    const std::string drain = GENERATE("drain", "drain-call");
    Play("s-1 raw M 1 a\n" + drain +
         "\nwait 1000\ns-1 send b\na expect M 1 ab\nwait 1500\na expect MOVE\na expect-end");
  }
  SECTION("nothing is waited for after its reset") { Play("a reset\ns-1 send M 1 a\nwait 150"); }
  CHECK(ProxyUnderTest().SessionCount() == 0);
}

// The client's lines were thrown away when the endpoint's end was read before them.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "an endpoint that finishes sending still gets all lines that lie unread") {
  Play(kEstablishSession);
  Play("turns 0\na flood 300\ns-1 half\nturns 3\nwait 30\na expect-end\ns-1 expect-flood\ns-1 expect-end");
}

// A server that leaves sends its clients away itself. Its unread lines and theirs must be passed on as well.
TEST_CASE_METHOD(SingleEndpointFixture, "an endpoint that leaves loses no line in either direction") {
  Play(kEstablishSession);
  Play(R"(discovery send {"revision":2,"members":[{"id":"s-1","phase":"draining"}]})");
  SECTION("its own lines") {
    Play("turns 0\ns-1 flood 300\ns-1 send MOVE\ns-1 half\nturns 3\na expect-all-moved");
  }
  SECTION("its own lines, for a slow client") {
    Play("s-1 flood 2000\ns-1 send MOVE\ns-1 half\nwait 500\na expect-all-moved");
  }
  SECTION("its client's lines") {
    Play(
        "turns 0\na flood 300\ns-1 send MOVE\ns-1 half\nturns 3\nwait 30\na expect MOVE\na expect-end\ns-1 "
        "expect-flood");
  }
}

// The balancer migrates clients of an overloaded endpoint in the middle of a turn, when what arrived for
// others of them has not been read.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "clients that the balancer migrates first get all lines that lie unread") {
  constexpr int kClients = 12, kLinesPerRound = 60, kMaxRounds = 10;
  const std::string text(3000, '.');
  for (int k = 1; k <= kClients; ++k) {
    Play(fmt::format("c{0} send OPEN {0} k c=watch,d=2000\ns-1#{0} expect OPEN {0} k*", k));
    Play(fmt::format("s-1#{0} send UP r\nc{0} expect UP r", k));
  }
  Play("s-1 load 1.5\nturns 0");  // The next probe shows the overload.
  int lines = 0;
  for (int round = 0; round < kMaxRounds && Counts().migrated == 0; ++round) {
    for (const int end = lines + kLinesPerRound; lines < end; ++lines) {
      for (int k = 1; k <= kClients; ++k) Play(fmt::format("s-1#{} send M {} {}", k, lines, text));
    }
    Play("stall 300 s-1 load 1.5");
    for (int turn = 0; turn < 10; ++turn) Play("turn");  // Not enough to read everything.
  }
  REQUIRE(Counts().migrated > 0);
  for (int k = 1; k <= kClients; ++k) {
    for (int line = 0; line < lines; ++line) Play(fmt::format("c{} expect M {} {}", k, line, text));
  }
}

// A failed write hid what the endpoint had sent before it reset the connection.
TEST_CASE_METHOD(SingleEndpointFixture, "the last lines before an endpoint's reset reach the client") {
  Play(kEstablishSession);
  const std::string line(40'000, 'x');  // More than one turn reads.
  Play("turns 0");
  SECTION("nothing else happens") {}
  SECTION("a write to it fails first") { Play("a send M 1 x"); }
  Play("s-1 send " + line + "\ns-1 reset\nturns 3\na expect " + line + "\na expect-reset");
}

// A client that read slowly was cut off 2.4 s after its migration, without MOVE.
TEST_CASE_METHOD(SingleEndpointFixture, "a migrated client that reads slowly gets MOVE as long as it reads") {
  Play(kEstablishSession);
  Play("s-1 flood 12000\ndrain-call\nwait 3500");
  for (int k = 0; k < 5; ++k) Play("a read 100000\nwait 1000");
  Play("a expect-moved");
}

// An Upstream that has finished an established attempt with 8 MB of output.
struct FinishedAttempt : IgnoringEvents {
  FinishedAttempt() {
    upstream.ApplyUpdate({1, true, {{.id = "s-1", .address = endpoint.address, .locality = ""}}});
    const SlotId attempt = upstream.Open({}, 0, {"OPEN 1 k d=", "", true, std::chrono::seconds(1)});
    while (!peer.socket) {
      loop.Poll();
      peer.socket = NonBlocking(endpoint.Accept());
    }
    peer.Send("UP r1\r\n");
    Turns();
    upstream.Find(attempt)->Write({std::string(kOutputSize, 'x')});
    upstream.Finish(attempt);
  }
  void Turns() {
    for (int k = 0; k < 20; ++k) loop.Poll();
  }
  // The endpoint reads `size` bytes, and the clock advances.
  void Step(std::size_t size, Micros duration) {
    peer.ReadAtMost(size);
    loop.clock.Advance(duration);
    Turns();
  }
  static constexpr std::size_t kOutputSize = std::size_t{8} << 20;

  ListeningSocket endpoint;
  LoopbackPeer peer;
  EventLoop loop{Clock::Mode::kManual};
  Counters counters;
  Upstream upstream{loop, *this, counters, {}};
};

// An endpoint that read slowly was cut off 2.4 s after its client's migration, though not its client.
TEST_CASE_METHOD(FinishedAttempt,
                 "an endpoint gets the rest of its lines as long as it reads, and no longer") {
  constexpr Micros kPause = std::chrono::milliseconds(700);
  constexpr std::size_t kPart = std::size_t{512} << 10;
  SECTION("it reads") {
    for (int k = 0; k < 10; ++k) Step(kPart, kPause);
    CHECK(upstream.HasUnsentOutput());
    while (!peer.ended) Step(kOutputSize, Micros(1));
    CHECK(peer.input.ends_with(std::string(kOutputSize, 'x')));
    CHECK_FALSE(peer.reset);
  }
  SECTION("it reads nothing") {
    for (int k = 0; k < 5; ++k) Step(0, kPause);
    CHECK(upstream.LingeringCount() == 0);
  }
}

}  // namespace
}  // namespace stoatrun
