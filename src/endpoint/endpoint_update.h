// A list of upstream hosts as a source of entries gives it: discovery here, another inventory later.
#ifndef STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_
#define STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun {

enum class EndpointState { kReady, kDraining, kGone };

struct Endpoint {
  std::string id, address, locality;
  EndpointState phase = EndpointState::kReady;
  std::uint64_t cell = 0;
  double size = 1.0;
  std::int64_t up_since_ms = 0;  // Unix time; 0: long ago.
};

struct EndpointUpdate {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<Endpoint> entries;
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_
