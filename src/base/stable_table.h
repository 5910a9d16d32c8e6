// A table by id whose records keep their address until they are erased. Not thread-safe.
#ifndef STOATRUN_BASE_STABLE_TABLE_H_
#define STOATRUN_BASE_STABLE_TABLE_H_

#include <unordered_map>
#include <utility>

namespace stoatrun {

// It can't be iterated: the order would be unspecified.
template <typename Id, typename Record>
class StableTable {
 public:
  // The record of `id`, or null.
  Record* Find(const Id& id) {
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
  }
  // The record of `id`, and whether it has just been added with its default value.
  std::pair<Record&, bool> FindOrAdd(const Id& id) {
    const auto [it, added] = records_.try_emplace(id);
    return {it->second, added};
  }
  // By value: `id` may be part of the record.
  void Erase(Id id) { records_.erase(id); }

 private:
  std::unordered_map<Id, Record> records_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_STABLE_TABLE_H_
