// The parts that need no sockets.
#include <catch2/catch.hpp>
#include <cstdint>
#include <queue>
#include <utility>
#include <vector>

#include "base/backoff.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/slot_map.h"
#include "config/config.h"
#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

struct Thing {
  explicit Thing(SlotId slot) : id(slot) {}
  SlotId id;
};

TEST_CASE("a number finds nothing once its use has ended, though the slot is used again") {
  SlotMap<Thing> slots;
  const SlotId first = slots.Add().id;
  slots.Erase(first);
  const SlotId second = slots.Add().id;
  CHECK(second.index == first.index);
  CHECK(slots.Find(first) == nullptr);
  CHECK(slots.Find(second) != nullptr);
  CHECK(slots.Find(SlotId{}) == nullptr);
  CHECK(SlotId::Unpack(second.Packed()) == second);
}

TEST_CASE("deadlines run in order, once, and not when taken back") {
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

TEST_CASE("a deadline set anew by itself waits for the next call") {
  TimerQueue all;
  int runs = 0;
  Timer again(all, [&] {
    ++runs;
    again.Set(Micros(1));
  });
  again.Set(Micros(1));
  all.RunExpired(Micros(5));
  CHECK(runs == 1);
  all.RunExpired(Micros(5));
  CHECK(runs == 2);
}

TEST_CASE("a start time is one time for ever, and one from before the clock's origin is still a start") {
  const Clock clock(Clock::Mode::kManual);
  CHECK(clock.FromUnixMs(0) == Micros(0));
  CHECK(clock.FromUnixMs(1'999'000) == Micros(999'000'000));
  CHECK(clock.FromUnixMs(1) == Micros(1));
}

TEST_CASE("first lines") {
  const auto head = ParseOpenRequest("OPEN 1 k c=chat,t=acme,d=2000,h=12.5,again=1,x=1");
  REQUIRE(head);
  CHECK(head->class_name == "chat");
  CHECK(head->timeout_ms == 2000);
  CHECK(head->load == 12.5);
  CHECK(head->is_reconnect);
  CHECK(head->before_timeout == "OPEN 1 k c=chat,t=acme,d=");
  CHECK(head->after_timeout == ",h=12.5,again=1,x=1");
  CHECK(ParseOpenRequest("OPEN 9b1f03aa5c7e2d41 tpl/c0d c=chat,d=4294967.5,at=s-1,r=1,new=a=b")->timeout_ms ==
        4'294'967);
  for (const char* bad :
       {"", "OPEN", "OPEN 1", "OPEN 1 k", "OPEN 1 k d=5", "OPEN 1 k c=chat", "OPEN 1 k c=chat,d=x",
        "OPEN 1 k c=chat,d=1,d=2", "OPEN 1 k c=chat,d=nan", "GET / HTTP/1.1",
        // Read leniently, each of these was once taken for a request and served.
        "OPEN 1 k c=chat,d=99999999999999999999999", "OPEN 1 k c=chat,d=1e3", "OPEN 1 k c=chat,d=-0",
        "OPEN 1 k c=chat,d=0x10", "OPEN 1 k c=chat,d=", "OPEN 1 k c=chat,d=5,", "OPEN 1 k c=chat,,d=5",
        "OPEN 1 k c=chat,c=feed,d=5", "OPEN 1 k c=chat,t=,d=5", "OPEN 1 k c=chat,d=5,x",
        "OPEN 1 k c=chat,d=5 k", "OPEN 1 c=chat,d=5", "OPEN  k c=chat,d=5", "OPEN 1=2 k c=chat,d=5",
        "OPEN 1 k c=chat,d=5,h=nan"}) {
    INFO(bad);
    CHECK_FALSE(ParseOpenRequest(bad));
  }
}

// Callers of a service that takes calls in turn, 50 ms each, also those whose callers gave up after 2 s. All
// come at once. Gives how many of a hundred were served within 30 s.
int ServedOfAHundred(unsigned callers_told) {
  using std::chrono::milliseconds;
  std::vector<Backoff> waits;
  for (std::uint64_t k = 0; k < 100; ++k) waits.emplace_back(callers_told, Micros(6'000'000), k);
  using Call = std::pair<Micros, std::size_t>;
  std::priority_queue<Call, std::vector<Call>, std::greater<>> calls;
  for (std::size_t k = 0; k < 100; ++k) calls.emplace(waits[k].Start(), k);
  Micros free{0};
  int served = 0;
  while (!calls.empty() && calls.top().first < std::chrono::seconds(30)) {
    const auto [at, who] = calls.top();
    calls.pop();
    free = std::max(free, at);
    if (free - at > std::chrono::seconds(9)) {  // Its queue is full: refused at once.
      calls.emplace(at + waits[who].Next(), who);
      continue;
    }
    free += milliseconds(50);
    if (free - at <= std::chrono::seconds(2)) {
      ++served;
    } else {
      calls.emplace(at + std::chrono::seconds(2) + waits[who].Next(), who);
    }
  }
  return served;
}

TEST_CASE("a hundred that ask one slow service at once are all served, unless each thinks of two") {
  CHECK(ServedOfAHundred(100) == 100);
  CHECK(ServedOfAHundred(2) < 50);
}

TEST_CASE("waits grow to a bound, are drawn at random and begin anew after a success") {
  Backoff two(2, Micros(6'000'000), 1), many(100, Micros(6'000'000), 1), other(100, Micros(6'000'000), 2);
  CHECK(Backoff(1, Micros(6'000'000), 1).Start() == Micros(0));
  CHECK(two.Start() <= Micros(40'000));
  CHECK(many.Next() != other.Next());
  for (int k = 0; k < 20; ++k) {
    CHECK(two.Next() <= Micros(800'000));
    const Micros wait = many.Next();
    CHECK((wait >= Micros(2'500'000) && wait <= Micros(6'000'000)));
  }
  two.Reset();
  CHECK(two.Next() <= Micros(50'000));
}

TEST_CASE("of what is logged at full speed a few a second are written and the rest is counted") {
  LogRateLimiter limit;
  int written = 0;
  for (int k = 0; k < 100; ++k) written += limit.Allows(Micros(2'000'000 + k)) ? 1 : 0;
  CHECK(written == 5);
  CHECK(limit.Allows(Micros(3'000'000)));
  CHECK(limit.TakeLeftOut() == 95);
  CHECK(limit.TakeLeftOut() == 0);
}

TEST_CASE("a bad configuration is named") {
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
