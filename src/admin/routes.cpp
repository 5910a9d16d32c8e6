#include "admin/routes.h"

#include <array>

namespace stoatrun {
namespace {

struct Route {
  std::string_view path, method;
  AdminCall call;
};

constexpr std::array kRoutes{
    Route{"/v1/readyz", "GET", AdminCall::kReady},
    Route{"/v1/metrics", "GET", AdminCall::kMetrics},
    Route{"/v1/relay/drain", "POST", AdminCall::kDrain},
    Route{"/v1/relay/activate", "POST", AdminCall::kActivate},
    Route{"/v1/fleet", "GET", AdminCall::kFleet},
};

}  // namespace

RouteMatch MatchRoute(std::string_view method, std::string_view target, bool has_fleet) {
  const std::string_view path = target.substr(0, target.find('?'));
  for (const Route& route : kRoutes) {
    if (route.path != path) continue;
    if (route.call == AdminCall::kFleet && !has_fleet) continue;
    if (method == route.method) return {route.call, 200, {}};
    return {std::nullopt, 405, route.method};
  }
  return {std::nullopt, 404, {}};
}

}  // namespace stoatrun
