// The text format of the metrics that `GET /v1/metrics` returns: one `name=value` per line. Operators' tools
// read the names, which must not change. Pure functions; thread-safe.
#ifndef STOATRUN_ADMIN_METRICS_H_
#define STOATRUN_ADMIN_METRICS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/counters.h"

namespace stoatrun {

// A snapshot of the exported metrics.
struct Metrics {
  std::vector<std::string> class_names;  // Request classes, in the order of the settings.
  std::vector<ClassCounters> classes;    // The counters of each class, in the same order.
  std::uint64_t outstanding = 0;         // Connections being established or open.
  std::uint64_t discovered = 0;          // Upstream servers in the endpoint list.
  std::uint64_t ejected = 0;             // Of these, servers ejected by outlier detection.
};

// Formats all metrics: those of each class first, then those of the relay.
std::string FormatMetrics(const Metrics& metrics);

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_METRICS_H_
