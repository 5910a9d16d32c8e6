// What the workloads of the simulation and of the fault-injection harness share.
#ifndef STOATRUN_SIMULATION_WORKLOAD_H_
#define STOATRUN_SIMULATION_WORKLOAD_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Groups of connections, each with a concurrency quota of its own.
inline constexpr std::size_t kGroupCount = 2;

// The group's name in settings and histories.
inline std::string GroupName(std::size_t group) { return "group-" + std::to_string(group); }

// The time to the next event of a Poisson process with this rate, for a uniform draw from [0, 1). Never 0;
// rates below one in a hundred seconds count as that.
inline Micros PoissonInterval(double uniform, double per_second) {
  const double seconds = -std::log(1 - uniform) / std::max(per_second, 0.01);
  return Micros(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_WORKLOAD_H_
