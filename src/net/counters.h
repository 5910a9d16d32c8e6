// What the relay took in, sent and answered; printed on SIGUSR1 and at exit.
#ifndef STOATRUN_NET_COUNTERS_H_
#define STOATRUN_NET_COUNTERS_H_

#include <cstdint>

#include "ops/log.h"

namespace stoatrun {

struct Counters {
  std::uint64_t accepted = 0, accept_failed = 0, pings = 0, malformed = 0, crowded_out = 0, no_room = 0;
  std::uint64_t authorisations = 0, resumed = 0, client_left = 0;
  std::uint64_t up = 0, declined = 0, failed = 0, moved = 0;
  std::uint64_t legs = 0, legs_not_connected = 0, legs_cut = 0, legs_timed_out = 0, legs_turned_away = 0,
                legs_error = 0;
  std::uint64_t served = 0, host_moved = 0, silent = 0;
  std::uint64_t probes = 0, probes_failed = 0;
  std::uint64_t lists = 0, watches_failed = 0, reloads = 0, reloads_failed = 0;
};

// Adds a field for each to a record.
void AddFields(LogLine& record, const Counters& c);

}  // namespace stoatrun

#endif  // STOATRUN_NET_COUNTERS_H_
