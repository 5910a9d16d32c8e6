// The schedule of the operators' drain, with explicit times.
#include "proxy/drain_schedule.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoatrun {
namespace {

TEST_CASE("a drain waits, spreads its migrations evenly and migrates late connections at once") {
  using drain::Micros;
  drain::Schedule schedule;
  CHECK(schedule.Healthy());
  CHECK(schedule.Advance(Micros(5'000'000), 10).migrations == 0);
  CHECK(schedule.Advance(Micros(5'000'000), 10).next_step_at.count() == 0);
  schedule.Drain(Micros(1'000'000));
  schedule.Drain(Micros(1'300'000));  // No effect: the times of the first call remain valid.
  CHECK_FALSE(schedule.Healthy());
  const drain::Step waiting = schedule.Advance(Micros(1'100'000), 44);
  CHECK(waiting.migrations == 0);
  CHECK(waiting.next_step_at == Micros(1'400'000));
  // 2.2 s in steps of 50 ms: 44 steps with one migration each.
  std::size_t established = 44, steps = 0;
  Micros now = waiting.next_step_at;
  while (established > 0 && now < Micros(3'600'000)) {
    const drain::Step step = schedule.Advance(now, established);
    CHECK(step.migrations <= 1);
    established -= step.migrations;
    steps += step.migrations > 0 ? 1 : 0;
    now = step.next_step_at;
  }
  CHECK(established == 0);
  CHECK(steps == 44);
  CHECK(schedule.Advance(Micros(3'600'000), 5).migrations == 5);
  // Few connections are spread evenly too, not migrated at the first steps.
  drain::Schedule few_connections;
  few_connections.Drain(Micros(0));
  std::vector<std::int64_t> migrated_at;
  for (Micros time(400'000); time < Micros(2'600'000); time += Micros(50'000)) {
    if (few_connections.Advance(time, 4 - migrated_at.size()).migrations > 0) {
      migrated_at.push_back(time.count());
    }
  }
  REQUIRE(migrated_at.size() == 4);
  // The delay of 0.4 s and a quarter of the 2.2 s, less a few steps.
  CHECK(migrated_at.front() >= 700'000);
  for (std::size_t k = 1; k < migrated_at.size(); ++k) CHECK(migrated_at[k] - migrated_at[k - 1] >= 400'000);
  CHECK(migrated_at.back() < 2'600'000);
  schedule.Activate();
  CHECK(schedule.Healthy());
  CHECK(schedule.Advance(Micros(3'700'000), 5).migrations == 0);
}

TEST_CASE("a drain first migrates connections without a request in flight, the latest answered first") {
  using drain::Micros;
  const std::vector<drain::Candidate> connections{
      {.id = 1, .request_in_flight = true, .answered_at = Micros(900)},
      {.id = 2, .request_in_flight = false, .answered_at = Micros(100)},
      {.id = 3, .request_in_flight = false, .answered_at = Micros(700)},
      {.id = 4, .request_in_flight = true, .answered_at = Micros(50)},
      {.id = 5, .request_in_flight = false, .answered_at = Micros(700)},
  };
  CHECK(drain::SelectForMigration(connections, 0).empty());
  CHECK(drain::SelectForMigration(connections, 2) == std::vector<std::uint64_t>{3, 5});
  CHECK(drain::SelectForMigration(connections, 4) == std::vector<std::uint64_t>{3, 5, 2, 1});
  CHECK(drain::SelectForMigration(connections, 9).size() == 5);
}

}  // namespace
}  // namespace stoatrun
