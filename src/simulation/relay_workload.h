// The traffic of simulated relays: quota units that they want, connections that come and go, and requests to
// servers with what is observed of these.
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

// Plays the traffic of all relays; each relay's ends with its run. Not thread-safe.
class RelayWorkload {
 public:
  RelayWorkload(SimulationState& state, SimulatedNetwork& network) : state_(state), network_(network) {}

  // Draws the relay with the most demand and the server in slow start, and again every few seconds.
  void DrawBusiest();
  // Starts the traffic of a relay's new run.
  void Start(SimulatedRelay& relay);
  // Closes connections for units of concurrency quotas that are no longer the relay's.
  void CloseExcess(SimulatedRelay& relay);
  // Closes all connections in good order.
  void CloseAll(SimulatedRelay& relay);
  // The relay tries the server, and observes whether it fails.
  void Observe(SimulatedRelay& relay, const SimulatedServer& server);

  // Writes the utilization of rate quotas into the metrics, at the end of a run.
  void Finish();

 private:
  enum class RateQuota { kSlowStart, kRetry };
  using Outcome = fleet::LocalConnectionCounts::Outcome;
  using ConnectionPtr = std::shared_ptr<SimulatedConnection>;

  std::uint32_t UnitsOf(RateQuota quota) const;
  // Units per second that the relay wants of a quota with so many.
  double DemandRate(const SimulatedRelay& relay, std::uint32_t units) const;

  void ScheduleSpend(SimulatedRelay& relay, RateQuota quota);
  void Spend(SimulatedRelay& relay, const std::string& quota);

  void ScheduleConnection(SimulatedRelay& relay);
  void OpenConnection(SimulatedRelay& relay);
  void ScheduleClose(SimulatedRelay& relay, const ConnectionPtr& connection);
  void Close(SimulatedRelay& relay, SimulatedConnection& connection, Outcome outcome);

  void ScheduleRequest(SimulatedRelay& relay);

  SimulationState& state_;
  SimulatedNetwork& network_;
  std::size_t busiest_relay_ = 0, slow_start_server_ = 0;
  std::map<std::string, std::uint64_t> spent_units_;  // Of a rate quota, after the warm-up.
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_RELAY_WORKLOAD_H_
