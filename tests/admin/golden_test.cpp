// Compares the metrics of `GET /v1/metrics` with golden files: operators' tools read them.
#include "golden.h"

#include <catch2/catch.hpp>

#include "admin/metrics.h"

namespace stoatrun {
namespace {

TEST_CASE("the text of /v1/metrics matches the golden file, with and without classes") {
  Metrics metrics;
  metrics.class_names = {"sighting-feed", "tally.watch", "x"};
  metrics.classes = {{11, 12, 13, 14}, {0, 0, 0, 0}, {18446744073709551615U, 1, 2, 3}};
  metrics.outstanding = 21;
  metrics.discovered = 22;
  metrics.ejected = 23;
  const std::string text = FormatMetrics(metrics);
  CHECK(text == tests::GoldenText("metrics/three-classes.txt", text));
  const std::string none = FormatMetrics({});
  CHECK(none == tests::GoldenText("metrics/no-class.txt", none));
}

}  // namespace
}  // namespace stoatrun
