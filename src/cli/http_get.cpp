#include "cli/http_get.h"

#include <http_parser.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <stdexcept>
#include <string_view>
#include <system_error>

namespace stoatrun::cli {
namespace {

using Deadline = std::chrono::steady_clock::time_point;
using PollEvents = decltype(pollfd::events);

constexpr std::size_t kMaxBodySize = std::size_t{16} * 1024 * 1024;
constexpr std::size_t kReadSize = std::size_t{64} * 1024;

[[noreturn]] void ThrowSocketError(int error, const char* operation) {
  throw std::system_error(error, std::generic_category(), operation);
}

// A non-blocking TCP socket whose calls wait for readiness until a deadline.
class ClientSocket {
 public:
  explicit ClientSocket(Deadline deadline)
      : deadline_(deadline), fd_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)) {
    if (fd_ < 0) ThrowSocketError(errno, "socket");
  }
  ~ClientSocket() { close(fd_); }
  ClientSocket(const ClientSocket&) = delete;
  ClientSocket& operator=(const ClientSocket&) = delete;

  void Connect(const Address& address) const {
    if (connect(fd_, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0 &&
        errno != EINPROGRESS) {
      ThrowSocketError(errno, "connect");
    }
    WaitFor(POLLOUT);
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) ThrowSocketError(error, "connect");
  }

  void Send(std::string_view text) const {
    if (send(fd_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
      throw std::runtime_error("the request was not taken");
    }
  }

  // Waits for input and reads it into `buffer`. Returns its size; 0: the peer has ended its sending.
  template <std::size_t kSize>
  std::size_t Receive(std::array<char, kSize>& buffer) const {
    for (;;) {
      WaitFor(POLLIN);
      const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
      if (size >= 0) return static_cast<std::size_t>(size);
      if (errno != EAGAIN && errno != EINTR) ThrowSocketError(errno, "read");
    }
  }

 private:
  void WaitFor(PollEvents events) const {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - std::chrono::steady_clock::now());
    pollfd watched{fd_, events, 0};
    if (remaining.count() <= 0 || poll(&watched, 1, static_cast<int>(remaining.count())) <= 0) {
      throw std::runtime_error("no answer in time");
    }
  }

  Deadline deadline_;
  int fd_;
};

// Parses a response incrementally.
class ResponseParser {
 public:
  ResponseParser() {
    http_parser_settings_init(&callbacks_);
    callbacks_.on_body = OnBody;
    callbacks_.on_message_complete = OnMessageComplete;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
  }
  ResponseParser(const ResponseParser&) = delete;
  ResponseParser& operator=(const ResponseParser&) = delete;

  // Parses `input`; empty: the end of the connection. Throws if the response is malformed or ends early.
  void Parse(std::string_view input) {
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, input.data(), input.size());
    if (complete_) return;
    if (parsed != input.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      throw std::runtime_error("the answer is not HTTP");
    }
    if (input.empty()) throw std::runtime_error("the answer ended early");
  }

  bool IsComplete() const { return complete_; }
  HttpResponse Response() const { return {static_cast<int>(parser_.status_code), body_}; }

 private:
  static ResponseParser& Self(http_parser* parser) { return *static_cast<ResponseParser*>(parser->data); }

  static int OnBody(http_parser* parser, const char* at, std::size_t size) {
    std::string& body = Self(parser).body_;
    if (body.size() + size > kMaxBodySize) return 1;
    body.append(at, size);
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    Self(parser).complete_ = true;
    return 0;
  }

  http_parser_settings callbacks_{};
  http_parser parser_{};
  std::string body_;
  bool complete_ = false;
};

}  // namespace

HttpResponse HttpGet(const Address& address, const std::string& path, std::chrono::milliseconds timeout) {
  const ClientSocket connection(std::chrono::steady_clock::now() + timeout);
  connection.Connect(address);
  connection.Send("GET " + path + " HTTP/1.1\r\nHost: relay\r\nConnection: close\r\n\r\n");
  ResponseParser parser;
  std::array<char, kReadSize> buffer;
  while (!parser.IsComplete()) {
    const std::size_t size = connection.Receive(buffer);
    parser.Parse({buffer.data(), size});
  }
  return parser.Response();
}

}  // namespace stoatrun::cli
