// The endpoint list as a source of endpoints delivers it: discovery, or the configuration file's cached list.
// Plain data, without an owner or a thread.
#ifndef STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_
#define STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_

#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun {

// May an endpoint be used?
enum class EndpointState {
  kReady,     // Takes new requests.
  kDraining,  // Keeps what it has, takes nothing new.
  kGone,      // Removed from the list.
};

// One upstream host.
struct Endpoint {
  std::string id;
  std::string address;  // IP:PORT.
  std::string locality;
  EndpointState state = EndpointState::kReady;
  std::uint64_t cell = 0;            // Hosts of one cell fail together.
  double size = 1.0;                 // Capacity, relative to the other hosts.
  std::int64_t started_unix_ms = 0;  // When its process started, in Unix time; 0: long ago.
};

// A watch event: the changes of some endpoints, or the complete list.
struct EndpointUpdate {
  std::uint64_t revision = 0;
  bool complete = false;  // Endpoints that aren't listed are gone.
  std::vector<Endpoint> entries;
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_
