// The schedule of an operator's drain, under a clock of its own.
#include "proxy/drain_schedule.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoatrun {
namespace {

TEST_CASE("a drain waits, spreads its migrations evenly and migrates late connections at once") {
  using drain::Micros;
  drain::Plan plan;
  CHECK(plan.SaysYes());
  CHECK(plan.At(Micros(5'000'000), 10).moves == 0);
  CHECK(plan.At(Micros(5'000'000), 10).next.count() == 0);
  plan.Drain(Micros(1'000'000));
  plan.Drain(Micros(1'300'000));  // Idempotent: the first call's schedule stays.
  CHECK_FALSE(plan.SaysYes());
  const drain::Step waiting = plan.At(Micros(1'100'000), 44);
  CHECK(waiting.moves == 0);
  CHECK(waiting.next == Micros(1'400'000));
  // 2.2 s in steps of 50 ms: 44 steps with one migration each.
  std::size_t established = 44, steps = 0;
  Micros now = waiting.next;
  while (established > 0 && now < Micros(3'600'000)) {
    const drain::Step step = plan.At(now, established);
    CHECK(step.moves <= 1);
    established -= step.moves;
    steps += step.moves > 0 ? 1 : 0;
    now = step.next;
  }
  CHECK(established == 0);
  CHECK(steps == 44);
  CHECK(plan.At(Micros(3'600'000), 5).moves == 5);
  // Few connections are spread evenly too, not migrated at the first steps.
  drain::Plan few_connections;
  few_connections.Drain(Micros(0));
  std::vector<std::int64_t> migrated_at;
  for (Micros time(400'000); time < Micros(2'600'000); time += Micros(50'000)) {
    if (few_connections.At(time, 4 - migrated_at.size()).moves > 0) migrated_at.push_back(time.count());
  }
  REQUIRE(migrated_at.size() == 4);
  CHECK(migrated_at.front() >= 700'000);  // A quarter of the 2.2 s after the wait, less a step or two.
  for (std::size_t k = 1; k < migrated_at.size(); ++k) CHECK(migrated_at[k] - migrated_at[k - 1] >= 400'000);
  CHECK(migrated_at.back() < 2'600'000);
  plan.Activate();
  CHECK(plan.SaysYes());
  CHECK(plan.At(Micros(3'700'000), 5).moves == 0);
}

TEST_CASE("a drain first migrates connections without a request in flight, the latest answered first") {
  using drain::Micros;
  const std::vector<drain::Standing> connections{
      {.id = 1, .asking = true, .answered_at = Micros(900)},
      {.id = 2, .asking = false, .answered_at = Micros(100)},
      {.id = 3, .asking = false, .answered_at = Micros(700)},
      {.id = 4, .asking = true, .answered_at = Micros(50)},
      {.id = 5, .asking = false, .answered_at = Micros(700)},
  };
  CHECK(drain::Quietest(connections, 0).empty());
  CHECK(drain::Quietest(connections, 2) == std::vector<std::uint64_t>{3, 5});
  CHECK(drain::Quietest(connections, 4) == std::vector<std::uint64_t>{3, 5, 2, 1});
  CHECK(drain::Quietest(connections, 9).size() == 5);
}

}  // namespace
}  // namespace stoatrun
