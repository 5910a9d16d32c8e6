#include "drain/plan.h"

#include <algorithm>

namespace stoatrun::drain {

void Plan::Drain(Micros now) {
  if (draining_) return;
  draining_ = true;
  since_ = now;
}

void Plan::Activate() { draining_ = false; }

Step Plan::At(Micros now, std::size_t standing) const {
  if (!draining_) return {};
  const Micros begin = since_ + pace_.hold;
  if (now < begin) return {0, begin};
  const Micros end = begin + pace_.spread;
  if (now >= end) return {standing, now + pace_.step};
  // An even share of what is left each step, the last of them at `end`.
  const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, (end - now) / pace_.step));
  return {(standing + steps - 1) / steps, now + pace_.step};
}

}  // namespace stoatrun::drain
