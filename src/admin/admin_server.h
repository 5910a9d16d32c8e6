// The admin server: HTTP/1.1 on an address of its own, for operators and the front load balancer. Each
// connection serves one request.
//
// A request is answered in the event-loop turn in which it becomes complete: however busy the relay is, the
// response waits for that turn only. Connections without a complete request are limited in number and in
// time: if a new connection exceeds kMaxConnections, the oldest of them is evicted, and none stays open
// longer than kRequestTimeout.
//
// Malformed, oversized and unknown requests are answered with a 4xx status and counted; they don't cause
// exceptions. Not thread-safe; used on the event loop's thread.
#ifndef STOATRUN_ADMIN_ADMIN_SERVER_H_
#define STOATRUN_ADMIN_ADMIN_SERVER_H_

#include <ev.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <list>
#include <string>
#include <string_view>

#include "admin/request_parser.h"
#include "admin/routes.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"

namespace stoatrun {

// The response to an admin call.
struct AdminResponse {
  int status = 200;  // HTTP status.
  std::string body;  // Plain text; a newline is appended if it does not end with one.
};

// Executes admin calls; implemented by the owner of the relay's components.
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;
  // Executes `call` and returns the response, without blocking. Must not throw.
  virtual AdminResponse OnCall(AdminCall call) = 0;
  // Whether the relay is a fleet member; only then does the route /v1/fleet exist.
  virtual bool HasFleet() const { return false; }
};

// Counters since the start of the server.
struct AdminCounters {
  std::uint64_t requests = 0;   // Complete requests.
  std::uint64_t succeeded = 0;  // Responses with a status below 300.
  std::uint64_t rejected = 0;   // Requests with an unknown path or a wrong method.
  std::uint64_t malformed = 0;  // Malformed or oversized requests.
  std::uint64_t timed_out = 0;  // Connections closed without a complete request within kRequestTimeout.
  std::uint64_t evicted = 0;    // Connections closed or refused because kMaxConnections was reached.
};

// Accepts connections, reads requests and writes responses.
class AdminServer : public TcpConnectionHandler {
 public:
  // Maximum time from accepting a connection to its complete request.
  static constexpr Micros kRequestTimeout = std::chrono::milliseconds(1500);
  // Maximum number of open connections.
  static constexpr std::size_t kMaxConnections = 16;

  // `loop` and `handler` must outlive the server.
  AdminServer(EventLoop& loop, AdminHandler& handler);
  ~AdminServer() override;
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Starts to listen. Throws std::system_error if the address is not available.
  void Listen(const Address& address);
  // Stops listening; open connections are still served.
  void Stop();
  // The bound port; 0 if the server does not listen.
  int Port() const;
  // Counters since the start.
  const AdminCounters& Counts() const { return counters_; }

  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnWritable(SlotId id) override;

 private:
  struct Connection {
    Connection(SlotId slot, AdminServer& server);
    SlotId id;
    TcpConnection stream;
    Timer timeout;  // For the request; after the response, for the client to close.
    AdminRequestParser parser;
    bool responded = false;
    std::list<SlotId>::iterator pending_position{};  // Position in pending_; valid until the response.
  };

  static void OnAccept(struct ev_loop* loop, ev_io* watcher, int events);
  void Accept();
  void AddConnection(int fd);
  void EvictOldestPending();
  void HandleRequest(Connection& connection);
  void RejectMalformed(Connection& connection, int status, std::string_view reason);
  void Respond(Connection& connection, int status, std::string_view body, std::string_view allow = {});
  void Close(Connection& connection);
  void OnTimeout(SlotId id);

  EventLoop& loop_;
  AdminHandler& handler_;
  ev_io accept_watcher_{};
  int listen_fd_ = -1;
  SlotMap<Connection> connections_;
  std::list<SlotId> pending_;  // Connections without a response, oldest first.
  AdminCounters counters_;
};

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_ADMIN_SERVER_H_
