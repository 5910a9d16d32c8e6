#include "proxy/loopback_fixture.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <cerrno>
#include <chrono>
#include <sstream>
#include <utility>

#include "config/config.h"

namespace stoatrun {
namespace {

constexpr auto kPatience =
    std::chrono::seconds(5);  // For loopback, by the wall: only a failure waits for it.

constexpr std::string_view kSettings = R"(,"zone":0,"azs":["z"],
 "classes":[{"name":"watch","effect":"idempotent","group":"all","target":500000,"hardLimit":2000000}],
 "familyInfo":{"messageAim":[50000],"groups":true},
 "stats":{"how":"on_probe","fields":["outstanding","errors_per_s","x0"]},
 "limits":{"probes":true,"cancel":true,"sendCap":5,"connectTimeout":250000,"idleClose":10000000,
 "retryAfter":true,"maxRetryAfter":2000000},
 "invariants":{"stopSendingWithin":250000,"cold":9000000,"coldFrom":0.32,"fall":1000000,
 "fallMultiple":3.0}})";

int NonBlocking(int fd) {
  fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) | O_NONBLOCK);
  return fd;
}

sockaddr_in Local(int port) {
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_port = htons(static_cast<std::uint16_t>(port));
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return a;
}

std::string Unescaped(std::string text) {
  for (const auto& [from, to] : {std::pair("\\r", "\r"), std::pair("\\n", "\n")}) {
    for (std::size_t at = 0; (at = text.find(from, at)) != std::string::npos;) text.replace(at, 2, to);
  }
  return text;
}

}  // namespace

void LoopbackFixture::Peer::Read() {
  std::array<char, 8192> buffer{};
  while (fd >= 0 && !ended) {
    const ssize_t n = recv(fd, buffer.data(), buffer.size(), 0);
    if (n > 0) {
      in.append(buffer.data(), static_cast<std::size_t>(n));
    } else if (n == 0 || errno != EAGAIN) {
      ended = true;
      reset = n != 0;
    } else {
      return;
    }
  }
}

void LoopbackFixture::Peer::Send(std::string_view text) const {
  CHECK(send(fd, text.data(), text.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(text.size()));
}

void LoopbackFixture::Peer::Close(bool hard) {
  if (fd < 0) return;
  const linger how{hard ? 1 : 0, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &how, sizeof how);
  close(fd);
  fd = -1;
}

void LoopbackFixture::Listen(Server& s) {
  s.fd = NonBlocking(socket(AF_INET, SOCK_STREAM, 0));
  const int on = 1;
  setsockopt(s.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a = Local(s.port);
  REQUIRE(bind(s.fd, reinterpret_cast<sockaddr*>(&a), sizeof a) == 0);
  REQUIRE(listen(s.fd, 64) == 0);
  socklen_t size = sizeof a;
  getsockname(s.fd, reinterpret_cast<sockaddr*>(&a), &size);
  s.port = ntohs(a.sin_port);
}

LoopbackFixture::LoopbackFixture(const std::vector<std::string>& hosts, int descriptors, int relays,
                                 int accept_fd, std::string discovery, FleetClient* peers)
    : descriptors_(descriptors), relays_(relays), accept_fd_(accept_fd), mode_(std::move(discovery)) {
  SetLogLevel(Level::kError);
  for (const char* name : {"discovery", "discovery2"}) Listen(discoveries_[name]);
  for (const std::string& id : hosts) Listen(hosts_[id]);
  proxy_ = std::make_unique<Proxy>(loop_, ConfigWith(discoveries_["discovery"]), nullptr, peers);
  proxy_->Start();
}

Config LoopbackFixture::ConfigWith(const Server& discovery) const {
  std::string members;
  for (const auto& [id, host] : hosts_) {
    members += (members.empty() ? "" : ",") + std::string(R"({"id":")") + id +
               R"(","host_port":"127.0.0.1:)" + std::to_string(host.port) +
               R"(","locality":"z","phase":"ready","later_field":[1]})";
  }
  Config config = ParseConfig(R"({"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:)" +
                              std::to_string(discovery.port) + R"(","limits":{"sockets":)" +
                              std::to_string(descriptors_) +
                              R"(},"seed":"7","known":{"revision":1,"complete":true,"members":[)" + members +
                              R"(]},"settings":{"balancers":)" + std::to_string(relays_) +
                              R"(,"discovery":")" + mode_ + '"' + std::string(kSettings) + "}");
  if (accept_fd_ >= 0) config.accept_fd = accept_fd_;
  return config;
}

LoopbackFixture::~LoopbackFixture() {
  for (auto& [name, peer] : clients_) peer->Close(false);
  hosts_.merge(discoveries_);
  for (auto& [name, host] : hosts_) {
    if (host.fd >= 0) close(host.fd);
    for (const int fd : host.waiting) close(fd);
    for (auto* all : {&host.fresh, &host.attempts}) {
      for (auto& peer : *all) peer->Close(false);
    }
  }
}

void LoopbackFixture::Serve(Server& host) {
  for (int fd = 0; host.waiting.empty() && host.fd >= 0 && (fd = accept(host.fd, nullptr, nullptr)) >= 0;) {
    host.fresh.push_back(std::make_unique<Peer>());
    host.fresh.back()->fd = NonBlocking(fd);
  }
  for (auto& peer : host.fresh) {
    if (!peer) continue;
    peer->Read();
    const bool probe = peer->in.starts_with("STATS\r\n");
    if (probe) {
      peer->in.erase(0, 7);
      peer->Send("PONG inflight=3,x0=" + host.load + ",later=?\r\n");
    } else if (!peer->in.empty()) {
      host.attempts.push_back(std::move(peer));
    }
  }
  std::erase(host.fresh, nullptr);
}

void LoopbackFixture::ServeDiscovery(Server& discovery) {
  for (int fd = 0; (fd = accept(discovery.fd, nullptr, nullptr)) >= 0;) {
    discovery.fresh.push_back(std::make_unique<Peer>());
    discovery.fresh.back()->fd = NonBlocking(fd);
  }
  for (auto& peer : discovery.fresh) {
    peer->Read();
    if (peer->in.find("\r\n\r\n") == std::string::npos) continue;
    if (discovery_mute_) {
    } else if (discovery_refuses_) {
      peer->Send("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    } else {
      peer->Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
    }
    discovery.attempts.push_back(std::move(peer));
  }
  std::erase(discovery.fresh, nullptr);
}

void LoopbackFixture::Turn() {
  loop_.Poll();
  for (auto& [id, host] : hosts_) Serve(host);
  for (auto& [name, discovery] : discoveries_) ServeDiscovery(discovery);
}

void LoopbackFixture::TurnAfter() {
  for (int k = 0; k < turns_; ++k) Turn();
}

template <typename F>
bool LoopbackFixture::Until(F&& holds) {
  const auto end = std::chrono::steady_clock::now() + kPatience;
  while (!holds()) {
    if (std::chrono::steady_clock::now() > end) return false;
    Turn();
  }
  return true;
}

LoopbackFixture::Peer& LoopbackFixture::PeerOf(const std::string& who, const std::string& step) {
  INFO(step);
  const std::size_t mark = who.find('#');
  if (const auto host = hosts_.find(who.substr(0, mark)); host != hosts_.end()) {
    const std::size_t number = mark == std::string::npos ? 1 : std::stoul(who.substr(mark + 1));
    REQUIRE(Until([&] { return host->second.attempts.size() >= number; }));
    return *host->second.attempts[number - 1];
  }
  auto& client = clients_[who];
  if (!client) {
    client = std::make_unique<Peer>();
    client->fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in a = Local(proxy_->Port());
    REQUIRE(connect(client->fd, reinterpret_cast<const sockaddr*>(&a), sizeof a) == 0);
    NonBlocking(client->fd);
  }
  return *client;
}

void LoopbackFixture::Expect(Peer& peer, const std::string& text, const std::string& step) {
  INFO(step);
  const bool came = Until([&] {
    peer.Read();
    return peer.in.find("\r\n") != std::string::npos || peer.ended;
  });
  INFO("came: " << peer.in);
  REQUIRE(came);
  const std::string line = peer.in.substr(0, peer.in.find("\r\n"));
  peer.in.erase(0, line.size() + 2);
  if (!text.empty() && text.back() == '*') {
    REQUIRE(line.substr(0, text.size() - 1) == text.substr(0, text.size() - 1));
  } else {
    REQUIRE(line == text);
  }
}

void LoopbackFixture::Play(std::string_view script) {
  std::istringstream lines{std::string(script)};
  for (std::string line; std::getline(lines, line);) {
    line.erase(0, line.find_first_not_of(' '));
    if (!line.empty()) Step(line);
  }
}

void LoopbackFixture::Step(const std::string& step) {
  INFO(step);
  std::istringstream words(step);
  std::string who, verb, text;
  words >> who >> verb >> std::ws;
  std::getline(words, text);
  if (who == "wait") {  // In small steps: what falls due sees its own time.
    for (int left = std::stoi(verb); left > 0; left -= 5) {
      loop_.clock.Advance(std::chrono::milliseconds(std::min(left, 5)));
      for (int k = 0; k < 3; ++k) Turn();
    }
  } else if (who == "turns") {
    turns_ = std::stoi(verb);
  } else if (who == "turn") {
    Turn();
  } else if (who == "crowd") {
    for (int k = std::stoi(verb); k > 0; --k) PeerOf("crowd" + std::to_string(k), step);
    for (int k = 0; k < 5; ++k) Turn();
  } else if (who == "quiet") {
    const auto there = std::count_if(clients_.begin(), clients_.end(), [](const auto& c) {
      c.second->Read();
      return c.first.starts_with("crowd") && !c.second->ended;
    });
    CHECK(there == std::stoi(verb));
  } else if (who == "drain") {
    proxy_->BeginGracefulShutdown();
  } else if (who == "drain-call") {
    proxy_->StartDrain();
    for (int k = 0; k < 3; ++k) Turn();
  } else if (who == "activate") {
    proxy_->Activate();
    for (int k = 0; k < 3; ++k) Turn();
  } else if (who == "exhaust") {  // No descriptor is left when the client's connection is to be taken.
    PeerOf(verb, step);
    std::vector<int> taken;
    for (int fd = 0; (fd = open("/dev/null", O_RDONLY)) >= 0;) taken.push_back(fd);
    if (text.empty()) {
      for (int k = 0; k < 5; ++k) Turn();
    } else {
      Step(text);
    }
    for (const int fd : taken) close(fd);
  } else if (who == "stopped") {
    REQUIRE(Until([&] { return loop_.Stopped(); }));
  } else if (who == "reload") {
    proxy_->Reload(ConfigWith(discoveries_.at(verb)));
    for (int k = 0; k < 5; ++k) Turn();
  } else if (const auto at = discoveries_.find(who); at != discoveries_.end()) {
    Server& discovery = at->second;
    if (verb == "refuse" || verb == "serve" || verb == "mute") {
      discovery_refuses_ = verb == "refuse";
      discovery_mute_ = verb == "mute";
    } else {
      REQUIRE(Until([&] { return !discovery.attempts.empty(); }));
      Peer& watch = *discovery.attempts.back();
      if (verb == "send" || verb == "raw") {
        const std::string body = verb == "send" ? text + "\n" : Unescaped(text);
        std::ostringstream chunk;
        chunk << std::hex << body.size() << "\r\n" << body << "\r\n";
        watch.Send(chunk.str());
      } else if (verb == "plain") {
        watch.Send(Unescaped(text));
      } else if (verb == "watches") {
        REQUIRE(Until([&] { return discovery.attempts.size() >= std::stoul(text); }));
      } else if (verb == "asked") {
        REQUIRE(watch.in.find(text) != std::string::npos);
      } else if (verb == "expect-end") {
        REQUIRE(Until([&] {
          watch.Read();
          return watch.ended;
        }));
      } else {
        REQUIRE(verb == "close");
        watch.Close(false);
      }
    }
    for (int k = 0; k < 5; ++k) Turn();
  } else if (verb == "down") {
    Server& host = hosts_.at(who);
    close(host.fd);
    host.fd = -1;
  } else if (verb == "full") {
    Server& host = hosts_.at(who);
    listen(host.fd, 0);
    const sockaddr_in a = Local(host.port);
    for (int k = 0; k < 3; ++k) {
      host.waiting.push_back(NonBlocking(socket(AF_INET, SOCK_STREAM, 0)));
      connect(host.waiting.back(), reinterpret_cast<const sockaddr*>(&a), sizeof a);
    }
  } else if (verb == "break" || verb == "idle-end") {
    Server& host = hosts_.at(who);
    for (int fd = 0; verb == "break" && (fd = accept(host.fd, nullptr, nullptr)) >= 0;) {
      Peer peer;
      peer.fd = fd;
      peer.Close(true);
    }
    for (auto& peer : host.fresh) peer->Close(verb == "break");
    host.fresh.clear();
  } else if (verb == "load") {
    hosts_.at(who).load = text;
  } else if (verb == "legs") {
    REQUIRE(hosts_.at(who).attempts.size() == std::stoul(text));
  } else {
    Peer& peer = PeerOf(who, step);
    if (verb == "send") {
      peer.Send(text + "\r\n");
    } else if (verb == "both") {
      const std::size_t mark = text.find(" | ");
      peer.Send(text.substr(0, mark) + "\r\n" + text.substr(mark + 3) + "\r\n");
    } else if (verb == "raw") {
      peer.Send(text);
    } else if (verb == "expect") {
      Expect(peer, text, step);
    } else if (verb == "answered") {
      Until([&] {
        peer.Read();
        return peer.in.find("\r\n") != std::string::npos || peer.ended;
      });
      REQUIRE(peer.in.find("\r\n") != std::string::npos);
      Expect(peer, "*", step);
    } else if (verb == "expect-end" || verb == "expect-reset") {
      REQUIRE(Until([&] {
        peer.Read();
        return peer.ended;
      }));
      CHECK(peer.in.empty());
      CHECK(peer.reset == (verb == "expect-reset"));
    } else if (verb == "pour") {  // It reads only when all is sent: a reset on the way would cost the answer.
      const std::string bytes(1 << 16, 'k');
      std::size_t left = std::stoul(text);
      REQUIRE(Until([&] {
        const ssize_t n = send(peer.fd, bytes.data(), std::min(left, bytes.size()), MSG_NOSIGNAL);
        REQUIRE((n > 0 || errno == EAGAIN));
        if (n > 0) left -= static_cast<std::size_t>(n);
        return left == 0;
      }));
      shutdown(peer.fd, SHUT_WR);
    } else if (verb == "flood") {
      std::string chunk(999, '.');
      for (std::size_t k = 0; k < std::stoul(text); ++k) {
        chunk.replace(0, 8, std::to_string(10'000'000 + k));
        const std::string line = chunk + '\n';
        for (int tries = 0; tries < 50;
             ++tries) {  // Whole lines, so that the reader can tell what is missing.
          const ssize_t n = send(peer.fd, line.data(), line.size(), MSG_NOSIGNAL);
          if (n > 0) flood_ += line.substr(0, static_cast<std::size_t>(n));
          if (n > 0) break;
          Turn();
        }
      }
      REQUIRE_FALSE(flood_.empty());
    } else if (verb == "expect-flood") {
      Until([&] {
        peer.Read();
        return peer.in.size() >= flood_.size() || peer.ended;
      });
      CHECK(peer.in.size() == flood_.size());
      CHECK((peer.in == flood_));
      peer.in.clear();
    } else if (verb == "expect-moved") {
      REQUIRE(Until([&] {
        peer.Read();
        return peer.ended;
      }));
      const std::size_t size = peer.in.rfind("MOVE\r\n");
      REQUIRE(size + 6 == peer.in.size());
      CHECK(peer.in.substr(0, size) == flood_.substr(0, size));
      CHECK((size > TcpConnection::kHighWater && flood_[size - 1] == '\n'));
    } else if (verb == "half") {
      shutdown(peer.fd, SHUT_WR);
    } else {
      REQUIRE((verb == "close" || verb == "reset"));
      peer.Close(verb == "reset");
    }
    TurnAfter();
  }
}

}  // namespace stoatrun
