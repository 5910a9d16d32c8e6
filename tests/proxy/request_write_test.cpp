// The time between the decision to send a request and its last byte on the wire: connections that come up
// late, requests that are written in part, and a process that is held up. What the decision relied on must
// still hold when the bytes are written.
#include <sys/socket.h>

#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/unique_fd.h"
#include "proxy/loopback_fixture.h"
#include "proxy/loopback_peer.h"
#include "proxy/upstream.h"
#include "proxy/upstream_fixture.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

// More than the socket buffers of both sides hold.
constexpr std::size_t kOversizedRequest = std::size_t{32} << 20;

// An Upstream with one endpoint, whose attempts the test accepts.
struct WriteFixture : IgnoringEvents {
  WriteFixture() { Update(EndpointState::kReady); }

  void Update(EndpointState state) {
    upstream.ApplyUpdate(
        {++revision, true, {{.id = "s-1", .address = endpoint.address, .locality = "", .state = state}}});
  }
  // Opens an attempt that must be written within 100 ms.
  SlotId Open(std::string_view request = "OPEN 1 k d=") {
    AttemptRequest attempt{request, "", true, Micros(milliseconds(1000))};
    attempt.send_before = loop.Now() + milliseconds(100);
    return upstream.Open({}, 0, attempt);
  }
  // Accepts the connection of an attempt, which has no event of it yet.
  UniqueFd AwaitConnection() const {
    UniqueFd accepted;
    while (!accepted) accepted = endpoint.Accept();
    return NonBlocking(std::move(accepted));
  }
  // Runs turns until no more arrives at `connection`. Returns what has arrived.
  std::string Receive(const UniqueFd& connection) {
    std::string received;
    std::vector<char> buffer(std::size_t{1} << 20);
    for (int idle_turns = 0; idle_turns < 20; ++idle_turns) {
      loop.Poll();
      for (ssize_t size = 0; (size = recv(connection.Get(), buffer.data(), buffer.size(), 0)) > 0;) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
        idle_turns = 0;
      }
    }
    return received;
  }

  void OnBeforeRequestWrite(SlotId /*owner*/) override {
    ++writes;
    if (before_write) before_write();
  }
  void OnAttemptSent(SlotId /*owner*/) override { ++sent; }
  void OnAttemptEnded(SlotId /*owner*/, AttemptEnd end, std::string_view /*line*/) override {
    ends.push_back(end);
  }

  const ListeningSocket endpoint;
  EventLoop loop{Clock::Mode::kManual};
  Counters counters;
  Upstream upstream{loop, *this, counters, {}};
  std::uint64_t revision = 0;
  std::function<void()> before_write;
  int writes = 0, sent = 0;
  std::vector<AttemptEnd> ends;
};

// Guards against a repeat that is written after its deduplication window because its connection came up late:
// the endpoint then ran the request a second time.
TEST_CASE_METHOD(WriteFixture, "a request whose connection comes up after its time is not written") {
  Open();
  const UniqueFd connection = AwaitConnection();
  loop.clock.Advance(milliseconds(100));
  CHECK(Receive(connection).empty());
  CHECK(ends == std::vector{AttemptEnd::kTooLate});
  CHECK(sent == 0);
}

// Guards against a repeat that is written after its deduplication window because the process did not run
// between the start of the event loop's turn and the write.
TEST_CASE_METHOD(WriteFixture, "a request is not written if the process was held up in the turn before it") {
  before_write = [this] { loop.clock.Advance(milliseconds(150)); };
  Open();
  const UniqueFd connection = AwaitConnection();
  CHECK(Receive(connection).empty());
  CHECK(ends == std::vector{AttemptEnd::kTooLate});
  CHECK(sent == 0);
}

// Guards against a request whose last bytes are written after its time, or after its client has left.
TEST_CASE_METHOD(WriteFixture, "a request that was written in part is completed in time or not at all") {
  const std::string request(kOversizedRequest, 'x');
  const SlotId attempt = Open(request);
  const UniqueFd connection = AwaitConnection();
  for (int k = 0; k < 20; ++k) loop.Poll();
  REQUIRE(writes > 0);
  REQUIRE(sent == 0);
  SECTION("in time") {
    CHECK(Receive(connection).ends_with("\r\n"));
    CHECK(sent == 1);
  }
  SECTION("after its time") {
    loop.clock.Advance(milliseconds(100));
    CHECK(Receive(connection).size() < kOversizedRequest);
    CHECK(ends == std::vector{AttemptEnd::kTooLate});
  }
  SECTION("held up in the turn of the write") {
    before_write = [this] { loop.clock.Advance(milliseconds(150)); };
    CHECK(Receive(connection).size() < kOversizedRequest);
    CHECK(ends == std::vector{AttemptEnd::kTooLate});
  }
  SECTION("after its client has left") {
    before_write = [&] { upstream.Close(attempt); };
    CHECK(Receive(connection).size() < kOversizedRequest);
    CHECK(sent == 0);
  }
}

// Guards against requests to an endpoint that drains: a connection came up, or the rest of a line was
// written, in the time for which the process was held up at the end of the grace time.
TEST_CASE_METHOD(WriteFixture,
                 "nothing is written to an endpoint from the turn in which its drain is known") {
  const EndpointState state = GENERATE(EndpointState::kDraining, EndpointState::kGone);
  SECTION("before the connection is up") {
    Open();
    const UniqueFd connection = AwaitConnection();
    SECTION("known before the turn") { Update(state); }
    SECTION("known as the request is about to be written") {
      before_write = [&] { Update(state); };
    }
    CHECK(Receive(connection).empty());
  }
  SECTION("after a part of the request") {
    const std::string request(kOversizedRequest, 'x');
    Open(request);
    const UniqueFd connection = AwaitConnection();
    for (int k = 0; k < 20; ++k) loop.Poll();
    REQUIRE(sent == 0);
    Update(state);
    loop.Poll();
    loop.clock.Advance(milliseconds(1));  // Far less than the grace time.
    CHECK(Receive(connection).size() < kOversizedRequest);
  }
  CHECK(sent == 0);
  CHECK(ends == std::vector{AttemptEnd::kNotConnected});
}

// Guards against a client that can't resume its connection at the endpoint that holds it, as that drains.
TEST_CASE_METHOD(WriteFixture, "a connection is resumed at an endpoint that drains") {
  const EndpointState state = GENERATE(EndpointState::kDraining, EndpointState::kGone);
  AttemptRequest attempt{"OPEN 1 k at=s-1,d=", "", true, Micros(milliseconds(1000))};
  attempt.may_be_draining = true;
  upstream.Open({}, 0, attempt);
  const UniqueFd connection = AwaitConnection();
  Update(state);
  CHECK(Receive(connection).ends_with("\r\n"));
  CHECK(sent == 1);
}

// Guards against repeats that reach an endpoint after it has forgotten the idempotency key. The window of the
// class is 1 s.
TEST_CASE_METHOD(SingleEndpointFixture, "a deduplicated request is not repeated after its window") {
  Play("a send OPEN 1 k c=sync,d=2000\ns-1 expect OPEN 1 k*");
  SECTION("in time") {
    Play("wait 600\ns-1 send ERR\nwait 300\ns-1#2 expect OPEN 1 k*\ns-1#2 send UP r\na expect UP r");
  }
  SECTION("decided in time, and the connection comes up late") {
    Play("wait 600\ns-1 full\ns-1 send ERR\nwait 240");
    CHECK(Counts().attempts == 2);
    Play("wait 160\na expect BUSY*");
    CHECK(Counts().attempts_too_late == 1);
  }
}

}  // namespace
}  // namespace stoatrun
