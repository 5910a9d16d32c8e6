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
  Add(Socket::Kind::kListener, listener.fd);
  return listener.port;
}

void LoadTraffic::OpenClient(int relay_port, int id) {
  const int fd = ConnectTo(relay_port);
  if (fd < 0) throw std::runtime_error("the relay refused a connection");
  DisableNagle(fd);
  fcntl(fd, F_SETFL, O_NONBLOCK);
  Send(Add(Socket::Kind::kClient, fd),
       fmt::format("OPEN {:016x} key c=chat,t={},d=5000\r\n", id, id % 3 == 0 ? "acme" : "beta"));
}

void LoadTraffic::Send(const Socket& socket, std::string_view text) {
  if (send(socket.fd, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
    throw std::runtime_error("send() on a loopback socket was incomplete or failed");
  }
}

void LoadTraffic::PollOnce(const LineHandler& on_line) {
  std::array<epoll_event, 256> events{};
  const int count = epoll_wait(epoll_, events.data(), static_cast<int>(events.size()), 2);
  for (int k = 0; k < count; ++k) {
    HandleReadable(*sockets_[static_cast<std::size_t>(events[static_cast<std::size_t>(k)].data.fd)], on_line);
  }
}

std::vector<Socket*> LoadTraffic::EstablishedClients() const {
  std::vector<Socket*> clients;
  for (const auto& socket : sockets_) {
    if (socket && socket->kind == Socket::Kind::kClient && socket->established && !socket->closing) {
      clients.push_back(socket.get());
    }
  }
  return clients;
}

Socket& LoadTraffic::Add(Socket::Kind kind, int fd) {
  const auto index = static_cast<std::size_t>(fd);
  if (index >= sockets_.size()) sockets_.resize(index + 1);
  sockets_[index] = std::make_unique<Socket>();
  sockets_[index]->kind = kind;
  sockets_[index]->fd = fd;
  epoll_event event{};
  event.events = EPOLLIN;
  event.data.fd = fd;
  epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
  return *sockets_[index];
}

void LoadTraffic::HandleReadable(Socket& socket, const LineHandler& on_line) {
  if (socket.kind == Socket::Kind::kListener) return Accept(socket);
  Receive(socket);
  for (std::size_t end = 0; !socket.closing && (end = socket.input.find("\r\n")) != std::string::npos;) {
    const std::string line = socket.input.substr(0, end);
    socket.input.erase(0, end + 2);
    if (socket.kind == Socket::Kind::kClient) {
      on_line(socket, line);
    } else {
      Reply(socket, line);
    }
  }
  if (!socket.closing) return;
  close(socket.fd);
  sockets_[static_cast<std::size_t>(socket.fd)].reset();
}

void LoadTraffic::Accept(const Socket& listener) {
  for (int fd = 0; (fd = accept4(listener.fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;) {
    DisableNagle(fd);
    Add(Socket::Kind::kServer, fd);
  }
}

void LoadTraffic::Receive(Socket& socket) {
  std::array<char, 8192> buffer{};
  const ssize_t size = recv(socket.fd, buffer.data(), buffer.size(), 0);
  if (size > 0) {
    socket.input.append(buffer.data(), static_cast<std::size_t>(size));
  } else if (size == 0 || errno != EAGAIN) {
    Close(socket);
  }
}

// Acts as a lightly loaded upstream server: reports low load, accepts every connection and echoes its lines.
void LoadTraffic::Reply(const Socket& server, const std::string& line) {
  if (line == "STATS") {
    Send(server, "PONG inflight=1,x0=0.1\r\n");
  } else if (line.starts_with("OPEN")) {
    Send(server, "UP r1\r\n");
  } else {
    Send(server, line + "\r\n");
  }
}

}  // namespace stoatrun::bench
