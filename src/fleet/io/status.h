// What a relay knows of its fleet, as one JSON object for the status call (docs/operators/fleet.md).
#ifndef STOATRUN_FLEET_IO_STATUS_H_
#define STOATRUN_FLEET_IO_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/node.h"

namespace stoatrun::fleet {

// Datagrams that the socket dropped.
struct StatusExtra {
  std::uint64_t dropped = 0, wrong_address = 0;
};

// `name`: this relay's; `class_names`: by class index. Called on the node's thread.
std::string StatusJson(Node& node, const std::string& name, const std::vector<std::string>& class_names,
                       Micros now, const StatusExtra& extra = {});

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_STATUS_H_
