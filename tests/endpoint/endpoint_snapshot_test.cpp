// The encoding of the endpoint list that a relay's processes share.
#include "endpoint/endpoint_snapshot.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <random>
#include <string>

namespace stoatrun {
namespace {

constexpr Micros kNow = std::chrono::seconds(5000);
const SnapshotOrigin kOrigin{"n0 127.0.0.1:8000", "boot-1"};

EndpointSnapshot MakeSnapshot() {
  EndpointSnapshot snapshot;
  snapshot.written_at = kNow - std::chrono::seconds(1);
  snapshot.discovery = "127.0.0.1:8500";
  snapshot.service_since = kNow - std::chrono::seconds(100);
  snapshot.list.revision = 41;
  snapshot.list.complete = true;
  snapshot.list.entries = {{.id = "s-1",
                            .address = "10.1.0.18:8000",
                            .locality = "a",
                            .state = EndpointState::kDraining,
                            .cell = 3,
                            .size = 2.5,
                            .started_unix_ms = 1'700'000'000'000},
                           {.id = "s-2", .address = "10.1.0.19:8000", .locality = ""}};
  snapshot.freshness = {kNow - std::chrono::seconds(2), true, kNow + std::chrono::seconds(3)};
  return snapshot;
}

TEST_CASE("a decoded snapshot has all that was encoded") {
  const EndpointSnapshot expected = MakeSnapshot();
  const EndpointSnapshot decoded = DecodeSnapshot(EncodeSnapshot(expected, kOrigin), kOrigin, kNow);
  CHECK(decoded.written_at == expected.written_at);
  CHECK(decoded.discovery == expected.discovery);
  CHECK(decoded.service_since == expected.service_since);
  CHECK(decoded.freshness == expected.freshness);
  CHECK(decoded.list.revision == 41);
  CHECK(decoded.list.complete);
  REQUIRE(decoded.list.entries.size() == 2);
  const Endpoint& first = decoded.list.entries[0];
  CHECK(first.id == "s-1");
  CHECK(first.address == "10.1.0.18:8000");
  CHECK(first.locality == "a");
  CHECK(first.state == EndpointState::kDraining);
  CHECK(first.cell == 3);
  CHECK(first.size == 2.5);
  CHECK(first.started_unix_ms == 1'700'000'000'000);
  CHECK(decoded.list.entries[1].state == EndpointState::kReady);
}

// Guards against a list that is taken to be that of the previous process although it is not.
TEST_CASE("a snapshot that is torn, damaged or not of this relay is not decoded") {
  const std::string bytes = EncodeSnapshot(MakeSnapshot(), kOrigin);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    CHECK_THROWS_AS(DecodeSnapshot(bytes.substr(0, size), kOrigin, kNow), SnapshotError);
  }
  std::mt19937 random(20261207);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    std::string damaged = bytes;
    damaged[at] = static_cast<char>(damaged[at] ^ std::uniform_int_distribution<int>(1, 255)(random));
    CHECK_THROWS_AS(DecodeSnapshot(damaged, kOrigin, kNow), SnapshotError);
  }
  CHECK_THROWS_AS(DecodeSnapshot(std::string(4096, '\0'), kOrigin, kNow), SnapshotError);
  CHECK_THROWS_WITH(DecodeSnapshot(bytes, {"n1 127.0.0.1:8000", "boot-1"}, kNow), "of another relay");
  CHECK_THROWS_WITH(DecodeSnapshot(bytes, {kOrigin.relay, "boot-2"}, kNow),
                    "from before the machine's last start");
  CHECK_THROWS_WITH(DecodeSnapshot(bytes, kOrigin, kNow - std::chrono::milliseconds(1500)),
                    "from a time that has not come");
}

}  // namespace
}  // namespace stoatrun
