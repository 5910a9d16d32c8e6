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
constexpr std::size_t kReadBufferSize = std::size_t{64} * 1024;

[[noreturn]] void ThrowSocketError(int error, const char* operation) {
  throw std::system_error(error, std::generic_category(), operation);
}

// A TCP client socket whose operations share one deadline. The socket itself is non-blocking; operations poll
// it until it is ready.
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
    WaitUntilReady(POLLOUT);
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) ThrowSocketError(error, "connect");
  }

  void Send(std::string_view text) const {
    if (send(fd_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
      throw std::runtime_error("could not send the whole request");
    }
  }

  // Waits for input and reads it into `buffer`. Returns the number of bytes read, 0 at the end of the stream.
  template <std::size_t kSize>
  std::size_t Receive(std::array<char, kSize>& buffer) const {
    for (;;) {
      WaitUntilReady(POLLIN);
      const ssize_t size = recv(fd_, buffer.data(), buffer.size(), 0);
      if (size >= 0) return static_cast<std::size_t>(size);
      if (errno != EAGAIN && errno != EINTR) ThrowSocketError(errno, "read");
    }
  }

 private:
  void WaitUntilReady(PollEvents events) const {
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - std::chrono::steady_clock::now());
    pollfd descriptor{fd_, events, 0};
    if (remaining.count() <= 0 || poll(&descriptor, 1, static_cast<int>(remaining.count())) <= 0) {
      throw std::runtime_error("request timed out");
    }
  }

  Deadline deadline_;
  int fd_;
};

// An incremental parser for one response.
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

  // Parses the next input; an empty `input` means the end of the stream. Throws std::runtime_error if the
  // response is malformed or truncated, or if its body exceeds kMaxBodySize.
  void Parse(std::string_view input) {
    const std::size_t parsed = http_parser_execute(&parser_, &callbacks_, input.data(), input.size());
    if (complete_) return;
    if (parsed != input.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK) {
      throw std::runtime_error("malformed or too large HTTP response");
    }
    if (input.empty()) throw std::runtime_error("connection closed before the end of the response");
  }

  bool IsComplete() const { return complete_; }
  HttpResponse Response() const { return {static_cast<int>(parser_.status_code), body_}; }

 private:
  static ResponseParser& FromParser(http_parser* parser) {
    return *static_cast<ResponseParser*>(parser->data);
  }

  static int OnBody(http_parser* parser, const char* data, std::size_t size) {
    std::string& body = FromParser(parser).body_;
    if (body.size() + size > kMaxBodySize) return 1;
    body.append(data, size);
    return 0;
  }

  static int OnMessageComplete(http_parser* parser) {
    FromParser(parser).complete_ = true;
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
  std::array<char, kReadBufferSize> buffer;
  while (!parser.IsComplete()) {
    const std::size_t size = connection.Receive(buffer);
    parser.Parse({buffer.data(), size});
  }
  return parser.Response();
}

}  // namespace stoatrun::cli
