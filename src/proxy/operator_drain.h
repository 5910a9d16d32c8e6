// The operators' drain: health checks of the front load balancer fail and established sessions are migrated
// within a few seconds, while clients that still arrive are served. The process keeps running and can be
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

  // Starts a drain. No effect while draining.
  void Drain();
  // Ends the drain. No effect if not draining. `healthy`: whether health checks succeed afterwards.
  void Activate(bool healthy);
  // Stops migrating sessions, which the graceful shutdown of the process then does instead.
  void StopMigrating() { timer_.Cancel(); }
  // Whether health checks may succeed: false while draining.
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
