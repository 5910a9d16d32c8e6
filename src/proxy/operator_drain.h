// The operators' drain: the front load balancer's health checks fail and the established sessions are
// migrated within a few seconds, while clients that still come are served. The process goes on, and may be
// activated again.
#ifndef STOATRUN_PROXY_OPERATOR_DRAIN_H_
#define STOATRUN_PROXY_OPERATOR_DRAIN_H_

#include "base/counters.h"
#include "base/event_loop.h"
#include "proxy/downstream.h"
#include "proxy/drain_schedule.h"
#include "proxy/session_controller.h"
#include "proxy/session_table.h"

namespace stoatrun {

// Used by the event loop's thread only.
class OperatorDrain {
 public:
  // All references must outlive the object.
  OperatorDrain(EventLoop& loop, Counters& counters, SessionTable& sessions, Downstream& downstream,
                SessionController& controller);

  // Begins to drain. No effect while draining.
  void Drain();
  // Ends the drain. No effect if there is none. `healthy`: whether health checks succeed from then on.
  void Activate(bool healthy);
  // Migrates no further sessions: the graceful shutdown of the process does.
  void StopMigrating() { timer_.Cancel(); }
  // False while draining.
  bool Healthy() const { return schedule_.Healthy(); }

 private:
  void Step();

  EventLoop& loop_;
  Counters& counters_;
  SessionTable& sessions_;
  Downstream& downstream_;
  SessionController& controller_;
  drain::Schedule schedule_;
  Timer timer_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_OPERATOR_DRAIN_H_
