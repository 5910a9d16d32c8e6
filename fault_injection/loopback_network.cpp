#include "loopback_network.h"

#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <stdexcept>

#include "line_connection.h"

namespace stoatrun::fault_injection {
namespace {

constexpr int kFirstNetwork = 20, kNetworkCount = 200;
constexpr int kReservationPort = 8699;

}  // namespace

LoopbackNetwork::LoopbackNetwork(EventLoop& loop) {
  for (int attempt = 0; attempt < kNetworkCount; ++attempt) {
    network_number_ =
        kFirstNetwork +
        static_cast<int>((static_cast<std::uint64_t>(getpid()) + static_cast<std::uint64_t>(attempt)) %
                         kNetworkCount);
    const int fd = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = SocketAddress(Ip(0, 0), kReservationPort);
    if (fd >= 0 && bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0) {
      reservation_ = std::make_unique<DescriptorWatcher>(loop, fd, [] {});
      return;
    }
    if (fd >= 0) close(fd);
  }
  throw std::runtime_error(fmt::format("no loopback network is free from 127.{}.0.0/16 to 127.{}.0.0/16",
                                       kFirstNetwork, kFirstNetwork + kNetworkCount - 1));
}

std::string LoopbackNetwork::Ip(int subnet, std::size_t host) const {
  return fmt::format("127.{}.{}.{}", network_number_, subnet, host + 1);
}

}  // namespace stoatrun::fault_injection
