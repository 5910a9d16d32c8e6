// Limits of the proxy's components, derived from its configuration and from the system's limits.
#ifndef STOATRUN_PROXY_PROXY_SETTINGS_H_
#define STOATRUN_PROXY_PROXY_SETTINGS_H_

#include <cstddef>

#include "base/event_loop.h"
#include "config/config.h"
#include "config/site_settings.h"
#include "proxy/upstream.h"

namespace stoatrun {

// The time limits of connections to endpoints.
Upstream::Timeouts UpstreamTimeouts(const SiteSettings& site);

// The longest time between two calls to discovery. Polling an agent on this machine costs little, and its
// contents count as announced whether or not they have been polled, so the interval is a fraction of the
// grace time of a drain. A service that all proxies share is polled rarely, but often enough that an answer
// arrives before the settings count its contents as announced.
Micros MaxDiscoveryPollInterval(const SiteSettings& site);

// The number of file descriptors that this process may use.
std::size_t DescriptorLimit(const Config& config);

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_PROXY_SETTINGS_H_
