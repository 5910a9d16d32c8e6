// Turns what a relay knows of its fleet into the hints that its balancer takes.
#ifndef STOATRUN_FLEET_HINT_BUILDER_H_
#define STOATRUN_FLEET_HINT_BUILDER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/node.h"

namespace stoatrun::fleet {

// Deterministic and used on the node's thread; the node outlives it.
class HintBuilder {
 public:
  // `node`: the source of all hints.
  explicit HintBuilder(Node& node) : node_(node) {}

  // The name of the quota of sends to an endpoint that warms up.
  static std::string SlowStartQuota(std::string_view endpoint) { return "cold:" + std::string(endpoint); }
  // The name of the quota of a group's connections.
  static std::string ConnectionQuota(std::string_view group) { return "connections:" + std::string(group); }

  // The hints that changed since the last call. `warming_up`: endpoints that started recently.
  std::vector<FleetClient::EndpointHint> TakeHints(Micros now, const std::vector<std::string>& warming_up);
  // Sets the endpoints that may be used.
  void SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints);

 private:
  Node& node_;
  std::vector<std::string> endpoints_;
  std::map<std::string, FleetClient::EndpointHint> last_hints_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_HINT_BUILDER_H_
