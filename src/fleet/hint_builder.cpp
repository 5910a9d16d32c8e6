#include "fleet/hint_builder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace stoatrun::fleet {

void HintBuilder::SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints) {
  endpoints_.clear();
  for (const FleetClient::ListedEndpoint& endpoint : endpoints) endpoints_.push_back(endpoint.id);
  node_.Outliers().SetEndpoints(endpoints);
  std::erase_if(last_hints_, [&](const auto& t) {
    return std::count(endpoints_.begin(), endpoints_.end(), t.first) == 0;
  });
}

std::vector<FleetClient::EndpointHint> HintBuilder::TakeHints(Micros now,
                                                              const std::vector<std::string>& cold) {
  const std::set<std::string> ejected = node_.Outliers().EndpointsToEject(now);
  std::vector<FleetClient::EndpointHint> out;
  for (const std::string& id : endpoints_) {
    FleetClient::EndpointHint hint{id, 0, -1, ejected.contains(id)};
    // IsComplete connections: noise under that is not worth an event.
    hint.unreported_in_flight = std::round(node_.UnreportedInFlight(now, id).value_or(0));
    if (node_.Quotas().HasQuota(SlowStartQuota(id)) &&
        std::find(cold.begin(), cold.end(), id) != cold.end()) {
      hint.slow_start_tokens = node_.Quotas().Available(now, SlowStartQuota(id));
    }
    const auto [told, fresh] = last_hints_.try_emplace(id, FleetClient::EndpointHint{id, 0, -1, false});
    // An ejection is repeated as long as it holds, for what is told of it fades at the other end.
    if (!hint.eject && told->second == hint) continue;
    told->second = hint;
    out.push_back(hint);
  }
  return out;
}

}  // namespace stoatrun::fleet
