// The listening socket: accepts client connections, and rejects them while no file descriptor is available.
// Used by the event loop's thread only.
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

// Owns one listening TCP socket over IPv4, bound by this process or inherited from the platform.
class Listener {
 public:
  // All references must outlive the object. `capacity_log` limits the rate at which rejected clients are
  // logged.
  Listener(EventLoop& loop, ListenerEvents& events, Counters& counters, LogRateLimiter& capacity_log);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  // Binds `address` and listens. Throws std::system_error.
  void Listen(const Address& address);
  // Takes over a listening socket that the platform keeps open and passes on to each successive process.
  // Throws ConfigError if `fd` is not a listening TCP socket over IPv4.
  void Adopt(int fd);
  // Whether the socket was passed to Adopt.
  bool IsInherited() const { return inherited_; }
  // Stops accepting and closes the socket; no effect if there is none. The connections in the queue of a
  // socket that this process bound are accepted first, because closing the socket would reset them; the queue
  // of an inherited socket is left to the next process.
  void Stop();
  // The local port; 0 if there is no socket.
  int Port() const;

 private:
  static void OnReadable(struct ev_loop* loop, ev_io* watcher, int events);
  void StartAccepting();
  // Accepts at most kAcceptsPerTurn connections. Returns false if the queue is empty or accepting failed.
  bool AcceptPending();
  // Accepts one connection. Returns false if the queue is empty or accepting failed.
  bool AcceptOne();
  // Accepts one connection with the spare descriptor and rejects it with BUSY. Returns false if the queue is
  // empty.
  bool RejectForCapacity();

  EventLoop& loop_;
  ListenerEvents& events_;
  Counters& counters_;
  LogRateLimiter& capacity_log_;
  ev_io watcher_{};
  UniqueFd socket_;
  UniqueFd spare_fd_;  // Closed temporarily to accept and reject a client when no descriptor is available.
  bool inherited_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_LISTENER_H_
