#include "base/tcp_connection.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <cstring>
#include <utility>

namespace stoatrun {
namespace {

constexpr std::size_t kDropSize = std::size_t{128} * 1024;
// More than a socket's buffer holds comes from a peer that never stops.
constexpr int kMostDrops = 64;
// A request must not be sent on 0.3 s after its client has left.
constexpr Micros kLookEvery = std::chrono::milliseconds(100);

// What is dropped goes here; the kernel copies nothing into it.
ssize_t DropSome(int fd) {
  static std::array<char, kDropSize> dropped;
  return recv(fd, dropped.data(), dropped.size(), MSG_TRUNC);
}

}  // namespace

std::optional<Address> Address::Parse(std::string_view text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return std::nullopt;
  const std::string_view digits = text.substr(colon + 1);
  std::uint16_t port = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
  if (error != std::errc() || end != digits.data() + digits.size()) return std::nullopt;
  Address address;
  address.raw.sin_family = AF_INET;
  address.raw.sin_port = htons(port);
  const std::string host(text.substr(0, colon));
  if (inet_pton(AF_INET, host.c_str(), &address.raw.sin_addr) != 1) return std::nullopt;
  return address;
}

void DiscardUnreadInput(int fd) {
  for (int k = 0; k < kMostDrops && DropSome(fd) > 0;) ++k;
}

TcpConnection::TcpConnection(EventLoop& loop, TcpConnectionHandler& handler, SlotId id)
    : loop_(loop), handler_(handler), id_(id), peer_reset_check_(loop.timers, [this] { CheckPeerReset(); }) {
  ev_init(&io_, OnIo);
  io_.data = this;
}

TcpConnection::~TcpConnection() { Close(); }

void TcpConnection::Adopt(int fd) {
  fd_ = fd;
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  Watch();
}

bool TcpConnection::Connect(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return false;
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0 &&
      errno != EINPROGRESS) {
    close(fd);
    return false;
  }
  connecting_ = true;
  Adopt(fd);
  return true;
}

void TcpConnection::Consume(std::size_t n) {
  n = std::min(n, size_);
  if (n == 0) return;
  std::memmove(in_.get(), in_.get() + n, size_ - n);
  size_ -= n;
  Watch();
}

void TcpConnection::DiscardInput() {
  dropping_ = true;
  in_.reset();
  size_ = 0;
  SetReading(true);
}

void TcpConnection::ReadNow() {
  if (!IsUp() || broken_ || in_ended_) return;
  if (reading_ && size_ < kInSize) return ReadSome();
  CheckPeerReset();
}

void TcpConnection::SetReading(bool on) {
  reading_ = on;
  Watch();
}

void TcpConnection::Write(std::initializer_list<std::string_view> pieces) {
  if (!IsOpen() || finish_ || broken_) return;
  std::size_t written = 0;
  if (QueuedBytes() == 0 && !connecting_) {
    std::array<iovec, 8> parts{};
    std::size_t count = 0;
    for (const std::string_view piece : pieces) {
      if (count < parts.size()) parts[count++] = {const_cast<char*>(piece.data()), piece.size()};
    }
    const ssize_t n = writev(fd_, parts.data(), static_cast<int>(count));
    if (n >= 0) {
      written = static_cast<std::size_t>(n);
    } else if (errno != EAGAIN && errno != EINTR) {
      Break();
      return;
    }
  }
  for (std::string_view piece : pieces) {
    const std::size_t done = std::min(written, piece.size());
    written -= done;
    out_ += piece.substr(done);
  }
  Watch();
}

void TcpConnection::Finish() {
  finish_ = true;
  if (IsUp() && QueuedBytes() == 0) Flush();
}

void TcpConnection::Close() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.native_handle(), &io_);
  ev_clear_pending(loop_.native_handle(), &io_);
  peer_reset_check_.Cancel();
  if (dropping_ && !broken_) DiscardUnreadInput(fd_);
  close(fd_);
  fd_ = -1;
}

void TcpConnection::Reset() {
  if (fd_ < 0) return;
  const linger hard{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  dropping_ = false;  // Its bytes may go unread.
  Close();
}

// Writes fail in the middle of what the relay does; the break is told from the loop, where a turn begins.
void TcpConnection::Break() {
  broken_ = true;
  peer_reset_check_.Cancel();
  ev_io_stop(loop_.native_handle(), &io_);
  ev_feed_event(loop_.native_handle(), &io_, EV_CUSTOM);
}

void TcpConnection::Watch() {
  if (broken_ || !IsOpen()) return;
  const int wanted = connecting_ ? EV_WRITE
                                 : (reading_ && !in_ended_ && size_ < kInSize ? EV_READ : 0) |
                                       (QueuedBytes() > 0 ? EV_WRITE : 0);
  if (wanted != 0 || in_ended_) {
    peer_reset_check_.Cancel();
  } else if (!peer_reset_check_.IsSet()) {
    peer_reset_check_.Set(loop_.Now() + kLookEvery);
  }
  if (ev_is_active(&io_) && (io_.events & (EV_READ | EV_WRITE)) == wanted) return;
  ev_io_stop(loop_.native_handle(), &io_);
  if (wanted == 0) return;
  ev_io_set(&io_, fd_, wanted);
  ev_io_start(loop_.native_handle(), &io_);
}

// The loop tells of a peer's end only to who reads or writes. A full buffer or a reading that is held back
// does neither, and a client that sent much and left, or a peer that reset, would stand for as long as that
// lasts.
void TcpConnection::CheckPeerReset() {
  pollfd now{fd_, POLLRDHUP, 0};
  const bool known = poll(&now, 1, 0) > 0;
  if (known && (now.revents & POLLERR) != 0) {
    broken_ = true;
    peer_reset_check_.Cancel();
    ev_io_stop(loop_.native_handle(), &io_);
    handler_.OnEnd(id_, ConnectionEnd::kReset);
    return;
  }
  Watch();
  if (known && (now.revents & (POLLRDHUP | POLLHUP)) != 0 && !std::exchange(leaving_, true)) {
    handler_.OnPeerClosing(id_);
  }
}

void TcpConnection::OnIo(struct ev_loop* /*loop*/, ev_io* w, int events) {
  static_cast<TcpConnection*>(w->data)->Ready(events);
}

void TcpConnection::Ready(int events) {
  if (broken_) {
    handler_.OnEnd(id_, ConnectionEnd::kReset);
    return;
  }
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
      broken_ = true;
      handler_.OnEnd(id_, ConnectionEnd::kReset);
      return;
    }
    connecting_ = false;
    Watch();
    handler_.OnConnected(id_);
    if (IsOpen() && QueuedBytes() > 0) Flush();
    return;
  }
  if ((events & EV_WRITE) != 0) {
    Flush();
    if (IsOpen() && !broken_ && QueuedBytes() == 0) handler_.OnWritable(id_);
  }
  if ((events & EV_READ) != 0 && IsOpen() && !broken_ && reading_ && !in_ended_) ReadSome();
}

void TcpConnection::ReadSome() {
  if (size_ == kInSize) return Watch();
  if (!in_ && !dropping_) in_ = std::make_unique<char[]>(kInSize);
  const ssize_t n = dropping_ ? DropSome(fd_) : read(fd_, in_.get() + size_, kInSize - size_);
  if (n > 0 && dropping_) {
    handler_.OnInputDiscarded(id_, static_cast<std::size_t>(n));
  } else if (n > 0) {
    size_ += static_cast<std::size_t>(n);
    Watch();
    handler_.OnData(id_);
  } else if (n == 0) {
    in_ended_ = true;
    Watch();
    handler_.OnEnd(id_, ConnectionEnd::kFinished);
  } else if (errno != EAGAIN && errno != EINTR) {
    broken_ = true;
    peer_reset_check_.Cancel();
    ev_io_stop(loop_.native_handle(), &io_);
    handler_.OnEnd(id_, ConnectionEnd::kReset);
  }
}

void TcpConnection::Flush() {
  while (QueuedBytes() > 0) {
    const ssize_t n = write(fd_, out_.data() + out_begin_, QueuedBytes());
    if (n < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN) Break();
      break;
    }
    out_begin_ += static_cast<std::size_t>(n);
  }
  if (QueuedBytes() == 0) {
    out_.clear();
    out_begin_ = 0;
    if (finish_ && !finished_ && !broken_) {
      finished_ = true;
      shutdown(fd_, SHUT_WR);
    }
  } else if (out_begin_ > kHighWatermark) {
    out_.erase(0, out_begin_);
    out_begin_ = 0;
  }
  Watch();
}

}  // namespace stoatrun
