// The table of all endpoints that the proxy has been told of, each with an index that never changes. Used by
// the event loop's thread only.
#ifndef STOATRUN_PROXY_ENDPOINT_TABLE_H_
#define STOATRUN_PROXY_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"

namespace stoatrun {

// Identifies an endpoint within this process. Also the balancer's id of the endpoint.
using EndpointIndex = std::uint32_t;

// Maps endpoint ids to indexes, addresses and states. Endpoints are never removed, because the balancer
// may still refer to one that is no longer listed.
class EndpointTable {
 public:
  // An endpoint, according to the last update that included it.
  struct Entry {
    std::string id;
    std::optional<Address> address;  // nullopt until an update contains a valid one.
    EndpointState state = EndpointState::kReady;
  };

  // Applies the entries of `update`. A complete update marks all other endpoints as gone.
  void Apply(const EndpointUpdate& update);

  // The index of `id`; nullopt if no update has included it yet.
  std::optional<EndpointIndex> Find(const std::string& id) const;
  // The endpoint with a valid `index`.
  const Entry& Get(EndpointIndex index) const { return entries_[index]; }
  // The id of the endpoint with a valid `index`.
  const std::string& IdOf(EndpointIndex index) const { return entries_[index].id; }
  // The number of endpoints in the table, listed or gone. All valid indexes are below it.
  std::size_t Size() const { return entries_.size(); }
  // The number of endpoints that are currently listed, ready or draining.
  std::size_t ListedCount() const;

 private:
  EndpointIndex FindOrAdd(const std::string& id);

  std::vector<Entry> entries_;
  std::unordered_map<std::string, EndpointIndex> indexes_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_ENDPOINT_TABLE_H_
