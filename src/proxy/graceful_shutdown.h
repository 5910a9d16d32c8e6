// The graceful shutdown of the process: continues to accept clients for a short time, then migrates all
// established sessions, answers pending requests and stops the event loop.
#ifndef STOATRUN_PROXY_GRACEFUL_SHUTDOWN_H_
#define STOATRUN_PROXY_GRACEFUL_SHUTDOWN_H_

#include <cstddef>
#include <cstdint>

#include "base/event_loop.h"
#include "endpoint/endpoint_list_sharing.h"
#include "proxy/downstream.h"
#include "proxy/session_controller.h"
#include "proxy/session_table.h"

namespace stoatrun {

// The phases and all transitions between them:
//
//   kServing ---Begin---> kAccepting ---kAcceptDuration---> kMigrating ---all ended or timeout---> stopped
//
// kAccepting: serves the clients that the front load balancer still sends. kMigrating: the listening socket
// is closed and established sessions are migrated. With an inherited listening socket kAccepting ends at
// once, because the next process accepts the clients in its queue. A process whose successor has no answer
// from discovery yet stays until the time-out, to pass on what discovery tells it.
//
// Used by the event loop's thread only.
class GracefulShutdown {
 public:
  // `max_deadline`: the longest deadline of any client request. The shutdown may take slightly longer. All
  // references must outlive the object.
  GracefulShutdown(EventLoop& loop, Micros max_deadline, SessionTable& sessions, Downstream& downstream,
                   SessionController& controller, SessionCloser& closer, const EndpointListSharing& sharing);

  // Begins the shutdown, in the next turn of the event loop. False: it has already begun.
  bool Begin();
  // Whether the shutdown has not begun.
  bool IsServing() const { return phase_ == Phase::kServing; }

 private:
  enum class Phase : std::uint8_t { kServing, kAccepting, kMigrating };

  void Step();
  void MigrateStep(Micros remaining);
  Micros EndTime() const;

  EventLoop& loop_;
  const Micros max_deadline_;
  SessionTable& sessions_;
  Downstream& downstream_;
  SessionController& controller_;
  SessionCloser& closer_;
  const EndpointListSharing& sharing_;
  Phase phase_ = Phase::kServing;
  Micros started_at_{0};
  double migration_carry_ = 0;  // Part of a migration carried over to the next step: see drain::EvenShare.
  Timer timer_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_GRACEFUL_SHUTDOWN_H_
