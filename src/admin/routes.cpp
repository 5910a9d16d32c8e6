#include "admin/routes.h"

#include <array>

namespace stoatrun {
namespace {

struct Path {
  std::string_view path, method;
  ManagementCall call;
};

constexpr std::array kPaths{
    Path{"/v1/readyz", "GET", ManagementCall::kReady},
    Path{"/v1/metrics", "GET", ManagementCall::kMetrics},
    Path{"/v1/relay/drain", "POST", ManagementCall::kDrain},
    Path{"/v1/relay/activate", "POST", ManagementCall::kActivate},
    Path{"/v1/fleet", "GET", ManagementCall::kFleet},
};

}  // namespace

Route RouteOf(std::string_view method, std::string_view target, bool fleet) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Path& p : kPaths) {
    if (p.path != path || (p.call == ManagementCall::kFleet && !fleet)) continue;
    if (method == p.method) return {p.call, 200, {}};
    return {std::nullopt, 405, p.method};
  }
  return {std::nullopt, 404, {}};
}

}  // namespace stoatrun
