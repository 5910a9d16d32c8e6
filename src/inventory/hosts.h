// A list of issuer hosts as a source of entries gives it: discovery here, another inventory later.
#ifndef STOATRUN_INVENTORY_HOSTS_H_
#define STOATRUN_INVENTORY_HOSTS_H_

#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun {

enum class HostPhase { kReady, kDraining, kGone };

struct HostEntry {
  std::string id, address, locality;
  HostPhase phase = HostPhase::kReady;
  std::uint64_t cell = 0;
  double size = 1.0;
  std::int64_t up_since_ms = 0;  // Unix time; 0: long ago.
};

struct HostList {
  std::uint64_t revision = 0;
  bool complete = false;
  std::vector<HostEntry> entries;
};

class DiscoveryEvents {
 public:
  virtual ~DiscoveryEvents() = default;
  virtual void OnHosts(const HostList& list) = 0;
  virtual void OnWatchFailed() = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_INVENTORY_HOSTS_H_
