#include "load_traffic.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstddef>
#include <stdexcept>

#include "load_sockets.h"

namespace stoatrun::bench {

LoadTraffic::LoadTraffic() : epoll_(epoll_create1(EPOLL_CLOEXEC)) {}

int LoadTraffic::AddServer() {
  const Listener listener = ListenOnFreePort();
  Add(Peer::Kind::kListener, listener.fd);
  return listener.port;
}

void LoadTraffic::OpenClient(int relay_port, int id) {
  const int fd = ConnectTo(relay_port);
  if (fd < 0) throw std::runtime_error("the relay refuses");
  DisableNagle(fd);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  Send(Add(Peer::Kind::kClient, fd),
       fmt::format("OPEN {:016x} key c=chat,t={},d=5000\r\n", id, id % 3 == 0 ? "acme" : "beta"));
}

void LoadTraffic::Send(const Peer& peer, std::string_view text) {
  if (send(peer.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
    throw std::runtime_error("a short write on loopback");
  }
}

void LoadTraffic::Turn(const LineHandler& on_line) {
  std::array<epoll_event, 256> events{};
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 2);
  for (int k = 0; k < count; ++k) {
    Serve(*peers_[static_cast<std::size_t>(events[static_cast<std::size_t>(k)].data.fd)], on_line);
  }
}

std::vector<Peer*> LoadTraffic::EstablishedClients() const {
  std::vector<Peer*> clients;
  for (const auto& peer : peers_) {
    if (peer && peer->kind == Peer::Kind::kClient && peer->established && !peer->closing) {
      clients.push_back(peer.get());
    }
  }
  return clients;
}

Peer& LoadTraffic::Add(Peer::Kind kind, int fd) {
  const auto index = static_cast<std::size_t>(fd);
  if (index >= peers_.size()) peers_.resize(index + 1);
  peers_[index] = std::make_unique<Peer>();
  peers_[index]->kind = kind;
  peers_[index]->fd = fd;
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
  return *peers_[index];
}

void LoadTraffic::Serve(Peer& peer, const LineHandler& on_line) {
  if (peer.kind == Peer::Kind::kListener) return Accept(peer);
  Receive(peer);
  for (std::size_t end = 0; !peer.closing && (end = peer.input.find("\r\n")) != std::string::npos;) {
    const std::string line = peer.input.substr(0, end);
    peer.input.erase(0, end + 2);
    if (peer.kind == Peer::Kind::kClient) {
      on_line(peer, line);
    } else {
      Answer(peer, line);
    }
  }
  if (!peer.closing) return;
  close(peer.fd);
  peers_[static_cast<std::size_t>(peer.fd)].reset();
}

void LoadTraffic::Accept(const Peer& listener) {
  for (int fd = 0; (fd = accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    DisableNagle(fd);
    Add(Peer::Kind::kServer, fd);
  }
}

void LoadTraffic::Receive(Peer& peer) {
  std::array<char, 8192> buffer{};
  const ssize_t size = recv(peer.fd, buffer.data(), buffer.size(), 0);
  if (size > 0) {
    peer.input.append(buffer.data(), static_cast<std::size_t>(size));
  } else if (size == 0 || errno != EAGAIN) {
    Close(peer);
  }
}

// A server reports little load, accepts every connection and echoes its lines.
void LoadTraffic::Answer(const Peer& server, const std::string& line) {
  if (line == "STATS") {
    Send(server, "PONG inflight=1,x0=0.1\r\n");
  } else if (line.starts_with("OPEN")) {
    Send(server, "UP r1\r\n");
  } else {
    Send(server, line + "\r\n");
  }
}

}  // namespace stoatrun::bench
