// The admin server on loopback sockets, with a clock that only the test advances.
#include "admin/admin_server.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

// Records the calls; the response body holds the number of the call.
class RecordingHandler : public AdminHandler {
 public:
  AdminResponse OnCall(AdminCall call) override {
    calls.push_back(call);
    return {call == AdminCall::kReady && !ready ? 503 : 200, "call " + std::to_string(calls.size())};
  }
  std::vector<AdminCall> calls;
  bool ready = true;
};

// A non-blocking client socket on loopback.
class Client {
 public:
  explicit Client(int port) : fd_(socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
    fcntl(fd_, F_SETFL, O_NONBLOCK);
  }
  ~Client() { close(fd_); }
  Client(const Client&) = delete;
  Client& operator=(const Client&) = delete;
  void Send(std::string_view text) const {
    REQUIRE(send(fd_, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
  }
  void ShutdownWrite() const { shutdown(fd_, SHUT_WR); }
  // Reads all input that has arrived.
  void Read() {
    std::array<char, 4096> buffer{};
    for (;;) {
      const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
      if (size > 0) {
        received.append(buffer.data(), static_cast<std::size_t>(size));
        continue;
      }
      closed = closed || size == 0 || errno != EAGAIN;
      return;
    }
  }
  std::string received;
  bool closed = false;

 private:
  int fd_;
};

class AdminServerTest {
 public:
  AdminServerTest() : server_(loop_, handler_) { server_.Listen(*Address::Parse("127.0.0.1:0")); }
  // Polls the event loop until the server has closed the connection, for at most 2 s of real time. Returns
  // the input received.
  std::string AwaitResponse(Client& client) {
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(2);
    while (!client.closed && std::chrono::steady_clock::now() < deadline) {
      loop_.Poll();
      client.Read();
    }
    REQUIRE(client.closed);
    return client.received;
  }
  std::string Call(std::string_view request) {
    Client client(server_.Port());
    client.Send(request);
    return AwaitResponse(client);
  }
  void PollLoop(int times) {
    for (int k = 0; k < times; ++k) loop_.Poll();
  }

 protected:
  EventLoop loop_{Clock::Mode::kManual};
  RecordingHandler handler_;
  AdminServer server_;
};

TEST_CASE_METHOD(AdminServerTest,
                 "each request gets one response with its length, then the connection is closed") {
  const std::string ready = Call("GET /v1/readyz HTTP/1.1\r\nHost: relay\r\n\r\n");
  CHECK_THAT(ready, Catch::StartsWith("HTTP/1.1 200 OK\r\n"));
  CHECK_THAT(ready, Catch::Contains("Content-Length: 7\r\n") && Catch::Contains("Connection: close\r\n"));
  CHECK_THAT(ready, Catch::EndsWith("\r\n\r\ncall 1\n"));
  handler_.ready = false;
  CHECK_THAT(Call("GET /v1/readyz HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 503 "));
  CHECK_THAT(Call("POST /v1/relay/drain HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 200"));
  CHECK_THAT(Call("POST /v1/relay/activate HTTP/1.0\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200"));
  CHECK(handler_.calls ==
        std::vector{AdminCall::kReady, AdminCall::kReady, AdminCall::kDrain, AdminCall::kActivate});
  CHECK(server_.Counts().succeeded == 3);
}

TEST_CASE_METHOD(AdminServerTest,
                 "unknown paths, wrong methods, malformed and oversized requests are rejected") {
  CHECK_THAT(Call("GET /v1/nothing HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 404 "));
  const std::string method_not_allowed = Call("DELETE /v1/metrics HTTP/1.1\r\n\r\n");
  CHECK_THAT(method_not_allowed, Catch::StartsWith("HTTP/1.1 405 ") && Catch::Contains("Allow: GET\r\n"));
  CHECK_THAT(Call("garbage\r\n\r\n"), Catch::StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(Call("GET /v1/readyz HTTP/1.1\r\nX-Big: " + std::string(9000, 'x') + "\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(Call("GET /" + std::string(3000, 'p') + " HTTP/1.1\r\n\r\n"),
             Catch::StartsWith("HTTP/1.1 400 "));
  CHECK_THAT(
      Call("POST /v1/relay/drain HTTP/1.1\r\nContent-Length: 100000\r\n\r\n" + std::string(17000, 'b')),
      Catch::StartsWith("HTTP/1.1 413 "));
  CHECK(handler_.calls.empty());
  CHECK(server_.Counts().malformed == 4);
  CHECK(server_.Counts().rejected == 2);
  CHECK_THAT(Call("GET /v1/metrics HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200 "));
}

TEST_CASE_METHOD(AdminServerTest,
                 "a request in several segments is answered once complete, a pipelined second one never") {
  Client client(server_.Port());
  const std::string requests = "GET /v1/metrics HTTP/1.1\r\nHost: r\r\n\r\nGET /v1/readyz HTTP/1.1\r\n\r\n";
  for (const char byte : requests.substr(0, 20)) {
    client.Send(std::string(1, byte));
    PollLoop(2);
  }
  CHECK(handler_.calls.empty());
  client.Send(requests.substr(20));
  const std::string response = AwaitResponse(client);
  CHECK(handler_.calls == std::vector{AdminCall::kMetrics});
  CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
}

TEST_CASE_METHOD(AdminServerTest,
                 "incomplete requests time out, and are evicted in favour of a new connection") {
  std::vector<std::unique_ptr<Client>> incomplete;
  for (std::size_t k = 0; k < AdminServer::kMaxConnections; ++k) {
    incomplete.push_back(std::make_unique<Client>(server_.Port()));
    incomplete.back()->Send("GET /v1/rea");
  }
  PollLoop(20);
  CHECK_THAT(Call("GET /v1/readyz HTTP/1.1\r\n\r\n"), Catch::StartsWith("HTTP/1.1 200 "));
  CHECK(server_.Counts().evicted >= 1);
  CHECK(incomplete.front()->received.empty());
  loop_.clock.Advance(AdminServer::kRequestTimeout + milliseconds(1));
  for (auto& client : incomplete) AwaitResponse(*client);
  CHECK(server_.Counts().timed_out + server_.Counts().evicted == AdminServer::kMaxConnections);
}

TEST_CASE_METHOD(
    AdminServerTest,
    "a client that shuts down its sending side gets its response, or 400 if its head is incomplete") {
  Client complete(server_.Port());
  complete.Send("GET /v1/readyz HTTP/1.1\r\n\r\n");
  complete.ShutdownWrite();
  CHECK_THAT(AwaitResponse(complete), Catch::StartsWith("HTTP/1.1 200 "));
  Client truncated(server_.Port());
  truncated.Send("GET /v1/ready");
  truncated.ShutdownWrite();
  CHECK_THAT(AwaitResponse(truncated), Catch::StartsWith("HTTP/1.1 400 "));
  CHECK(handler_.calls.size() == 1);
}

}  // namespace
}  // namespace stoatrun
