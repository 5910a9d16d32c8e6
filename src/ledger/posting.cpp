#include "ledger/posting.h"

#include <algorithm>

namespace stoatrun::ledger {
namespace {

template <typename T>
T& Named(std::vector<T>& all, const std::string& name) {
  const auto it = std::find_if(all.begin(), all.end(), [&](const T& t) { return t.name == name; });
  if (it != all.end()) return *it;
  all.emplace_back();
  all.back().name = name;
  return all.back();
}

}  // namespace

std::int64_t Posting::UseUs() const {
  std::int64_t sum = 0;
  for (const GroupUse& g : groups) sum += g.use_us;
  return sum;
}

std::size_t Posting::Cells() const {
  std::size_t cells = 1 + steps.size();
  for (const GroupUse& g : groups) cells += 1 + g.classes.size();
  return cells;
}

void Join(Posting& into, const Posting& from) {
  for (const GroupUse& g : from.groups) {
    GroupUse& to = Named(into.groups, g.name);
    to.use_us += g.use_us;
    to.within_us += g.within_us;
    to.quota_milli = g.quota_milli;
    to.peak = std::max(to.peak, g.peak);
    for (const ClassUse& c : g.classes) {
      ClassUse& sum = Named(to.classes, c.name);
      sum.use_us += c.use_us;
      sum.begun += c.begun;
    }
  }
  into.number = from.number;
  into.period_start_s = from.period_start_s;
  if (into.unrecorded_us == 0) into.unrecorded_from_wall_us = from.unrecorded_from_wall_us;
  into.unrecorded_us += from.unrecorded_us;
  into.wall_us = from.wall_us;
  into.connection_time_us += from.connection_time_us;
  into.period_ended = from.period_ended;
  into.steps.insert(into.steps.end(), from.steps.begin(), from.steps.end());
  into.stretches += from.stretches;
}

Posting WithoutRows(const Posting& posting) {
  constexpr std::size_t kMostSteps = 16;  // A clock that jumps all the time must not fill the memory either.
  Posting bare = posting;
  bare.groups.clear();
  bare.connection_time_us = 0;
  bare.unrecorded_us = posting.unrecorded_us + posting.UseUs();
  if (posting.unrecorded_us == 0) bare.unrecorded_from_wall_us = posting.wall_us;
  if (bare.steps.size() > kMostSteps) bare.steps.resize(kMostSteps);
  return bare;
}

}  // namespace stoatrun::ledger
