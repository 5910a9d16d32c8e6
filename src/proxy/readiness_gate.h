// Delays the readiness of a process that replaces another one until discovery has answered it. Until then the
// other process serves, which discovery keeps informed. The delay is limited, as the platform gives a new
// process 6 s to become ready.
//
// Used by the event loop's thread only.
#ifndef STOATRUN_PROXY_READINESS_GATE_H_
#define STOATRUN_PROXY_READINESS_GATE_H_

#include "base/event_loop.h"
#include "base/timer_queue.h"
#include "endpoint/discovery_client.h"

namespace stoatrun {

// Open unless it was closed.
class ReadinessGate {
 public:
  // Both references must outlive the object.
  ReadinessGate(EventLoop& loop, DiscoveryClient& discovery)
      : loop_(loop), discovery_(discovery), timeout_(loop.timers, [this] { Open(); }) {}

  // Closes the gate until discovery has answered, for a limited time.
  void Close();
  // Opens the gate, whether or not discovery has answered.
  void Open();
  // Whether nothing delays the readiness.
  bool IsOpen() const { return is_open_ || discovery_.HasReceivedEvent(); }

 private:
  EventLoop& loop_;
  DiscoveryClient& discovery_;
  Timer timeout_;
  bool is_open_ = true;
  Micros closed_at_{0};
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_READINESS_GATE_H_
