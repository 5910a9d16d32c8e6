#include "load_sockets.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

namespace stoatrun::bench {
namespace {

constexpr int kListenBacklog = 1024;

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  return address;
}

}  // namespace

int ConnectTo(int port) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = LoopbackAddress(port);
  if (connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) return fd;
  close(fd);
  return -1;
}

void DisableNagle(int fd) {
  const int enabled = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

Listener ListenOnFreePort() {
  Listener listener;
  listener.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  sockaddr_in address = LoopbackAddress(0);
  socklen_t size = sizeof address;
  if (bind(listener.fd, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener.fd, kListenBacklog) != 0 ||
      getsockname(listener.fd, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
    throw std::runtime_error("cannot listen on a free loopback port");
  }
  listener.port = ntohs(address.sin_port);
  return listener;
}

}  // namespace stoatrun::bench
