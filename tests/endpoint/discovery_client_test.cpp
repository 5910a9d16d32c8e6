// What discovery may send, and how it may fall silent; the language is described in fixture.h.
#include <catch2/catch.hpp>
#include <string>

#include "endpoint/json_framing.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

// A list that takes the only host away, with braces and quotes that are no structure.
constexpr std::string_view kDrain =
    R"({\n  "revision": 2,\n  "later": "}]\"{",\n  "complete": false,\n  "members": [\n    {)"
    R"("id": "s-1", "phase": "draining", "later": {"a": [1, {}]}}\n  ]\n})";

void CheckDrained(LoopbackFixture& fixture) {
  CHECK(fixture.Counts().endpoint_updates == 1);
  fixture.Play("a send OPEN 1 k c=watch,d=300\nwait 300\na expect BUSY*\ns-1 legs 0");
}

TEST_CASE("a list may come indented, in any pieces, and without an end of line") {
  LoopbackFixture fixture({"s-1"});
  SECTION("whole") { fixture.Play("discovery raw " + std::string(kDrain)); }
  SECTION("cut at every byte") {
    for (std::size_t k = 0; k < kDrain.size(); ++k) {
      const std::size_t size = kDrain[k] == '\\' && kDrain[k + 1] == 'n' ? 2 : 1;
      // A blank begins no step's text; what it parts is not cut from it.
      const std::size_t more = kDrain.substr(k + size).find_first_not_of(' ');
      fixture.Play("discovery raw " + std::string(kDrain.substr(k, size + more * (more < kDrain.size()))));
      k += size + more * (more < kDrain.size()) - 1;
    }
  }
  SECTION("two in one piece") {
    fixture.Play("discovery raw {\"revision\":1,\"members\":[]}" + std::string(kDrain));
    CHECK(fixture.Counts().endpoint_updates == 2);
    fixture.Play("a send OPEN 1 k c=watch,d=300\nwait 300\na expect BUSY*\ns-1 legs 0");
    return;
  }
  CHECK(fixture.Counts().watch_failures == 0);
  CheckDrained(fixture);
}

TEST_CASE("a whole answer with a length counts, and one that ends within an object does not") {
  LoopbackFixture fixture({"s-1"});
  fixture.Play("discovery mute\ndiscovery watches 1");
  const std::string body = R"({"revision":2,"complete":true,"members":[]})";
  const std::string head = R"(HTTP/1.1 200 OK\r\nContent-Length: )";
  SECTION("whole") {
    fixture.Play("discovery plain " + head + std::to_string(body.size()) + R"(\r\n\r\n)" + body);
    CheckDrained(fixture);
  }
  SECTION("its length ends within an object") {
    fixture.Play("discovery plain " + head + std::to_string(body.size() - 1) + R"(\r\n\r\n)" + body);
    CHECK(fixture.Counts().endpoint_updates == 0);
  }
  SECTION("its connection ends within an object") {
    fixture.Play("discovery plain " + head + "999" + R"(\r\n\r\n)" + body.substr(0, 30) +
                 "\ndiscovery close");
    CHECK(fixture.Counts().endpoint_updates == 0);
  }
  CHECK(fixture.Counts().watch_failures == 1);
  fixture.Play("discovery serve\nwait 200\ndiscovery watches 2");
}

TEST_CASE("objects are cut from a stream within bounds") {
  JsonObjectFramer frames(16);
  int whole = 0, blank = 0;
  const auto take = [&](std::string_view bytes) {
    return frames.Feed(
        bytes, [&](std::string_view o) { return ++whole, o != "{!}"; }, [&] { ++blank; });
  };
  CHECK(take("\r\n {\"a\":\"\\\"}\"} \n{"));
  CHECK((whole == 1 && blank == 2 && frames.InsideObject()));
  CHECK_FALSE(take("12345678901234567"));
  frames.Clear();
  CHECK_FALSE(frames.InsideObject());
  CHECK_FALSE(take("{!}{}"));
  CHECK(whole == 2);
  frames.Clear();
  CHECK_FALSE(take("]"));
}

// Any byte once put the silence off: a watch that dripped half a list was held for as long as it dripped.
TEST_CASE("a watch that drips and never ends a word is dead like a silent one") {
  LoopbackFixture fixture({"s-1"});
  std::string drip;
  SECTION("an object that never ends") {
    fixture.Play("discovery watches 1");
    drip = "discovery raw [";
    fixture.Play("discovery raw {\"members\":");
  }
  SECTION("a head that never ends") {
    fixture.Play("discovery mute\ndiscovery watches 1\ndiscovery plain HTTP/1.1 200 OK\\r\\nX: ");
    drip = "discovery plain x";
  }
  SECTION("an answer of blanks") {
    fixture.Play("discovery watches 1");
    drip = "discovery raw \\r";
  }
  for (int ms = 0; ms < 3400; ms += 200) {
    if (fixture.Counts().watch_failures == 0) fixture.Play(drip);
    fixture.Play("wait 200");
  }
  fixture.Play("discovery serve\nwait 200\ndiscovery watches 2");
  CHECK(fixture.Counts().endpoint_updates == 0);
}

// What a silent watch misses counts as told 6 s after its last word, whether or not it came. In a fleet of
// hundreds the waits between calls alone were once 3 to 6 s.
TEST_CASE("what a silent watch missed is in force before it counts as told") {
  const auto [mode, relays] = GENERATE(table<std::string, int>(
      {{"subscribe", 1}, {"subscribe", 2}, {"subscribe", 100}, {"subscribe", 300}, {"automatic", 300}}));
  INFO(mode << ", " << relays << " relays");
  LoopbackFixture fixture({"s-1"}, {.fleet_size = relays, .discovery_mode = mode});
  // A first call may be spread over seconds; its first word is what the time counts from.
  while (!fixture.DiscoveryCallCount()) fixture.Play("wait 50");
  fixture.Play("discovery send {\"revision\":1,\"members\":[]}");
  int left = 6000;
  const auto wait = [&](int ms) {
    fixture.Play("wait " + std::to_string(ms));
    left -= ms;
  };
  SECTION("and the first new call is answered") {}
  SECTION("and the first new call is refused") {
    fixture.Play("discovery refuse");
    while (fixture.Counts().watch_failures < 2 && left > 0) wait(20);
    fixture.Play("discovery serve");
  }
  SECTION("and the first new call is never answered") {
    fixture.Play("discovery mute");
    while (fixture.Counts().watch_failures < 2) wait(20);
    fixture.Play("discovery serve");
    left = 2000;  // After the end of the wait, if that is later.
  }
  const auto calls = fixture.DiscoveryCallCount();
  while (fixture.DiscoveryCallCount() == calls && left > 0) wait(20);
  fixture.Play("discovery send {\"revision\":2,\"complete\":true,\"members\":[]}");
  CHECK(left >= 500);  // For the answer, where many ask at once.
  CHECK(fixture.Counts().endpoint_updates == 2);
}

// A request that waits for its next attempt must not go to a host whose drain was told meanwhile, however the
// list came to be heard.
TEST_CASE("a drain told right after a silence, an outage or a reload stops what waits from being sent") {
  LoopbackFixture fixture({"s-1"});
  fixture.Play("discovery send {\"revision\":1,\"members\":[]}");
  const std::string before = GENERATE("silence", "outage", "reload");
  INFO(before);
  std::string speaker = "discovery";
  if (before == "silence") fixture.Play("wait 2600\ndiscovery watches 2");
  if (before == "outage") {
    fixture.Play("discovery refuse\ndiscovery close\nwait 3000\ndiscovery serve\nwait 1000");
  }
  if (before == "reload") {
    speaker = "discovery2";
    fixture.Play("reload discovery2\ndiscovery2 watches 1");
  }
  fixture.Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\ns-1 send BUSY\ns-1 expect-end");
  fixture.Play(speaker + R"( send {"revision":9,"members":[{"id":"s-1","phase":"draining"}]})");
  fixture.Play("wait 2000\na expect BUSY*\ns-1 legs 1");
  CHECK(fixture.Counts().attempts == 1);
}

}  // namespace
}  // namespace stoatrun
