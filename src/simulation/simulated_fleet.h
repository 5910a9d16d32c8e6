// A fleet in virtual time: the modules that the relays run (src/fleet) on a simulated network, under a
// schedule of faults. What happens is recorded as a history (fault_injection/HISTORY.md), in the format that
// the fault-injection harness writes of real processes.
//
// Deterministic: a schedule, its seed included, always gives the same history. Single-threaded; several runs
// may go on at once in threads of their own.
#ifndef STOATRUN_SIMULATION_SIMULATED_FLEET_H_
#define STOATRUN_SIMULATION_SIMULATED_FLEET_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// The workload, and what is recorded.
struct SimulatedFleetSetup {
  bool sharing = true;         // Without, no datagram is delivered: each relay has its static quota share.
  double demand = 0.6;         // Of the quotas, by all relays together, where no step sets another.
  double busiest_share = 0.5;  // Of the demand, at one relay that is drawn anew every few seconds.
  double connections_per_s = 4.0;            // New ones, at each relay.
  double requests_per_s = 6.0;               // Requests to servers, from each relay.
  Micros warm_up = std::chrono::seconds(5);  // Quota utilization is measured from here on.
  bool record_history = true;                // Without, only the metrics are kept.
};

// Measures of a run.
struct SimulatedFleetMetrics {
  std::uint64_t datagrams = 0, datagram_bytes = 0;
  double datagrams_per_relay_s = 0, bytes_per_relay_s = 0;
  std::uint64_t oversized_datagrams = 0;
  std::uint64_t unbalanced_counts = 0;  // Ticks at which a relay's own connection counts did not add up.
  std::uint64_t false_duplicates = 0;   // Relays taken for duplicates, though each name ran once.
  // Of each rate quota: the fraction of its units that was spent after the warm-up.
  std::map<std::string, double> quota_utilization;
  // Of each relay that ejected the first failing server, on its own or remote evidence: how long after it
  // began to fail, in seconds.
  std::vector<double> ejection_delays_s;
  // How long sound servers were ejected on remote evidence, in seconds, each time.
  std::vector<double> wrong_ejections_s;
};

// What a run gave.
struct SimulatedFleetResults {
  std::string history;
  SimulatedFleetMetrics metrics;
};

// Plays the schedule to its end.
SimulatedFleetResults Play(const Schedule& schedule, const SimulatedFleetSetup& setup = {});

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATED_FLEET_H_
