// Forwards the datagrams between relays, under the schedule's network faults: each relay finds the harness's
// address where its peers' files say that a peer is.
#ifndef STOATRUN_FAULT_INJECTION_DATAGRAM_SWITCH_H_
#define STOATRUN_FAULT_INJECTION_DATAGRAM_SWITCH_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "harness.h"
#include "simulation/network_faults.h"

namespace stoatrun::fault_injection {

// Runs on the harness's loop; not thread-safe.
class DatagramSwitch {
 public:
  // Opens the peers' addresses. Throws std::runtime_error if one can't be bound.
  explicit DatagramSwitch(Harness& harness);

  // Cuts, loss, delay and so on; steps change it.
  simulation::NetworkFaults& Faults() { return faults_; }

  // Sends the relay so many datagrams that no peer sent: noise, truncated ones, ones of another schema or
  // fleet, and old ones once more.
  void SendGarbage(std::size_t receiver, std::uint64_t count);

 private:
  // The peer address of one relay.
  struct Port {
    std::unique_ptr<DescriptorWatcher> socket;
    std::vector<std::string> recorded;  // The first datagrams to the relay, for SendGarbage.
  };

  void Open(std::size_t relay);
  void Receive(std::size_t receiver);
  void Forward(std::size_t sender, std::size_t receiver, const std::string& datagram);
  void Deliver(std::size_t sender, std::uint64_t sender_run, std::size_t receiver,
               const std::string& datagram);
  void Corrupt(std::string& datagram);
  std::string GarbageDatagram(std::size_t receiver, std::uint64_t number);
  // Sends from the peer address of `sender`, as the receiver expects of that peer.
  void Send(std::size_t sender, const std::string& receiver_ip, const std::string& datagram);

  Harness& harness_;
  simulation::NetworkFaults faults_{Micros(0)};
  std::vector<Port> ports_;
  std::set<std::array<std::uint64_t, 4>> contacts_;  // Sender and its run, receiver and its run.
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_DATAGRAM_SWITCH_H_
