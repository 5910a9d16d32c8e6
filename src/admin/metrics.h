// The text form of the metrics that `GET /v1/metrics` returns: one `name=value` a line, under the names that
// the operators' tools read. Pure; safe to call from any thread.
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
  std::vector<ClassCounters> classes;    // Counters of each, in the same order.
  std::uint64_t outstanding = 0;         // Connections that are being set up or established.
  std::uint64_t discovered = 0;          // Upstream servers in the endpoint list.
  std::uint64_t ejected = 0;             // Of these, servers ejected by outlier detection.
};

// Formats all metrics, first those of each class, then those of the relay.
std::string FormatMetrics(const Metrics& metrics);

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_METRICS_H_
