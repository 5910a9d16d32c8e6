#include "admin/admin_server.h"

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <string>
#include <system_error>

#include "base/log.h"

namespace stoatrun {
namespace {

// How long a client may take, after the response, to read it and close; then the server closes.
constexpr Micros kLingerTimeout = std::chrono::milliseconds(1000);
// Bounds the work of one event-loop turn.
constexpr int kMaxAcceptsPerTurn = 16;
constexpr int kListenBacklog = 64;

std::string_view ReasonPhrase(int status) {
  switch (status) {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 408:
      return "Request Timeout";
    case 413:
      return "Content Too Large";
    case 503:
      return "Service Unavailable";
    default:
      return status < 300 ? "OK" : status < 500 ? "Bad Request" : "Service Unavailable";
  }
}

std::string FormatHead(int status, std::size_t content_length, std::string_view allow) {
  std::string head =
      "HTTP/1.1 " + std::to_string(status) + " " + std::string(ReasonPhrase(status)) +
      "\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: " + std::to_string(content_length) +
      "\r\nCache-Control: no-store\r\nConnection: close\r\n";
  if (!allow.empty()) head += "Allow: " + std::string(allow) + "\r\n";
  return head + "\r\n";
}

}  // namespace

AdminServer::Connection::Connection(SlotId slot, AdminServer& server)
    : id(slot),
      stream(server.loop_, server, slot),
      timeout(server.loop_.timers, [&server, slot] { server.OnTimeout(slot); }) {}

AdminServer::AdminServer(EventLoop& loop, AdminHandler& handler) : loop_(loop), handler_(handler) {
  ev_init(&accept_watcher_, OnAccept);
  accept_watcher_.data = this;
  loop_.AddTurnEndHook([this] { connections_.Reclaim(); });
}

AdminServer::~AdminServer() { Stop(); }

void AdminServer::Listen(const Address& address) {
  listen_fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (listen_fd_ < 0) throw std::system_error(errno, std::generic_category(), "management: socket");
  const auto fail = [this](const char* what) {
    const int error = errno;
    Stop();
    throw std::system_error(error, std::generic_category(), what);
  };
  const int enabled = 1;
  setsockopt(listen_fd_, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind(listen_fd_, reinterpret_cast<const sockaddr*>(&address.raw), sizeof address.raw) != 0) {
    fail("management: bind");
  }
  if (listen(listen_fd_, kListenBacklog) != 0) fail("management: listen");
  ev_io_set(&accept_watcher_, listen_fd_, EV_READ);
  ev_io_start(loop_.native_handle(), &accept_watcher_);
}

void AdminServer::Stop() {
  if (listen_fd_ < 0) return;
  ev_io_stop(loop_.native_handle(), &accept_watcher_);
  close(listen_fd_);
  listen_fd_ = -1;
}

int AdminServer::Port() const {
  sockaddr_in bound{};
  socklen_t size = sizeof bound;
  if (getsockname(listen_fd_, reinterpret_cast<sockaddr*>(&bound), &size) != 0) return 0;
  return ntohs(bound.sin_port);
}

void AdminServer::OnAccept(struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
  static_cast<AdminServer*>(watcher->data)->Accept();
}

void AdminServer::Accept() {
  for (int k = 0; k < kMaxAcceptsPerTurn; ++k) {
    const int fd = accept4(listen_fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd >= 0) {
      AddConnection(fd);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno != EAGAIN) LogLine(Level::kWarn, "management: accept failed").Field("errno", errno);
    return;
  }
}

void AdminServer::AddConnection(int fd) {
  while (connections_.Size() >= kMaxConnections && !pending_.empty()) EvictOldestPending();
  if (connections_.Size() >= kMaxConnections) {
    // All open connections are being sent a response and must not be cut off.
    ++counters_.evicted;
    close(fd);
    return;
  }
  Connection& connection = connections_.Add(*this);
  connection.pending_position = pending_.insert(pending_.end(), connection.id);
  connection.timeout.Set(loop_.Now() + kRequestTimeout);
  connection.stream.Adopt(fd);
}

void AdminServer::EvictOldestPending() {
  ++counters_.evicted;
  if (Connection* oldest = connections_.Find(pending_.front())) Close(*oldest);
}

void AdminServer::OnData(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  const std::string_view input = connection->stream.input();
  if (connection->responded) {  // One request per connection: further input is discarded.
    connection->stream.Consume(input.size());
    return;
  }
  const AdminRequestParser::Status status = connection->parser.Parse(input);
  connection->stream.Consume(input.size());
  switch (status) {
    case AdminRequestParser::Status::kIncomplete:
      return;
    case AdminRequestParser::Status::kComplete:
      return HandleRequest(*connection);
    case AdminRequestParser::Status::kHeadTooLarge:
      return RejectMalformed(*connection, 400, "request head too large");
    case AdminRequestParser::Status::kBodyTooLarge:
      return RejectMalformed(*connection, 413, "request body too large");
    case AdminRequestParser::Status::kMalformed:
      return RejectMalformed(*connection, 400, connection->parser.ErrorDescription());
  }
}

void AdminServer::HandleRequest(Connection& connection) {
  ++counters_.requests;
  const RouteMatch match =
      MatchRoute(connection.parser.Method(), connection.parser.Target(), handler_.HasFleet());
  if (!match.call) {
    ++counters_.rejected;
    Respond(connection, match.status, match.status == 404 ? "no such call" : "method not allowed",
            match.allow);
    return;
  }
  const AdminResponse response = handler_.OnCall(*match.call);
  Respond(connection, response.status, response.body);
}

void AdminServer::RejectMalformed(Connection& connection, int status, std::string_view reason) {
  ++counters_.malformed;
  Respond(connection, status, reason);
}

void AdminServer::Respond(Connection& connection, int status, std::string_view body, std::string_view allow) {
  if (connection.responded) return;
  connection.responded = true;
  if (status < 300) ++counters_.succeeded;
  pending_.erase(connection.pending_position);
  const std::string_view newline = !body.empty() && body.back() == '\n' ? "" : "\n";
  const std::string head = FormatHead(status, body.size() + newline.size(), allow);
  connection.stream.Write({head, body, newline});
  connection.stream.Finish();
  connection.timeout.Set(loop_.Now() + kLingerTimeout);
}

void AdminServer::Close(Connection& connection) {
  if (!connection.responded) pending_.erase(connection.pending_position);
  connection.timeout.Cancel();
  connection.stream.Close();
  connections_.Erase(connection.id);
}

void AdminServer::OnTimeout(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  if (!connection->responded) ++counters_.timed_out;
  Close(*connection);
}

void AdminServer::OnEnd(SlotId id, ConnectionEnd end) {
  Connection* connection = connections_.Find(id);
  if (connection == nullptr) return;
  const bool finished = end == ConnectionEnd::kFinished;
  if (finished && !connection->responded && !connection->parser.IsHeadComplete()) {
    return RejectMalformed(*connection, 400, "request ended before its head");
  }
  // A client that has only shut down its sending side still reads the response.
  if (finished && connection->responded && connection->stream.QueuedBytes() > 0) return;
  Close(*connection);
}

void AdminServer::OnWritable(SlotId id) {
  Connection* connection = connections_.Find(id);
  if (connection != nullptr && connection->responded && connection->stream.PeerFinished()) Close(*connection);
}

}  // namespace stoatrun
