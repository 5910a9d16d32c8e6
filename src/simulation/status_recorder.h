// Records the simulated relays' reports about themselves and the fleet, and measures their ejections.
#ifndef STOATRUN_SIMULATION_STATUS_RECORDER_H_
#define STOATRUN_SIMULATION_STATUS_RECORDER_H_

#include <set>
#include <string>

#include "simulation/relay_workload.h"
#include "simulation/simulation_state.h"

namespace stoatrun::simulation {

// Reads the same state of the fleet modules as the status page of a relay process. Not thread-safe.
class StatusRecorder {
 public:
  StatusRecorder(SimulationState& state, RelayWorkload& workload) : state_(state), workload_(workload) {}

  // Starts the recording of a relay's new run.
  void Start(SimulatedRelay& relay);
  // Records the relay's own connection counts, and counts inconsistent ones and members falsely marked as
  // duplicates.
  void RecordCounts(SimulatedRelay& relay);

 private:
  void RecordTotals(SimulatedRelay& relay);
  void RecordEjected(SimulatedRelay& relay);
  void MeasureEjectionDelay(SimulatedRelay& relay, const std::set<std::string>& ejected);
  void MeasureWrongEjections(SimulatedRelay& relay, const std::set<std::string>& ejected);
  // Schedules a request of the relay to an ejected server, as a health check would send it.
  void ScheduleCheck(SimulatedRelay& relay, const std::string& server);

  SimulationState& state_;
  RelayWorkload& workload_;
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_STATUS_RECORDER_H_
