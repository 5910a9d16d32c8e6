// Which call a request on the second address is: pure, so that every path and method is tested alone.
#ifndef STOATRUN_ADMIN_ROUTES_H_
#define STOATRUN_ADMIN_ROUTES_H_

#include <optional>
#include <string_view>

namespace stoatrun {

enum class ManagementCall { kReady, kMetrics, kDrain, kActivate, kFleet };

struct Route {
  std::optional<ManagementCall> call;  // None: answered with `status` alone.
  int status = 200;
  std::string_view allow;  // The methods of the path, for a 405.
};

// `target` as the request line has it: a query is not part of the path. `fleet`: whether this relay shares
// state with others; without, there is no such path.
Route RouteOf(std::string_view method, std::string_view target, bool fleet = false);

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_ROUTES_H_
