// The complete endpoint list that results from a series of updates. No I/O; not thread-safe.
#ifndef STOATRUN_ENDPOINT_ENDPOINT_LIST_H_
#define STOATRUN_ENDPOINT_ENDPOINT_LIST_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "endpoint/endpoint_update.h"

namespace stoatrun {

// Has at most kMaxEndpoints entries; further ones are left out.
class EndpointList {
 public:
  void Apply(const EndpointUpdate& update);
  // The endpoints in the order in which they were first listed: the balancer's choice among equal ones
  // depends on the order.
  std::vector<Endpoint> Entries() const;

 private:
  struct Entry {
    Endpoint endpoint;
    std::uint64_t position = 0;
  };
  void EraseMissing(const EndpointUpdate& complete);
  void Store(const Endpoint& endpoint);

  std::map<std::string, Entry> entries_;  // By id.
  std::uint64_t next_position_ = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_ENDPOINT_LIST_H_
