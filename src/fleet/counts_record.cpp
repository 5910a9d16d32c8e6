#include "fleet/counts_record.h"

#include <algorithm>

#include "fleet/local_connection_counts.h"

namespace stoatrun::fleet {
namespace {

constexpr std::size_t kMaxSeparateIncarnations = 4;  // Stored separately per member.

void Merge(CountsRecord& sum, const CountsRecord& record) {
  for (const ConnectionCountsRow& row : record.rows) {
    const auto it = std::find_if(sum.rows.begin(), sum.rows.end(), [&](const ConnectionCountsRow& other) {
      return other.class_index == row.class_index && other.group == row.group;
    });
    if (it == sum.rows.end()) {
      sum.rows.push_back(row);
    } else {
      AddTo(it->counts, row.counts);
    }
  }
  const bool first = !sum.ended;
  sum.ended = true;
  sum.version = 1;
  sum.gap = first ? record.gap : SumOfBounds(sum.gap, record.gap);
}

}  // namespace

std::optional<Micros> SumOfBounds(std::optional<Micros> first, std::optional<Micros> second) {
  return first && second ? std::optional(*first + *second) : std::nullopt;
}

std::optional<Micros> CountsRecord::AgeBound(Micros now) const {
  if (!age) return std::nullopt;
  return *age + UpperBoundWithDrift(now - age_at);
}

void CountsRecord::TightenAge(Micros now, std::optional<Micros> bound) {
  const auto known = AgeBound(now);
  if (!bound || (known && *known <= *bound)) return;
  age = bound;
  age_at = now;
}

void CountsRecord::TightenGap(std::optional<Micros> bound) {
  if (bound) gap = gap ? std::min(*gap, *bound) : *bound;
}

void CountsRecord::BoundGapByAge(Micros now) {
  if (!ended) return;
  if (const auto bound = AgeBound(now)) {
    TightenGap(std::max(Micros(0), *bound - LowerBoundWithDrift(now - ended_at)));
  }
}

void CountsRecord::MarkEnded(Micros now) {
  if (ended) return;
  ended = true;
  ended_at = now;
  BoundGapByAge(now);
}

bool CountsRecord::AddPart(Micros now, const CountsUpdate& update, std::optional<Micros> part_age) {
  if (update.version < assembly.version) return false;
  if (update.version > assembly.version) assembly = {update.version, {}, update.parts, part_age, now};
  if (update.parts != assembly.parts_wanted) return false;
  assembly.parts[update.part] = update.rows;
  if (assembly.parts.size() < assembly.parts_wanted) return false;
  version = assembly.version;
  rows.clear();
  for (const auto& [part, part_rows] : assembly.parts) {
    rows.insert(rows.end(), part_rows.begin(), part_rows.end());
  }
  age = assembly.age;
  age_at = assembly.at;
  gap.reset();
  assembly = {};
  return true;
}

bool MemberCounts::IsKnownOrMerged(const Incarnation& incarnation) const {
  return incarnations.contains(incarnation.id) || incarnation.generation <= merged_generation;
}

const CountsRecord* MemberCounts::Find(std::uint32_t short_id) const {
  const auto it = std::find_if(incarnations.begin(), incarnations.end(), [&](const auto& known) {
    return ShortIncarnationId(known.second.incarnation) == short_id;
  });
  return it == incarnations.end() ? nullptr : &it->second;
}

CountsRecord* MemberCounts::Find(std::uint32_t short_id) {
  return const_cast<CountsRecord*>(static_cast<const MemberCounts*>(this)->Find(short_id));
}

bool MemberCounts::HasSuccessor(const CountsRecord& record) const {
  return std::any_of(incarnations.begin(), incarnations.end(),
                     [&](const auto& known) { return known.second.incarnation > record.incarnation; });
}

void MemberCounts::MergeOldest() {
  if (incarnations.size() <= kMaxSeparateIncarnations) return;
  const auto oldest = std::min_element(
      incarnations.begin(), incarnations.end(),
      [](const auto& a, const auto& b) { return a.second.incarnation < b.second.incarnation; });
  if (!oldest->second.ended) return;
  Merge(merged, oldest->second);
  merged_generation = std::max(merged_generation, oldest->second.incarnation.generation);
  incarnations.erase(oldest);
}

}  // namespace stoatrun::fleet
