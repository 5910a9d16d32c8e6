// Attempts and probes: how they end, and endpoint answers that arrive in pieces. See docs/design/endings.md.
#include "proxy/upstream.h"

#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/unique_fd.h"
#include "proxy/loopback_fixture.h"
#include "proxy/loopback_peer.h"
#include "proxy/upstream_fixture.h"

namespace stoatrun {
namespace {

// A request that was not written completely has not run and may be retried, whatever its class.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "whether a broken attempt may have run depends on the last byte of its request line") {
  Play("turns 0\na send OPEN 1 k c=watch,d=2000,at=s-1");
  while (Counts().attempts == 0) Play("turn");
  SECTION("before the first byte") {
    Play("s-1 break\nturns 3\nwait 20");
    CHECK(Counts().attempts_connection_lost == 0);
    CHECK(Counts().attempts_not_connected == 1);
    CHECK(Counts().classes[0].forwards == 0);
  }
  SECTION("after the last byte") {
    Play("turns 3\ns-1 expect OPEN 1 k*\ns-1 reset\nwait 20");
    CHECK(Counts().attempts_connection_lost == 1);
    CHECK(Counts().classes[0].forwards == 1);
  }
}

// An idle connection that the endpoint closes must not count as a failed probe of the endpoint.
TEST_CASE_METHOD(SingleEndpointFixture,
                 "a probe on a connection that was closed at that moment is sent on a new one") {
  Play(kEstablishSession);
  // The close and the client's request are both readable when the turn begins. The request is handled first
  // and causes the probe.
  Play("wait 4000\nb raw OPEN 2 k c=watch\nwait 1500\nturns 0\ns-1 idle-end\nb send ,d=2000\nturns 3");
  Play("s-1#2 expect OPEN 2 k*");
  CHECK(Counts().probes_failed == 0);
}

// Guards against a request that counts as sent although its connection was reset just before the write:
// requests of a class that must not run twice were then not retried.
TEST_CASE("a request line whose write fails has not been sent") {
  const ListeningSocket endpoint;
  struct ResettingEvents : IgnoringEvents {
    explicit ResettingEvents(const ListeningSocket& accepting) : socket(accepting) {}
    void OnBeforeRequestWrite(SlotId /*owner*/) override {
      LoopbackPeer peer;
      peer.socket = socket.Accept();
      peer.Close(CloseMode::kReset);
    }
    void OnAttemptSent(SlotId /*owner*/) override { sent = true; }
    void OnAttemptEnded(SlotId /*owner*/, AttemptEnd how, std::string_view /*line*/) override { end = how; }
    const ListeningSocket& socket;
    std::optional<AttemptEnd> end;
    bool sent = false;
  } events(endpoint);
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Upstream upstream(loop, events, counters, {});
  upstream.ApplyUpdate({1, true, {{.id = "s-1", .address = endpoint.address, .locality = ""}}});
  upstream.Open({}, 0, {"OPEN 1 k d=", "", true, Micros(1'000'000)});
  for (int k = 0; k < 1'000'000 && !events.end; ++k) loop.Poll();
  CHECK(events.end == AttemptEnd::kNotConnected);
  CHECK_FALSE(events.sent);
}

// Guards against sending such a request with a timeout of 1 ms: the endpoint then did work whose result
// nobody received.
TEST_CASE("an attempt that connects as its timeout expires sends nothing") {
  struct RecordingEvents : IgnoringEvents {
    std::optional<AttemptEnd> end;
    void OnAttemptEnded(SlotId /*owner*/, AttemptEnd how, std::string_view /*line*/) override { end = how; }
  } events;
  const ListeningSocket endpoint;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Upstream upstream(loop, events, counters, {});
  upstream.ApplyUpdate({1, true, {{.id = "s-1", .address = endpoint.address, .locality = ""}}});
  upstream.Open({}, 0, {"OPEN 1 k d=", "", true, Micros(100'000)});
  UniqueFd accepted;
  while (!accepted) accepted = endpoint.Accept();  // Connected, but OnConnected has not run yet.
  loop.clock.Advance(std::chrono::milliseconds(100));
  for (int k = 0; k < 3; ++k) loop.Poll();
  CHECK(events.end == AttemptEnd::kNotConnected);
  std::array<char, 16> received{};
  CHECK(recv(accepted.Get(), received.data(), received.size(), 0) <= 0);
}

// Answers a probe that has arrived on the connection, if any. Returns false if the peer has closed it.
bool ServeProbe(const UniqueFd& connection) {
  std::array<char, 64> received{};
  const ssize_t n = recv(connection.Get(), received.data(), received.size(), 0);
  if (n > 0) CHECK(send(connection.Get(), "PONG x0=0.1\r\n", 13, MSG_NOSIGNAL) == 13);
  return n != 0;
}

// Without a bound, one idle connection for each of 90 endpoints would use up the descriptors needed by
// clients.
TEST_CASE("the number of idle probe connections is bounded, however many endpoints there are") {
  constexpr unsigned kEndpoints = 90, kRounds = 3;
  struct CountingEvents : IgnoringEvents {
    unsigned answers = 0;
    void OnProbeCompleted(EndpointIndex /*endpoint*/, bool succeeded, std::string_view /*report*/) override {
      answers += succeeded ? 1 : 0;
    }
  } events;
  const ListeningSocket endpoint;
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  Upstream upstream(loop, events, counters, {});
  EndpointUpdate update{1, true, {}};
  for (unsigned k = 0; k < kEndpoints; ++k) {
    update.entries.push_back({.id = "s-" + std::to_string(k), .address = endpoint.address, .locality = ""});
  }
  upstream.ApplyUpdate(update);
  std::vector<UniqueFd> connections;
  for (unsigned k = 0; k < kRounds * kEndpoints; ++k) {
    upstream.Probe(k % kEndpoints);
    while (events.answers <= k) {
      loop.Poll();
      if (UniqueFd accepted = endpoint.Accept()) connections.push_back(NonBlocking(std::move(accepted)));
      std::erase_if(connections, [](const UniqueFd& connection) { return !ServeProbe(connection); });
    }
  }
  // The proxy keeps 32 connections; the close of one more may not have arrived yet.
  CHECK((connections.size() >= 16 && connections.size() <= 33));
  CHECK(counters.probes_failed == 0);
}

struct FirstLine {
  std::string line;
  std::string client_line;  // Received by the client; empty: another attempt follows.
};

TEST_CASE("an endpoint's first line means the same however it is split, and nothing before its end") {
  const FirstLine first = GENERATE(FirstLine{"UP r1", "UP r1"}, FirstLine{"BYE inflight=7,x0=0.2", "BYE*"},
                                   FirstLine{"MOVE", ""}, FirstLine{"ERR", ""}, FirstLine{"BUSY x0=0.9", ""});
  const std::string end = GENERATE("in pieces", "close", "reset");
  for (std::size_t cut = 0; cut <= first.line.size(); ++cut) {
    if (first.line[cut] == ' ') continue;  // A step's argument cannot begin with a space.
    INFO(first.line << " cut at " << cut << ", " << end);
    LoopbackFixture fixture({"s-1"});
    fixture.Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\ns-1 raw " +
                 first.line.substr(0, cut) + "\nwait 20");
    CHECK(fixture.ProxyUnderTest().SessionCount() == 1);
    if (end == "in pieces") {
      fixture.Play("s-1 send " + first.line.substr(cut));
      if (!first.client_line.empty()) {
        fixture.Play("a expect " + first.client_line);
        continue;
      }
    } else {
      fixture.Play("s-1 " + end);
      CHECK(fixture.Counts().attempts_connection_lost == 1);  // The request may have run.
    }
    // Later lines of a failed attempt are discarded; the client receives the answer of the next attempt.
    if (end == "in pieces") fixture.Play("wait 5\ns-1 send UP late");
    fixture.Play("wait 1000\ns-1#2 expect OPEN 1 k*\ns-1#2 send UP r2\na expect UP r2");
  }
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "an endless line is an error before UP, and is forwarded in pieces after it") {
  const std::string endless(4096, 'x');
  SECTION("before") {
    Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\ns-1 raw " + endless + "\ns-1 expect-end");
    CHECK(Counts().attempts_failed == 1);
  }
  SECTION("after") {
    Play(kEstablishSession);
    Play("s-1 raw " + endless + "\ns-1 send y\na expect " + endless + "y");
  }
}

TEST_CASE_METHOD(SingleEndpointFixture,
                 "lines that come in the turn of the endpoint's end, or with its UP, are all forwarded") {
  Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\nturns 0\ns-1 both UP r1 | M 1 x");
  Play("s-1 raw M 2 half\ns-1 close\nturns 3\na expect UP r1\na expect M 1 x\na expect M 2 half");
  CHECK(Counts().attempts_connection_lost == 1);
}

}  // namespace
}  // namespace stoatrun
