// The endpoints that the proxy has heard of, each under an index that never changes. Used by the event loop's
// thread only.
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

// Names an endpoint within this process; the balancer's name of it, too.
using EndpointIndex = std::uint32_t;

// Maps endpoint ids to indexes, addresses and states. Endpoints are never removed, for the balancer may still
// name one that is no longer listed.
class EndpointTable {
 public:
  // One endpoint, as its last update gave it.
  struct Entry {
    std::string id;
    std::optional<Address> address;  // None until an update had a valid one.
    EndpointState state = EndpointState::kReady;
  };

  // Takes over the entries of `update`. A complete one marks all others as gone.
  void Apply(const EndpointUpdate& update);

  // The index of `id`; nullopt if no update has named it yet.
  std::optional<EndpointIndex> Find(const std::string& id) const;
  // The endpoint with a valid `index`.
  const Entry& Get(EndpointIndex index) const { return entries_[index]; }
  // The id of the endpoint with a valid `index`.
  const std::string& IdOf(EndpointIndex index) const { return entries_[index].id; }
  // The number of endpoints ever heard of: all indexes are below it.
  std::size_t Size() const { return entries_.size(); }
  // The number of endpoints listed now, ready or draining.
  std::size_t ListedCount() const;

 private:
  EndpointIndex FindOrAdd(const std::string& id);

  std::vector<Entry> entries_;
  std::unordered_map<std::string, EndpointIndex> indexes_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_ENDPOINT_TABLE_H_
