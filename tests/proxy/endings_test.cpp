// The instants in which something ends and something else is still owed: docs/design/endings.md has a row for
// each. The language is described in fixture.h.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "proxy/downstream.h"
#include "proxy/fleet_client_recorder.h"
#include "proxy/loopback_fixture.h"
#include "proxy/upstream.h"

namespace stoatrun {
namespace {

constexpr const char* kDrained =
    R"(discovery send {"revision":2,"members":[{"id":"s-1","phase":"draining"}]})";
constexpr const char* kReady =
    R"(discovery send {"revision":3,"members":[{"id":"s-1","phase":"ready","up_since_ms":1999900}]})";

// A listening socket of the test's own.
struct Door {
  Door() {
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&at), size) == 0);
    REQUIRE(listen(fd, 64) == 0);
    getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size);
    address = "127.0.0.1:" + std::to_string(ntohs(at.sin_port));
  }
  ~Door() { close(fd); }
  Door(const Door&) = delete;
  Door& operator=(const Door&) = delete;
  int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  std::string address;
};

// ---- a client that leaves while its request waits ----

TEST_CASE("a request whose client has left is not sent on, wherever it waits and whatever lies behind it") {
  const std::string way = GENERATE("close", "half", "reset");
  const std::string behind = GENERATE("nothing", "part of a line", "a full buffer");
  const std::string place = GENERATE("queue", "between attempts", "connecting", "budget");
  INFO(way << ", " << behind << ", " << place);
  FleetClientRecorder fleet;
  LoopbackFixture fixture({"s-1"}, {.fleet = &fleet});
  if (place == "queue") fixture.Play(kDrained);
  if (place == "budget") {
    fleet.slow_start_sends = 0;
    fixture.Play(kReady);
  }
  if (place == "connecting") fixture.Play("s-1 full");
  if (behind == "a full buffer") {
    fixture.Play("a both OPEN 1 k c=watch,d=2000 | M 1 " + std::string(20'000, 'x'));
  } else {
    fixture.Play("a send OPEN 1 k c=watch,d=2000");
  }
  if (behind == "part of a line") fixture.Play("a raw M 1 par");
  if (place == "between attempts") fixture.Play("s-1 expect OPEN 1 k*\ns-1 send BUSY\ns-1 expect-end");
  fixture.Play("wait 30\na " + way);
  fixture.Play("wait 150");  // Half of the time after which nothing may be sent.
  CHECK(fixture.Counts().client_left == 1);
  CHECK(fixture.ProxyUnderTest().SessionCount() == 0);
  const auto attempts = fixture.Counts().legs;
  fleet.slow_start_sends = 100;
  if (place == "queue") fixture.Play(kReady);
  fixture.Play("wait 2000");
  CHECK(fixture.Counts().legs == attempts);
  fixture.Play("s-1 legs " + std::string(place == "between attempts" ? "1" : "0"));
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "an attempt that comes up in the turn in which its client's end lies unread sends nothing") {
  const std::string way = GENERATE("close", "half", "reset");
  Play("turns 0\na send OPEN 1 k c=watch,d=2000,at=s-1");
  while (Counts().legs == 0) Play("turn");
  // The connection is up in the kernel, and the loop has told of neither.
  Play("a " + way + "\nturns 3\nwait 20\ns-1 legs 0");
  CHECK(Counts().client_left == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "the answer of one that left by half is ERR, at once") {
  Play("s-1 full\na both OPEN 1 k c=watch,d=2000 | M 1 " + std::string(20'000, 'x'));
  Play("a half\nwait 110\na expect ERR\na expect-end");
}

// ---- a break that nothing read or written would tell of ----

// Reading is held back while the other side takes nothing: a reset was then seen when that side read again.
TEST_CASE_METHOD(SingleEndpointFixture, "a reset is noticed while reading is held back") {
  Play(kEstablishSession);
  SECTION("the client's") {
    Play("a flood 12000\na reset\nwait 150");
    CHECK(Counts().client_left == 1);
  }
  SECTION("the host's") {
    Play("s-1 flood 12000\ns-1 reset\nwait 150");
    CHECK(Counts().legs_cut == 1);
  }
  CHECK(ProxyUnderTest().SessionCount() == 0);
}

// ---- attempts ----

// What was never written whole has never run, and may be tried again whatever its class.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a break tells by the first line's last byte whether the attempt may have run") {
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
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a look on a connection that was closed at that moment is taken on a new one") {
  Play(kEstablishSession);
  // Both lie in sockets when the turn begins; the client's is served first, and asks.
  Play("wait 4000\nb raw OPEN 2 k c=watch\nwait 1500\nturns 0\ns-1 idle-end\nb send ,d=2000\nturns 3");
  Play("s-1#2 expect OPEN 2 k*");
  CHECK(Counts().probes_failed == 0);
}

// A reset just before the line is written: it was counted as sent, and a class that may not run twice not
// tried again.
TEST_CASE("a line whose writing fails has not been sent") {
  struct Cut : UpstreamEvents {
    int listener = -1;
    std::optional<AttemptEnd> end;
    bool sent = false;
    void OnAttemptConnected(SlotId /*owner*/) override {
      const int fd = accept(listener, nullptr, nullptr);
      const linger hard{1, 0};
      setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
      close(fd);
    }
    void OnAttemptEstablished(SlotId /*owner*/, std::string_view /*line*/) override {}
    void OnAttemptSent(SlotId /*owner*/) override { sent = true; }
    void OnAttemptEnded(SlotId /*owner*/, AttemptEnd how, std::string_view /*line*/) override { end = how; }
    void OnAttemptBytes(SlotId /*owner*/) override {}
    void OnAttemptFinished(SlotId /*owner*/, ConnectionEnd /*how*/) override {}
    void OnAttemptWritable(SlotId /*owner*/) override {}
    void OnProbeCompleted(EndpointIndex /*host*/, bool /*ok*/, std::string_view /*report*/) override {}
  } cut;
  const Door door;
  cut.listener = door.fd;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Upstream upstream(loop, cut, counters, {});
  upstream.ApplyUpdate({1, true, {{.id = "s-1", .address = door.address, .locality = ""}}});
  upstream.Open({}, 0, {"OPEN 1 k d=", "", true, Micros(1'000'000)});
  for (int k = 0; k < 1'000'000 && !cut.end; ++k) loop.Poll();
  CHECK(cut.end == AttemptEnd::kNotConnected);
  CHECK_FALSE(cut.sent);
}

// It was sent with a wait of a millisecond, to a host that works for nobody then.
TEST_CASE("an attempt that comes up with the end of its time sends nothing") {
  struct Late : UpstreamEvents {
    std::optional<AttemptEnd> end;
    void OnAttemptEstablished(SlotId /*owner*/, std::string_view /*line*/) override {}
    void OnAttemptEnded(SlotId /*owner*/, AttemptEnd how, std::string_view /*line*/) override { end = how; }
    void OnAttemptBytes(SlotId /*owner*/) override {}
    void OnAttemptFinished(SlotId /*owner*/, ConnectionEnd /*how*/) override {}
    void OnAttemptWritable(SlotId /*owner*/) override {}
    void OnProbeCompleted(EndpointIndex /*host*/, bool /*ok*/, std::string_view /*report*/) override {}
  } late;
  const Door door;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Upstream upstream(loop, late, counters, {});
  upstream.ApplyUpdate({1, true, {{.id = "s-1", .address = door.address, .locality = ""}}});
  upstream.Open({}, 0, {"OPEN 1 k d=", "", true, Micros(100'000)});
  int fd = -1;
  while ((fd = accept(door.fd, nullptr, nullptr)) < 0) continue;  // Up, and not told yet.
  loop.clock.Advance(std::chrono::milliseconds(100));
  for (int k = 0; k < 3; ++k) loop.Poll();
  CHECK(late.end == AttemptEnd::kNotConnected);
  std::array<char, 16> sent{};
  CHECK(recv(fd, sent.data(), sent.size(), 0) <= 0);
  close(fd);
}

// One kept connection for each of ninety hosts would take the descriptors that clients need.
TEST_CASE("of the connections of probes a bounded number is kept, however many hosts there are") {
  struct Asked : UpstreamEvents {
    int answers = 0;
    void OnAttemptEstablished(SlotId /*owner*/, std::string_view /*line*/) override {}
    void OnAttemptEnded(SlotId /*owner*/, AttemptEnd /*how*/, std::string_view /*line*/) override {}
    void OnAttemptBytes(SlotId /*owner*/) override {}
    void OnAttemptFinished(SlotId /*owner*/, ConnectionEnd /*how*/) override {}
    void OnAttemptWritable(SlotId /*owner*/) override {}
    void OnProbeCompleted(EndpointIndex /*host*/, bool ok, std::string_view /*report*/) override {
      answers += ok ? 1 : 0;
    }
  } asked;
  const Door door;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Upstream upstream(loop, asked, counters, {});
  EndpointUpdate list{1, true, {}};
  for (int k = 0; k < 90; ++k) {
    list.entries.push_back({.id = "s-" + std::to_string(k), .address = door.address, .locality = ""});
  }
  upstream.ApplyUpdate(list);
  std::vector<int> open;
  for (int round = 1; round <= 3; ++round) {
    for (EndpointIndex h = 0; h < 90; ++h) {
      upstream.Probe(h);
      while (asked.answers < static_cast<int>(round * 90 - 89 + h)) {
        loop.Poll();
        if (const int fd = accept4(door.fd, nullptr, nullptr, SOCK_NONBLOCK); fd >= 0) open.push_back(fd);
        std::erase_if(open, [](int fd) {
          std::array<char, 64> asks{};
          const ssize_t n = recv(fd, asks.data(), asks.size(), 0);
          if (n > 0) CHECK(send(fd, "PONG x0=0.1\r\n", 13, MSG_NOSIGNAL) == 13);
          if (n == 0) close(fd);
          return n == 0;
        });
      }
    }
  }
  CHECK((open.size() >= 16 && open.size() <= 33));  // The last one's end may be on its way.
  CHECK(counters.probes_failed == 0);
  for (const int fd : open) close(fd);
}

// ---- answers in pieces ----

struct FirstWord {
  std::string line;
  std::string expect;  // Of the client, once the line is whole; empty: another attempt follows.
};

TEST_CASE("a host's first line means the same however it is cut, and nothing before its end") {
  const FirstWord word = GENERATE(FirstWord{"UP r1", "UP r1"}, FirstWord{"BYE inflight=7,x0=0.2", "BYE*"},
                                  FirstWord{"MOVE", ""}, FirstWord{"ERR", ""}, FirstWord{"BUSY x0=0.9", ""});
  const std::string end = GENERATE("in pieces", "close", "reset");
  for (std::size_t cut = 0; cut <= word.line.size(); ++cut) {
    if (word.line[cut] == ' ') continue;  // A blank begins no step's text.
    INFO(word.line << " cut at " << cut << ", " << end);
    LoopbackFixture fixture({"s-1"});
    fixture.Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\ns-1 raw " + word.line.substr(0, cut) +
                 "\nwait 20");
    CHECK(fixture.ProxyUnderTest().SessionCount() == 1);
    if (end == "in pieces") {
      fixture.Play("s-1 send " + word.line.substr(cut));
      if (!word.expect.empty()) {
        fixture.Play("a expect " + word.expect);
        continue;
      }
    } else {
      fixture.Play("s-1 " + end);
      CHECK(fixture.Counts().legs_cut == 1);  // It may have run.
    }
    // What a failed attempt says later is nobody's; the client's answer is that of the next.
    if (end == "in pieces") fixture.Play("wait 5\ns-1 send UP late");
    fixture.Play("wait 1000\ns-1#2 expect OPEN 1 k*\ns-1#2 send UP r2\na expect UP r2");
  }
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "an answer without an end is an error before UP, and goes on in its pieces after it") {
  const std::string endless(4096, 'x');
  SECTION("before") {
    Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\ns-1 raw " + endless + "\ns-1 expect-end");
    CHECK(Counts().legs_error == 1);
  }
  SECTION("after") {
    Play(kEstablishSession);
    Play("s-1 raw " + endless + "\ns-1 send y\na expect " + endless + "y");
  }
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "lines that come in the turn of the host's end, or with its UP, are all passed on") {
  Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\nturns 0\ns-1 both UP r1 | M 1 x");
  Play("s-1 raw M 2 half\ns-1 close\nturns 3\na expect UP r1\na expect M 1 x\na expect M 2 half");
  CHECK(Counts().legs_cut == 1);
}

// ---- the planned end ----

// Closed with the process, its request would be answered by a reset.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a request on a resting connection in the moment of the planned end is refused in order") {
  const std::string rests = GENERATE("a send PING\na expect PONG", "a raw OPEN 1 k", "a raw");
  Play(rests + "\nwait 300\nturns 0\ndrain\nwait 5\nturns 3");
  Play("a send OPEN 1 k c=watch,d=2000\na expect BUSY\na expect-end\ns-1 legs 0\na close\nwait 510\nstopped");
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "a line that comes in pieces is served in the planned end while others wait") {
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

// One of those that rest has asked, unread as yet, and room is made for it: others that were to be ended are
// gone.
TEST_CASE("a planned end ends those that rest, though room is made among them meanwhile") {
  struct Taken : DownstreamEvents {
    int opened = 0;
    std::optional<OpenRequestError> Validate(const OpenRequest& /*request*/) override { return std::nullopt; }
    SlotId OnOpen(SlotId /*client*/, const OpenRequest& /*head*/) override { return ++opened, SlotId{}; }
    void OnClientBytes(SlotId /*owner*/) override {}
    void OnClientEnd(SlotId /*owner*/, ConnectionEnd /*end*/) override {}
    void OnClientWritable(SlotId /*owner*/) override {}
  } taken;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Downstream downstream(loop, taken, counters, 96);
  downstream.Listen(*Address::Parse("127.0.0.1:0"));
  const auto address = Address::Parse("127.0.0.1:" + std::to_string(downstream.Port()));
  std::vector<int> callers;
  for (int k = 0; k < 48; ++k) {  // As many as there is room for.
    callers.push_back(socket(AF_INET, SOCK_STREAM, 0));
    REQUIRE(connect(callers.back(), reinterpret_cast<const sockaddr*>(&address->raw), sizeof address->raw) ==
            0);
    loop.Poll();
  }
  loop.clock.Advance(std::chrono::milliseconds(300));
  const std::string_view line = "OPEN 1 k c=watch,d=2000\r\n";
  CHECK(send(callers.front(), line.data(), line.size(), 0) == static_cast<ssize_t>(line.size()));
  downstream.EndIdle(false);
  CHECK(taken.opened == 1);
  CHECK(counters.crowded_out == 1);
  for (std::size_t k = 1; k < callers.size(); ++k) {
    std::array<char, 16> answer{};
    CHECK(recv(callers[k], answer.data(), answer.size(), 0) >= 5);
  }
  for (const int fd : callers) close(fd);
}

// One turn took 64 of the queue; who stood behind was reset with the listener.
TEST_CASE_METHOD(SingleEndpointFixture, "all who wait in the queue when the taking ends are answered") {
  Play("drain\nwait 495\nturns 0");
  for (int k = 0; k < 400; ++k)
    Play("q" + std::to_string(k) + " send OPEN q" + std::to_string(k) + " k c=watch,d=900");
  Play("turns 3\nwait 5\nwait 1800");
  for (int k = 0; k < 400; ++k) Play("q" + std::to_string(k) + " answered");
}

#ifndef __SANITIZE_ADDRESS__  // As the test of `exhaust` in relay_test.cpp.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "who waits in the queue while no descriptor is left is told to come again at the end") {
  Play("drain\nwait 495\nturns 0");
  for (int k = 0; k < 70; ++k) {
    const std::string q = "q" + std::to_string(k);
    Play(q + " send OPEN " + q + " k c=watch,d=900");
    if (k % 2 == 0) Play(q + " send M 1 " + std::string(6000, 'x'));
  }
  Play("exhaust z wait 5\nturns 3");
  for (int k = 0; k < 70; ++k)
    Play("q" + std::to_string(k) + " expect BUSY\nq" + std::to_string(k) + " expect-end");
}
#endif

TEST_CASE_METHOD(SingleEndpointFixture,
                 "what waits at the planned end is answered, and its client may send on without a reset") {
  Play(kEstablishSession);
  Play("drain\nwait 480\nb send OPEN 2 k c=watch,d=2000\ns-1#2 expect OPEN 2 k*\nwait 1775");
  Play(
      "b send M 1 x\nb expect ERR\nb expect-end\na expect MOVE\na expect-end\na close\nb close\nwait "
      "300\nstopped");
}

// A client that reads late is owed the rest of its lines.
TEST_CASE_METHOD(SingleEndpointFixture, "the planned end waits for what a client has not read yet") {
  Play(kEstablishSession);
  Play("s-1 flood 12000\ndrain\nwait 1900\na expect-moved\na close\nwait 300\nstopped");
  CHECK(Counts().moved == 1);
}

TEST_CASE_METHOD(SingleEndpointFixture, "a planned end keeps its times whatever else happens in it") {
  Play(kEstablishSession);
  const std::string moment =
      GENERATE("a hanging host", "discovery down", "a reload", "a drain by call", "again");
  INFO(moment);
  Play("b send OPEN 2 k c=watch,d=2000\ns-1#2 expect OPEN 2 k*\na send M 1 x");
  if (moment == "discovery down") Play("discovery refuse\ndiscovery close");
  if (moment == "a reload") Play("reload discovery2");
  if (moment == "a drain by call") Play("drain-call");
  Play("drain\nwait 100");
  if (moment == "a reload") Play("reload discovery");
  if (moment == "a drain by call") Play("activate");
  Play("c send OPEN 3 k c=watch,d=500\nwait 1000");
  if (moment == "again") Play("drain");
  Play("wait 1000\na expect MOVE\na expect-end\nb answered\nc answered\na close\nwait 400\nstopped");
}

// ---- crowds ----

// Bad callers are closed to make room: their unread bytes must not cost anybody an answer.
TEST_CASE("beside a thousand that send much and go, every client is answered, and so are those that stay") {
  LoopbackFixture fixture({"s-1"}, {.descriptor_limit = 96});
  for (int k = 0; k < 1000; ++k) {
    const std::string n = std::to_string(k);
    fixture.Play("turns " + std::string(k % 100 == 99 ? "3" : "0"));
    if (k % 100 == 50) fixture.Play("good" + n + " send OPEN g" + n + " k c=watch,d=2000");
    if (k % 3 == 0) {
      fixture.Play("stay" + n + " raw " + std::string(k % 2 == 0 ? 2000 : 30'000, 'k'));
    } else {
      fixture.Play("bad" + n + " raw " + std::string(9000, 'k') + "\nbad" + n +
                   (k % 3 == 1 ? " close" : " reset"));
    }
  }
  fixture.Play("turns 3\nwait 2100");
  for (int k = 0; k < 1000; ++k) {
    const std::string n = std::to_string(k);
    if (k % 100 == 50) fixture.Play("good" + n + " answered");
    if (k % 3 == 0) fixture.Play("stay" + n + " expect ERR\nstay" + n + " expect-end");
  }
}

}  // namespace
}  // namespace stoatrun
