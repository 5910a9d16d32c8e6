// The proxy: accepts clients' requests for connections, opens them at endpoints that the balancer chooses,
// and forwards their bytes. This class only wires the parts together; SessionController drives them.
//
// Everything runs on the event loop's thread: calls must come from it, or from where the loop does not run.
#ifndef STOATRUN_PROXY_PROXY_H_
#define STOATRUN_PROXY_PROXY_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "base/usage_meter.h"
#include "config/config.h"
#include "endpoint/discovery_client.h"
#include "proxy/balancer_driver.h"
#include "proxy/downstream.h"
#include "proxy/endpoint_updater.h"
#include "proxy/fleet_quota_guard.h"
#include "proxy/forwarder.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/message_latency_reporter.h"
#include "proxy/operator_drain.h"
#include "proxy/session_controller.h"
#include "proxy/session_resumption.h"
#include "proxy/session_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Owns all parts of the proxy.
class Proxy {
 public:
  // `meter` meters the usage of established sessions; `fleet` is the rest of the proxy's fleet. Both may be
  // null; `loop` and they must outlive the proxy.
  Proxy(EventLoop& loop, const Config& config, UsageMeter* meter = nullptr, FleetClient* fleet = nullptr);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Listens and serves. Throws std::system_error if the address can't be bound, and ConfigError if the
  // configured descriptor is not a listening socket.
  void Start();
  // Begins the graceful shutdown, which ends by stopping the event loop. No effect if it has begun.
  void BeginGracefulShutdown();

  // Applies a changed configuration as far as that is possible without a restart: moves the watch to the new
  // discovery address. What else changed is logged.
  void Reload(const Config& config);
  // A changed configuration could not be read, for `reason`; the present one stays in force.
  void OnReloadFailed(std::string_view reason);

  // Begins the operators' drain: see OperatorDrain. No effect while draining.
  void StartDrain();
  // Ends the operators' drain.
  void Activate();

  // Whether the proxy serves and the front load balancer may send clients here.
  bool Ready() const;
  // The local port of the listening socket.
  int Port() const { return downstream_.Port(); }
  // What was counted since the start.
  const Counters& Counts() const { return counters_; }
  // The classes' names, in the order of the counters by class.
  const std::vector<std::string>& ClassNames() const { return config_.settings.class_names; }
  // The number of requests that were accepted and have not ended, established sessions included.
  std::size_t SessionCount() const { return sessions_.Size(); }
  // The number of endpoints listed now, ready or draining.
  std::size_t EndpointCount() const { return upstream_.Endpoints().ListedCount(); }
  // The number of endpoints that outlier detection has ejected now.
  std::size_t EjectedCount() const { return balancer_.EjectedCount(); }

 private:
  const Config config_;  // As the proxy was started.
  Counters counters_;
  const bool pushed_;  // Endpoint updates come without the balancer's asking for them.
  bool started_ = false;

  // The parts know each other by reference, so the order matters: none uses another in its constructor that
  // is declared after it, and Downstream, whose destructor still answers waiting clients, is destroyed first.
  SessionTable sessions_;
  SessionController controller_;
  BalancerDriver balancer_;
  Upstream upstream_;
  FleetQuotaGuard fleet_;
  SessionResumption resumption_;
  MessageLatencyReporter latency_reporter_;
  Forwarder forwarder_;
  EndpointUpdater endpoint_updater_;
  DiscoveryClient discovery_;
  Downstream downstream_;
  OperatorDrain operator_drain_;
  GracefulShutdown shutdown_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_PROXY_H_
