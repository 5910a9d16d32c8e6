// Slot maps, timers, clock, backoff, log rate limiter and configuration errors: no sockets.
#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <queue>
#include <string>
#include <utility>
#include <vector>

#include "base/backoff.h"
#include "base/clock.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/slot_map.h"
#include "config/config.h"

namespace stoatrun {
namespace {

struct Thing {
  explicit Thing(SlotId slot) : id(slot) {}
  SlotId id;
};

TEST_CASE("a slot id finds nothing once its value is erased, though the slot is used again") {
  SlotMap<Thing> slots;
  const SlotId first = slots.Add().id;
  slots.Erase(first);
  const SlotId second = slots.Add().id;
  CHECK(second.index == first.index);
  CHECK(slots.Find(first) == nullptr);
  CHECK(slots.Find(second) != nullptr);
  CHECK(slots.Find(SlotId{}) == nullptr);
  CHECK(SlotId::FromUint64(second.ToUint64()) == second);
}

TEST_CASE("timers run in order, once, and not when cancelled") {
  TimerQueue all;
  std::string ran;
  Timer late(all, [&] { ran += 'l'; });
  Timer early(all, [&] { ran += 'e'; });
  Timer back(all, [&] { ran += 'b'; });
  late.Set(Micros(20));
  early.Set(Micros(10));
  back.Set(Micros(5));
  back.Cancel();
  all.RunExpired(Micros(9));
  CHECK(ran.empty());
  all.RunExpired(Micros(20));
  all.RunExpired(Micros(30));
  CHECK(ran == "el");
}

TEST_CASE("a timer that is set again by its own callback waits for the next call") {
  TimerQueue all;
  int runs = 0;
  Timer timer(all, [&] {
    ++runs;
    timer.Set(Micros(1));
  });
  timer.Set(Micros(1));
  all.RunExpired(Micros(5));
  CHECK(runs == 1);
  all.RunExpired(Micros(5));
  CHECK(runs == 2);
}

TEST_CASE("a start time is constant, and one from before the clock's origin is still a start time") {
  const Clock clock(Clock::Mode::kManual);
  CHECK(clock.FromUnixMs(0) == Micros(0));
  CHECK(clock.FromUnixMs(1'999'000) == Micros(999'000'000));
  CHECK(clock.FromUnixMs(1) == Micros(1));
}

// Callers of a service that takes calls in turn, 50 ms each, also those whose callers gave up after 2 s. All
// come at once. Gives how many of a hundred were served within 30 s.
int ServedOfAHundred(unsigned assumed_callers) {
  using std::chrono::milliseconds;
  std::vector<Backoff> waits;
  for (std::uint64_t k = 0; k < 100; ++k) waits.emplace_back(assumed_callers, Micros(6'000'000), k);
  using Call = std::pair<Micros, std::size_t>;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (std::size_t k = 0; k < 100; ++k) calls.emplace(waits[k].InitialDelay(), k);
  Micros free{0};
  int served = 0;
  while (!calls.empty() && calls.top().first < std::chrono::seconds(30)) {
    const auto [at, who] = calls.top();
    calls.pop();
    free = std::max(free, at);
    if (free - at > std::chrono::seconds(9)) {  // Its queue is full: refused at once.
      calls.emplace(at + waits[who].NextDelay(), who);
      continue;
    }
    free += milliseconds(50);
    if (free - at <= std::chrono::seconds(2)) {
      ++served;
    } else {
      calls.emplace(at + std::chrono::seconds(2) + waits[who].NextDelay(), who);
    }
  }
  return served;
}

TEST_CASE("a hundred callers that poll one slow service at once are all served, unless each assumes two") {
  CHECK(ServedOfAHundred(100) == 100);
  CHECK(ServedOfAHundred(2) < 50);
}

TEST_CASE("backoff grows to a bound, has jitter and is reset by a success") {
  Backoff two(2, Micros(6'000'000), 1), many(100, Micros(6'000'000), 1), other(100, Micros(6'000'000), 2);
  CHECK(Backoff(1, Micros(6'000'000), 1).InitialDelay() == Micros(0));
  CHECK(two.InitialDelay() <= Micros(40'000));
  CHECK(many.NextDelay() != other.NextDelay());
  for (int k = 0; k < 20; ++k) {
    CHECK(two.NextDelay() <= Micros(800'000));
    const Micros wait = many.NextDelay();
    CHECK((wait >= Micros(2'500'000) && wait <= Micros(6'000'000)));
  }
  two.Reset();
  CHECK(two.NextDelay() <= Micros(50'000));
}

TEST_CASE("the log rate limiter allows a few records a second and counts the rest") {
  LogRateLimiter limit;
  int written = 0;
  for (int k = 0; k < 100; ++k) written += limit.Allows(Micros(2'000'000 + k)) ? 1 : 0;
  CHECK(written == 5);
  CHECK(limit.Allows(Micros(3'000'000)));
  CHECK(limit.TakeSuppressed() == 95);
  CHECK(limit.TakeSuppressed() == 0);
}

TEST_CASE("an invalid configuration is an error that names the field") {
  CHECK_THROWS_WITH(ParseConfig("{"), Catch::StartsWith("not JSON"));
  CHECK_THROWS_WITH(ParseConfig("{}"), "name: missing");
  CHECK_THROWS_WITH(ParseConfig(R"({"name":"n","listen":"there"})"),
                    Catch::Contains("listen: expected IP:PORT"));
  CHECK_THROWS_WITH(ParseConfig(R"({"name":"n","listen":"127.0.0.1:1","discovery":"127.0.0.1:2","seed":"g",
                                    "settings":{"classes":[]}})"),
                    Catch::Contains("seed"));
}

}  // namespace
}  // namespace stoatrun
