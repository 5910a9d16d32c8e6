// Listening sockets inherited from the platform, and the environment variables that configure them.
#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdlib>
#include <optional>
#include <string>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/unique_fd.h"
#include "config/config.h"
#include "proxy/downstream.h"
#include "proxy/loopback_fixture.h"
#include "proxy/loopback_peer.h"

namespace stoatrun {
namespace {

// Returns a blocking socket that listens on any port. The proxy must make it non-blocking.
UniqueFd ListeningSocket() {
  UniqueFd listener(socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = LoopbackAddress(0);
  REQUIRE(bind(listener.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  REQUIRE(listen(listener.Get(), 16) == 0);
  return listener;
}

int PortOf(const UniqueFd& listener) {
  sockaddr_in address{};
  socklen_t size = sizeof address;
  getsockname(listener.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  return ntohs(address.sin_port);
}

// The platform's descriptor of the socket that the proxy inherits.
struct PlatformSocket {
  const UniqueFd listener = ListeningSocket();
};

class InheritedListenerFixture : protected PlatformSocket, public LoopbackFixture {
 public:
  InheritedListenerFixture() : LoopbackFixture({"s-1"}, {.accept_fd = listener.Get()}) {}
};

TEST_CASE_METHOD(InheritedListenerFixture,
                 "an inherited listening socket is served, and its queue is left to the next process") {
  CHECK(ProxyUnderTest().Port() == PortOf(listener));
  Play(kEstablishSession);
  Play("drain\nwait 50");
  // A client that connects after the start of the graceful shutdown stays in the queue for the next process.
  const UniqueFd late = ConnectToLoopback(PortOf(listener));
  Play("wait 50");
  fcntl(listener.Get(), F_SETFL, O_NONBLOCK);
  const UniqueFd accepted(accept(listener.Get(), nullptr, nullptr));
  CHECK(accepted);
  Play("wait 2500\na expect MOVE\na expect-end");
}

// The next process is already serving. Delaying the migrations would only make all clients reconnect to it at
// once.
TEST_CASE_METHOD(InheritedListenerFixture,
                 "with an inherited socket a graceful shutdown migrates sessions from its start, evenly") {
  Play(kEstablishSession);
  Play(R"(
    b send OPEN 2 k c=watch,d=2000
    s-1#2 expect OPEN 2 k*
    s-1#2 send UP r2
    b expect UP r2
    drain
    wait 100
  )");
  CHECK(Counts().migrated == 0);
  Play("wait 900");  // Two within 2.1 s: one by half of that time.
  CHECK(Counts().migrated == 1);
  Play("wait 1150");
  CHECK(Counts().migrated == 2);
}

// A client that has just been answered is furthest from its next line, so it can reconnect elsewhere before
// it sends that.
TEST_CASE_METHOD(
    InheritedListenerFixture,
    "a graceful shutdown migrates the latest answered first, those with a request in flight last") {
  Play(kEstablishSession);
  Play(R"(
    b send OPEN 2 k c=watch,d=2000
    s-1#2 expect OPEN 2 k*
    s-1#2 send UP r2
    b expect UP r2
    wait 100
    a send M 1 x
    s-1 expect M 1 x
    b send M 2 x
    s-1#2 expect M 2 x
    s-1#2 send M 2 y
    b expect M 2 y
    drain
    wait 1100
    b expect MOVE
    b expect-end
  )");
  CHECK(Counts().migrated == 1);
  Play("s-1 send M 1 y\na expect M 1 y\nwait 1000\na expect MOVE");
}

TEST_CASE("a descriptor that is not a listening IPv4 TCP socket is rejected with its number") {
  EventLoop loop(Clock::Mode::kManual);
  Counters counters;
  struct IgnoreEvents : DownstreamEvents {
    std::optional<OpenRequestError> Validate(const OpenRequest& /*request*/) override { return std::nullopt; }
    SlotId OnOpen(SlotId client, const OpenRequest& /*request*/) override { return client; }
    void OnClientBytes(SlotId /*owner*/) override {}
    void OnClientEnd(SlotId /*owner*/, ConnectionEnd /*end*/) override {}
    void OnClientWritable(SlotId /*owner*/) override {}
  } events;
  Downstream downstream(loop, events, counters, 256);
  const int file = open("/dev/null", O_RDONLY);
  const int unbound = socket(AF_INET, SOCK_STREAM, 0);
  const int datagram = socket(AF_INET, SOCK_DGRAM, 0);
  const auto check_rejected = [&](int fd, const std::string& reason) {
    INFO(reason);
    REQUIRE_THROWS_AS(downstream.AdoptListener(fd), ConfigError);
    try {
      downstream.AdoptListener(fd);
    } catch (const ConfigError& e) {
      CHECK_THAT(e.what(),
                 Catch::Contains("PROXY_ACCEPT_FD: descriptor " + std::to_string(fd) + " " + reason));
    }
  };
  check_rejected(file, "is not a socket");
  check_rejected(unbound, "does not listen");
  check_rejected(datagram, "is not a TCP socket");
  check_rejected(987, "is not open");
  CHECK_FALSE(downstream.IsInherited());
  for (const int fd : {file, unbound, datagram}) close(fd);
}

TEST_CASE("PROXY_ACCEPT_FD and PROXY_MANAGEMENT are read, and an invalid value is an error that names them") {
  char path[] = "/tmp/stoatrun-config-XXXXXX";
  const int fd = mkstemp(path);
  const std::string text =
      R"({"name":"n0","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","management":"127.0.0.1:3","seed":"7",
          "settings":{"classes":[{"name":"watch","effect":"idempotent","target":500000}]}})";
  REQUIRE(write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  close(fd);
  setenv("PROXY_CONFIG", path, 1);
  Config config = LoadConfig(LoadAt::kStart);
  CHECK(config.management_text == "127.0.0.1:3");
  CHECK_FALSE(config.accept_fd);
  setenv("PROXY_MANAGEMENT", "127.0.0.1:9", 1);
  setenv("PROXY_ACCEPT_FD", "4", 1);
  config = LoadConfig(LoadAt::kStart);
  CHECK(config.management_text == "127.0.0.1:9");
  CHECK(config.accept_fd == 4);
  setenv("PROXY_ACCEPT_FD", "four", 1);
  CHECK_THROWS_WITH(LoadConfig(LoadAt::kStart),
                    Catch::Contains("PROXY_ACCEPT_FD") && Catch::Contains("'four'"));
  setenv("PROXY_ACCEPT_FD", "4", 1);
  setenv("PROXY_MANAGEMENT", "somewhere", 1);
  CHECK_THROWS_WITH(LoadConfig(LoadAt::kStart),
                    Catch::Contains("management") && Catch::Contains("somewhere"));
  for (const char* name : {"PROXY_CONFIG", "PROXY_MANAGEMENT", "PROXY_ACCEPT_FD"}) unsetenv(name);
  unlink(path);
}

}  // namespace
}  // namespace stoatrun
