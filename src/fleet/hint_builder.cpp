#include "fleet/hint_builder.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace stoatrun::fleet {

void HintBuilder::Listed(const std::vector<FleetClient::ListedEndpoint>& endpoints) {
  std::vector<std::pair<std::string, std::int64_t>> starts;
  servers_.clear();
  for (const FleetClient::ListedEndpoint& endpoint : endpoints) {
    starts.emplace_back(endpoint.id, endpoint.started_unix_ms);
    servers_.push_back(endpoint.id);
  }
  node_.Servers().Listed(starts);
  std::erase_if(told_,
                [&](const auto& t) { return std::count(servers_.begin(), servers_.end(), t.first) == 0; });
}

std::vector<FleetClient::EndpointHint> HintBuilder::Advise(Micros now, const std::vector<std::string>& cold) {
  const std::set<std::string> avoided = node_.Servers().OnHearsay(now);
  std::vector<FleetClient::EndpointHint> out;
  for (const std::string& id : servers_) {
    FleetClient::EndpointHint hint{id, 0, -1, avoided.contains(id)};
    // Whole connections: noise under that is not worth an event.
    hint.unreported_in_flight = std::round(node_.UnseenByOthers(now, id).value_or(0));
    if (node_.Purses().Knows(Cold(id)) && std::find(cold.begin(), cold.end(), id) != cold.end()) {
      hint.slow_start_tokens = node_.Purses().Available(now, Cold(id));
    }
    const auto [told, fresh] = told_.try_emplace(id, FleetClient::EndpointHint{id, 0, -1, false});
    // An ejection is repeated as long as it holds, for what is told of it fades at the other end.
    if (!hint.eject && told->second == hint) continue;
    told->second = hint;
    out.push_back(hint);
  }
  return out;
}

}  // namespace stoatrun::fleet
