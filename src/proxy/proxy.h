// The proxy: accepts clients' requests for connections, opens them at endpoints that the balancer selects,
// and forwards their bytes. This class only wires the components together; SessionController drives them.
//
// Everything runs on the event loop's thread. Call the methods on that thread, or while the loop is not
// running.
#ifndef STOATRUN_PROXY_PROXY_H_
#define STOATRUN_PROXY_PROXY_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "base/usage_meter.h"
#include "config/config.h"
#include "endpoint/discovery_client.h"
#include "endpoint/endpoint_list_sharing.h"
#include "proxy/balancer_driver.h"
#include "proxy/downstream.h"
#include "proxy/endpoint_updater.h"
#include "proxy/fleet_quota_guard.h"
#include "proxy/forwarder.h"
#include "proxy/graceful_shutdown.h"
#include "proxy/message_latency_reporter.h"
#include "proxy/operator_drain.h"
#include "proxy/readiness_gate.h"
#include "proxy/sent_request_ids.h"
#include "proxy/session_closer.h"
#include "proxy/session_controller.h"
#include "proxy/session_resumption.h"
#include "proxy/session_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// What a process shares with the one that it replaces.
struct ProcessHandover {
  SentRequestIds sent_ids;
  std::optional<EndpointListFile> endpoint_list;  // nullopt: the list is not shared.
};

// Owns all components of the proxy.
class Proxy {
 public:
  // `meter` records the usage of established sessions; `fleet` is the interface to the rest of the fleet.
  // Both may be null. They, `loop` and the memory of the sent ids must outlive the proxy.
  Proxy(EventLoop& loop, const Config& config, const ProcessHandover& handover, UsageMeter* meter = nullptr,
        FleetClient* fleet = nullptr);
  Proxy(const Proxy&) = delete;
  Proxy& operator=(const Proxy&) = delete;

  // Starts to listen and to serve. Throws std::system_error if the address can't be bound, and ConfigError if
  // the configured descriptor is not a listening socket.
  void Start();
  // Starts the graceful shutdown, which ends by stopping the event loop. No effect if it has started already.
  void BeginGracefulShutdown();

  // Applies the part of a changed configuration that does not need a restart: moves the watch to the new
  // discovery address. Logs a warning for every other change.
  void Reload(const Config& config);
  // Logs and counts a changed configuration that could not be read; the present one stays in force.
  void OnReloadFailed(std::string_view reason);

  // Starts the operators' drain: see OperatorDrain. No effect while draining.
  void StartDrain();
  // Ends the operators' drain.
  void Activate();

  // Leaves what discovery has told to the process that replaces this one. To be called when the loop has
  // stopped.
  void Finish();

  // Whether the proxy is serving and the front load balancer may send clients to it. A process that replaces
  // another one lets it serve until discovery has answered, see ReadinessGate.
  bool Ready() const;
  // The local port of the listening socket.
  int Port() const { return downstream_.Port(); }
  // The counters since the start.
  const Counters& Counts() const { return counters_; }
  // The names of the classes, in the order of Counters::classes.
  const std::vector<std::string>& ClassNames() const { return config_.settings.class_names; }
  // The number of sessions, pending and established.
  std::size_t SessionCount() const { return sessions_.Size(); }
  // The number of endpoints in the present list, ready or draining.
  std::size_t EndpointCount() const { return upstream_.Endpoints().ListedCount(); }
  // The number of endpoints that are ejected by outlier detection.
  std::size_t EjectedCount() const { return balancer_.EjectedCount(); }

 private:
  const Config config_;  // The configuration at the start.
  Counters counters_;
  const bool pushed_;  // Endpoint updates arrive without a request of the balancer.
  bool started_ = false;

  // The components hold references to each other, so their order matters: no constructor uses a component
  // that is declared later, and Downstream, whose destructor still answers waiting clients, must be destroyed
  // before those declared above it.
  SentRequestIds sent_ids_;
  SessionTable sessions_;
  SessionController controller_;
  BalancerDriver balancer_;
  Upstream upstream_;
  FleetQuotaGuard fleet_;
  SessionResumption resumption_;
  MessageLatencyReporter latency_reporter_;
  Forwarder forwarder_;
  SessionCloser closer_;
  EndpointListSharing list_sharing_;
  EndpointUpdater endpoint_updater_;
  DiscoveryClient discovery_;
  Downstream downstream_;
  OperatorDrain operator_drain_;
  GracefulShutdown shutdown_;
  ReadinessGate readiness_gate_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_PROXY_H_
