// Updates of the endpoint list, from discovery or from the cached list in the configuration file. Plain data.
#ifndef STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_
#define STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun {

// Whether an endpoint accepts requests.
enum class EndpointState {
  kReady,     // Accepts new requests.
  kDraining,  // Keeps its connections but accepts no new requests.
  kGone,      // Removed from the list.
};

// An upstream server.
struct Endpoint {
  std::string id;
  std::string address;  // IP:PORT.
  std::string locality;
  EndpointState state = EndpointState::kReady;
  std::uint64_t cell = 0;            // Endpoints in the same cell share a failure domain.
  double size = 1.0;                 // Capacity relative to the other endpoints.
  std::int64_t started_unix_ms = 0;  // Start time of its process, in Unix time; 0: long ago.
};

// The maximum number of endpoints that are listed at a time, and in one update. Further ones are not used.
constexpr std::size_t kMaxEndpoints = 16384;

// An update: changes to some endpoints, or the complete list.
struct EndpointUpdate {
  std::uint64_t revision = 0;
  bool complete = false;  // Endpoints that aren't listed have been removed.
  std::vector<Endpoint> entries;
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_ENDPOINT_UPDATE_H_
