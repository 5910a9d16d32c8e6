// Applies a schedule's steps to a fleet, simulated or of real processes.
#ifndef STOATRUN_SIMULATION_FAULT_TARGET_H_
#define STOATRUN_SIMULATION_FAULT_TARGET_H_

#include <cstddef>
#include <cstdint>

#include "simulation/network_faults.h"
#include "simulation/relay_faults.h"
#include "simulation/schedule.h"

namespace stoatrun::simulation {

// A fleet into which faults can be injected. Relays and servers are identified by index. Calls are
// idempotent: for example, Kill has no effect on a relay that is not running.
class FaultTarget {
 public:
  FaultTarget() = default;
  FaultTarget(const FaultTarget&) = delete;
  FaultTarget& operator=(const FaultTarget&) = delete;
  virtual ~FaultTarget() = default;

  // The faults of the network between the relays.
  virtual NetworkFaults& Network() = 0;
  // The faults in a relay's behaviour.
  virtual RelayFaults& FaultsOf(std::size_t relay) = 0;

  // Makes the server fail all requests, or serve them again.
  virtual void SetServerFailing(std::size_t server, bool failing) = 0;
  // Replaces the server's process.
  virtual void RestartServer(std::size_t server) = 0;

  // Suspends the relay's process.
  virtual void Pause(std::size_t relay) = 0;
  // Resumes it.
  virtual void Resume(std::size_t relay) = 0;
  // Kills it, without a chance to clean up.
  virtual void Kill(std::size_t relay) = 0;
  // Starts a new process, which has no state of the previous one.
  virtual void Start(std::size_t relay) = 0;
  // Begins its graceful shutdown.
  virtual void Leave(std::size_t relay) = 0;

  // The following need real processes and sockets; a simulated fleet ignores them.

  // Starts a second process under the relay's name.
  virtual void StartDuplicate(std::size_t /*relay*/) {}
  // Kills that second process.
  virtual void StopDuplicate(std::size_t /*relay*/) {}
  // Removes the relay from its peers' settings.
  virtual void RemoveFromPeers(std::size_t /*relay*/) {}
  // Sends the relay this many invalid datagrams that no peer sent.
  virtual void SendGarbage(std::size_t /*relay*/, std::uint64_t /*datagrams*/) {}
};

// Applies one step immediately.
void ApplyStep(const Step& step, FaultTarget& target);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_FAULT_TARGET_H_
