// Runs a fleet of real relay processes on loopback under a fault schedule. The harness simulates the servers,
// the discovery service and the clients, forwards every datagram between relays, and records what it observes
// from outside as a history (HISTORY.md).
#ifndef STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_
#define STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_

#include <cstdint>
#include <string>

#include "simulation/schedule.h"

namespace stoatrun::fault_injection {

// Settings of a run.
struct ProcessFleetSetup {
  std::string program;                  // Path of the relay program.
  std::string folder;                   // For settings files and logs; must exist.
  double connections_per_s = 5.0;       // New connections at each relay.
  std::uint32_t slow_start_units = 12;  // Per second, for each server in slow start.
  std::uint32_t attempt_units = 20;     // Per second, of retries.
  std::uint32_t group_units = 12;       // Concurrent connections of a group.
};

// Results of a run.
struct ProcessFleetResults {
  std::string history;
  std::uint64_t datagrams = 0, datagram_bytes = 0;
  std::uint64_t connections = 0, served = 0, rejected = 0, failed = 0;
  std::uint64_t crashed = 0;  // Processes that exited although no schedule step ended them.
  double seconds = 0;
  // Means over the processes that are running at the end.
  double cpu_cores = 0, resident_kib = 0;
};

// Runs the schedule in real time on the calling thread. Throws std::runtime_error if the fleet can't be
// started.
ProcessFleetResults Play(const simulation::Schedule& schedule, const ProcessFleetSetup& setup);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_
