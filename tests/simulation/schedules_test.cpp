// Histories of simulated fleets under drawn schedules of faults, the checker that reads them, and faults
// planted in the modules, each of which the checker must find.
#include <catch2/catch.hpp>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "fleet/injected_fault.h"
#include "history/history_checker.h"
#include "simulation/schedule.h"
#include "simulation/shrink.h"
#include "simulation/simulated_fleet.h"

namespace stoatrun::simulation {
namespace {

using fleet::Fault;

history::Findings Played(const Schedule& s) { return history::Check(Play(s).history); }

TEST_CASE("no bound breaks in drawn schedules of three, five and nine relays") {
  fleet::injected_fault = Fault::kNone;
  std::size_t spends = 0, holds = 0, hearsays = 0, unbounded = 0, sums = 0;
  for (std::uint64_t seed = 1; seed <= 120; ++seed) {
    const std::size_t relays = seed % 3 == 0 ? 3 : seed % 3 == 1 ? 5 : 9;
    const Schedule s = Schedule::Draw(seed, relays, std::chrono::seconds(25));
    const auto result = Play(s);
    const auto found = history::Check(result.history);
    if (!found.Sound())
      FAIL("seed " << seed << ": " << found.breaches[0].bound << ": " << found.breaches[0].what);
    CHECK(result.figures.oversized == 0);
    CHECK(result.figures.unbalanced == 0);
    CHECK(result.figures.false_twins == 0);
    spends += found.spends;
    holds += found.holds;
    hearsays += found.hearsays;
    sums += found.sums;
    unbounded += found.unbounded_sums;
  }
  // There was something to be checked.
  CHECK(spends > 20'000);
  CHECK(holds > 2'000);
  CHECK(hearsays > 20'000);
  CHECK(sums > unbounded * 2);
}

TEST_CASE("the same schedule gives the same history") {
  const Schedule s = Schedule::Draw(7, 5, std::chrono::seconds(20));
  CHECK(Play(s).history == Play(s).history);
}

// Which bound each planted fault must break, within so many drawn schedules.
// Where drawn schedules seldom hit it, a schedule of its own.
struct Plant {
  Fault fault;
  const char* name;
  const char* bound;
  const char* schedule = nullptr;
};
// Demand goes to and fro between one relay and the others, while every datagram takes half of a second.
constexpr const char* kToAndFro = R"(relays 3
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
const Plant kPlants[] = {
    {Fault::kLeaseIgnoresPause, "a lease that ignores pauses", "window"},
    {Fault::kLeaseCountsFromGrant, "a lease that counts from its grant", "window", kToAndFro},
    {Fault::kLenderIgnoresWindow, "a lender that forgets the window", "window"},
    {Fault::kLenderIgnoresRestart, "a share that is whole at a restart", "window"},
    {Fault::kGrantTakenTwice, "a grant that counts twice", "window"},
    {Fault::kConcurrencyLeaseEndsByClock, "a level that its lender takes back by the clock", "level"},
    {Fault::kLentLeasesForgottenByRestart, "a restarted lender that asks nobody", "level"},
    {Fault::kCountWithoutIncarnation, "counts without the run they are of", "sum"},
    {Fault::kCountAddedTwice, "late counts that are added", "sum"},
    {Fault::kAgeWithoutTransit, "ages without the time under way", "sum"},
    {Fault::kEvidenceNeverExpires, "a judgement without end", "hearsay"},
    {Fault::kOneWitnessSuffices, "one witness that is enough", "hearsay"},
    {Fault::kNoEjectionCap, "any number avoided on hearsay", "hearsay"},
    {Fault::kRemoteEvidenceFirst, "hearsay before one's own eyes", "hearsay"},
};

TEST_CASE("the checker finds each fault planted in the modules, and the schedule shrinks") {
  for (const Plant& plant : kPlants) {
    SECTION(plant.name) {
      fleet::injected_fault = plant.fault;
      Schedule broken;
      bool found = false;
      for (std::uint64_t seed = 1; seed <= 4000 && !found; ++seed) {
        if (plant.schedule == nullptr) {
          broken = Schedule::Draw(seed, 5, std::chrono::seconds(25));
        } else {
          broken = Schedule::Parse(plant.schedule, plant.name);
          broken.seed = seed;
        }
        const auto findings = Played(broken);
        found = !findings.Sound() && findings.breaches[0].bound == plant.bound;
      }
      REQUIRE(found);
      const Schedule shrunk = Shrink(
          broken, [](const Schedule& s) { return !Played(s).Sound(); }, 60);
      CHECK_FALSE(Played(shrunk).Sound());
      CHECK(shrunk.steps.size() <= broken.steps.size());
      // Its text is the schedule.
      CHECK_FALSE(Played(Schedule::Parse(shrunk.Text(), "shrunk")).Sound());
      fleet::injected_fault = Fault::kNone;
      CHECK(Played(shrunk).Sound());
    }
  }
  fleet::injected_fault = Fault::kNone;
}

TEST_CASE("schedules that once broke a bound hold now") {
  fleet::injected_fault = Fault::kNone;
  std::size_t played = 0;
  for (const auto& entry : std::filesystem::directory_iterator(FLEET_SCHEDULES)) {
    std::ifstream in(entry.path());
    std::ostringstream text;
    text << in.rdbuf();
    const auto found = Played(Schedule::Parse(text.str(), entry.path().filename().string()));
    if (!found.Sound()) FAIL(entry.path() << ": " << found.breaches[0].what);
    ++played;
  }
  CHECK(played > 0);
}

TEST_CASE("a schedule that is in error is told by line and field") {
  const auto fault = [](const char* text) {
    try {
      Schedule::Parse(text, "f");
    } catch (const std::invalid_argument& e) {
      return std::string(e.what());
    }
    return std::string();
  };
  CHECK(fault("relays 3\n100 kill n7\n") == "f:2: kill: no relay 'n7'");
  CHECK(fault("100 melt n1\n") == "f:1: VERB: no verb 'melt'");
  CHECK(fault("soon kill n1\n") == "f:1: AT_MS: expected a time in milliseconds, got 'soon'");
  CHECK(fault("100 cut n1\n") == "f:1: cut: expected 2 words, got 1");
  CHECK(fault("relays none\n") == "f:1: relays: expected one whole number");
}

// ---- the checker by itself ----

constexpr const char* kBegin =
    R"({"t":0,"e":"fleet","relays":["a","b","c"],"budgets":[{"name":"w","units":2,"window_us":100},)"
    R"({"name":"l","units":1,"window_us":0},{"name":"cold:","units":1,"window_us":100}],"slack_us":0,)"
    R"("avoid_part":0.5,"evidence_us":1000,"own_us":1000,"hearsay_us":500,"witnesses":2}
{"t":0,"e":"up","r":"a"}
{"t":0,"e":"up","r":"b"}
)";

std::string FirstBreach(const std::string& rest) {
  const auto found = history::Check(kBegin + rest);
  return found.Sound() ? "" : found.breaches[0].bound;
}

TEST_CASE("the checker tells a history that holds from one that does not") {
  CHECK(FirstBreach("").empty());
  CHECK(history::Check("").breaches[0].bound == "form");
  CHECK(FirstBreach("nonsense\n") == "form");
  CHECK(FirstBreach(R"({"t":1,"e":"spend","r":"x","b":"w"})") == "form");
  const std::string two = R"({"t":10,"e":"spend","r":"a","b":"w"}
{"t":20,"e":"spend","r":"b","b":"w"}
)";
  CHECK(FirstBreach(two + R"({"t":110,"e":"spend","r":"a","b":"w"})").empty());
  CHECK(FirstBreach(two + R"({"t":109,"e":"spend","r":"a","b":"w"})") == "window");
  CHECK(FirstBreach(R"({"t":10,"e":"spend","r":"a","b":"cold:x"}
{"t":20,"e":"spend","r":"b","b":"cold:y"})")
            .empty());
  CHECK(FirstBreach(R"({"t":10,"e":"spend","r":"a","b":"cold:x"}
{"t":20,"e":"spend","r":"b","b":"cold:x"})") == "window");
  const std::string held = R"({"t":10,"e":"hold","r":"a","b":"l"}
)";
  CHECK(FirstBreach(held + R"({"t":11,"e":"hold","r":"b","b":"l"})") == "level");
  CHECK(FirstBreach(held + R"({"t":11,"e":"down","r":"a"}
{"t":12,"e":"hold","r":"b","b":"l"})")
            .empty());
  CHECK(FirstBreach(
            R"({"t":10,"e":"accounts","r":"a","taken":1,"served":0,"refused":0,"failed":0,"open":0})") ==
        "accounts");
  CHECK(FirstBreach(
            R"({"t":10,"e":"accounts","r":"a","taken":1,"served":1,"refused":0,"failed":0,"open":0})") ==
        "accounts");
  const std::string taken = R"({"t":10,"e":"take","r":"a"}
{"t":20,"e":"take","r":"b"}
)";
  const auto sum = [](int at, int oldest, int low, int high) {
    return "{\"t\":" + std::to_string(at) + R"(,"e":"sum","r":"a","oldest_us":)" + std::to_string(oldest) +
           ",\"taken\":[" + std::to_string(low) + "," + std::to_string(high) +
           R"(],"served":[0,0],"refused":[0,0],"failed":[0,0],"open":[0,9]})";
  };
  CHECK(FirstBreach(taken + sum(30, 0, 2, 2)).empty());
  CHECK(FirstBreach(taken + sum(30, 15, 1, 1)).empty());
  CHECK(FirstBreach(taken + sum(30, 5, 1, 1)) == "sum");
  CHECK(FirstBreach(taken + sum(30, 30, 3, 3)) == "sum");
}

TEST_CASE("the checker asks for witnesses, time and part of what is avoided on hearsay") {
  const std::string seen = R"({"t":10,"e":"saw","r":"a","s":"x","v":"failing"}
{"t":10,"e":"saw","r":"b","s":"x","v":"slow"}
)";
  const std::string avoids = R"({"t":100,"e":"hearsay","r":"c","of":4,"s":["x"]}
)";
  CHECK(FirstBreach(seen + avoids).empty());
  CHECK(FirstBreach(avoids) == "hearsay");
  CHECK(FirstBreach(seen + R"({"t":1100,"e":"hearsay","r":"c","of":4,"s":["x"]})") == "hearsay");
  CHECK(FirstBreach(seen + avoids + R"({"t":700,"e":"hearsay","r":"c","of":4,"s":["x"]})") == "hearsay");
  CHECK(FirstBreach(seen + R"({"t":100,"e":"hearsay","r":"c","of":1,"s":["x"]})") == "hearsay");
  CHECK(FirstBreach(seen + R"({"t":50,"e":"saw","r":"c","s":"x","v":"fine"}
)" + avoids) == "hearsay");
}

}  // namespace
}  // namespace stoatrun::simulation
