// Checks the histories of simulated fleets under generated schedules, and that the history checker finds each
// of the faults that can be injected into the fleet's modules.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>

#include "fleet/injected_fault.h"
#include "history/history_checker.h"
#include "simulation/schedule.h"
#include "simulation/shrink.h"
#include "simulation/simulated_fleet.h"

namespace stoatrun::simulation {
namespace {

using fleet::Fault;
using history::Bound;

history::Findings PlayAndCheck(const Schedule& schedule) { return history::Check(Play(schedule).history); }

TEST_CASE("no bound is violated in generated schedules of three, five and nine relays") {
  fleet::injected_fault = Fault::kNone;
  std::size_t rate_units_spent = 0, units_acquired = 0, ejection_reports = 0;
  std::size_t total_reports = 0, unbounded_totals = 0;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    const std::size_t relays = seed % 3 == 0 ? 3 : seed % 3 == 1 ? 5 : 9;
    const Schedule schedule = Schedule::Generate(seed, relays, std::chrono::seconds(25));
    const SimulatedFleetResults results = Play(schedule);
    const history::Findings findings = history::Check(results.history);
    if (!findings.Sound()) {
      const auto& first = findings.violations[0];
      FAIL("seed " << seed << ": " << NameOf(first.bound) << ": " << first.what);
    }
    CHECK(results.metrics.oversized_datagrams == 0);
    CHECK(results.metrics.unbalanced_counts == 0);
    CHECK(results.metrics.false_duplicates == 0);
    rate_units_spent += findings.rate_units_spent;
    units_acquired += findings.units_acquired;
    ejection_reports += findings.ejection_reports;
    total_reports += findings.total_reports;
    unbounded_totals += findings.unbounded_totals;
  }
  // Each bound was actually exercised by the schedules.
  CHECK(rate_units_spent > 20'000);
  CHECK(units_acquired > 2'000);
  CHECK(ejection_reports > 20'000);
  CHECK(total_reports > unbounded_totals * 2);
}

TEST_CASE("the same schedule gives the same history") {
  const Schedule schedule = Schedule::Generate(7, 5, std::chrono::seconds(20));
  CHECK(Play(schedule).history == Play(schedule).history);
}

// A fault in the fleet's modules and the bound that it must violate.
struct InjectedFault {
  Fault fault;
  const char* name;
  Bound bound;
  const char* schedule = nullptr;  // Used where generated schedules rarely expose the fault.
};
// Demand alternates between one relay and the others, while every datagram is delayed by 350 to 490 ms.
constexpr const char* kAlternatingDemand = R"(relays 3
servers 3
for 45000
0 delay 350 490
3000 busy n0 800
3000 busy n1 0
3000 busy n2 0
9000 busy n1 800
9000 busy n2 800
13000 busy n1 0
13000 busy n2 0
19000 busy n1 800
19000 busy n2 800
23000 busy n1 0
23000 busy n2 0
29000 busy n1 800
29000 busy n2 800
33000 busy n1 0
33000 busy n2 0
39000 busy n1 800
39000 busy n2 800
)";
const InjectedFault kInjectedFaults[] = {
    {Fault::kLeaseIgnoresPause, "a lease that ignores pauses", Bound::kRateQuota},
    {Fault::kLeaseCountsFromGrant, "a lease that counts from its grant", Bound::kRateQuota,
     kAlternatingDemand},
    {Fault::kLenderIgnoresWindow, "a lender that ignores the window", Bound::kRateQuota},
    {Fault::kLenderIgnoresRestart, "a full share at a restart", Bound::kRateQuota},
    {Fault::kGrantTakenTwice, "a grant that is counted twice", Bound::kRateQuota},
    {Fault::kConcurrencyLeaseEndsByClock, "a concurrency lease that its lender ends by the clock",
     Bound::kConcurrencyQuota},
    {Fault::kLentLeasesForgottenByRestart, "a restarted lender that asks nobody for lent leases",
     Bound::kConcurrencyQuota},
    {Fault::kCountWithoutIncarnation, "counts without their incarnation", Bound::kFleetTotals},
    {Fault::kCountAddedTwice, "late counts that are added", Bound::kFleetTotals},
    {Fault::kAgeWithoutTransit, "ages without the transit time", Bound::kFleetTotals},
    {Fault::kEvidenceNeverExpires, "evidence that never expires", Bound::kEjection},
    {Fault::kOneWitnessSuffices, "an ejection on the evidence of one witness", Bound::kEjection},
    {Fault::kNoEjectionCap, "ejections without a cap", Bound::kEjection},
    {Fault::kRemoteEvidenceFirst, "remote evidence before own observations", Bound::kEjection},
};

TEST_CASE("the checker finds each injected fault, and the schedule shrinks") {
  for (const InjectedFault& injected : kInjectedFaults) {
    SECTION(injected.name) {
      fleet::injected_fault = injected.fault;
      Schedule violating;
      bool found = false;
      for (std::uint64_t seed = 1; seed <= 4000 && !found; ++seed) {
        if (injected.schedule == nullptr) {
          violating = Schedule::Generate(seed, 5, std::chrono::seconds(25));
        } else {
          violating = Schedule::Parse(injected.schedule, injected.name);
          violating.seed = seed;
        }
        const auto findings = PlayAndCheck(violating);
        found = !findings.Sound() && findings.violations[0].bound == injected.bound;
      }
      REQUIRE(found);
      const Schedule shrunk = Shrink(
          violating, [](const Schedule& shorter) { return !PlayAndCheck(shorter).Sound(); }, 60);
      CHECK_FALSE(PlayAndCheck(shrunk).Sound());
      CHECK(shrunk.steps.size() <= violating.steps.size());
      // The schedule still violates a bound after a round trip through the text format.
      CHECK_FALSE(PlayAndCheck(Schedule::Parse(shrunk.ToText(), "shrunk")).Sound());
      fleet::injected_fault = Fault::kNone;
      CHECK(PlayAndCheck(shrunk).Sound());
    }
  }
  fleet::injected_fault = Fault::kNone;
}

TEST_CASE("schedules that once violated a bound no longer violate any") {
  fleet::injected_fault = Fault::kNone;
  std::size_t played = 0;
  for (const auto& entry : std::filesystem::directory_iterator(FLEET_SCHEDULES)) {
    std::ifstream file(entry.path());
    std::ostringstream text;
    text << file.rdbuf();
    const Schedule schedule = Schedule::Parse(text.str(), entry.path().filename().string());
    const history::Findings findings = PlayAndCheck(schedule);
    if (!findings.Sound()) FAIL(entry.path() << ": " << findings.violations[0].what);
    ++played;
  }
  CHECK(played > 0);
}

TEST_CASE("an error in a schedule is reported with line and field") {
  const auto error_of = [](const char* text) {
    try {
      Schedule::Parse(text, "f");
    } catch (const std::invalid_argument& error) {
      return std::string(error.what());
    }
    return std::string();
  };
  CHECK(error_of("relays 3\n100 kill n7\n") == "f:2: kill: unknown relay 'n7'");
  CHECK(error_of("100 melt n1\n") == "f:1: VERB: unknown verb 'melt'");
  CHECK(error_of("soon kill n1\n") == "f:1: AT_MS: expected a time in milliseconds, got 'soon'");
  CHECK(error_of("100 cut n1\n") == "f:1: cut: expected 2 arguments, got 1");
  CHECK(error_of("relays none\n") == "f:1: relays: expected one integer");
}

}  // namespace
}  // namespace stoatrun::simulation
