// Starts many processes of the program on loopback, with stand-in servers, discovery and clients of its own,
// puts faults between them as a schedule says, and writes what was seen from outside as a history
// (HISTORY.md). Every datagram between relays goes through the rig; so does every connection, as it is at one
// of its ends.
#ifndef STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_
#define STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_

#include <cstdint>
#include <ostream>
#include <string>

#include "simulation/schedule.h"

namespace stoatrun::fault_injection {

struct RigSetup {
  std::string program;       // The relay.
  std::string folder;        // For its files and logs; must exist.
  double connections = 5.0;  // New ones a second, at each relay.
  std::uint32_t cold_units = 12, attempt_units = 20, group_units = 12;
  bool fleet = true;  // Without, the relays get no fleet section.
};

struct RigFigures {
  std::uint64_t datagrams = 0, bytes = 0, connections = 0, served = 0, refused = 0, failed = 0, crashed = 0;
  double seconds = 0;
  // Of the processes that run at the end, for each: the part of a core that it used, and its resident memory.
  double cpu = 0, resident_kib = 0;
};

// Plays it and writes its history. Throws std::runtime_error if a process can't be started at all.
RigFigures Play(const simulation::Schedule& schedule, const RigSetup& setup, std::ostream& history);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_PROCESS_FLEET_H_
