// The listening socket: inherited from the platform, and its descriptor in the environment.
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

// A blocking socket that listens on any port: the proxy must make it non-blocking itself.
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

// Keeps the platform's own descriptor of the socket that the proxy inherits.
struct PlatformSocket {
  const UniqueFd listener = ListeningSocket();
};

class InheritedListenerFixture : protected PlatformSocket, public LoopbackFixture {
 public:
  InheritedListenerFixture() : LoopbackFixture({"s-1"}, {.accept_fd = dup(listener.Get())}) {}
};

TEST_CASE_METHOD(InheritedListenerFixture,
                 "an inherited listening socket is served, and its queue is left to the next process") {
  CHECK(ProxyUnderTest().Port() == PortOf(listener));
  Play(kEstablishSession);
  Play("drain\nwait 50");
  // A client that comes after the graceful shutdown began waits in the queue for the next process.
  const UniqueFd late = ConnectToLoopback(PortOf(listener));
  Play("wait 50");
  fcntl(listener.Get(), F_SETFL, O_NONBLOCK);
  const UniqueFd taken(accept(listener.Get(), nullptr, nullptr));
  CHECK(taken);
  Play("wait 2500\na expect MOVE\na expect-end");
}

// The next process serves already: those moved late would only crowd it later, and all at once.
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
  Play("wait 900");  // Two over 2.1 s: one by the middle.
  CHECK(Counts().migrated == 1);
  Play("wait 1150");
  CHECK(Counts().migrated == 2);
}

// A client that has just had its answer is furthest from its next line: it can be back elsewhere before then.
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
  struct Nobody : DownstreamEvents {
    std::optional<OpenRequestError> Validate(const OpenRequest& /*request*/) override { return std::nullopt; }
    SlotId OnOpen(SlotId client, const OpenRequest& /*head*/) override { return client; }
    void OnClientBytes(SlotId /*owner*/) override {}
    void OnClientEnd(SlotId /*owner*/, ConnectionEnd /*end*/) override {}
    void OnClientWritable(SlotId /*owner*/) override {}
  } nobody;
  Downstream downstream(loop, nobody, counters, 256);
  const int file = open("/dev/null", O_RDONLY);
  const int unbound = socket(AF_INET, SOCK_STREAM, 0);
  const int datagram = socket(AF_INET, SOCK_DGRAM, 0);
  const auto check_rejected = [&](int fd, const std::string& why) {
    INFO(why);
    REQUIRE_THROWS_AS(downstream.AdoptListener(fd), ConfigError);
    try {
      downstream.AdoptListener(fd);
    } catch (const ConfigError& e) {
      CHECK_THAT(e.what(), Catch::Contains("PROXY_ACCEPT_FD: descriptor " + std::to_string(fd) + " " + why));
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
