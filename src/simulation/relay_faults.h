// Faults in how one relay behaves, as a schedule's steps change them.
#ifndef STOATRUN_SIMULATION_RELAY_FAULTS_H_
#define STOATRUN_SIMULATION_RELAY_FAULTS_H_

#include <optional>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Both fleets keep one for each relay; none of these by default.
struct RelayFaults {
  bool server_links_broken = false;  // Every server fails for this relay alone.
  bool misreports = false;           // It reports failures of servers that work.
  std::optional<double> demand;      // The fraction of each quota that it wants; none: as the workload says.

  // Applies the step if it changes one of these; false if it does something else.
  bool Apply(const Step& step);
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_RELAY_FAULTS_H_
