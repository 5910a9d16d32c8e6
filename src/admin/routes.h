// The routes of the admin server: map a method and a path to an admin call.
//
// Pure functions, so that tests cover every path and method without sockets. Thread-safe.
#ifndef STOATRUN_ADMIN_ROUTES_H_
#define STOATRUN_ADMIN_ROUTES_H_

#include <optional>
#include <string_view>

namespace stoatrun {

// The operations that operators and the front load balancer can request.
enum class AdminCall {
  kReady,     // GET /v1/readyz: readiness check.
  kMetrics,   // GET /v1/metrics: metrics as text.
  kDrain,     // POST /v1/relay/drain: start draining.
  kActivate,  // POST /v1/relay/activate: cancel a drain.
  kFleet,     // GET /v1/fleet: this relay's view of the fleet as JSON.
};

// The route of a request, or the reason for its rejection.
struct RouteMatch {
  std::optional<AdminCall> call;  // None: the request is rejected with `status`.
  int status = 200;               // HTTP status: 200, 404 (unknown path) or 405 (wrong method).
  std::string_view allow;         // Value of the Allow header of a 405.
};

// Finds the route for `method` and `target` as given in the request line; a query string is ignored.
// `has_fleet`: the relay is a fleet member; otherwise the path /v1/fleet does not exist.
RouteMatch MatchRoute(std::string_view method, std::string_view target, bool has_fleet = false);

}  // namespace stoatrun

#endif  // STOATRUN_ADMIN_ROUTES_H_
