#include "base/tcp_connection.h"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
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

constexpr std::size_t kDiscardSize = std::size_t{128} * 1024;
// In total more than a socket's receive buffer can hold; only a peer that keeps sending exceeds this.
constexpr int kMaxDiscards = 64;
// Reads of one ReadUntilEmpty: 512 KiB, which takes about a millisecond.
constexpr int kMaxReadsPerCall = 64;
constexpr std::size_t kMaxGather = 8;  // Maximum pieces per writev; further pieces are queued.
// A request must not be forwarded later than 0.3 s after its client has disconnected.
constexpr Micros kPeerResetInterval = std::chrono::milliseconds(100);

// Discards some received data: MSG_TRUNC makes the kernel drop the bytes without copying them.
ssize_t DiscardSome(int fd) {
  static std::array<char, kDiscardSize> unused;
  return recv(fd, unused.data(), unused.size(), MSG_TRUNC);
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
  for (int count = 0; count < kMaxDiscards && DiscardSome(fd) > 0;) ++count;
}

TcpConnection::TcpConnection(EventLoop& loop, TcpConnectionHandler& handler, SlotId id, IoPriority priority)
    : loop_(loop), handler_(handler), id_(id), peer_reset_check_(loop.timers, [this] { CheckPeerReset(); }) {
  ev_init(&watcher_, OnIo);
  ev_set_priority(&watcher_, priority == IoPriority::kBeforeOthers ? 1 : 0);
  watcher_.data = this;
}

TcpConnection::~TcpConnection() { Close(); }

void TcpConnection::Adopt(int fd) {
  fd_ = fd;
  const int enabled = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  UpdateWatcher();
}

bool TcpConnection::Connect(const Address& address) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) {
    connect_error_ = errno;
    return false;
  }
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0 &&
      errno != EINPROGRESS) {
    connect_error_ = errno;
    close(fd);
    return false;
  }
  connecting_ = true;
  Adopt(fd);
  return true;
}

void TcpConnection::Consume(std::size_t size) {
  size = std::min(size, input_size_);
  if (size == 0) return;
  std::memmove(input_.get(), input_.get() + size, input_size_ - size);
  input_size_ -= size;
  UpdateWatcher();
}

std::string TcpConnection::TakeInputAfter(std::size_t offset) {
  std::string taken(input().substr(std::min(offset, input_size_)));
  input_size_ -= taken.size();
  UpdateWatcher();
  return taken;
}

void TcpConnection::PrependInput(std::string_view bytes) {
  const std::size_t size = bytes.size() + input_size_;
  auto joined = std::make_unique<char[]>(std::max(kInputCapacity, size));
  std::memcpy(joined.get(), bytes.data(), bytes.size());
  std::memcpy(joined.get() + bytes.size(), input_.get(), input_size_);
  input_ = std::move(joined);
  input_size_ = size;
  UpdateWatcher();
}

void TcpConnection::DiscardInput() {
  discarding_ = true;
  input_.reset();
  input_size_ = 0;
  SetReading(true);
}

void TcpConnection::ReadNow() {
  if (!IsConnected() || broken_ || peer_finished_) return;
  if (CanRead()) {
    ReadSome();
  } else {
    CheckPeerReset();
  }
}

bool TcpConnection::ReadUntilEmpty() {
  for (int count = 0; count < kMaxReadsPerCall; ++count) {
    if (!IsConnected() || peer_finished_) return true;
    if (!CanRead()) return false;
    if (ReadSome() != ReadOutcome::kData) return true;
  }
  return false;
}

void TcpConnection::SetReading(bool enabled) {
  reading_ = enabled;
  UpdateWatcher();
}

void TcpConnection::Write(std::initializer_list<std::string_view> pieces) {
  if (!IsOpen() || finish_requested_ || broken_) return;
  std::size_t written = 0;
  if (QueuedBytes() == 0 && !connecting_) {
    std::array<iovec, kMaxGather> parts{};
    std::size_t count = 0;
    for (const std::string_view piece : pieces) {
      if (count < parts.size()) parts[count++] = {const_cast<char*>(piece.data()), piece.size()};
    }
    msghdr message{};
    message.msg_iov = parts.data();
    message.msg_iovlen = count;
    const ssize_t result = sendmsg(fd_, &message, MSG_NOSIGNAL);
    if (result >= 0) {
      written = static_cast<std::size_t>(result);
    } else if (errno != EAGAIN && errno != EINTR) {
      ReportResetLater();
      return;
    }
  }
  for (std::string_view piece : pieces) {
    const std::size_t done = std::min(written, piece.size());
    written -= done;
    output_ += piece.substr(done);
  }
  UpdateWatcher();
}

std::size_t TcpConnection::UnsentBytes() const {
  int in_socket = 0;
  if (!IsConnected() || broken_ || ioctl(fd_, SIOCOUTQNSD, &in_socket) != 0) return QueuedBytes();
  return QueuedBytes() + static_cast<std::size_t>(in_socket);
}

void TcpConnection::Finish() {
  finish_requested_ = true;
  if (IsConnected() && QueuedBytes() == 0) Flush();
}

void TcpConnection::Close() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.native_handle(), &watcher_);
  ev_clear_pending(loop_.native_handle(), &watcher_);
  peer_reset_check_.Cancel();
  if (discarding_ && !broken_) DiscardUnreadInput(fd_);
  close(fd_);
  fd_ = -1;
}

void TcpConnection::Reset() {
  if (fd_ < 0) return;
  const linger reset_on_close{1, 0};
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  discarding_ = false;  // Unread bytes need not be drained before a reset.
  Close();
}

void TcpConnection::StopWatching() {
  broken_ = true;
  peer_reset_check_.Cancel();
  ev_io_stop(loop_.native_handle(), &watcher_);
}

void TcpConnection::ReportReset() {
  StopWatching();
  handler_.OnEnd(id_, ConnectionEnd::kReset);
}

// A write may fail while its caller is in the middle of an operation, so the reset is reported later, by a
// callback of the loop.
void TcpConnection::ReportResetLater() {
  StopWatching();
  ev_feed_event(loop_.native_handle(), &watcher_, EV_CUSTOM);
}

int TcpConnection::WantedEvents() const {
  if (connecting_) return EV_WRITE;
  return (CanRead() ? EV_READ : 0) | (QueuedBytes() > 0 ? EV_WRITE : 0);
}

void TcpConnection::UpdateWatcher() {
  if (broken_ || !IsOpen()) return;
  const int wanted = WantedEvents();
  if (wanted != 0 || peer_finished_) {
    peer_reset_check_.Cancel();
  } else if (!peer_reset_check_.IsSet()) {
    peer_reset_check_.Set(loop_.Now() + kPeerResetInterval);
  }
  if (ev_is_active(&watcher_) && (watcher_.events & (EV_READ | EV_WRITE)) == wanted) return;
  ev_io_stop(loop_.native_handle(), &watcher_);
  if (wanted == 0) return;
  ev_io_set(&watcher_, fd_, wanted);
  ev_io_start(loop_.native_handle(), &watcher_);
}

// The event loop reports a peer's close or reset only while the socket is watched. With a full input buffer
// or with reading disabled it is not watched, and a disconnected client or a reset would go undetected.
void TcpConnection::CheckPeerReset() {
  pollfd state{fd_, POLLRDHUP, 0};
  const bool has_events = poll(&state, 1, 0) > 0;
  if (has_events && (state.revents & POLLERR) != 0) return ReportReset();
  UpdateWatcher();
  if (has_events && (state.revents & (POLLRDHUP | POLLHUP)) != 0 &&
      !std::exchange(peer_closing_reported_, true)) {
    handler_.OnPeerClosing(id_);
  }
}

void TcpConnection::OnIo(struct ev_loop* /*loop*/, ev_io* watcher, int events) {
  static_cast<TcpConnection*>(watcher->data)->HandleIo(events);
}

void TcpConnection::HandleIo(int events) {
  if (broken_) {
    // What the peer sent before the failed write can still be read.
    ReadUntilEmpty();
    if (IsOpen()) handler_.OnEnd(id_, ConnectionEnd::kReset);
    return;
  }
  if (connecting_) return FinishConnect();
  if ((events & EV_WRITE) != 0) {
    FlushQueued();
    if (IsOpen() && !broken_ && QueuedBytes() == 0) handler_.OnWritable(id_);
  }
  if ((events & EV_READ) != 0 && IsOpen() && !broken_ && CanRead()) ReadSome();
}

void TcpConnection::FinishConnect() {
  int error = 0;
  socklen_t size = sizeof error;
  if (getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
    connect_error_ = error;
    broken_ = true;
    handler_.OnEnd(id_, ConnectionEnd::kReset);
    return;
  }
  connecting_ = false;
  UpdateWatcher();
  handler_.OnConnected(id_);
  if (IsOpen() && QueuedBytes() > 0) FlushQueued();
}

TcpConnection::ReadOutcome TcpConnection::ReadSome() {
  if (!input_ && !discarding_) input_ = std::make_unique<char[]>(kInputCapacity);
  const ssize_t result =
      discarding_ ? DiscardSome(fd_) : read(fd_, input_.get() + input_size_, kInputCapacity - input_size_);
  if (result > 0) {
    const auto size = static_cast<std::size_t>(result);
    if (discarding_) {
      handler_.OnInputDiscarded(id_, size);
    } else {
      input_size_ += size;
      UpdateWatcher();
      handler_.OnData(id_);
    }
    return ReadOutcome::kData;
  }
  if (result < 0 && (errno == EAGAIN || errno == EINTR)) return ReadOutcome::kEmpty;
  if (broken_) return ReadOutcome::kEnded;  // The failure has been reported, or will be.
  if (result == 0) {
    peer_finished_ = true;
    UpdateWatcher();
    handler_.OnEnd(id_, ConnectionEnd::kFinished);
  } else {
    ReportReset();
  }
  return ReadOutcome::kEnded;
}

void TcpConnection::FlushQueued() {
  handler_.OnBeforeFlush(id_);
  if (IsOpen() && !broken_) Flush();
}

void TcpConnection::Flush() {
  while (QueuedBytes() > 0) {
    const ssize_t written = send(fd_, output_.data() + output_begin_, QueuedBytes(), MSG_NOSIGNAL);
    if (written < 0) {
      if (errno == EINTR) continue;
      if (errno != EAGAIN) ReportResetLater();
      break;
    }
    output_begin_ += static_cast<std::size_t>(written);
  }
  if (QueuedBytes() == 0) {
    output_.clear();
    output_begin_ = 0;
    if (finish_requested_ && !finish_sent_ && !broken_) {
      finish_sent_ = true;
      shutdown(fd_, SHUT_WR);
    }
  } else if (output_begin_ > kHighWatermark) {
    output_.erase(0, output_begin_);
    output_begin_ = 0;
  }
  UpdateWatcher();
}

}  // namespace stoatrun
