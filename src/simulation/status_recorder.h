// Records what simulated relays report of themselves and of the fleet, and measures how they eject servers.
#ifndef STOATRUN_SIMULATION_STATUS_RECORDER_H_
#define STOATRUN_SIMULATION_STATUS_RECORDER_H_

#include <set>
#include <string>

#include "simulation/relay_workload.h"
#include "simulation/simulation_state.h"

namespace stoatrun::simulation {

// Reads the relays' modules as the status page of a process does. Not thread-safe.
class StatusRecorder {
 public:
  StatusRecorder(SimulationState& state, RelayWorkload& workload) : state_(state), workload_(workload) {}

  // Starts the recording of a relay's new run.
  void Start(SimulatedRelay& relay);
  // Records the relay's own connection counts, and measures faults in what it believes.
  void RecordCounts(SimulatedRelay& relay);

 private:
  void RecordTotals(SimulatedRelay& relay);
  void RecordEjected(SimulatedRelay& relay);
  void MeasureEjectionDelay(SimulatedRelay& relay, const std::set<std::string>& ejected);
  void MeasureWrongEjections(SimulatedRelay& relay, const std::set<std::string>& ejected);
  // The relay soon tries an ejected server itself, as its health checks do.
  void ScheduleCheck(SimulatedRelay& relay, const std::string& server);

  SimulationState& state_;
  RelayWorkload& workload_;
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_STATUS_RECORDER_H_
