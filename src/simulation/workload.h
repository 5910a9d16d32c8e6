// Definitions shared by the workloads of the simulation and of the fault-injection harness.
#ifndef STOATRUN_SIMULATION_WORKLOAD_H_
#define STOATRUN_SIMULATION_WORKLOAD_H_

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// The number of connection groups, each of which has its own concurrency quota.
inline constexpr std::size_t kGroupCount = 2;

// The group's name in settings and histories.
inline std::string GroupName(std::size_t group) { return "group-" + std::to_string(group); }

// The time to the next event of a Poisson process with this rate, where `uniform` is a uniform random number
// from [0, 1). Never 0; rates below 0.01 per second are raised to that.
inline Micros PoissonInterval(double uniform, double per_second) {
  const double seconds = -std::log(1 - uniform) / std::max(per_second, 0.01);
  return Micros(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_WORKLOAD_H_
