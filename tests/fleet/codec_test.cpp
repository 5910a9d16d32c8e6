// The datagram codec: round trips, and the rejection of malformed and foreign datagrams.
#include "fleet/io/codec.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "base/random.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// A datagram with every part; most fields have other values than their defaults.
Datagram FullDatagram() {
  Datagram datagram;
  datagram.from = 3;
  datagram.name = "n3";
  datagram.incarnation = {~0ULL, ~0ULL};
  datagram.refutations = 9;
  datagram.seq = 77;
  datagram.fleet_size = 100;
  datagram.echo_run = ~0U;
  datagram.echo_seq = 5;
  datagram.echo_held = milliseconds(12);
  datagram.ping = Ping{99, MemberId{0}};
  datagram.ack = 7;
  datagram.member_updates = {{1, {4, 5}, 6, MemberState::kLeft}};
  datagram.counts_updates = {{2, {8, 9}, 10, 0, 1, Micros(0), true, {{"group-a", 1, {6, 1, 2, 1, 2}}}},
                             {2, {8, 9}, 10, 0, 1, std::nullopt, false, {}}};
  datagram.digests = {{4, 0, 0, std::nullopt, false}, {5, ~0U, 3, Micros(1), true}};
  datagram.periodic = true;
  datagram.member_list_from = 0;
  datagram.member_list = MemberListPage{3, 9, true, std::string("\x05\x00", 2), {{4, {1, 2}}}};
  datagram.evidence = {{1, {1, 2}, "s-1", 1790000000000, HealthVerdict::kSlow, 3, 4, Micros(0), seconds(6)}};
  datagram.unreported_sends = {{"s-1", 4}};
  datagram.lease_requests = {{1, "cold:s-1", 3, 0}};
  datagram.grants = {{1, 2, "cold:s-1", 3, seconds(2), {1, 2}}};
  datagram.returns = {{1, {3, 4}, "group", 2}};
  datagram.return_acks = {{1, "group", 2, {3, 4}}};
  datagram.held_leases = HeldLeases{{1, 2}, 3, {{"group", 4, 5}}};
  datagram.wants_held_leases = true;
  datagram.idle_units = {{"retry", 6}};
  return datagram;
}

TEST_CASE("a datagram survives encoding and decoding, and its size is within the bound of SizeOf") {
  const Datagram sent = FullDatagram();
  const std::string bytes = Encode(sent, "test");
  CHECK(bytes.size() <= SizeOf(sent));
  const auto decoded = Decode(bytes, "test");
  REQUIRE(std::holds_alternative<Datagram>(decoded));
  // Encoding the decoded datagram gives the same bytes: no field is lost.
  CHECK(Encode(std::get<Datagram>(decoded), "test") == bytes);
  const auto& received = std::get<Datagram>(decoded);
  CHECK(received.ping->target == MemberId{0});
  CHECK(received.counts_updates[0].age == Micros(0));
  CHECK_FALSE(received.counts_updates[1].age);
  CHECK(received.digests[0].run == 0);
  CHECK(received.evidence[0].endpoint_start == 1790000000000);
}

TEST_CASE(
    "datagrams of another fleet, schema or protocol, truncated or corrupted, are rejected with their "
    "reason") {
  const std::string bytes = Encode(FullDatagram(), "test");
  CHECK(std::get<DecodeError>(Decode(bytes, "other")) == DecodeError::kBadChecksum);
  CHECK(std::get<DecodeError>(Decode("GET / HTTP/1.1\r\n", "test")) == DecodeError::kUnknownProtocol);
  CHECK(std::get<DecodeError>(Decode("", "test")) == DecodeError::kUnknownProtocol);
  std::string other_schema = bytes;
  other_schema[2] = 0;
  CHECK(std::get<DecodeError>(Decode(other_schema, "test")) == DecodeError::kUnsupportedSchema);
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    REQUIRE(std::holds_alternative<DecodeError>(Decode(std::string_view(bytes).substr(0, length), "test")));
    std::string flipped = bytes;
    flipped[length] = static_cast<char>(flipped[length] ^ 0x10);
    REQUIRE(std::holds_alternative<DecodeError>(Decode(flipped, "test")));
  }
  Datagram unbalanced = FullDatagram();
  unbalanced.counts_updates[0].rows[0].counts.accepted = 1;
  CHECK(std::get<DecodeError>(Decode(Encode(unbalanced, "test"), "test")) == DecodeError::kMalformed);
}

TEST_CASE("a million random datagrams are all rejected") {
  Random random(20261201);
  const std::string good = Encode(FullDatagram(), "test");
  std::size_t decoded = 0;
  for (int round = 0; round < 1'000'000; ++round) {
    std::string bytes(random.Below(200), '\0');
    for (char& byte : bytes) byte = static_cast<char>(random.Next());
    // Half of them begin with the protocol's magic bytes and schema version.
    if (round % 2 == 0 && bytes.size() > 11) std::copy(good.begin(), good.begin() + 3, bytes.begin());
    decoded += std::holds_alternative<Datagram>(Decode(bytes, "test")) ? 1 : 0;
  }
  CHECK(decoded == 0);
}

}  // namespace
}  // namespace stoatrun::fleet
