// Forwards datagrams between relays and applies the schedule's network faults. In each relay's operator file
// the peers have addresses at which the harness listens.
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
  // Binds a socket to every peer address. Throws std::runtime_error if one can't be bound.
  explicit DatagramSwitch(Harness& harness);

  // The current network faults (cut links, loss, delay, ...), which schedule steps change.
  simulation::NetworkFaults& Faults() { return faults_; }

  // Sends the relay `count` datagrams that no peer sent: random bytes, truncated datagrams, datagrams with
  // another schema or fleet name, and replays.
  void SendGarbage(std::size_t receiver, std::uint64_t count);

 private:
  // The socket at one relay's peer address.
  struct PeerSocket {
    std::unique_ptr<DescriptorWatcher> watcher;
    std::vector<std::string> samples;  // The first datagrams to the relay, for SendGarbage.
  };

  void Open(std::size_t relay);
  void Receive(std::size_t receiver);
  void Forward(std::size_t sender, std::size_t receiver, const std::string& datagram);
  void Deliver(std::size_t sender, std::uint64_t sender_run, std::size_t receiver,
               const std::string& datagram);
  void Corrupt(std::string& datagram);
  std::string GarbageDatagram(std::size_t receiver, std::uint64_t number);
  // Sends from the peer address of `sender`, at which the receiver knows that peer.
  void Send(std::size_t sender, const std::string& receiver_ip, const std::string& datagram);

  Harness& harness_;
  simulation::NetworkFaults faults_{Micros(0)};
  std::vector<PeerSocket> sockets_;
  std::set<std::array<std::uint64_t, 4>> run_contacts_;  // Sender and its run, receiver and its run.
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_DATAGRAM_SWITCH_H_
