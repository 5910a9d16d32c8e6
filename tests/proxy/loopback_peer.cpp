#include "proxy/loopback_peer.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <limits>
#include <utility>

namespace stoatrun {

sockaddr_in LoopbackAddress(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

UniqueFd ConnectToLoopback(int port) {
  UniqueFd connected(socket(AF_INET, SOCK_STREAM, 0));
  const sockaddr_in address = LoopbackAddress(port);
  REQUIRE(connect(connected.Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
  return connected;
}

UniqueFd NonBlocking(UniqueFd fd) {
  // Small writes must not wait for the acknowledgement of earlier ones, which takes real time.
  const int enabled = 1;
  setsockopt(fd.Get(), IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  fcntl(fd.Get(), F_SETFL, fcntl(fd.Get(), F_GETFL) | O_NONBLOCK);
  return fd;
}

void LoopbackPeer::Read() { ReadAtMost(std::numeric_limits<std::size_t>::max()); }

void LoopbackPeer::ReadAtMost(std::size_t size) {
  std::array<char, 8192> buffer{};
  while (socket && !ended && size > 0) {
    const ssize_t n = recv(socket.Get(), buffer.data(), std::min(size, buffer.size()), 0);
    if (n > 0) {
      input.append(buffer.data(), static_cast<std::size_t>(n));
      size -= static_cast<std::size_t>(n);
    } else if (n == 0 || errno != EAGAIN) {
      ended = true;
      reset = n != 0;
    } else {
      return;
    }
  }
}

void LoopbackPeer::Send(std::string_view text) const {
  CHECK(send(socket.Get(), text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}

void LoopbackPeer::HalfClose() const { shutdown(socket.Get(), SHUT_WR); }

void LoopbackPeer::Close(CloseMode mode) {
  if (!socket) return;
  const linger option{mode == CloseMode::kReset ? 1 : 0, 0};
  setsockopt(socket.Get(), SOL_SOCKET, SO_LINGER, &option, sizeof option);
  socket.Reset();
}

void LoopbackServer::Listen() {
  listener = NonBlocking(UniqueFd(socket(AF_INET, SOCK_STREAM, 0)));
  const int enabled = 1;
  setsockopt(listener.Get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address = LoopbackAddress(port);
  REQUIRE(bind(listener.Get(), reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
  REQUIRE(listen(listener.Get(), 64) == 0);
  socklen_t size = sizeof address;
  getsockname(listener.Get(), reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
}

void LoopbackServer::AcceptAll() {
  for (;;) {
    UniqueFd accepted(accept(listener.Get(), nullptr, nullptr));
    if (!accepted) return;
    unidentified.push_back(std::make_unique<LoopbackPeer>());
    unidentified.back()->socket = NonBlocking(std::move(accepted));
  }
}

void LoopbackServer::FillQueue() {
  listen(listener.Get(), 0);
  const sockaddr_in address = LoopbackAddress(port);
  for (int k = 0; k < 3; ++k) {
    queue_fillers.push_back(NonBlocking(UniqueFd(socket(AF_INET, SOCK_STREAM, 0))));
    (void)connect(queue_fillers.back().Get(), reinterpret_cast<const sockaddr*>(&address), sizeof address);
  }
}

void LoopbackServer::ServeEndpoint() {
  if (queue_fillers.empty() && listener) AcceptAll();
  for (auto& peer : unidentified) {
    peer->Read();
    if (peer->input.starts_with("STATS\r\n")) {
      peer->input.erase(0, 7);
      peer->Send("PONG inflight=3,x0=" + load + ",later=?\r\n");
    } else if (!peer->input.empty()) {
      connections.push_back(std::move(peer));
    }
  }
  std::erase(unidentified, nullptr);
}

}  // namespace stoatrun
