// Converts the fleet's shared state into hints for the relay's balancer.
#ifndef STOATRUN_FLEET_HINT_BUILDER_H_
#define STOATRUN_FLEET_HINT_BUILDER_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/node.h"

namespace stoatrun::fleet {

// Deterministic. Used on the node's thread; the node must outlive it.
class HintBuilder {
 public:
  explicit HintBuilder(Node& node) : node_(node) {}

  // Name of the quota for requests to an endpoint in slow start.
  static std::string SlowStartQuota(std::string_view endpoint) { return "cold:" + std::string(endpoint); }
  // Name of the quota for a group's connections.
  static std::string ConnectionQuota(std::string_view group) { return "connections:" + std::string(group); }

  // Returns the hints that changed since the last call. `warming_up`: the endpoints in slow start.
  std::vector<FleetClient::EndpointHint> TakeHints(Micros now, const std::vector<std::string>& warming_up);
  // Replaces the endpoint list.
  void SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints);

 private:
  Node& node_;
  std::vector<std::string> endpoints_;
  std::map<std::string, FleetClient::EndpointHint> last_hints_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_HINT_BUILDER_H_
