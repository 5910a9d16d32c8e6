#include "proxy/proxy.h"

#include "base/log.h"
#include "proxy/proxy_settings.h"

namespace stoatrun {
namespace {

void WarnIfRestartNeeded(bool changed, std::string_view setting) {
  if (changed) LogLine(Level::kWarn, "reload takes a restart").Field("changed", setting);
}

}  // namespace

Proxy::Proxy(EventLoop& loop, const Config& config, const ProcessHandover& handover, UsageMeter* meter,
             FleetClient* fleet)
    : config_(config),
      pushed_(config.settings.balancer.list_mode == balancer::ListMode::kPushed),
      sent_ids_(handover.sent_ids),
      sessions_(loop, meter, fleet, sent_ids_),
      controller_({loop, config_.settings, counters_, sessions_, downstream_, upstream_, discovery_,
                   balancer_, fleet_, resumption_, forwarder_, closer_}),
      balancer_(loop, config.settings.balancer, controller_),
      upstream_(loop, controller_, counters_, UpstreamTimeouts(config.settings)),
      fleet_(loop, fleet, config.settings.balancer.slow_start_duration, upstream_.Endpoints(), sessions_,
             balancer_, controller_),
      resumption_(loop, upstream_),
      latency_reporter_(loop, config.settings.balancer, upstream_.Endpoints(), balancer_),
      forwarder_(loop, sessions_, downstream_, upstream_, balancer_, latency_reporter_),
      closer_(loop, sessions_, downstream_, upstream_, balancer_, forwarder_),
      list_sharing_(loop, handover.endpoint_list),
      endpoint_updater_(loop, config.settings, upstream_, fleet_, balancer_, sessions_, list_sharing_),
      discovery_(
          loop, endpoint_updater_, counters_, config.discovery, config.discovery_text,
          // A replaced process may have been told more than is configured: only a complete list shows all.
          config.accept_fd ? 0 : config.cached_endpoints.revision,
          {pushed_ ? 1 : config.settings.balancer.replicas, config.settings.balancer.seed,
           MaxDiscoveryPollInterval(config.settings),
           pushed_ ? ListSource::kLocalAgent : ListSource::kSharedService}),
      downstream_(loop, controller_, counters_, DescriptorLimit(config)),
      operator_drain_(loop, counters_, sessions_, downstream_, controller_),
      shutdown_(loop, config.settings.max_deadline, sessions_, downstream_, controller_, closer_,
                list_sharing_),
      readiness_gate_(loop, discovery_) {
  counters_.classes.resize(config_.settings.class_names.size());
}

void Proxy::Start() {
  if (config_.accept_fd) {
    downstream_.AdoptListener(*config_.accept_fd);
  } else {
    downstream_.Listen(config_.listen);
  }
  // What the previous process was told counts for this one; the configured list may be older.
  const auto previous = list_sharing_.Load();
  const bool has_previous = previous && discovery_.OnOtherProcess(*previous);
  endpoint_updater_.Apply(has_previous ? previous->list : config_.cached_endpoints, EndpointSource::kCached);
  list_sharing_.Start(discovery_, [this](const EndpointUpdate& list) {
    endpoint_updater_.Apply(list, EndpointSource::kCached);
  });
  // With pushed updates the balancer does not request a watch. A proxy on sockets still needs one, because
  // the agent on this machine sends its updates only to an open watch.
  if (pushed_) discovery_.Watch();
  started_ = true;
  if (config_.accept_fd) readiness_gate_.Close();
  fleet_.Start();
}

void Proxy::BeginGracefulShutdown() {
  if (shutdown_.Begin()) operator_drain_.StopMigrating();
}

void Proxy::Reload(const Config& config) {
  ++counters_.reloads;
  LogLine(Level::kInfo, "reload").Field("discovery", config.discovery_text);
  WarnIfRestartNeeded(config.proxy_name != config_.proxy_name, "name");
  WarnIfRestartNeeded(config.listen != config_.listen, "listen");
  WarnIfRestartNeeded(config.settings_text != config_.settings_text, "settings");
  discovery_.ChangeAddress(config.discovery, config.discovery_text);
}

void Proxy::OnReloadFailed(std::string_view reason) {
  ++counters_.reloads_failed;
  LogLine(Level::kError, "reload failed, the old configuration stays").Reason(reason);
}

void Proxy::StartDrain() { operator_drain_.Drain(); }

void Proxy::Activate() {
  operator_drain_.Activate(shutdown_.IsServing());
  readiness_gate_.Open();  // The operators want an answer now.
}

void Proxy::Finish() { list_sharing_.Publish(); }

bool Proxy::Ready() const {
  return started_ && shutdown_.IsServing() && operator_drain_.Healthy() && readiness_gate_.IsOpen();
}

}  // namespace stoatrun
