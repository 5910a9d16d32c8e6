#include "ledger/posting.h"

#include <algorithm>

namespace stoatrun::ledger {
namespace {

// Returns the entry with that name, appended if there is none.
template <typename Entry>
Entry& FindOrAppend(std::vector<Entry>& entries, const std::string& name) {
  const auto it =
      std::find_if(entries.begin(), entries.end(), [&](const Entry& entry) { return entry.name == name; });
  if (it != entries.end()) return *it;
  entries.emplace_back();
  entries.back().name = name;
  return entries.back();
}

void MergeGroup(GroupUse& into, const GroupUse& from) {
  into.use_us += from.use_us;
  into.within_us += from.within_us;
  into.quota_milli = from.quota_milli;
  into.peak = std::max(into.peak, from.peak);
  for (const ClassUse& use : from.classes) {
    ClassUse& sum = FindOrAppend(into.classes, use.name);
    sum.use_us += use.use_us;
    sum.begun += use.begun;
  }
}

}  // namespace

std::int64_t Posting::UseUs() const {
  std::int64_t sum = 0;
  for (const GroupUse& group : groups) sum += group.use_us;
  return sum;
}

std::size_t Posting::Cells() const {
  std::size_t cells = 1 + steps.size();
  for (const GroupUse& group : groups) cells += 1 + group.classes.size();
  return cells;
}

void MergePosting(Posting& into, const Posting& from) {
  for (const GroupUse& group : from.groups) MergeGroup(FindOrAppend(into.groups, group.name), group);
  into.number = from.number;
  into.period_start_s = from.period_start_s;
  if (into.unrecorded_us == 0) into.unrecorded_from_wall_us = from.unrecorded_from_wall_us;
  into.unrecorded_us += from.unrecorded_us;
  into.wall_us = from.wall_us;
  into.connection_time_us += from.connection_time_us;
  into.period_ended = from.period_ended;
  into.steps.insert(into.steps.end(), from.steps.begin(), from.steps.end());
}

Posting WithoutUsage(const Posting& posting) {
  constexpr std::size_t kMaxSteps = 16;  // A constantly stepping clock must not exhaust the memory.
  Posting reduced = posting;
  reduced.groups.clear();
  reduced.connection_time_us = 0;
  reduced.unrecorded_us = posting.unrecorded_us + posting.UseUs();
  if (posting.unrecorded_us == 0) reduced.unrecorded_from_wall_us = posting.wall_us;
  if (reduced.steps.size() > kMaxSteps) reduced.steps.resize(kMaxSteps);
  return reduced;
}

}  // namespace stoatrun::ledger
