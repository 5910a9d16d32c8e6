// The listening socket: accepts client connections, and rejects them while no descriptor is left. Used by the
// event loop's thread only.
#ifndef STOATRUN_PROXY_LISTENER_H_
#define STOATRUN_PROXY_LISTENER_H_

#include <ev.h>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/tcp_connection.h"
#include "base/unique_fd.h"

namespace stoatrun {

// Receives accepted connections.
class ListenerEvents {
 public:
  virtual ~ListenerEvents() = default;
  // Takes over a non-blocking client socket.
  virtual void OnAccepted(UniqueFd socket) = 0;
};

// Owns one listening TCP socket over IPv4: bound here, or inherited from the platform.
class Listener {
 public:
  // All references must outlive the object. `capacity_log` limits what is logged of rejected clients.
  Listener(EventLoop& loop, ListenerEvents& events, Counters& counters, LogRateLimiter& capacity_log);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Binds `address` and listens. Throws std::system_error.
  void Listen(const Address& address);
  // Takes over a listening socket that the platform keeps open and passes to each process in turn. Throws
  // ConfigError if `fd` is not a listening TCP socket over IPv4.
  void Adopt(int fd);
  // Whether the socket was adopted.
  bool IsInherited() const { return inherited_; }
  // Stops accepting and closes the socket; no effect if there is none. The queue of a socket that was bound
  // here is emptied first, for closing the socket would reset the connections in it; an inherited socket's
  // queue is left to the next process.
  void Stop();
  // The local port; 0 if there is no socket.
  int Port() const;

 private:
  static void OnReadable(struct ev_loop* loop, ev_io* watcher, int events);
  void StartAccepting();
  // Accepts at most kAcceptsPerTurn connections. False: the queue is empty, or none can be accepted now.
  bool AcceptPending();
  // Accepts one connection; false: as above.
  bool AcceptOne();
  // False: no connection was waiting.
  bool RejectForCapacity();

  EventLoop& loop_;
  ListenerEvents& events_;
  Counters& counters_;
  LogRateLimiter& capacity_log_;
  ev_io watcher_{};
  UniqueFd socket_;
  UniqueFd spare_;  // Given up for a moment to accept and reject a client when no descriptor is left.
  bool inherited_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_LISTENER_H_
