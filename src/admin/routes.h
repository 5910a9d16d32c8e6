// The routes of the admin server: which operation a method and a path name.
//
// Pure functions, so that every path and method is tested without sockets. Safe to call from any thread.
#ifndef STOATRUN_ADMIN_ROUTES_H_
#define STOATRUN_ADMIN_ROUTES_H_

#include <optional>
#include <string_view>

namespace stoatrun {

// The operations that operators and the front load balancer call.
enum class AdminCall {
  kReady,     // GET /v1/readyz: readiness check.
  kMetrics,   // GET /v1/metrics: metrics as text.
  kDrain,     // POST /v1/relay/drain: start draining.
  kActivate,  // POST /v1/relay/activate: cancel a drain.
  kFleet,     // GET /v1/fleet: this relay's view of the fleet as JSON.
};

// The result of matching a request against the routes.
struct RouteMatch {
  std::optional<AdminCall> call;  // None: the request is rejected with `status`.
  int status = 200;               // HTTP status: 200, 404 (unknown path) or 405 (wrong method).
  std::string_view allow;         // Value of the Allow header of a 405.
};

// Matches `method` and `target` as they stand in the request line; a query string is ignored. `has_fleet`:
// the relay is a fleet member; otherwise the path /v1/fleet does not exist.
RouteMatch MatchRoute(std::string_view method, std::string_view target, bool has_fleet = false);

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_ROUTES_H_
