// Faults in the behaviour of one relay, as set by a schedule's steps.
#ifndef STOATRUN_SIMULATION_RELAY_FAULTS_H_
#define STOATRUN_SIMULATION_RELAY_FAULTS_H_

#include <optional>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Kept for each relay, by the simulation and by the fault-injection harness. By default no fault is active.
struct RelayFaults {
  bool server_links_broken = false;  // Every server fails for this relay alone.
  bool misreports = false;           // It reports failures of healthy servers.
  std::optional<double> demand;      // As a fraction of each quota; none: the workload's default.

  // Applies the step if it changes one of these; returns false for other steps.
  bool Apply(const Step& step);
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_RELAY_FAULTS_H_
