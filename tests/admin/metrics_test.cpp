// The text format of the metrics.
#include "admin/metrics.h"

#include <catch2/catch.hpp>
#include <string>

namespace stoatrun {
namespace {

TEST_CASE("metrics have the documented names, one line for each class and counter") {
  Metrics metrics;
  metrics.class_names = {"sighting-feed", "tally-watch"};
  metrics.classes.resize(2);
  metrics.classes[0] = {.succeeded = 812, .rejected = 3, .aborted = 1, .forwards = 820};
  metrics.classes[1].succeeded = 7;
  metrics.outstanding = 14;
  metrics.discovered = 9;
  metrics.ejected = 2;
  const std::string text = FormatMetrics(metrics);
  CHECK_THAT(text, Catch::StartsWith("edge_proxy.results.sighting-feed.succeeded=812\n"));
  for (const char* line :
       {"edge_proxy.results.sighting-feed.declined=3\n", "edge_proxy.results.sighting-feed.aborted=1\n",
        "edge_proxy.results.sighting-feed.forwards=820\n", "edge_proxy.results.tally-watch.succeeded=7\n",
        "edge_proxy.results.tally-watch.declined=0\n", "edge_proxy.outstanding=14\n",
        "edge_proxy.discovered=9\n", "edge_proxy.ejected=2\n"}) {
    CHECK_THAT(text, Catch::Contains(line));
  }
}

}  // namespace
}  // namespace stoatrun
