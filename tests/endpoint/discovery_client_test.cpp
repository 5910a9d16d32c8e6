// Tests of the discovery client: formats of updates, watch timeouts and retries. proxy/loopback_fixture.h
// documents the script language of LoopbackFixture::Play.
#include <catch2/catch.hpp>
#include <string>

#include "endpoint/discovery_script.h"
#include "endpoint/json_framing.h"
#include "proxy/loopback_fixture.h"

namespace stoatrun {
namespace {

// A complete update that drains the only endpoint, with braces and quotes inside strings.
constexpr std::string_view kDrainUpdate =
    R"({\n  "revision": 2,\n  "later": "}]\"{",\n  "complete": false,\n  "members": [\n    {)"
    R"("id": "s-1", "phase": "draining", "later": {"a": [1, {}]}}\n  ]\n})";

// The same as a response that goes on.
constexpr std::string_view kDrainResponse = R"(HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n)"
                                            R"({"revision":2,"members":[{"id":"s-1","phase":"draining"}]}\n)";

void CheckDrained(LoopbackFixture& fixture) {
  CHECK(fixture.Counts().endpoint_updates == 1);
  fixture.Play("a send OPEN 1 k c=watch,d=300\nwait 300\na expect BUSY*\ns-1 legs 0");
}

TEST_CASE("an update may be indented, split at any byte, and without a final line break") {
  LoopbackFixture fixture({"s-1"});
  SECTION("in one piece") { fixture.Play("discovery raw " + std::string(kDrainUpdate)); }
  SECTION("split at every byte") {
    for (std::size_t k = 0; k < kDrainUpdate.size(); ++k) {
      const std::size_t size = kDrainUpdate[k] == '\\' && kDrainUpdate[k + 1] == 'n' ? 2 : 1;
      // The text of a script step can't start with a space, so spaces are sent with the preceding byte.
      const std::size_t next = kDrainUpdate.substr(k + size).find_first_not_of(' ');
      const std::size_t spaces = next < kDrainUpdate.size() ? next : 0;
      fixture.Play("discovery raw " + std::string(kDrainUpdate.substr(k, size + spaces)));
      k += size + spaces - 1;
    }
  }
  SECTION("two in one piece") {
    fixture.Play(R"(discovery raw {"revision":1,"members":[]})" + std::string(kDrainUpdate));
    CHECK(fixture.Counts().endpoint_updates == 2);
    fixture.Play("a send OPEN 1 k c=watch,d=300\nwait 300\na expect BUSY*\ns-1 legs 0");
    return;
  }
  CHECK(fixture.Counts().watch_failures == 0);
  CheckDrained(fixture);
}

TEST_CASE("a complete response with Content-Length is accepted, and a truncated object is rejected") {
  LoopbackFixture fixture({"s-1"});
  fixture.Play("discovery mute\ndiscovery watches 1");
  const std::string body = R"({"revision":2,"complete":true,"members":[]})";
  const std::string head = R"(HTTP/1.1 200 OK\r\nContent-Length: )";
  SECTION("complete") {
    fixture.Play("discovery plain " + head + std::to_string(body.size()) + R"(\r\n\r\n)" + body);
    CheckDrained(fixture);
  }
  SECTION("the Content-Length ends within an object") {
    fixture.Play("discovery plain " + head + std::to_string(body.size() - 1) + R"(\r\n\r\n)" + body);
    CHECK(fixture.Counts().endpoint_updates == 0);
  }
  SECTION("the connection ends within an object") {
    fixture.Play("discovery plain " + head + "999" + R"(\r\n\r\n)" + body.substr(0, 30) +
                 "\ndiscovery close");
    CHECK(fixture.Counts().endpoint_updates == 0);
  }
  CHECK(fixture.Counts().watch_failures == 1);
  fixture.Play("discovery serve\nwait 200\ndiscovery watches 2");
}

TEST_CASE("JSON objects are split from a stream and bounded in size") {
  JsonObjectFramer framer(16);
  int objects = 0, line_ends = 0;
  const auto feed = [&](std::string_view bytes) {
    return framer.Feed(
        bytes, [&](std::string_view object) { return ++objects, object != "{!}"; }, [&] { ++line_ends; });
  };
  CHECK(feed("\r\n {\"a\":\"\\\"}\"} \n{"));
  CHECK((objects == 1 && line_ends == 2 && framer.InsideObject()));
  CHECK_FALSE(feed("12345678901234567"));
  framer.Clear();
  CHECK_FALSE(framer.InsideObject());
  CHECK_FALSE(feed("{!}{}"));
  CHECK(objects == 2);
  framer.Clear();
  CHECK_FALSE(feed("]"));
}

class LoopbackTwoEndpoints : public LoopbackFixture {
 public:
  LoopbackTwoEndpoints() : LoopbackFixture({"s-1", "s-2"}) {}
};

// A list of very many short fields took 15 times the memory of its text, and the process was killed.
TEST_CASE("JSON objects of very many short values are an error, those of endpoints are not") {
  constexpr std::size_t kMaxSize = 4000;
  const auto is_accepted = [&](std::string_view object) {
    JsonObjectFramer framer(kMaxSize);
    return framer.Feed(
        object, [](std::string_view /*object*/) { return true; }, [] {});
  };
  std::string dense = "{\"a\":[", list = "{\"members\":[";
  while (dense.size() < kMaxSize / 2 + 100) dense += "1,";
  while (list.size() < kMaxSize - 100) list += R"({"id":"s-1","phase":"draining"},)";
  CHECK_FALSE(is_accepted(dense + "1]}"));
  CHECK(is_accepted(list + "{}]}"));
  JsonObjectFramer framer(kMaxSize);
  for (int k = 0; k < 1000; ++k) {  // The limit is that of one object.
    REQUIRE(framer.Feed(
        "{\"a\":1,\"b\":2}\n", [](std::string_view /*object*/) { return true; }, [] {}));
  }
}

TEST_CASE_METHOD(LoopbackTwoEndpoints,
                 "a list of more endpoints than are used is refused, and the old one stays") {
  std::string members;
  for (std::size_t k = 0; k <= kMaxEndpoints; ++k) members += R"({"id":"n)" + std::to_string(k) + R"("},)";
  members.pop_back();
  Play("discovery watches 1\ndiscovery send {\"revision\":2,\"members\":[" + members + "]}\nwait 1500");
  Play("discovery watches 2\na send OPEN 1 k c=watch,d=2000\nwait 300");
  CHECK(ProxyUnderTest().EndpointCount() == 2);
}

// Regression test: every byte received used to extend the timeout, so a watch that slowly sent an incomplete
// update never timed out.
TEST_CASE("a watch that sends bytes but never completes an event times out like a silent one") {
  LoopbackFixture fixture({"s-1"});
  std::string send_byte;
  SECTION("an object that never ends") {
    fixture.Play("discovery watches 1");
    send_byte = "discovery raw [";
    fixture.Play("discovery raw {\"members\":");
  }
  SECTION("response headers that never end") {
    fixture.Play("discovery mute\ndiscovery watches 1\ndiscovery plain HTTP/1.1 200 OK\\r\\nX: ");
    send_byte = "discovery plain x";
  }
  SECTION("a body of whitespace") {
    fixture.Play("discovery watches 1");
    send_byte = "discovery raw \\r";
  }
  for (int ms = 0; ms < 3400; ms += 200) {
    if (fixture.Counts().watch_failures == 0) fixture.Play(send_byte);
    fixture.Play("wait 200");
  }
  fixture.Play("discovery serve\nwait 200\ndiscovery watches 2");
  CHECK(fixture.Counts().endpoint_updates == 0);
}

// The platform assumes that a proxy knows the updates missed by a silent watch 6 s after the watch's last
// event. Regression test: in a fleet of hundreds of relays the delays between calls used to be 3 to 6 s.
TEST_CASE("updates that a silent watch missed are fetched before the proxy is assumed to know them") {
  const auto [mode, relays] = GENERATE(table<std::string, int>(
      {{"subscribe", 1}, {"subscribe", 2}, {"subscribe", 100}, {"subscribe", 300}, {"automatic", 300}}));
  INFO(mode << ", " << relays << " relays");
  LoopbackFixture fixture({"s-1"}, {.fleet_size = relays, .discovery_mode = mode});
  // In a large fleet the first call is delayed by up to seconds; the deadline counts from the first event.
  while (!fixture.DiscoveryCallCount()) fixture.Play("wait 50");
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  int remaining = 6000;
  const auto wait = [&](int ms) {
    fixture.Play("wait " + std::to_string(ms));
    remaining -= ms;
  };
  SECTION("the first retry is answered") {}
  SECTION("the first retry is rejected") {
    fixture.Play("discovery refuse");
    while (fixture.Counts().watch_failures < 2 && remaining > 0) wait(20);
    fixture.Play("discovery serve");
  }
  SECTION("the first retry is never answered") {
    fixture.Play("discovery mute");
    while (fixture.Counts().watch_failures < 2) wait(20);
    fixture.Play("discovery serve");
    remaining = 2000;  // After the timeout of the response headers, if that is later.
  }
  const auto calls = fixture.DiscoveryCallCount();
  while (fixture.DiscoveryCallCount() == calls && remaining > 0) wait(20);
  fixture.Play(R"(discovery send {"revision":2,"complete":true,"members":[]})");
  CHECK(remaining >= 500);  // For the response, when many proxies call at the same time.
  CHECK(fixture.Counts().endpoint_updates == 2);
}

// A call that is answered after this time must still bring the changes before the platform assumes that the
// proxy knows them: 4 s after a reload, 6 s after a start or after a failure.
constexpr int kSlowestAnswerMs = 2500;

// Guards against requests to endpoints that drain: in fleets of over a hundred relays the first call after a
// reload used to be made up to 6 s later, and each further reload postponed it again.
TEST_CASE("after a start and after reloads discovery is called in time, in a fleet of any size") {
  const int relays = GENERATE(1, 3, 30, 205, 900);
  const int seed = GENERATE(range(1, 6));
  INFO(relays << " relays, seed " << seed);
  LoopbackFixture fixture({"s-1"}, {.fleet_size = relays, .seed = seed});
  CHECK(TimeToCall(fixture, "discovery", 0, 6000) <= 6000 - kSlowestAnswerMs);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  const int reloads = GENERATE(1, 5);
  int waited = 0;
  for (int k = 1; k <= reloads && fixture.DiscoveryCallCount("discovery2") == 0; ++k) {
    fixture.Play("reload discovery2");
    waited += TimeToCall(fixture, "discovery2", 0, k < reloads ? 400 : 4000);
  }
  CHECK(waited <= 4000 - kSlowestAnswerMs);
}

// Guards against requests to endpoints that drain: after failed calls, relays of a large fleet used to wait
// up to 6 s, so that discovery could be back for that long before they asked it.
TEST_CASE("a call that fails is followed by the next in time, in a fleet of any size and after any failure") {
  const int relays = GENERATE(1, 3, 30, 205, 900);
  const int seed = GENERATE(range(1, 4));
  const std::string failure =
      GENERATE("discovery refuse\ndiscovery close", "discovery refuse\ndiscovery raw ]");
  INFO(relays << " relays, seed " << seed << ", " << failure);
  LoopbackFixture fixture({"s-1"}, {.fleet_size = relays, .seed = seed});
  while (!fixture.DiscoveryCallCount()) fixture.Play("wait 50");
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play(failure);
  for (int k = 0; k < 8; ++k) {
    const auto calls = fixture.DiscoveryCallCount();
    CHECK(TimeToCall(fixture, "discovery", calls, 6000) <= 6000 - kSlowestAnswerMs);
  }
}

// Guards against a reload after which the list of the old address stays in effect without limit: a new
// address that sent a heartbeat, but not the list, used to count as current, and the old watch was closed.
TEST_CASE("after a reload a heartbeat before the whole list proves nothing") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = GENERATE(2, 205)});
  TimeToCall(fixture, "discovery", 0, 6000);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play("discovery mute\nreload discovery2");
  TimeToCall(fixture, "discovery2", 0, 4000);
  fixture.Play(R"(discovery2 plain HTTP/1.1 200 OK\r\nContent-Length: 999\r\n\r\n\n)");
  SECTION("the old address still tells changes") {
    fixture.Play(R"(discovery send {"revision":2,"complete":true,"members":[]})");
    CHECK(fixture.Counts().endpoint_updates == 2);
  }
  SECTION("heartbeats alone don't keep the new watch") {
    for (int ms = 0; ms < 2600; ms += 200) fixture.Play("discovery2 plain \\n\nwait 200");
    CHECK(TimeToCall(fixture, "discovery2", 1, 2000) < 2000);
  }
}

// Guards against rejections in an outage, or after a reload with a wrong address: nothing can be known then.
TEST_CASE("while calls to discovery fail the list stays in effect, and is not overdue") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = GENERATE(1, 205)});
  TimeToCall(fixture, "discovery", 0, 6000);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play(GENERATE("discovery refuse\ndiscovery close", "discovery2 down\nreload discovery2"));
  for (int k = 1; k <= 10; ++k) {
    const std::string script =
        "wait 1000\ncK send OPEN K k c=watch,d=2000\ns-1#K expect OPEN K*\ns-1#K send UP r\ncK expect UP r";
    fixture.Play(Numbered(script, k));
  }
}

// Guards against a relay that stays without updates after a moment in which no socket could be opened.
TEST_CASE("a call for which no socket can be opened is repeated in time") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = GENERATE(1, 205)});
  TimeToCall(fixture, "discovery", 0, 6000);
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  fixture.Play("discovery close\nexhaust a wait 3500");
  CHECK(fixture.Counts().watch_failures >= 2);
  const auto calls = fixture.DiscoveryCallCount();
  CHECK(TimeToCall(fixture, "discovery", calls, 6000) <= 6000 - kSlowestAnswerMs);
}

// Guards against relays that never learn of a drain: a service that needs more than 3.5 s for each answer
// used to be given up on and called again, without end.
TEST_CASE("a slow answer is used even if the call has been repeated in the meantime") {
  LoopbackFixture fixture({"s-1"}, {.fleet_size = GENERATE(1, 205)});
  fixture.Play("discovery mute");
  TimeToCall(fixture, "discovery", 0, 6000);
  CHECK(TimeToCall(fixture, "discovery", 1, 6000) <= 4500);
  SECTION("the first call is answered, and the second is closed") {
    fixture.Play("discovery plain-first " + std::string(kDrainResponse));
    CheckDrained(fixture);
    fixture.Play("discovery expect-end");
  }
  SECTION("the second call is answered") {
    fixture.Play("discovery plain " + std::string(kDrainResponse));
    CheckDrained(fixture);
  }
  CHECK(fixture.Counts().watch_failures == 1);
}

// Guards against requests to a draining endpoint after a pause of the process: of all that had arrived
// meanwhile, the clients' requests used to be handled first.
TEST_CASE("an update is applied before the requests that have arrived in the same turn") {
  LoopbackFixture fixture({"s-1"});
  fixture.Play("discovery watches 1\na send PING\na expect PONG\nb send PING\nb expect PONG\nturns 0");
  const std::string requests = "a send OPEN 1 k c=watch,d=300\nb send OPEN 2 k c=watch,d=300\n";
  const std::string update = "discovery raw " + std::string(kDrainUpdate) + '\n';
  fixture.Play(GENERATE_COPY(requests + update, update + requests));
  fixture.Play("turn\nwait 300\na expect BUSY*\nb expect BUSY*\ns-1 legs 0");
}

// A request that is waiting for its next attempt must not be forwarded to an endpoint that has been reported
// as draining in the meantime, regardless of how the update was received.
TEST_CASE("an update after a timeout, an outage or a reload stops retries to a draining endpoint") {
  LoopbackFixture fixture({"s-1"});
  fixture.Play(R"(discovery send {"revision":1,"members":[]})");
  const std::string disturbance = GENERATE("timeout", "outage", "reload");
  INFO(disturbance);
  std::string service = "discovery";
  if (disturbance == "timeout") fixture.Play("wait 2600\ndiscovery watches 2");
  if (disturbance == "outage") {
    fixture.Play("discovery refuse\ndiscovery close\nwait 3000\ndiscovery serve\nwait 1000");
  }
  if (disturbance == "reload") {
    service = "discovery2";
    fixture.Play("reload discovery2\ndiscovery2 watches 1");
  }
  fixture.Play("a send OPEN 1 k c=watch,d=2000\ns-1 expect OPEN 1 k*\ns-1 send BUSY\ns-1 expect-end");
  fixture.Play(service + R"( send {"revision":9,"members":[{"id":"s-1","phase":"draining"}]})");
  fixture.Play("wait 2000\na expect BUSY*\ns-1 legs 1");
  CHECK(fixture.Counts().attempts == 1);
}

}  // namespace
}  // namespace stoatrun
