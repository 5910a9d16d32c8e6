// The graceful shutdown of the process: still accepts clients for a moment, then migrates all established
// sessions, answers what is pending and stops the event loop.
#ifndef STOATRUN_PROXY_GRACEFUL_SHUTDOWN_H_
#define STOATRUN_PROXY_GRACEFUL_SHUTDOWN_H_

#include <cstddef>
#include <cstdint>

#include "base/event_loop.h"
#include "proxy/downstream.h"
#include "proxy/session_controller.h"
#include "proxy/session_table.h"

namespace stoatrun {

// The phases and all transitions between them:
//
//   kServing ---Begin---> kAccepting ---kAcceptFor---> kMigrating ---all ended, or time over---> loop stopped
//
// kAccepting: clients that the front load balancer still sends are served. kMigrating: the listening socket
// is closed and established sessions are migrated. An inherited listening socket ends kAccepting at once, for
// its queue is left to the next process.
//
// Used by the event loop's thread only.
class GracefulShutdown {
 public:
  // `max_deadline`: of any client's request; the shutdown may take a little longer. All references must
  // outlive the object.
  GracefulShutdown(EventLoop& loop, Micros max_deadline, SessionTable& sessions, Downstream& downstream,
                   SessionController& controller);

  // Begins the shutdown, at the loop's next turn. False: it had begun before.
  bool Begin();
  // Whether it has not begun.
  bool IsServing() const { return phase_ == Phase::kServing; }

 private:
  enum class Phase : std::uint8_t { kServing, kAccepting, kMigrating };

  void Step();
  void MigrateStep(Micros remaining);
  Micros EndsAt() const;

  EventLoop& loop_;
  const Micros longest_deadline_;
  SessionTable& sessions_;
  Downstream& downstream_;
  SessionController& controller_;
  Phase phase_ = Phase::kServing;
  Micros began_at_{0};
  double migration_carry_ = 0;  // The fraction of a migration due in the next step: see drain::EvenShare.
  Timer timer_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_GRACEFUL_SHUTDOWN_H_
