#include "endpoint/endpoint_list.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

#include "base/tcp_connection.h"

namespace stoatrun {

void EndpointList::Apply(const EndpointUpdate& update) {
  if (update.complete) EraseMissing(update);
  for (const Endpoint& endpoint : update.entries) {
    if (endpoint.state == EndpointState::kGone) {
      entries_.erase(endpoint.id);
    } else if (entries_.size() < kMaxEndpoints || entries_.contains(endpoint.id)) {
      Store(endpoint);
    }
  }
}

void EndpointList::EraseMissing(const EndpointUpdate& complete) {
  std::set<std::string_view> listed;
  for (const Endpoint& endpoint : complete.entries) listed.insert(endpoint.id);
  std::erase_if(entries_, [&](const auto& entry) { return !listed.contains(entry.first); });
}

// An endpoint that comes without a valid address keeps the one that it had, as in the proxy's table.
void EndpointList::Store(const Endpoint& endpoint) {
  const auto [entry, added] = entries_.try_emplace(endpoint.id);
  if (added) entry->second.position = next_position_++;
  Endpoint& stored = entry->second.endpoint;
  std::string former_address = std::move(stored.address);
  stored = endpoint;
  if (!Address::Parse(stored.address)) stored.address = std::move(former_address);
}

std::vector<Endpoint> EndpointList::Entries() const {
  std::vector<const Entry*> ordered;
  ordered.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) ordered.push_back(&entry);
  std::ranges::sort(ordered, {}, &Entry::position);
  std::vector<Endpoint> endpoints;
  endpoints.reserve(ordered.size());
  for (const Entry* entry : ordered) endpoints.push_back(entry->endpoint);
  return endpoints;
}

}  // namespace stoatrun
