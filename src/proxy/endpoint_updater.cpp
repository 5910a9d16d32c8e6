#include "proxy/endpoint_updater.h"

#include "base/log.h"

namespace stoatrun {

EndpointUpdater::EndpointUpdater(EventLoop& loop, const SiteSettings& site, Upstream& upstream,
                                 FleetQuotaGuard& fleet, BalancerDriver& balancer, SessionTable& sessions,
                                 EndpointListSharing& sharing)
    : loop_(loop),
      upstream_(upstream),
      fleet_(fleet),
      balancer_(balancer),
      sessions_(sessions),
      sharing_(sharing),
      lists_are_pushed_(site.balancer.list_mode == balancer::ListMode::kPushed),
      zone_names_(site.zone_names) {}

void EndpointUpdater::Apply(const EndpointUpdate& update, EndpointSource source) {
  upstream_.ApplyUpdate(update);
  fleet_.OnEndpointUpdate(update);
  LogLine(Level::kInfo, "endpoint update")
      .Field("revision", update.revision)
      .Flag("complete", update.complete)
      .Flag("changes", !update.complete)
      .Field("entries", update.entries.size());
  balancer_.HandleEvent(ToEndpointUpdate(update, source, upstream_.Endpoints(), loop_.clock, zone_names_));
  sharing_.OnUpdateApplied(update);
  if (upstream_.Endpoints().ListedCount() >= kMaxEndpoints) LogLine(Level::kWarn, "endpoint table is full");
  if (upstream_.IsSweepDue()) upstream_.EraseRemovedEndpoints(sessions_.UsedEndpoints());
}

void EndpointUpdater::OnEndpointUpdate(const EndpointUpdate& update) {
  Apply(update, EndpointSource::kWatch);
}

void EndpointUpdater::OnWatchFailed() {
  // Where lists are pushed the balancer did not request the watch, so it is not notified. The discovery
  // client renews the watch in either case.
  if (!lists_are_pushed_) balancer_.HandleEvent(ToEndpointUpdateFailed());
}

}  // namespace stoatrun
