#include "event_poller.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <system_error>
#include <utility>
#include <vector>

namespace stoatrun::fault_injection {

sockaddr_in At(const std::string& ip, int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &a.sin_addr);
  return a;
}

Poller::Poller() : loop_(ev_loop_new(EVFLAG_AUTO)), start_(std::chrono::steady_clock::now()) {
  ev_timer_init(&timer_, OnTimer, 0., 0.);
  timer_.data = this;
  ev_prepare_init(&prepare_, OnPrepare);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
}

Poller::~Poller() {
  due_.clear();  // What still waits may hold sockets, which are taken out of the loop when they go.
  ev_loop_destroy(loop_);
}

Micros Poller::Now() const {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - start_);
}

void Poller::After(Micros delay, std::function<void()> act) { due_.emplace(Now() + delay, std::move(act)); }

void Poller::OnPrepare(struct ev_loop* loop, ev_prepare* w, int /*events*/) {
  auto* self = static_cast<Poller*>(w->data);
  ev_timer_stop(loop, &self->timer_);
  if (self->due_.empty()) return;
  const Micros left = std::max(Micros(0), self->due_.begin()->first - self->Now());
  ev_timer_set(&self->timer_, static_cast<double>(left.count()) / 1e6, 0.);
  ev_timer_start(loop, &self->timer_);
}

void Poller::OnTimer(struct ev_loop* /*loop*/, ev_timer* w, int /*events*/) {
  auto* self = static_cast<Poller*>(w->data);
  const Micros now = self->Now();
  while (!self->due_.empty() && self->due_.begin()->first <= now) {
    const auto act = self->due_.extract(self->due_.begin());
    act.mapped()();
  }
}

Watched::Watched(Poller& poller, int fd, std::function<void()> readable)
    : poller_(poller), fd_(fd), readable_(std::move(readable)) {
  ev_io_init(&io_, OnIo, fd, EV_READ);
  io_.data = this;
  ev_io_start(poller_.native_handle(), &io_);
}

Watched::~Watched() {
  ev_io_stop(poller_.native_handle(), &io_);
  close(fd_);
}

void Watched::OnIo(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  const auto readable = static_cast<Watched*>(w->data)->readable_;  // It may end this very object.
  readable();
}

Lines::Lines(Poller& poller, int fd, OnLine line, OnEnd end)
    : watched_(std::make_unique<Watched>(poller, fd, [this] { Read(); })),
      line_(std::move(line)),
      end_(std::move(end)) {}

int Lines::Connect(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) return -1;
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  const sockaddr_in to = At(ip, port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 && errno != EINPROGRESS) {
    close(fd);
    return -1;
  }
  return fd;
}

void Lines::Send(std::string_view text) {
  if (!watched_ || ended_) return;
  // On loopback a line goes at once or never: the peer's buffers hold far more.
  if (send(watched_->Fd(), text.data(), text.size(), MSG_NOSIGNAL) < 0) return;
}

bool Lines::PeerGone() const {
  if (!watched_ || ended_) return true;
  char c = 0;
  const ssize_t n = recv(watched_->Fd(), &c, 1, MSG_PEEK | MSG_DONTWAIT);
  return n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR);
}

void Lines::Close() {
  ended_ = true;
  watched_.reset();
}

void Lines::Read() {
  std::array<char, 16384> buffer;
  while (watched_ && !ended_) {
    const ssize_t n = recv(watched_->Fd(), buffer.data(), buffer.size(), 0);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) return;
    if (n <= 0) {
      ended_ = true;
      const auto end = end_;
      watched_.reset();
      end();
      return;
    }
    in_.append(buffer.data(), static_cast<std::size_t>(n));
    std::size_t at = 0;
    while ((at = in_.find('\n')) != std::string::npos) {
      std::string line = in_.substr(0, at);
      in_.erase(0, at + 1);
      if (!line.empty() && line.back() == '\r') line.pop_back();
      const auto take = line_;
      take(line);
      if (!watched_ || ended_) return;
    }
  }
}

int Listen(const std::string& ip, int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  if (fd >= 0) setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in a = At(ip, port);
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) != 0 || listen(fd, 512) != 0) {
    const int error = errno;
    if (fd >= 0) close(fd);
    throw std::system_error(error, std::generic_category(), "listen on " + ip + ":" + std::to_string(port));
  }
  return fd;
}

}  // namespace stoatrun::fault_injection
