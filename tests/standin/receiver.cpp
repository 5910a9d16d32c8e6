#include "standin/receiver.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <optional>
#include <stdexcept>

#include "ledger/record.h"

namespace stoatrun::standin {
namespace {

std::optional<std::string> Header(const std::string& in, const std::string& name) {
  const std::size_t at = in.find("\r\n" + name + ": ");
  if (at == std::string::npos) return std::nullopt;
  const std::size_t from = at + name.size() + 4;
  return in.substr(from, in.find("\r\n", from) - from);
}

std::string Http(int status, const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace

Receiver::Receiver() { Up(); }

Receiver::~Receiver() {
  Down();
  for (auto& p : peers_) {
    if (p->fd >= 0) close(p->fd);
  }
}

void Receiver::Up() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in a{};
  a.sin_family = AF_INET;
  a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  a.sin_port = htons(static_cast<std::uint16_t>(port_));
  socklen_t size = sizeof a;
  if (bind(fd_, reinterpret_cast<sockaddr*>(&a), sizeof a) != 0 || listen(fd_, 16) != 0) {
    throw std::runtime_error("the receiver's port is not to be had");
  }
  getsockname(fd_, reinterpret_cast<sockaddr*>(&a), &size);
  port_ = ntohs(a.sin_port);
}

void Receiver::Down() {
  if (fd_ >= 0) close(fd_);
  fd_ = -1;
}

void Receiver::Poll() {
  for (int fd = 0; fd_ >= 0 && (fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
    peers_.push_back(std::make_unique<Peer>());
    peers_.back()->fd = fd;
  }
  for (auto& p : peers_) {
    std::array<char, 16384> buffer{};
    ssize_t n = 0;
    while (p->fd >= 0 && (n = recv(p->fd, buffer.data(), buffer.size(), 0)) > 0) {
      p->in.append(buffer.data(), static_cast<std::size_t>(n));
    }
    if (p->fd >= 0 && n == 0) {
      close(p->fd);
      p->fd = -1;
    } else if (!p->answered) {
      Serve(*p);
    }
  }
  std::erase_if(peers_, [](const auto& p) { return p->fd < 0; });
}

std::string Receiver::Receipt() const {
  const std::string hash = hashes_.empty() ? ledger::FirstHash() : hashes_.back();
  return R"({"seq":)" + std::to_string(hashes_.size()) + R"(,"hash":")" + hash + "\"}";
}

void Receiver::Keep(const std::string& body) {
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = body.find('\n', at) + 1;
    const std::string line = body.substr(at, end - at);
    at = end;
    const auto parts = ledger::SplitLine(line);
    const auto record = parts ? ledger::ParseRecord(parts->record) : std::nullopt;
    if (!record) throw std::runtime_error("the receiver was sent what is no record: " + line);
    if (record->seq() <= hashes_.size()) {
      if (hashes_[record->seq() - 1] != parts->hash) ++content_conflicts_;
      continue;
    }
    const std::string prev = hashes_.empty() ? ledger::FirstHash() : hashes_.back();
    if (record->seq() != hashes_.size() + 1 || parts->prev != prev) return;  // Not before the ones between.
    hashes_.emplace_back(parts->hash);
    lines_.push_back(line);
  }
}

void Receiver::Serve(Peer& peer) {
  const std::size_t head = peer.in.find("\r\n\r\n");
  if (head == std::string::npos) return;
  const std::size_t size = std::stoul(Header(peer.in, "Content-Length").value());
  const Play play = plays_.empty() ? Play::kTake : plays_.front();
  const auto shut = [&] {
    close(peer.fd);
    peer.fd = -1;
  };
  if (play != Play::kCutBefore && peer.in.size() < head + 4 + size) return;
  if (!plays_.empty()) plays_.pop_front();
  ++requests_;
  peer.answered = true;
  const std::string body = peer.in.substr(head + 4, size);
  const std::string key = Header(peer.in, "Idempotency-Key").value();
  if (const auto [it, fresh] = bodies_.try_emplace(key, body);
      play != Play::kCutBefore && !fresh && it->second != body) {
    ++content_conflicts_;
  }
  std::string answer;
  switch (play) {
    case Play::kCutBefore:
      bodies_.erase(key);
      return shut();
    case Play::kCutAfter:
      Keep(body);
      return shut();
    case Play::kSilent:
      Keep(body);
      return;
    case Play::kTake:
      Keep(body);
      answer = Http(200, Receipt());
      break;
    case Play::kTwice:
      Keep(body);
      answer = Http(200, Receipt()) + Http(200, Receipt());
      break;
    case Play::kError:
      answer = Http(500, "");
      break;
    case Play::kNoReceipt:
      answer = Http(200, "thanks");
      break;
    case Play::kConflict:
      answer = Http(409, Receipt());
      break;
    case Play::kReject:
      answer = Http(400, "");
      break;
    case Play::kTooLarge:
      answer = Http(413, "");
      break;
    case Play::kLater:
      answer = Http(503, "", "Retry-After: 30\r\n");
      break;
    case Play::kForge:
      answer = Http(200, R"({"seq":1,"hash":")" + std::string(64, 'f') + "\"}");
      break;
    case Play::kAhead:
      answer = Http(200, R"({"seq":1000000,"hash":")" + std::string(64, 'f') + "\"}");
      break;
    case Play::kLose:
      hashes_.pop_back();
      lines_.pop_back();
      answer = Http(409, Receipt());
      break;
  }
  if (send(peer.fd, answer.data(), answer.size(), MSG_NOSIGNAL) < 0) shut();
}

}  // namespace stoatrun::standin
