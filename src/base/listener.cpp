#include "base/listener.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <system_error>

namespace stoatrun {
namespace {

constexpr int kAcceptsATurn = 64;

int OpenSpare() { return open("/dev/null", O_RDONLY | O_CLOEXEC); }

}  // namespace

Listener::Listener(Loop& loop, ListenerHandler& handler)
    : loop_(loop), handler_(handler), spare_fd_(OpenSpare()) {
  ev_init(&io_, OnReady);
  io_.data = this;
}

Listener::~Listener() {
  if (fd_ >= 0) {
    ev_io_stop(loop_.Raw(), &io_);
    close(fd_);
  }
  if (spare_fd_ >= 0) close(spare_fd_);
}

void Listener::Listen(const Address& address) {
  const auto fail = [](const char* what) { throw std::system_error(errno, std::generic_category(), what); };
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) fail("socket");
  const int on = 1;  // A restarted relay takes its address again though old connections linger there.
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0) fail("bind");
  if (listen(fd_, SOMAXCONN) != 0) fail("listen");
  ev_io_set(&io_, fd_, EV_READ);
  ev_io_start(loop_.Raw(), &io_);
}

void Listener::Stop() {
  if (fd_ < 0) return;
  Accept();
  ev_io_stop(loop_.Raw(), &io_);
  close(fd_);
  fd_ = -1;
}

int Listener::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  return getsockname(fd_, reinterpret_cast<sockaddr*>(&bound), &size) == 0 ? ntohs(bound.sin_port) : 0;
}

void Listener::OnReady(struct ev_loop* /*loop*/, ev_io* w, int /*events*/) {
  static_cast<Listener*>(w->data)->Accept();
}

void Listener::Accept() {
  for (int k = 0; k < kAcceptsATurn; ++k) {
    const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      handler_.OnAccepted(fd);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EAGAIN) return;
    if ((errno == EMFILE || errno == ENFILE) && spare_fd_ >= 0) {
      if (TakeSurplus()) continue;
      return;  // Nobody waits: the want of a descriptor is told before the queue is looked at.
    }
    handler_.OnAcceptFailed(errno);
    return;
  }
}

// Without a descriptor the queue would stay ready and spin the loop, and who waits in it would get no answer.
// The spare descriptor takes one caller at a time.
bool Listener::TakeSurplus() {
  close(spare_fd_);
  const int surplus = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  if (surplus >= 0) {
    handler_.OnSurplus(surplus);
    close(surplus);
  }
  spare_fd_ = OpenSpare();
  return surplus >= 0;
}

}  // namespace stoatrun
