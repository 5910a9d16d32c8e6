// Applies a schedule's steps to a fleet, be it simulated or of real processes.
#ifndef STOATRUN_SIMULATION_FAULT_TARGET_H_
#define STOATRUN_SIMULATION_FAULT_TARGET_H_

#include <cstddef>
#include <cstdint>

#include "simulation/network_faults.h"
#include "simulation/relay_faults.h"
#include "simulation/schedule.h"

namespace stoatrun::simulation {

// A fleet into which faults can be injected. Relays and servers are named by index. What a step asks for may
// be so already, for example a kill of a relay that is not running: that changes nothing.
class FaultTarget {
 public:
  FaultTarget() = default;
  FaultTarget(const FaultTarget&) = delete;
  FaultTarget& operator=(const FaultTarget&) = delete;
  virtual ~FaultTarget() = default;

  // The state of the network between the relays.
  virtual NetworkFaults& Network() = 0;
  // The faults in a relay's behaviour.
  virtual RelayFaults& FaultsOf(std::size_t relay) = 0;

  // From now on the server fails its requests, or works.
  virtual void SetServerFailing(std::size_t server, bool failing) = 0;
  // Replaces the server's process.
  virtual void RestartServer(std::size_t server) = 0;

  // Stops the relay's process without ending it.
  virtual void Pause(std::size_t relay) = 0;
  // Continues it.
  virtual void Resume(std::size_t relay) = 0;
  // Ends it without a chance to clean up.
  virtual void Kill(std::size_t relay) = 0;
  // Starts a new process, which remembers nothing.
  virtual void Start(std::size_t relay) = 0;
  // Begins its graceful shutdown.
  virtual void Leave(std::size_t relay) = 0;

  // The following need real processes and sockets; a simulated fleet passes them over.

  // Starts a second process under the relay's name.
  virtual void StartDuplicate(std::size_t /*relay*/) {}
  // Kills it.
  virtual void StopDuplicate(std::size_t /*relay*/) {}
  // Takes the relay out of its peers' settings.
  virtual void RemoveFromPeers(std::size_t /*relay*/) {}
  // Sends the relay so many datagrams that no peer sent.
  virtual void SendGarbage(std::size_t /*relay*/, std::uint64_t /*datagrams*/) {}
};

// Applies one step at once.
void ApplyStep(const Step& step, FaultTarget& target);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_FAULT_TARGET_H_
