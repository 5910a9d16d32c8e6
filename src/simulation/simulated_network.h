// Delivers datagrams between simulated relays, with the network faults that the schedule injects.
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

// Delays are random, so datagrams may be reordered. Not thread-safe.
class SimulatedNetwork {
 public:
  // `state` must outlive the network.
  explicit SimulatedNetwork(SimulationState& state) : state_(state) {}

  // The network faults in effect; the schedule's steps change them.
  NetworkFaults& Faults() { return faults_; }

  // Sends the relay's outgoing datagrams and clears `out`.
  void Send(SimulatedRelay& sender, fleet::Outbox& out);

 private:
  using DatagramPtr = std::shared_ptr<const fleet::Datagram>;

  // Schedules the datagram's delivery, or drops it as lost.
  void Transmit(const SimulatedRelay& sender, std::size_t receiver_index, const fleet::Datagram& datagram);
  void Deliver(const SimulatedRelay& sender, SimulatedRelay& receiver, const DatagramPtr& datagram);
  void HandleDatagram(const SimulatedRelay& sender, std::uint64_t sender_run, SimulatedRelay& receiver,
                      const fleet::Datagram& datagram);
  // Adds evidence of failures that no relay observed.
  void AddFalseEvidence(const SimulatedRelay& sender, fleet::Datagram& datagram);

  SimulationState& state_;
  NetworkFaults faults_{std::chrono::milliseconds(2)};
  std::set<std::array<std::uint64_t, 4>> contacts_;  // Sender, its run, receiver, its run.
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATED_NETWORK_H_
