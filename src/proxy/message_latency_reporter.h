// Reports slow messages to the balancer: at most once a second for each endpoint while they are slow, and
// once more when they are fast again, as the simulator does.
#ifndef STOATRUN_PROXY_MESSAGE_LATENCY_REPORTER_H_
#define STOATRUN_PROXY_MESSAGE_LATENCY_REPORTER_H_

#include <vector>

#include "balancer/balancer.h"
#include "base/event_loop.h"
#include "proxy/balancer_driver.h"
#include "proxy/endpoint_table.h"

namespace stoatrun {

// Used by the event loop's thread only.
class MessageLatencyReporter {
 public:
  // The latency objectives in `settings` determine what is slow; without any, nothing is reported. All
  // references must outlive the object, but for `settings`.
  MessageLatencyReporter(EventLoop& loop, const balancer::Settings& settings, const EndpointTable& endpoints,
                         BalancerDriver& balancer);

  // An answer of `endpoint` came `latency` after the client's line was forwarded. May call
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
  const Micros slow_threshold_;           // A longer latency is slow; 0: none is.
  std::vector<LastReport> last_reports_;  // By EndpointIndex.
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_MESSAGE_LATENCY_REPORTER_H_
