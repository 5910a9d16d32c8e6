// A hash table whose records keep a stable address until they are erased. Not thread-safe.
#ifndef STOATRUN_BASE_STABLE_TABLE_H_
#define STOATRUN_BASE_STABLE_TABLE_H_

#include <unordered_map>
#include <utility>

namespace stoatrun {

template <typename Id, typename Record>
class StableTable {
 public:
  // Returns the record of `id`, or null if there is none.
  Record* Find(const Id& id) {
    const auto it = records_.find(id);
    return it == records_.end() ? nullptr : &it->second;
  }
  // Returns the record of `id`, default-constructed if it is new, and whether it was added by this call.
  std::pair<Record&, bool> FindOrAdd(const Id& id) {
    const auto [it, added] = records_.try_emplace(id);
    return {it->second, added};
  }
  // Calls `visit(record)` for each record, in an unspecified order.
  template <typename Visitor>
  void ForEach(Visitor&& visit) {
    for (auto& [id, record] : records_) visit(record);
  }
  // Takes `id` by value because it may be part of the record.
  void Erase(Id id) { records_.erase(id); }

 private:
  std::unordered_map<Id, Record> records_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_STABLE_TABLE_H_
