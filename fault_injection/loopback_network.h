// Loopback addresses of one run. Each run reserves its own network (127.N.0.0/16), so that several runs can
// share a machine.
#ifndef STOATRUN_FAULT_INJECTION_LOOPBACK_NETWORK_H_
#define STOATRUN_FAULT_INJECTION_LOOPBACK_NETWORK_H_

#include <memory>
#include <string>

#include "event_loop.h"

namespace stoatrun::fault_injection {

inline constexpr int kClientPort = 8000;
inline constexpr int kManagementPort = 8100;
inline constexpr int kDiscoveryPort = 8500;
inline constexpr int kGossipPort = 8700;
inline constexpr int kServerPort = 9000;

// Reserves a network and gives out its addresses.
class LoopbackNetwork {
 public:
  // Reserves a network until destruction. Throws std::runtime_error if none is free.
  explicit LoopbackNetwork(EventLoop& loop);

  // Where relay `index` listens.
  std::string RelayIp(std::size_t index) const { return Ip(1, index); }
  // Where a duplicate process under its name listens.
  std::string DuplicateIp(std::size_t index) const { return Ip(4, index); }
  // The relay's address in its peers' operator files; the harness listens there and forwards datagrams.
  std::string PeerIp(std::size_t index) const { return Ip(2, index); }
  // Where the simulated discovery service listens for a relay.
  std::string DiscoveryIp(std::size_t relay) const { return Ip(3, relay); }
  // Where a simulated server listens for a relay.
  std::string ServerIp(std::size_t server, std::size_t relay) const {
    return Ip(10 + static_cast<int>(server), relay);
  }

 private:
  std::string Ip(int subnet, std::size_t host) const;

  int network_number_ = 0;
  std::unique_ptr<DescriptorWatcher> reservation_;  // Its bound address marks the network as taken.
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_LOOPBACK_NETWORK_H_
