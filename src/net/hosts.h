// A list of upstream hosts as a source of entries gives it: discovery here, another inventory later.
#ifndef STOATRUN_NET_HOSTS_H_
#define STOATRUN_NET_HOSTS_H_

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

}  // namespace stoatrun

#endif  // STOATRUN_NET_HOSTS_H_
