#include "proxy/listener.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <string>
#include <string_view>
#include <utility>

#include "base/system_error.h"
#include "config/config.h"
#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

// One accept takes about 20 us. The limit keeps a burst of connections from delaying established sessions by
// more than 1 to 2 ms per turn of the event loop.
constexpr int kAcceptsPerTurn = 64;
constexpr std::string_view kBusyLine = "BUSY\r\n";

UniqueFd OpenSpareFd() { return UniqueFd(open("/dev/null", O_RDONLY | O_CLOEXEC)); }

[[noreturn]] void ThrowInvalidDescriptor(int fd, std::string_view reason) {
  throw ConfigError("PROXY_ACCEPT_FD: descriptor " + std::to_string(fd) + " " + std::string(reason));
}

// The value of an integer option of a socket; -1 if it can't be read.
int SocketOption(int fd, int name) {
  int value = -1;
  socklen_t size = sizeof value;
  return getsockopt(fd, SOL_SOCKET, name, &value, &size) == 0 ? value : -1;
}

}  // namespace

Listener::Listener(EventLoop& loop, ListenerEvents& events, Counters& counters, LogRateLimiter& capacity_log)
    : loop_(loop),
      events_(events),
      counters_(counters),
      capacity_log_(capacity_log),
      spare_fd_(OpenSpareFd()) {
  ev_init(&watcher_, OnReadable);
  watcher_.data = this;
}

Listener::~Listener() { Stop(); }

void Listener::Listen(const Address& address) {
  UniqueFd socket_fd(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!socket_fd) ThrowSystemError(errno, "socket");
  const int enabled = 1;  // A restarted proxy gets its address again although old connections linger there.
  setsockopt(socket_fd.Get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address.raw);
  if (bind(socket_fd.Get(), raw, sizeof address.raw) != 0) ThrowSystemError(errno, "bind");
  if (listen(socket_fd.Get(), SOMAXCONN) != 0) ThrowSystemError(errno, "listen");
  socket_ = std::move(socket_fd);
  StartAccepting();
}

void Listener::Adopt(int fd) {
  struct stat status {};
  if (fstat(fd, &status) != 0) ThrowInvalidDescriptor(fd, "is not open");
  if (!S_ISSOCK(status.st_mode)) ThrowInvalidDescriptor(fd, "is not a socket");
  if (SocketOption(fd, SO_DOMAIN) != AF_INET) ThrowInvalidDescriptor(fd, "is not an IPv4 socket");
  if (SocketOption(fd, SO_TYPE) != SOCK_STREAM) ThrowInvalidDescriptor(fd, "is not a TCP socket");
  if (SocketOption(fd, SO_ACCEPTCONN) != 1) ThrowInvalidDescriptor(fd, "does not listen");
  // Child processes must not inherit the socket.
  if (fcntl(fd, F_SETFD, FD_CLOEXEC) != 0 || fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK) != 0) {
    ThrowInvalidDescriptor(fd, "can't be made non-blocking");
  }
  socket_.Reset(fd);
  inherited_ = true;
  StartAccepting();
}

void Listener::StartAccepting() {
  ev_io_set(&watcher_, socket_.Get(), EV_READ);
  ev_io_start(loop_.native_handle(), &watcher_);
}

void Listener::Stop() {
  if (!socket_) return;
  // The queue holds at most SOMAXCONN connections, which bounds the loop.
  for (int remaining = inherited_ ? 0 : SOMAXCONN; remaining > 0 && AcceptPending();) {
    remaining -= kAcceptsPerTurn;
  }
  ev_io_stop(loop_.native_handle(), &watcher_);
  socket_.Reset();
}

int Listener::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  return getsockname(socket_.Get(), reinterpret_cast<sockaddr*>(&bound), &size) == 0 ? ntohs(bound.sin_port)
                                                                                     : 0;
}

void Listener::OnReadable(struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
  static_cast<Listener*>(watcher->data)->AcceptPending();
}

bool Listener::AcceptPending() {
  for (int k = 0; k < kAcceptsPerTurn; ++k) {
    if (!AcceptOne()) return false;
  }
  return true;
}

bool Listener::AcceptOne() {
  UniqueFd client(accept4(socket_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  if (client) {
    ++counters_.accepted;
    events_.OnAccepted(std::move(client));
    return true;
  }
  if (errno == EINTR || errno == ECONNABORTED) return true;
  if (errno == EAGAIN) return false;
  // accept() reports a lack of descriptors even if the queue is empty.
  if ((errno == EMFILE || errno == ENFILE) && spare_fd_) return RejectForCapacity();
  ++counters_.accept_failed;
  LogLine(Level::kWarn, "accept failed").Field("errno", errno);
  return false;
}

// While no descriptor is available, the listening socket would stay readable, which keeps the event loop
// busy, and the clients in its queue would get no answer. The spare descriptor is used to accept one client
// at a time and tell it to retry later.
bool Listener::RejectForCapacity() {
  spare_fd_.Reset();
  UniqueFd client(accept4(socket_.Get(), nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
  const bool rejected = static_cast<bool>(client);
  if (rejected) {
    ++counters_.accept_failed;
    std::array<char, kMaxLine> input{};
    const bool answered = write(client.Get(), kBusyLine.data(), kBusyLine.size()) > 0;
    shutdown(client.Get(), SHUT_WR);
    const bool requested = read(client.Get(), input.data(), input.size()) > 0;
    if (capacity_log_.Allows(loop_.Now())) {
      LogLine(Level::kWarn, "client rejected, no descriptor left,")
          .Field("asked", requested)
          .Field("told", answered)
          .Field("left_out", capacity_log_.TakeSuppressed());
    }
    DiscardUnreadInput(client.Get());
    client.Reset();  // Frees the descriptor for OpenSpareFd.
  }
  spare_fd_ = OpenSpareFd();
  return rejected;
}

}  // namespace stoatrun
