// The metrics of `GET /v1/metrics` against a golden text.
#include "golden.h"

#include <catch2/catch.hpp>

#include "admin/metrics.h"

namespace stoatrun {
namespace {

TEST_CASE("the figures of /v1/metrics are the golden text") {
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
