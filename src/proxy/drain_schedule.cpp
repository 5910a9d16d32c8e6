#include "proxy/drain_schedule.h"

#include <algorithm>

namespace stoatrun::drain {

void Plan::Drain(Micros now) {
  if (draining_) return;
  draining_ = true;
  since_ = now;
  carry_ = 0;
}

void Plan::Activate() { draining_ = false; }

Step Plan::At(Micros now, std::size_t standing) {
  if (!draining_) return {};
  const Micros begin = since_ + pace_.hold;
  if (now < begin) return {0, begin};
  const Micros end = begin + pace_.spread;
  if (now >= end) return {standing, now + pace_.step};
  return {EvenShare(standing, end - now, pace_.step, carry_), now + pace_.step};
}

std::size_t EvenShare(std::size_t count, Micros left, Micros step, double& carry) {
  if (left <= step) {
    carry = 0;
    return count;
  }
  const double steps = static_cast<double>(left.count()) / static_cast<double>(step.count());
  carry += static_cast<double>(count) / steps;
  const auto now = std::min(count, static_cast<std::size_t>(carry));
  carry -= static_cast<double>(now);
  return now;
}

std::vector<std::uint64_t> Quietest(std::vector<Standing> all, std::size_t n) {
  n = std::min(n, all.size());
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(n), all.end(),
                    [](const Standing& a, const Standing& b) {
                      if (a.asking != b.asking) return b.asking;
                      if (a.answered_at != b.answered_at) return a.answered_at > b.answered_at;
                      return a.id < b.id;
                    });
  std::vector<std::uint64_t> chosen;
  chosen.reserve(n);
  for (std::size_t k = 0; k < n; ++k) chosen.push_back(all[k].id);
  return chosen;
}

}  // namespace stoatrun::drain
