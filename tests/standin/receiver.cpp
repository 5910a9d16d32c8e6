#include "standin/receiver.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>
#include <utility>

#include "ledger/record.h"

namespace stoatrun::standin {
namespace {

constexpr std::string_view kHeaderEnd = "\r\n\r\n";

std::optional<std::string> Header(const std::string& input, const std::string& name) {
  const std::size_t at = input.find("\r\n" + name + ": ");
  if (at == std::string::npos) return std::nullopt;
  const std::size_t from = at + name.size() + 4;
  return input.substr(from, input.find("\r\n", from) - from);
}

std::string HttpResponse(int status, const std::string& body, const std::string& headers = {}) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string ForgedAcknowledgement(std::uint64_t seq) {
  return R"({"seq":)" + std::to_string(seq) + R"(,"hash":")" + std::string(ledger::kHashSize, 'f') + "\"}";
}

void Close(int& fd) {
  if (fd >= 0) close(fd);
  fd = -1;
}

}  // namespace

Receiver::Receiver() { Start(); }

Receiver::~Receiver() {
  Stop();
  for (auto& connection : connections_) Close(connection->fd);
}

void Receiver::Start() {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int enabled = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(static_cast<std::uint16_t>(port_));
  socklen_t size = sizeof address;
  if (bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 16) != 0) {
    throw std::runtime_error("cannot listen on the receiver's port");
  }
  getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
}

void Receiver::Stop() { Close(fd_); }

void Receiver::Poll() {
  Accept();
  for (auto& connection : connections_) Read(*connection);
  std::erase_if(connections_, [](const auto& connection) { return connection->fd < 0; });
}

void Receiver::Accept() {
  for (int fd = 0; fd_ >= 0 && (fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK)) >= 0;) {
    connections_.push_back(std::make_unique<Connection>());
    connections_.back()->fd = fd;
  }
}

void Receiver::Read(Connection& connection) {
  std::array<char, 16384> buffer{};
  ssize_t bytes = 0;
  while (connection.fd >= 0 && (bytes = recv(connection.fd, buffer.data(), buffer.size(), 0)) > 0) {
    connection.input.append(buffer.data(), static_cast<std::size_t>(bytes));
  }
  if (connection.fd >= 0 && bytes == 0) {
    Close(connection.fd);
  } else if (!connection.answered) {
    HandleRequest(connection);
  }
}

std::string Receiver::LastHash() const {
  return hashes_.empty() ? ledger::InitialPrevHash() : hashes_.back();
}

std::string Receiver::Acknowledgement() const {
  return R"({"seq":)" + std::to_string(hashes_.size()) + R"(,"hash":")" + LastHash() + "\"}";
}

void Receiver::Store(const std::string& body) {
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = body.find('\n', at) + 1;
    const std::string line = body.substr(at, end - at);
    at = end;
    const auto parts = ledger::SplitLine(line);
    const auto record = parts ? ledger::ParseRecord(parts->record) : std::nullopt;
    if (!record) throw std::runtime_error("the receiver was sent an invalid record: " + line);
    if (record->seq() <= hashes_.size()) {
      if (hashes_[record->seq() - 1] != parts->hash) ++content_conflicts_;
      continue;
    }
    if (record->seq() != hashes_.size() + 1 || parts->prev != LastHash()) return;  // Records are missing.
    hashes_.emplace_back(parts->hash);
    lines_.push_back(line);
  }
}

void Receiver::CheckIdempotency(const std::string& key, const std::string& body) {
  const auto [it, inserted] = body_by_key_.try_emplace(key, body);
  if (!inserted && it->second != body) ++content_conflicts_;
}

void Receiver::HandleRequest(Connection& connection) {
  const std::size_t header_end = connection.input.find(kHeaderEnd);
  if (header_end == std::string::npos) return;
  const std::size_t body_at = header_end + kHeaderEnd.size();
  const std::size_t body_size = std::stoul(Header(connection.input, "Content-Length").value());
  const Reply reply = queued_replies_.empty() ? Reply::kAcknowledge : queued_replies_.front();
  const bool complete = connection.input.size() >= body_at + body_size;
  if (!complete && reply != Reply::kCloseBeforeReading) return;
  if (!queued_replies_.empty()) queued_replies_.pop_front();
  connection.answered = true;
  const std::string body = connection.input.substr(body_at, body_size);
  const std::string key = Header(connection.input, "Idempotency-Key").value();
  if (reply == Reply::kCloseBeforeReading) {
    body_by_key_.erase(key);
    return Close(connection.fd);
  }
  CheckIdempotency(key, body);
  const auto response = Respond(connection, reply, body);
  if (response && send(connection.fd, response->data(), response->size(), MSG_NOSIGNAL) < 0) {
    Close(connection.fd);
  }
}

std::optional<std::string> Receiver::Respond(Connection& connection, Reply reply, const std::string& body) {
  switch (reply) {
    case Reply::kAcknowledge:
      Store(body);
      return HttpResponse(200, Acknowledgement());
    case Reply::kDuplicateResponse:
      Store(body);
      return HttpResponse(200, Acknowledgement()) + HttpResponse(200, Acknowledgement());
    case Reply::kCloseBeforeReading:
      break;
    case Reply::kCloseAfterStoring:
      Store(body);
      Close(connection.fd);
      break;
    case Reply::kStoreWithoutResponse:
      Store(body);
      break;
    case Reply::kServerError:
      return HttpResponse(500, "");
    case Reply::kNoAcknowledgement:
      return HttpResponse(200, "thanks");
    case Reply::kConflict:
      return HttpResponse(409, Acknowledgement());
    case Reply::kReject:
      return HttpResponse(400, "");
    case Reply::kTooLarge:
      return HttpResponse(413, "");
    case Reply::kRetryAfter:
      return HttpResponse(503, "", "Retry-After: 30\r\n");
    case Reply::kForgedHash:
      return HttpResponse(200, ForgedAcknowledgement(1));
    case Reply::kUnknownSeq:
      return HttpResponse(200, ForgedAcknowledgement(1'000'000));
    case Reply::kLoseLastRecord:
      hashes_.pop_back();
      lines_.pop_back();
      return HttpResponse(409, Acknowledgement());
  }
  return std::nullopt;
}

}  // namespace stoatrun::standin
