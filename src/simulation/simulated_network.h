// Carries the datagrams between simulated relays, under the schedule's network faults.
#ifndef STOATRUN_SIMULATION_SIMULATED_NETWORK_H_
#define STOATRUN_SIMULATION_SIMULATED_NETWORK_H_

#include <array>
#include <cstdint>
#include <memory>
#include <set>

#include "fleet/node.h"
#include "simulation/network_faults.h"
#include "simulation/simulation_state.h"

namespace stoatrun::simulation {

// Delivers at random times, so that datagrams may overtake each other. Not thread-safe.
class SimulatedNetwork {
 public:
  // `state` must outlive the network.
  explicit SimulatedNetwork(SimulationState& state) : state_(state) {}

  // Cuts, loss, delay and so on; steps change it.
  NetworkFaults& Faults() { return faults_; }

  // Sends what a relay has put out, and clears `out`.
  void Send(SimulatedRelay& sender, fleet::Outbox& out);

 private:
  using DatagramPtr = std::shared_ptr<const fleet::Datagram>;

  // Puts the datagram on its way, or drops it.
  void Transmit(const SimulatedRelay& sender, std::size_t receiver_index, const fleet::Datagram& datagram);
  void Arrive(const SimulatedRelay& sender, SimulatedRelay& receiver, const DatagramPtr& datagram);
  void Process(const SimulatedRelay& sender, std::uint64_t sender_run, SimulatedRelay& receiver,
               const fleet::Datagram& datagram);
  // Adds a claim of failures that nobody saw.
  void AddFalseEvidence(const SimulatedRelay& sender, fleet::Datagram& datagram);

  SimulationState& state_;
  NetworkFaults faults_{std::chrono::milliseconds(2)};
  std::set<std::array<std::uint64_t, 4>> contacts_;  // Sender and its run, receiver and its run.
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATED_NETWORK_H_
