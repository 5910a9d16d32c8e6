#include "cli/service.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "ops/log.h"

namespace stoatrun {
namespace {

constexpr std::size_t kUsualDescriptors = 1024;  // Where neither the configuration nor the system tells.
constexpr Micros kUsualStopSending = std::chrono::milliseconds(250);

Prober::Times TimesOf(const arrowhatch::settings::SiteSettings& site) {
  Prober::Times times;
  if (site.connect_timeout.count() > 0) times.connect = site.connect_timeout;
  if (site.idle_close.count() > 0) times.idle_close = site.idle_close;
  return times;
}

Micros StopSendingOf(const arrowhatch::settings::SiteSettings& site) {
  return site.stop_sending_within.count() > 0 ? site.stop_sending_within : kUsualStopSending;
}

std::size_t DescriptorsOf(const Config& config) {
  rlimit files{};
  std::size_t most = getrlimit(RLIMIT_NOFILE, &files) == 0 ? files.rlim_cur : kUsualDescriptors;
  if (config.sockets > 0) most = std::min(most, config.sockets);
  return most;
}

}  // namespace

Service::Service(Loop& loop, const Config& config, ledger::Meter* meter)
    : start_(config),
      book_(loop, StopSendingOf(config.site)),
      relay_(loop, config.site, book_, counters_, meter),
      issuer_(loop, book_, relay_, counters_, TimesOf(config.site).connect),
      prober_(loop, book_, relay_, counters_, TimesOf(config.site)),
      acquirer_(loop, relay_, relay_, issuer_, counters_, DescriptorsOf(config)),
      discovery_(loop, relay_, counters_, config.discovery, config.discovery_text, config.known.revision) {
  relay_.Connect({[this](HostNumber host) { prober_.Probe(host); }, [this] { discovery_.Watch(); }});
  relay_.AddFront(acquirer_);
}

void Service::Start() {
  acquirer_.Listen(start_.listen);
  relay_.TakeList(start_.known, ListSource::kKnown);
}

void Service::Reload(const Config& config) {
  ++counters_.reloads;
  LogLine(Level::kInfo, "reload").Field("discovery", config.discovery_text);
  const auto keeps = [](bool same, std::string_view what) {
    if (!same) LogLine(Level::kWarn, "reload takes a restart").Field("changed", what);
  };
  keeps(config.name == start_.name, "name");
  keeps(config.listen == start_.listen, "listen");
  keeps(config.settings_text == start_.settings_text, "settings");
  discovery_.MoveTo(config.discovery, config.discovery_text);
}

void Service::ReloadFailed(std::string_view why) {
  ++counters_.reloads_failed;
  LogLine(Level::kError, "reload failed, the old configuration stays").Why(why);
}

}  // namespace stoatrun
