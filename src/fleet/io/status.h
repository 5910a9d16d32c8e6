// A relay's view of its fleet as a JSON object, the response to GET /v1/fleet (docs/operators/fleet.md).
#ifndef STOATRUN_FLEET_IO_STATUS_H_
#define STOATRUN_FLEET_IO_STATUS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "fleet/node.h"

namespace stoatrun::fleet {

// Received datagrams that the transport dropped, by reason.
struct DroppedDatagrams {
  std::uint64_t undecodable = 0, wrong_address = 0;
};

// Formats the status of `node`. `name`: this relay's name; `class_names`: indexed by class. Called on the
// node's thread.
std::string StatusJson(Node& node, const std::string& name, const std::vector<std::string>& class_names,
                       Micros now, const DroppedDatagrams& dropped = {});

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_STATUS_H_
