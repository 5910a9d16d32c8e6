// A fleet in virtual time: the modules that relays run (src/fleet) on a simulated network, under a schedule
// of faults. Its events are recorded as a history (fault_injection/HISTORY.md), in the same format that the
// fault-injection harness writes for real processes.
//
// Deterministic: a schedule (with its seed) always gives the same history. A run is single-threaded; several
// runs may execute concurrently in separate threads.
#ifndef STOATRUN_SIMULATION_SIMULATED_FLEET_H_
#define STOATRUN_SIMULATION_SIMULATED_FLEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// The workload, and whether a history is recorded.
struct SimulatedFleetSetup {
  bool sharing = true;         // If false, no datagram is delivered: each relay has its static quota share.
  double demand = 0.6;         // Of all relays together, as a fraction of each quota, unless a step sets it.
  double busiest_share = 0.5;  // Of the demand, at one relay that is chosen anew every few seconds.
  double connections_per_s = 4.0;            // New connections at each relay.
  double requests_per_s = 6.0;               // From each relay to servers.
  Micros warm_up = std::chrono::seconds(5);  // Excluded from the quota utilization.
  bool record_history = true;                // If false, only the metrics are kept.
};

// Measurements of one run.
struct SimulatedFleetMetrics {
  std::uint64_t datagrams = 0, datagram_bytes = 0;
  double datagrams_per_relay_s = 0, bytes_per_relay_s = 0;
  std::uint64_t oversized_datagrams = 0;
  std::uint64_t unbalanced_counts = 0;  // Ticks at which a relay's own connection counts were inconsistent.
  std::uint64_t false_duplicates = 0;   // Members marked as duplicates, though each name ran only once.
  // By rate quota: the fraction of its units that was spent after the warm-up.
  std::map<std::string, double> quota_utilization;
  // For each relay that ejected the first failing server, on its own or remote evidence: the seconds from the
  // start of the failure to the ejection.
  std::vector<double> ejection_delays_s;
  // The duration in seconds of each ejection of a healthy server on remote evidence.
  std::vector<double> wrong_ejections_s;
};

// The results of one run.
struct SimulatedFleetResults {
  std::string history;
  SimulatedFleetMetrics metrics;
};

// Runs the schedule to its end.
SimulatedFleetResults Play(const Schedule& schedule, const SimulatedFleetSetup& setup = {});

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATED_FLEET_H_
