// The figures that `GET /v1/metrics` shows, one `name=value` a line, under the names the operators read.
#ifndef STOATRUN_ADMIN_METRICS_H_
#define STOATRUN_ADMIN_METRICS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "base/counters.h"

namespace stoatrun {

struct Figures {
  std::vector<std::string> class_names;
  std::vector<ClassCounters> classes;  // In the order of the names.
  std::uint64_t outstanding = 0, discovered = 0, ejected = 0;
};

std::string FormatFigures(const Figures& f);

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_METRICS_H_
