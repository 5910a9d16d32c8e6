// A fleet of real relay processes on loopback under a schedule of faults. The harness plays the
// servers, the discovery service and the clients, forwards every datagram between relays, and records what it
// sees from outside as a history (HISTORY.md).
#ifndef STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_
#define STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_

#include <cstdint>
#include <string>

#include "simulation/schedule.h"

namespace stoatrun::fault_injection {

// How a fleet is run.
struct ProcessFleetSetup {
  std::string program;                  // Path of the relay program.
  std::string folder;                   // For its files and logs; must exist.
  double connections_per_s = 5.0;       // New ones, at each relay.
  std::uint32_t slow_start_units = 12;  // Per second, for each server in slow start.
  std::uint32_t attempt_units = 20;     // Per second, of retries.
  std::uint32_t group_units = 12;       // Connections of a group at one time.
};

// What a run gave.
struct ProcessFleetResults {
  std::string history;
  std::uint64_t datagrams = 0, datagram_bytes = 0;
  std::uint64_t connections = 0, served = 0, rejected = 0, failed = 0;
  std::uint64_t crashed = 0;  // Processes that ended though no step ended them.
  double seconds = 0;
  // Means over the processes that run at the end.
  double cpu_cores = 0, resident_kib = 0;
};

// Plays the schedule in real time, on the calling thread. Throws std::runtime_error if the fleet can't be
// started.
ProcessFleetResults Play(const simulation::Schedule& schedule, const ProcessFleetSetup& setup);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_
