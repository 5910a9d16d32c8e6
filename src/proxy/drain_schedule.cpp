#include "proxy/drain_schedule.h"

#include <algorithm>

namespace stoatrun::drain {

void Schedule::Drain(Micros now) {
  if (draining_) return;
  draining_ = true;
  draining_since_ = now;
  carry_ = 0;
}

void Schedule::Activate() { draining_ = false; }

Step Schedule::Advance(Micros now, std::size_t established) {
  if (!draining_) return {};
  const Micros begin = draining_since_ + timing_.migration_delay;
  if (now < begin) return {0, begin};
  const Micros end = begin + timing_.migration_duration;
  if (now >= end) return {established, now + timing_.step_interval};
  return {EvenShare(established, end - now, timing_.step_interval, carry_), now + timing_.step_interval};
}

std::size_t EvenShare(std::size_t count, Micros remaining, Micros step_interval, double& carry) {
  if (remaining <= step_interval) {
    carry = 0;
    return count;
  }
  const double steps = static_cast<double>(remaining.count()) / static_cast<double>(step_interval.count());
  carry += static_cast<double>(count) / steps;
  const auto share = std::min(count, static_cast<std::size_t>(carry));
  carry -= static_cast<double>(share);
  return share;
}

std::vector<std::uint64_t> SelectForMigration(std::vector<Candidate> candidates, std::size_t count) {
  count = std::min(count, candidates.size());
  const auto last = candidates.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(candidates.begin(), last, candidates.end(),
                    [](const Candidate& left, const Candidate& right) {
                      if (left.request_in_flight != right.request_in_flight) return right.request_in_flight;
                      if (left.answered_at != right.answered_at) return left.answered_at > right.answered_at;
                      return left.id < right.id;
                    });
  std::vector<std::uint64_t> selected;
  selected.reserve(count);
  for (std::size_t k = 0; k < count; ++k) selected.push_back(candidates[k].id);
  return selected;
}

}  // namespace stoatrun::drain
