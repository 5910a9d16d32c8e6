#include "admin/metrics.h"

#include <fmt/format.h>

#include <iterator>

namespace stoatrun {

std::string FormatFigures(const Figures& f) {
  std::string out;
  auto add = std::back_inserter(out);
  for (std::size_t k = 0; k < f.class_names.size() && k < f.classes.size(); ++k) {
    const std::string& name = f.class_names[k];
    const ClassCounters& c = f.classes[k];
    fmt::format_to(add, "edge_proxy.results.{}.succeeded={}\n", name, c.succeeded);
    fmt::format_to(add, "edge_proxy.results.{}.declined={}\n", name, c.rejected);
    fmt::format_to(add, "edge_proxy.results.{}.aborted={}\n", name, c.aborted);
    fmt::format_to(add, "edge_proxy.results.{}.forwards={}\n", name, c.forwards);
  }
  fmt::format_to(add, "edge_proxy.outstanding={}\n", f.outstanding);
  fmt::format_to(add, "edge_proxy.discovered={}\n", f.discovered);
  fmt::format_to(add, "edge_proxy.ejected={}\n", f.ejected);
  return out;
}

}  // namespace stoatrun
