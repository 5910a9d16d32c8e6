// Applies endpoint lists and updates, from the configuration and from discovery, to all components of the
// proxy.
#ifndef STOATRUN_PROXY_ENDPOINT_UPDATER_H_
#define STOATRUN_PROXY_ENDPOINT_UPDATER_H_

#include <string>
#include <vector>

#include "base/event_loop.h"
#include "config/site_settings.h"
#include "endpoint/discovery_client.h"
#include "endpoint/endpoint_list_sharing.h"
#include "endpoint/endpoint_update.h"
#include "proxy/balancer_driver.h"
#include "proxy/balancer_mapping.h"
#include "proxy/fleet_quota_guard.h"
#include "proxy/session_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Used by the event loop's thread only.
class EndpointUpdater : public DiscoveryListener {
 public:
  // All references except `site` must outlive the object.
  EndpointUpdater(EventLoop& loop, const SiteSettings& site, Upstream& upstream, FleetQuotaGuard& fleet,
                  BalancerDriver& balancer, SessionTable& sessions, EndpointListSharing& sharing);

  // Applies an update to the endpoint table, then to the fleet, and finally to the balancer, and shares it
  // with the relay's other process. Erases endpoints that have been gone when there are many.
  void Apply(const EndpointUpdate& update, EndpointSource source);

  void OnEndpointUpdate(const EndpointUpdate& update) override;
  void OnWatchFailed() override;

 private:
  EventLoop& loop_;
  Upstream& upstream_;
  FleetQuotaGuard& fleet_;
  BalancerDriver& balancer_;
  SessionTable& sessions_;
  EndpointListSharing& sharing_;
  const bool lists_are_pushed_;                // Updates arrive without a request of the balancer.
  const std::vector<std::string> zone_names_;  // Indexed by ZoneId.
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_ENDPOINT_UPDATER_H_
