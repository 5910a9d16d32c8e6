// Tests the history checker with small handwritten histories.
#include "history/history_checker.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>

namespace stoatrun::history {
namespace {

constexpr const char* kPreamble =
    R"({"t":0,"e":"fleet","relays":["a","b","c"],"budgets":[{"name":"w","units":2,"window_us":100},)"
    R"({"name":"l","units":1,"window_us":0},{"name":"cold:","units":1,"window_us":100}],"slack_us":0,)"
    R"("avoid_part":0.5,"evidence_us":1000,"own_us":1000,"hearsay_us":500,"witnesses":2}
{"t":0,"e":"up","r":"a"}
{"t":0,"e":"up","r":"b"}
)";

// The first bound that the preamble followed by `rest` violates; none if all bounds hold.
std::optional<Bound> FirstViolation(const std::string& rest) {
  const Findings findings = Check(kPreamble + rest);
  if (findings.Sound()) return std::nullopt;
  return findings.violations[0].bound;
}

TEST_CASE("the checker reports the violated bound, and nothing for a history that keeps its bounds") {
  CHECK(FirstViolation("") == std::nullopt);
  CHECK(Check("").violations[0].bound == Bound::kFormat);
  CHECK(FirstViolation("nonsense\n") == Bound::kFormat);
  CHECK(FirstViolation(R"({"t":1,"e":"spend","r":"x","b":"w"})") == Bound::kFormat);
  const std::string two_units_spent = R"({"t":10,"e":"spend","r":"a","b":"w"}
{"t":20,"e":"spend","r":"b","b":"w"}
)";
  CHECK(FirstViolation(two_units_spent + R"({"t":110,"e":"spend","r":"a","b":"w"})") == std::nullopt);
  CHECK(FirstViolation(two_units_spent + R"({"t":109,"e":"spend","r":"a","b":"w"})") == Bound::kRateQuota);
  CHECK(FirstViolation(R"({"t":10,"e":"spend","r":"a","b":"cold:x"}
{"t":20,"e":"spend","r":"b","b":"cold:y"})") == std::nullopt);
  CHECK(FirstViolation(R"({"t":10,"e":"spend","r":"a","b":"cold:x"}
{"t":20,"e":"spend","r":"b","b":"cold:x"})") == Bound::kRateQuota);
  const std::string unit_held = R"({"t":10,"e":"hold","r":"a","b":"l"}
)";
  CHECK(FirstViolation(unit_held + R"({"t":11,"e":"hold","r":"b","b":"l"})") == Bound::kConcurrencyQuota);
  CHECK(FirstViolation(unit_held + R"({"t":11,"e":"down","r":"a"}
{"t":12,"e":"hold","r":"b","b":"l"})") == std::nullopt);
  CHECK(FirstViolation(
            R"({"t":10,"e":"accounts","r":"a","taken":1,"served":0,"refused":0,"failed":0,"open":0})") ==
        Bound::kCounts);
  CHECK(FirstViolation(
            R"({"t":10,"e":"accounts","r":"a","taken":1,"served":1,"refused":0,"failed":0,"open":0})") ==
        Bound::kCounts);
  const std::string two_accepted = R"({"t":10,"e":"take","r":"a"}
{"t":20,"e":"take","r":"b"}
)";
  const auto totals_report = [](int at, int oldest, int low, int high) {
    return "{\"t\":" + std::to_string(at) + R"(,"e":"sum","r":"a","oldest_us":)" + std::to_string(oldest) +
           ",\"taken\":[" + std::to_string(low) + "," + std::to_string(high) +
           R"(],"served":[0,0],"refused":[0,0],"failed":[0,0],"open":[0,9]})";
  };
  CHECK(FirstViolation(two_accepted + totals_report(30, 0, 2, 2)) == std::nullopt);
  CHECK(FirstViolation(two_accepted + totals_report(30, 15, 1, 1)) == std::nullopt);
  CHECK(FirstViolation(two_accepted + totals_report(30, 5, 1, 1)) == Bound::kFleetTotals);
  CHECK(FirstViolation(two_accepted + totals_report(30, 30, 3, 3)) == Bound::kFleetTotals);
}

TEST_CASE("ejections on remote evidence need witnesses and are limited in duration and number") {
  const std::string failures_seen = R"({"t":10,"e":"saw","r":"a","s":"x","v":"failing"}
{"t":10,"e":"saw","r":"b","s":"x","v":"slow"}
)";
  const std::string ejects = R"({"t":100,"e":"hearsay","r":"c","of":4,"s":["x"]}
)";
  CHECK(FirstViolation(failures_seen + ejects) == std::nullopt);
  CHECK(FirstViolation(ejects) == Bound::kEjection);
  CHECK(FirstViolation(failures_seen + R"({"t":1100,"e":"hearsay","r":"c","of":4,"s":["x"]})") ==
        Bound::kEjection);
  CHECK(FirstViolation(failures_seen + ejects + R"({"t":700,"e":"hearsay","r":"c","of":4,"s":["x"]})") ==
        Bound::kEjection);
  CHECK(FirstViolation(failures_seen + R"({"t":100,"e":"hearsay","r":"c","of":1,"s":["x"]})") ==
        Bound::kEjection);
  CHECK(FirstViolation(failures_seen + R"({"t":50,"e":"saw","r":"c","s":"x","v":"fine"}
)" + ejects) == Bound::kEjection);
}

}  // namespace
}  // namespace stoatrun::history
