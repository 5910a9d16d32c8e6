// What a process knows of how current its endpoint list is. Plain data.
#ifndef STOATRUN_ENDPOINT_LIST_FRESHNESS_H_
#define STOATRUN_ENDPOINT_LIST_FRESHNESS_H_

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace stoatrun {

// A watch that has had no complete event for so long counts as silent. The service sends a heartbeat every 2
// s; on a busy machine it may be late by a quarter of that.
inline constexpr Micros kEventTimeout = std::chrono::milliseconds(2500);

// Times are of the machine's monotonic clock, so that processes can compare them.
struct ListFreshness {
  Micros current_at{0};                   // The list was current at this time.
  bool watch_fell_silent = false;         // Since then.
  std::optional<Micros> reload_deadline;  // After a reload: when changes count as known.

  friend bool operator==(const ListFreshness&, const ListFreshness&) = default;
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_LIST_FRESHNESS_H_
