#include "simulation/shrink.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace stoatrun::simulation {

Schedule Shrink(Schedule schedule, const std::function<bool(const Schedule&)>& breaks,
                std::size_t most_plays) {
  std::size_t plays = 0;
  const auto still = [&](const Schedule& s) { return plays++ < most_plays && breaks(s); };
  // The end first: what comes after the breach only costs time.
  for (Micros cut = schedule.length / 2; cut > std::chrono::milliseconds(200); cut /= 2) {
    Schedule shorter = schedule;
    shorter.length -= cut;
    std::erase_if(shorter.steps, [&](const Step& s) { return s.at > shorter.length; });
    if (still(shorter)) schedule = std::move(shorter);
  }
  // Then steps, in ever smaller runs.
  for (std::size_t run = std::max<std::size_t>(1, schedule.steps.size() / 2); run >= 1; run /= 2) {
    for (std::size_t at = 0; at < schedule.steps.size();) {
      Schedule fewer = schedule;
      const auto first = fewer.steps.begin() + static_cast<std::ptrdiff_t>(at);
      fewer.steps.erase(first, first + static_cast<std::ptrdiff_t>(std::min(run, fewer.steps.size() - at)));
      if (still(fewer)) {
        schedule = std::move(fewer);
      } else {
        at += run;
      }
    }
    if (run == 1) break;
  }
  return schedule;
}

}  // namespace stoatrun::simulation
