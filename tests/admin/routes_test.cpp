// The routes of the admin server.
#include "admin/routes.h"

#include <catch2/catch.hpp>

namespace stoatrun {
namespace {

TEST_CASE("each path matches its own method; other methods and paths are rejected") {
  CHECK(MatchRoute("GET", "/v1/readyz").call == AdminCall::kReady);
  CHECK(MatchRoute("GET", "/v1/metrics?format=text").call == AdminCall::kMetrics);
  CHECK(MatchRoute("POST", "/v1/relay/drain").call == AdminCall::kDrain);
  CHECK(MatchRoute("POST", "/v1/relay/activate").call == AdminCall::kActivate);
  const RouteMatch method_not_allowed = MatchRoute("GET", "/v1/relay/drain");
  CHECK_FALSE(method_not_allowed.call);
  CHECK(method_not_allowed.status == 405);
  CHECK(method_not_allowed.allow == "POST");
  CHECK(MatchRoute("POST", "/v1/readyz").status == 405);
  CHECK(MatchRoute("GET", "/v1/readyz/").status == 404);
  CHECK(MatchRoute("GET", "/").status == 404);
  CHECK(MatchRoute("GET", "").status == 404);
}

}  // namespace
}  // namespace stoatrun
