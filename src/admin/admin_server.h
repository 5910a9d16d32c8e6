// The admin server: HTTP/1.1 on the second address, for operators and the front load balancer. One request a
// connection.
//
// A request is answered in the event-loop turn in which it becomes complete, so however busy the relay is,
// the response waits for that turn alone. Clients that never complete a request are bounded in number and in
// time: the connection that has waited longest is evicted in favour of a new one, and none outlives
// kRequestTimeout.
//
// Malformed, oversized and unknown requests are answered with a 4xx status and counted; they never throw.
// Everything runs on the thread of the event loop.
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

// Carries out admin calls; implemented by the owner of the relay's parts.
class AdminHandler {
 public:
  virtual ~AdminHandler() = default;
  // Carries out `call` and returns the response at once. Must not throw.
  virtual AdminResponse OnCall(AdminCall call) = 0;
  // Whether the relay is a fleet member, and so has the route /v1/fleet.
  virtual bool HasFleet() const { return false; }
};

// What the server has done since its start.
struct AdminCounters {
  std::uint64_t requests = 0;   // Complete requests.
  std::uint64_t succeeded = 0;  // Responses with a status below 300.
  std::uint64_t rejected = 0;   // Requests with an unknown path or a wrong method.
  std::uint64_t malformed = 0;  // Requests that are malformed or too large.
  std::uint64_t timed_out = 0;  // Connections closed without a complete request in time.
  std::uint64_t evicted = 0;    // Connections closed, or not taken, for want of capacity.
};

// Listens, reads requests and writes responses.
class AdminServer : public TcpConnectionHandler {
 public:
  // A connection without a complete request is closed after this time.
  static constexpr Micros kRequestTimeout = std::chrono::milliseconds(1500);
  // The most connections at once.
  static constexpr std::size_t kMaxConnections = 16;

  // `loop` and `handler` outlive the server.
  AdminServer(EventLoop& loop, AdminHandler& handler);
  ~AdminServer() override;
  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  // Starts to listen. Throws std::system_error if the address is not available.
  void Listen(const Address& address);
  // Stops listening; open connections go on.
  void Stop();
  // The bound port; 0 if the server does not listen.
  int Port() const;
  // What the server has done so far.
  const AdminCounters& Counts() const { return counters_; }

  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnWritable(SlotId id) override;

 private:
  struct Connection {
    Connection(SlotId slot, AdminServer& server);
    SlotId id;
    TcpConnection stream;
    Timer timeout;  // Of the request, then of the client's close after the response.
    AdminRequestParser parser;
    bool responded = false;
    std::list<SlotId>::iterator pending_position{};  // In pending_; valid until the response.
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
