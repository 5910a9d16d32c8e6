// Tests of slot maps, timers, clock, backoff, log rate limiter and configuration errors, without sockets.
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

struct Entry {
  explicit Entry(SlotId slot) : id(slot) {}
  SlotId id;
};

TEST_CASE("the id of an erased entry is not found, even after its slot is reused") {
  SlotMap<Entry> slots;
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
  TimerQueue queue;
  std::string expired;
  Timer late(queue, [&] { expired += 'l'; });
  Timer early(queue, [&] { expired += 'e'; });
  Timer cancelled(queue, [&] { expired += 'c'; });
  late.Set(Micros(20));
  early.Set(Micros(10));
  cancelled.Set(Micros(5));
  cancelled.Cancel();
  queue.RunExpired(Micros(9));
  CHECK(expired.empty());
  queue.RunExpired(Micros(20));
  queue.RunExpired(Micros(30));
  CHECK(expired == "el");
}

TEST_CASE("a timer that is set again by its own callback waits for the next call") {
  TimerQueue queue;
  int runs = 0;
  Timer timer(queue, [&] {
    ++runs;
    timer.Set(Micros(1));
  });
  timer.Set(Micros(1));
  queue.RunExpired(Micros(5));
  CHECK(runs == 1);
  queue.RunExpired(Micros(5));
  CHECK(runs == 2);
}

TEST_CASE("the conversion of Unix time is constant, and a time before the clock's origin is not unknown") {
  const Clock clock(Clock::Mode::kManual);
  CHECK(clock.FromUnixMs(0) == Micros(0));
  CHECK(clock.FromUnixMs(1'999'000) == Micros(999'000'000));
  CHECK(clock.FromUnixMs(1) == Micros(1));
}

// Simulates a hundred callers that all start at the same time and call a service that handles calls
// sequentially. A call takes 50 ms; the service also handles calls whose callers have timed out (after 2 s).
// Returns the number of callers that were served within 30 s.
int CountServedCallers(unsigned assumed_callers) {
  using std::chrono::milliseconds;
  std::vector<Backoff> backoffs;
  for (std::uint64_t k = 0; k < 100; ++k) backoffs.emplace_back(assumed_callers, Micros(6'000'000), k);
  using Call = std::pair<Micros, std::size_t>;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (std::size_t k = 0; k < 100; ++k) calls.emplace(backoffs[k].InitialDelay(), k);
  Micros service_free_at{0};
  int served = 0;
  while (!calls.empty() && calls.top().first < std::chrono::seconds(30)) {
    const auto [at, caller] = calls.top();
    calls.pop();
    service_free_at = std::max(service_free_at, at);
    if (service_free_at - at > std::chrono::seconds(9)) {  // The queue is full: rejected immediately.
      calls.emplace(at + backoffs[caller].NextDelay(), caller);
      continue;
    }
    service_free_at += milliseconds(50);
    if (service_free_at - at <= std::chrono::seconds(2)) {
      ++served;
    } else {
      calls.emplace(at + std::chrono::seconds(2) + backoffs[caller].NextDelay(), caller);
    }
  }
  return served;
}

TEST_CASE("a slow service serves a hundred callers if their backoff is scaled to a hundred, not to two") {
  CHECK(CountServedCallers(100) == 100);
  CHECK(CountServedCallers(2) < 50);
}

TEST_CASE("backoff grows up to a bound, has jitter and can be reset") {
  Backoff two(2, Micros(6'000'000), 1), many(100, Micros(6'000'000), 1), other(100, Micros(6'000'000), 2);
  CHECK(Backoff(1, Micros(6'000'000), 1).InitialDelay() == Micros(0));
  CHECK(two.InitialDelay() <= Micros(40'000));
  CHECK(many.NextDelay() != other.NextDelay());
  for (int k = 0; k < 20; ++k) {
    CHECK(two.NextDelay() <= Micros(800'000));
    const Micros delay = many.NextDelay();
    CHECK((delay >= Micros(2'500'000) && delay <= Micros(6'000'000)));
  }
  two.Reset();
  CHECK(two.NextDelay() <= Micros(50'000));
}

TEST_CASE("the log rate limiter allows a few records per second and counts the suppressed ones") {
  LogRateLimiter limiter;
  int written = 0;
  for (int k = 0; k < 100; ++k) written += limiter.Allows(Micros(2'000'000 + k)) ? 1 : 0;
  CHECK(written == 5);
  CHECK(limiter.Allows(Micros(3'000'000)));
  CHECK(limiter.TakeSuppressed() == 95);
  CHECK(limiter.TakeSuppressed() == 0);
}

TEST_CASE("the error for an invalid configuration names the field") {
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
