#include "admin/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstddef>
#include <iterator>

namespace stoatrun {

std::string FormatMetrics(const Metrics& metrics) {
  std::string text;
  auto out = std::back_inserter(text);
  const std::size_t classes = std::min(metrics.class_names.size(), metrics.classes.size());
  for (std::size_t k = 0; k < classes; ++k) {
    const std::string& name = metrics.class_names[k];
    const ClassCounters& counters = metrics.classes[k];
    fmt::format_to(out, "edge_proxy.results.{}.succeeded={}\n", name, counters.succeeded);
    fmt::format_to(out, "edge_proxy.results.{}.declined={}\n", name, counters.rejected);
    fmt::format_to(out, "edge_proxy.results.{}.aborted={}\n", name, counters.aborted);
    fmt::format_to(out, "edge_proxy.results.{}.forwards={}\n", name, counters.forwards);
  }
  fmt::format_to(out, "edge_proxy.outstanding={}\n", metrics.outstanding);
  fmt::format_to(out, "edge_proxy.discovered={}\n", metrics.discovered);
  fmt::format_to(out, "edge_proxy.ejected={}\n", metrics.ejected);
  return text;
}

}  // namespace stoatrun
