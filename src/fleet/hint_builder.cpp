#include "fleet/hint_builder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace stoatrun::fleet {
namespace {

bool Contains(const std::vector<std::string>& names, const std::string& name) {
  return std::find(names.begin(), names.end(), name) != names.end();
}

}  // namespace

void HintBuilder::SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints) {
  endpoints_.clear();
  for (const FleetClient::ListedEndpoint& endpoint : endpoints) endpoints_.push_back(endpoint.id);
  node_.Outliers().SetEndpoints(endpoints);
  std::erase_if(last_hints_, [&](const auto& last) { return !Contains(endpoints_, last.first); });
}

std::vector<FleetClient::EndpointHint> HintBuilder::TakeHints(Micros now,
                                                              const std::vector<std::string>& warming_up) {
  const std::set<std::string> ejected = node_.Outliers().EndpointsToEject(now);
  std::vector<FleetClient::EndpointHint> out;
  for (const std::string& id : endpoints_) {
    FleetClient::EndpointHint hint{id, 0, -1, ejected.contains(id)};
    // Rounded to whole requests, so that smaller changes cause no event.
    hint.unreported_in_flight = std::round(node_.UnreportedInFlight(now, id).value_or(0));
    const std::string quota = SlowStartQuota(id);
    if (node_.Quotas().HasQuota(quota) && Contains(warming_up, id)) {
      hint.slow_start_tokens = node_.Quotas().Available(now, quota);
    }
    const auto [last, fresh] = last_hints_.try_emplace(id, FleetClient::EndpointHint{id, 0, -1, false});
    // An ejection is repeated for as long as it applies, because the balancer lets it expire.
    if (!hint.eject && last->second == hint) continue;
    last->second = hint;
    out.push_back(hint);
  }
  return out;
}

}  // namespace stoatrun::fleet
