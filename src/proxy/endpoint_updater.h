// Applies updates of the endpoint list, from the configuration and from discovery, to all parts of the proxy.
#ifndef STOATRUN_PROXY_ENDPOINT_UPDATER_H_
#define STOATRUN_PROXY_ENDPOINT_UPDATER_H_

#include <string>
#include <vector>

#include "base/event_loop.h"
#include "config/site_settings.h"
#include "endpoint/discovery_client.h"
#include "endpoint/endpoint_update.h"
#include "proxy/balancer_driver.h"
#include "proxy/balancer_mapping.h"
#include "proxy/fleet_quota_guard.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Used by the event loop's thread only.
class EndpointUpdater : public DiscoveryListener {
 public:
  // All references must outlive the object, but for `site`.
  EndpointUpdater(EventLoop& loop, const SiteSettings& site, Upstream& upstream, FleetQuotaGuard& fleet,
                  BalancerDriver& balancer);

  // Applies an update: first to the endpoint table, then to the fleet, last to the balancer.
  void Apply(const EndpointUpdate& update, EndpointSource source);

  void OnEndpointUpdate(const EndpointUpdate& update) override;
  void OnWatchFailed() override;

 private:
  EventLoop& loop_;
  Upstream& upstream_;
  FleetQuotaGuard& fleet_;
  BalancerDriver& balancer_;
  const bool pushed_;               // Updates come without the balancer's asking for them.
  std::vector<std::string> zones_;  // The balancer's zones, by number.
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_ENDPOINT_UPDATER_H_
