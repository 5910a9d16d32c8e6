// The table of the endpoints that the proxy has been told of, each with an index that never changes. Used by
// the event loop's thread only.
#ifndef STOATRUN_PROXY_ENDPOINT_TABLE_H_
#define STOATRUN_PROXY_ENDPOINT_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "base/sweep_threshold.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"

namespace stoatrun {

// Identifies an endpoint within this process. Also the balancer's id of the endpoint.
using EndpointIndex = std::uint32_t;

// Maps endpoint ids to indexes, addresses and states. An index is not used again for another endpoint.
// Endpoints that are gone are kept for a while, as sessions and the balancer may still refer to them.
class EndpointTable {
 public:
  // An endpoint, according to the last update that included it.
  struct Entry {
    std::string id;
    std::optional<Address> address;  // nullopt until an update contains a valid one.
    EndpointState state = EndpointState::kGone;
    std::uint64_t last_complete_update = 0;  // The number of the last complete update that included it.
  };

  // Applies the entries of `update`. A complete update marks all other endpoints as gone. Returns the
  // endpoints that it included or marked. Leaves out unknown endpoints that are gone, and those that would be
  // listed beyond kMaxEndpoints.
  std::vector<EndpointIndex> Apply(const EndpointUpdate& update);

  // Whether so many endpoints have been added that EraseRemoved is due.
  bool IsSweepDue() const { return sweep_threshold_.IsReached(entries_.size()); }
  // Removes the endpoints that are gone, except those in `used`. Returns their indexes.
  std::vector<EndpointIndex> EraseRemoved(const std::unordered_set<EndpointIndex>& used);

  // The index of `id`; nullopt if it is not in the table.
  std::optional<EndpointIndex> Find(const std::string& id) const;
  // Whether an endpoint has this index.
  bool Contains(EndpointIndex index) const { return entries_.contains(index); }
  // The endpoint with this index; one that is gone and has no id if it was removed.
  const Entry& Get(EndpointIndex index) const;
  // The id of the endpoint with this index; empty if it was removed.
  const std::string& IdOf(EndpointIndex index) const { return Get(index).id; }
  // The number of endpoints in the table, listed or gone.
  std::size_t Size() const { return entries_.size(); }
  // The number of endpoints that are currently listed, ready or draining.
  std::size_t ListedCount() const { return listed_count_; }

 private:
  // Marks the endpoints that a complete update does not include as gone, and returns all such endpoints.
  std::vector<EndpointIndex> RemoveMissing(const EndpointUpdate& complete);
  void SetState(Entry& entry, EndpointState state);
  std::optional<EndpointIndex> FindOrAdd(const Endpoint& endpoint);

  std::map<EndpointIndex, Entry> entries_;
  std::unordered_map<std::string, EndpointIndex> indexes_;
  EndpointIndex next_index_ = 0;
  std::size_t listed_count_ = 0;
  std::uint64_t updates_ = 0;
  SweepThreshold sweep_threshold_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_ENDPOINT_TABLE_H_
