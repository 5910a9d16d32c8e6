#include "proxy/endpoint_table.h"

#include <algorithm>

namespace stoatrun {

std::vector<EndpointIndex> EndpointTable::Apply(const EndpointUpdate& update) {
  ++updates_;
  std::vector<EndpointIndex> affected;
  // First, as the endpoints that are gone leave room for others.
  if (update.complete) affected = RemoveMissing(update);
  for (const Endpoint& endpoint : update.entries) {
    const auto index = FindOrAdd(endpoint);
    if (!index) continue;
    affected.push_back(*index);
    Entry& entry = entries_.at(*index);
    if (const auto address = Address::Parse(endpoint.address)) entry.address = address;
    SetState(entry, endpoint.state);
  }
  return affected;
}

std::vector<EndpointIndex> EndpointTable::RemoveMissing(const EndpointUpdate& complete) {
  for (const Endpoint& endpoint : complete.entries) {
    if (const auto index = Find(endpoint.id)) entries_.at(*index).last_complete_update = updates_;
  }
  std::vector<EndpointIndex> removed;
  for (auto& [index, entry] : entries_) {
    if (entry.last_complete_update == updates_) continue;
    SetState(entry, EndpointState::kGone);
    removed.push_back(index);
  }
  return removed;
}

void EndpointTable::SetState(Entry& entry, EndpointState state) {
  if (entry.state != EndpointState::kGone) --listed_count_;
  entry.state = state;
  if (entry.state != EndpointState::kGone) ++listed_count_;
}

std::vector<EndpointIndex> EndpointTable::EraseRemoved(const std::unordered_set<EndpointIndex>& used) {
  std::vector<EndpointIndex> erased;
  for (const auto& [index, entry] : entries_) {
    if (entry.state == EndpointState::kGone && !used.contains(index)) erased.push_back(index);
  }
  for (const EndpointIndex index : erased) {
    const auto entry = entries_.find(index);
    indexes_.erase(entry->second.id);
    entries_.erase(entry);
  }
  sweep_threshold_.Update(entries_.size());
  return erased;
}

std::optional<EndpointIndex> EndpointTable::Find(const std::string& id) const {
  const auto it = indexes_.find(id);
  return it == indexes_.end() ? std::nullopt : std::optional(it->second);
}

const EndpointTable::Entry& EndpointTable::Get(EndpointIndex index) const {
  static const Entry kErased;
  const auto it = entries_.find(index);
  return it == entries_.end() ? kErased : it->second;
}

std::optional<EndpointIndex> EndpointTable::FindOrAdd(const Endpoint& endpoint) {
  if (const auto known = Find(endpoint.id)) return known;
  if (endpoint.state == EndpointState::kGone || listed_count_ >= kMaxEndpoints) return std::nullopt;
  const EndpointIndex index = next_index_++;
  entries_[index].id = endpoint.id;
  indexes_[endpoint.id] = index;
  return index;
}

}  // namespace stoatrun
