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
  const RouteMatch wrong_method = MatchRoute("GET", "/v1/relay/drain");
  CHECK_FALSE(wrong_method.call);
  CHECK(wrong_method.status == 405);
  CHECK(wrong_method.allow == "POST");
  CHECK(MatchRoute("POST", "/v1/readyz").status == 405);
  CHECK(MatchRoute("GET", "/v1/readyz/").status == 404);
  CHECK(MatchRoute("GET", "/").status == 404);
  CHECK(MatchRoute("GET", "").status == 404);
}

}  // namespace
}  // namespace stoatrun
