// Reports message latencies to the balancer: for each endpoint at most one per second while messages are
// slow, and one more when they are fast again. The simulator reports them in the same way.
#ifndef STOATRUN_PROXY_MESSAGE_LATENCY_REPORTER_H_
#define STOATRUN_PROXY_MESSAGE_LATENCY_REPORTER_H_

#include <unordered_map>

#include "balancer/balancer.h"
#include "base/event_loop.h"
#include "proxy/balancer_driver.h"
#include "proxy/endpoint_table.h"

namespace stoatrun {

// Used by the event loop's thread only.
class MessageLatencyReporter {
 public:
  // Messages are slow above a third of the shortest latency objective in `settings`; without an objective
  // nothing is reported. All references except `settings` must outlive the object.
  MessageLatencyReporter(EventLoop& loop, const balancer::Settings& settings, const EndpointTable& endpoints,
                         BalancerDriver& balancer);

  // `endpoint` answered a client's line `latency` after it was forwarded. May call
  // BalancerDriver::HandleEvent.
  void OnAnswer(EndpointIndex endpoint, Micros latency);

 private:
  struct LastReport {
    Micros reported_at{0};
    bool slow = false;
  };

  EventLoop& loop_;
  const EndpointTable& endpoints_;
  BalancerDriver& balancer_;
  const Micros slow_threshold_;  // Longer latencies are slow; 0: reports nothing.
  std::unordered_map<EndpointIndex, LastReport> last_reports_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_MESSAGE_LATENCY_REPORTER_H_
