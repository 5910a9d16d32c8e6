#include "line_connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <system_error>
#include <utility>

namespace stoatrun::fault_injection {
namespace {

constexpr int kListenBacklog = 512;

int NewTcpSocket() { return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0); }

}  // namespace

sockaddr_in SocketAddress(const std::string& host, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, host.c_str(), &address.sin_addr);
  return address;
}

LineConnection::LineConnection(EventLoop& loop, int fd, OnLine on_line, OnClosed on_closed)
    : watcher_(std::make_unique<DescriptorWatcher>(loop, fd, [this] { Read(); })),
      on_line_(std::move(on_line)),
      on_closed_(std::move(on_closed)) {}

int LineConnection::Connect(const std::string& host, int port) {
  const int fd = NewTcpSocket();
  if (fd < 0) return -1;
  const int enable = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof enable);
  const sockaddr_in address = SocketAddress(host, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

void LineConnection::Send(std::string_view text) {
  if (!watcher_ || closed_) return;
  // On loopback a line is sent completely or not at all, as the socket buffers are far larger. Reading
  // detects a broken connection.
  if (send(watcher_->Fd(), text.data(), text.size(), MSG_NOSIGNAL) < 0) return;
}

std::size_t LineConnection::SendSome(std::string_view text) {
  if (!watcher_ || closed_ || text.empty()) return 0;
  const ssize_t sent = send(watcher_->Fd(), text.data(), text.size(), MSG_NOSIGNAL);
  return sent < 0 ? 0 : static_cast<std::size_t>(sent);
}

bool LineConnection::PeerHasClosed() const {
  if (!watcher_ || closed_) return true;
  char next = 0;
  const ssize_t count = recv(watcher_->Fd(), &next, 1, MSG_PEEK | MSG_DONTWAIT);
  return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
}

void LineConnection::Close() {
  closed_ = true;
  watcher_.reset();
}

void LineConnection::Reset() {
  if (watcher_) {
    const linger reset{1, 0};
    setsockopt(watcher_->Fd(), SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  }
  Close();
}

void LineConnection::Read() {
  std::array<char, 16384> buffer;
  while (watcher_ && !closed_) {
    const ssize_t count = recv(watcher_->Fd(), buffer.data(), buffer.size(), 0);
    if (count < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (count <= 0) {
      const auto on_closed = on_closed_;
      Close();
      on_closed();
      return;
    }
    input_.append(buffer.data(), static_cast<std::size_t>(count));
    if (!DispatchLines()) return;
  }
}

bool LineConnection::DispatchLines() {
  std::size_t end = 0;
  while ((end = input_.find('\n')) != std::string::npos) {
    std::string line = input_.substr(0, end);
    input_.erase(0, end + 1);
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const auto on_line = on_line_;
    on_line(line);
    if (!watcher_ || closed_) return false;
  }
  return true;
}

int ListenTcp(const std::string& host, int port) {
  const int fd = NewTcpSocket();
  const int enable = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof enable);
  const sockaddr_in address = SocketAddress(host, port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
      listen(fd, kListenBacklog) != 0) {
    const int error = errno;
    if (fd >= 0) close(fd);
    throw std::system_error(error, std::generic_category(), "listen on " + host + ":" + std::to_string(port));
  }
  return fd;
}

int AcceptTcp(int listen_fd) { return accept4(listen_fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC); }

}  // namespace stoatrun::fault_injection
