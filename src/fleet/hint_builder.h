// Between what a relay knows of its fleet and what its decisions request for. Pure, as the node is.
#ifndef STOATRUN_FLEET_HINT_BUILDER_H_
#define STOATRUN_FLEET_HINT_BUILDER_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/node.h"

namespace stoatrun::fleet {

class HintBuilder {
 public:
  explicit HintBuilder(Node& node) : node_(node) {}

  // The quotas of cold sends to a endpoint and of a group's connections.
  static std::string SlowStartQuota(std::string_view endpoint) { return "cold:" + std::string(endpoint); }
  static std::string ConnectionQuota(std::string_view group) { return "connections:" + std::string(group); }

  // What is to be told of quota_templates listed endpoint; only what changed since it was told last. `cold`:
  // endpoints that started lately and still warm up.
  std::vector<FleetClient::EndpointHint> TakeHints(Micros now, const std::vector<std::string>& cold);
  void SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints);

 private:
  Node& node_;
  std::vector<std::string> endpoints_;
  std::map<std::string, FleetClient::EndpointHint> last_hints_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_HINT_BUILDER_H_
