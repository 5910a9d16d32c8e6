// Between what a relay knows of its fleet and what its decisions ask for. Pure, as the node is.
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

  // The budgets of cold sends to a server and of a group's connections.
  static std::string Cold(std::string_view server) { return "cold:" + std::string(server); }
  static std::string Quota(std::string_view group) { return "connections:" + std::string(group); }

  // What is to be told of each listed server; only what changed since it was told last. `cold`: servers that
  // started lately and still warm up.
  std::vector<FleetClient::EndpointHint> Advise(Micros now, const std::vector<std::string>& cold);
  void Listed(const std::vector<FleetClient::ListedEndpoint>& endpoints);

 private:
  Node& node_;
  std::vector<std::string> servers_;
  std::map<std::string, FleetClient::EndpointHint> told_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_HINT_BUILDER_H_
