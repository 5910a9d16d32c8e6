#include "proxy/endpoint_table.h"

#include <algorithm>

namespace stoatrun {

void EndpointTable::Apply(const EndpointUpdate& update) {
  std::vector<bool> included(entries_.size() + update.entries.size());
  for (const Endpoint& endpoint : update.entries) {
    const EndpointIndex index = FindOrAdd(endpoint.id);
    included[index] = true;
    Entry& entry = entries_[index];
    if (const auto address = Address::Parse(endpoint.address)) entry.address = address;
    entry.state = endpoint.state;
  }
  if (!update.complete) return;
  for (std::size_t k = 0; k < entries_.size(); ++k) {
    if (!included[k]) entries_[k].state = EndpointState::kGone;
  }
}

std::optional<EndpointIndex> EndpointTable::Find(const std::string& id) const {
  const auto it = indexes_.find(id);
  return it == indexes_.end() ? std::nullopt : std::optional(it->second);
}

std::size_t EndpointTable::ListedCount() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const Entry& entry) {
    return entry.state != EndpointState::kGone;
  }));
}

EndpointIndex EndpointTable::FindOrAdd(const std::string& id) {
  const auto [it, added] = indexes_.try_emplace(id, static_cast<EndpointIndex>(entries_.size()));
  if (added) entries_.emplace_back().id = id;
  return it->second;
}

}  // namespace stoatrun
