#include "proxy/proxy_settings.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>

#include "proxy/time_fraction.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

// What discovery announced stays in force for 6 s, unless the settings specify less.
constexpr Micros kMaxPollInterval = std::chrono::seconds(6);
// Of the time until the service's contents count as announced; the rest is for the call and its answer.
constexpr double kSharedServiceFraction = 0.6;
// Of the grace time of a drain.
constexpr double kLocalAgentFraction = 0.3;
constexpr Micros kMinPollInterval = milliseconds(10);
constexpr Micros kDefaultGrace = milliseconds(250);
// Used if the system's limit can't be read.
constexpr std::size_t kDefaultDescriptorLimit = 1024;

}  // namespace

Upstream::Timeouts UpstreamTimeouts(const SiteSettings& site) {
  Upstream::Timeouts timeouts;
  if (site.connect_timeout.count() > 0) timeouts.connect = site.connect_timeout;
  if (site.idle_timeout.count() > 0) timeouts.idle_timeout = site.idle_timeout;
  return timeouts;
}

Micros MaxDiscoveryPollInterval(const SiteSettings& site) {
  if (site.balancer.list_mode == balancer::ListMode::kPushed) {
    const Micros grace = site.stop_sending_within.count() > 0 ? site.stop_sending_within : kDefaultGrace;
    return std::max(kMinPollInterval, TimeFraction(grace, kLocalAgentFraction));
  }
  if (site.poll_timeout.count() <= 0) return kMaxPollInterval;
  return std::min(kMaxPollInterval, TimeFraction(site.poll_timeout, kSharedServiceFraction));
}

std::size_t DescriptorLimit(const Config& config) {
  rlimit files{};
  std::size_t limit = getrlimit(RLIMIT_NOFILE, &files) == 0 ? files.rlim_cur : kDefaultDescriptorLimit;
  if (config.descriptor_limit > 0) limit = std::min(limit, config.descriptor_limit);
  return limit;
}

}  // namespace stoatrun
