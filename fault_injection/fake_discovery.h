// Simulated discovery service: each relay watches the list of servers at its own address.
#ifndef STOATRUN_FAULT_INJECTION_FAKE_DISCOVERY_H_
#define STOATRUN_FAULT_INJECTION_FAKE_DISCOVERY_H_

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "harness.h"

namespace stoatrun::fault_injection {

// Runs on the harness's loop; not thread-safe.
class FakeDiscovery {
 public:
  // Listens for all relays. Throws std::system_error.
  explicit FakeDiscovery(Harness& harness);

  // Sends a change of this server to all relays.
  void PushChange(std::size_t server);
  // Drops the watch connection of a relay whose run has ended.
  void OnRunEnded(const ManagedRelay& relay) { watches_[relay.index].reset(); }

 private:
  void Listen(std::size_t relay);
  void Accept(std::size_t relay, int fd);
  void OnLine(std::size_t relay, std::string_view line);
  void Push(std::size_t relay, const std::vector<std::size_t>& servers, bool complete);
  void SendChunk(std::size_t relay, const std::string& text);
  // Periodically sends an empty line, by which the relay sees that the watch is alive.
  void SendKeepAlive(std::size_t relay);

  Harness& harness_;
  std::vector<std::unique_ptr<DescriptorWatcher>> listeners_;
  std::vector<std::shared_ptr<LineConnection>> watches_;  // By relay; may be null.
  std::uint64_t revision_ = 1;
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_FAKE_DISCOVERY_H_
