#include "proxy/endpoint_table.h"

#include <algorithm>

namespace stoatrun {

std::vector<EndpointIndex> EndpointTable::Apply(const EndpointUpdate& update) {
  ++updates_;
  std::vector<EndpointIndex> affected;
  for (const Endpoint& endpoint : update.entries) {
    const auto index = FindOrAdd(endpoint.id);
    if (!index) continue;
    affected.push_back(*index);
    Entry& entry = entries_.at(*index);
    if (const auto address = Address::Parse(endpoint.address)) entry.address = address;
    entry.state = endpoint.state;
    entry.last_update = updates_;
  }
  if (!update.complete) return affected;
  for (auto& [index, entry] : entries_) {
    if (entry.last_update == updates_) continue;
    entry.state = EndpointState::kGone;
    affected.push_back(index);
  }
  return affected;
}

std::vector<EndpointIndex> EndpointTable::ForgetGone(const std::unordered_set<EndpointIndex>& used) {
  std::vector<EndpointIndex> forgotten;
  for (const auto& [index, entry] : entries_) {
    if (entry.state == EndpointState::kGone && !used.contains(index)) forgotten.push_back(index);
  }
  for (const EndpointIndex index : forgotten) {
    const auto entry = entries_.find(index);
    indexes_.erase(entry->second.id);
    entries_.erase(entry);
  }
  forget_at_size_ = std::max(kMinForgetAtSize, 2 * entries_.size());
  return forgotten;
}

std::optional<EndpointIndex> EndpointTable::Find(const std::string& id) const {
  const auto it = indexes_.find(id);
  return it == indexes_.end() ? std::nullopt : std::optional(it->second);
}

const EndpointTable::Entry& EndpointTable::Get(EndpointIndex index) const {
  static const Entry kForgotten{{}, std::nullopt, EndpointState::kGone, 0};
  const auto it = entries_.find(index);
  return it == entries_.end() ? kForgotten : it->second;
}

std::size_t EndpointTable::ListedCount() const {
  return static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), [](const auto& entry) {
    return entry.second.state != EndpointState::kGone;
  }));
}

std::optional<EndpointIndex> EndpointTable::FindOrAdd(const std::string& id) {
  if (const auto known = Find(id)) return known;
  if (entries_.size() >= kMaxEndpoints) return std::nullopt;
  const EndpointIndex index = next_index_++;
  entries_[index].id = id;
  indexes_[id] = index;
  return index;
}

}  // namespace stoatrun
