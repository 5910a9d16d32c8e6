// The figures of `GET /v1/metrics` against a golden text.
#include "golden.h"

#include <catch2/catch.hpp>

#include "admin/metrics.h"

namespace stoatrun {
namespace {

TEST_CASE("the figures of /v1/metrics are the golden text") {
  Figures figures;
  figures.class_names = {"sighting-feed", "tally.watch", "x"};
  figures.classes = {{11, 12, 13, 14}, {0, 0, 0, 0}, {18446744073709551615U, 1, 2, 3}};
  figures.outstanding = 21;
  figures.discovered = 22;
  figures.ejected = 23;
  const std::string text = FormatFigures(figures);
  CHECK(text == tests::GoldenText("metrics/three-classes.txt", text));
  const std::string none = FormatFigures({});
  CHECK(none == tests::GoldenText("metrics/no-class.txt", none));
}

}  // namespace
}  // namespace stoatrun
