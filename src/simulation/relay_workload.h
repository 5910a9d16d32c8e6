// The traffic of simulated relays: their demand for quota units, client connections, and requests to servers
// with the outcomes that the relays observe.
#ifndef STOATRUN_SIMULATION_RELAY_WORKLOAD_H_
#define STOATRUN_SIMULATION_RELAY_WORKLOAD_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "fleet/node.h"
#include "simulation/simulated_network.h"
#include "simulation/simulation_state.h"

namespace stoatrun::simulation {

// Generates the traffic of all relays; each relay's traffic stops when its run ends. Not thread-safe.
class RelayWorkload {
 public:
  RelayWorkload(SimulationState& state, SimulatedNetwork& network) : state_(state), network_(network) {}

  // Chooses at random the relay with the most demand and the server in slow start, and repeats this every few
  // seconds.
  void DrawHotspots();
  // Starts the traffic of a relay's new run.
  void Start(SimulatedRelay& relay);
  // Closes connections that hold units of concurrency quotas beyond the relay's current share.
  void CloseExcess(SimulatedRelay& relay);
  // Closes all connections; they count as served.
  void CloseAll(SimulatedRelay& relay);
  // The relay contacts the server and records whether it fails.
  void ObserveServer(SimulatedRelay& relay, const SimulatedServer& server);

  // Writes the utilization of the rate quotas to the metrics; called at the end of a run.
  void RecordQuotaUtilization();

 private:
  enum class RateQuota { kSlowStart, kRetry };
  using Outcome = fleet::LocalConnectionCounts::Outcome;
  using ConnectionPtr = std::shared_ptr<SimulatedConnection>;

  std::uint32_t UnitsOf(RateQuota quota) const;
  // How many units per second the relay demands of a quota that has `units`.
  double DemandRate(const SimulatedRelay& relay, std::uint32_t units) const;

  void ScheduleRateUnit(SimulatedRelay& relay, RateQuota quota);
  void AcquireRateUnit(SimulatedRelay& relay, const std::string& quota);

  void ScheduleConnection(SimulatedRelay& relay);
  void OpenConnection(SimulatedRelay& relay);
  void ScheduleClose(SimulatedRelay& relay, const ConnectionPtr& connection);
  void Close(SimulatedRelay& relay, SimulatedConnection& connection, Outcome outcome);

  void ScheduleRequest(SimulatedRelay& relay);

  SimulationState& state_;
  SimulatedNetwork& network_;
  std::size_t busiest_relay_ = 0, slow_start_server_ = 0;
  std::map<std::string, std::uint64_t> spent_units_;  // By rate quota, since the end of the warm-up.
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_RELAY_WORKLOAD_H_
