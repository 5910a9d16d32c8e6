// A listening socket that stays answerable when no descriptor is left.
#ifndef STOATRUN_BASE_LISTENER_H_
#define STOATRUN_BASE_LISTENER_H_

#include <ev.h>

#include "base/deadlines.h"
#include "base/stream.h"

namespace stoatrun {

class ListenerHandler {
 public:
  virtual ~ListenerHandler() = default;
  // A connection that was taken; non-blocking, owned by the handler from here on.
  virtual void OnAccepted(int fd) = 0;
  // One for which there was no descriptor but the spare one: to be answered within this call; the listener
  // closes it.
  virtual void OnSurplus(int fd) = 0;
  virtual void OnAcceptFailed(int error) = 0;
};

class Listener {
 public:
  Listener(Loop& loop, ListenerHandler& handler);
  ~Listener();
  Listener(const Listener&) = delete;
  Listener& operator=(const Listener&) = delete;

  void Listen(const Address& address);  // Throws std::system_error.
  // Takes what already waits in the queue, for it would be reset, and listens no more.
  void Stop();
  int Port() const;

 private:
  static void OnReady(struct ev_loop* loop, ev_io* w, int events);
  void Accept();
  bool TakeSurplus();  // False: nobody waited.

  Loop& loop_;
  ListenerHandler& handler_;
  ev_io io_{};
  int fd_ = -1;
  int spare_fd_ = -1;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_LISTENER_H_
