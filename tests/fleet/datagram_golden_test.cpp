// Compares the fleet's encoded datagrams with golden files byte for byte: the wire format must not change,
// because relays of different versions exchange datagrams.
#include <fmt/format.h>

#include <catch2/catch.hpp>
#include <cctype>
#include <chrono>
#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fleet/golden_fixture.h"
#include "fleet/io/codec.h"
#include "fleet/message.h"
#include "fleet/types.h"
#include "golden.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::seconds;
using tests::GoldenText;

constexpr Incarnation kLender{11, 0x1122334455667788}, kBorrower{12, 0x8877665544332211};

// A part of a datagram, with no field at its default value. `file`: the name of its golden file.
struct Part {
  const char* file;
  std::function<void(Datagram&)> add;
};

// Transit time and failure detection.
std::vector<Part> FailureDetectionParts() {
  return {
      {"echo",
       [](Datagram& datagram) {
         datagram.echo_run = 0xfedcba98;
         datagram.echo_seq = 41;
         datagram.echo_held = Micros(2500);
       }},
      {"ping",
       [](Datagram& datagram) {
         datagram.ping = Ping{0x0123456789abcdef, 0};
       }},
      {"ping-without-target",
       [](Datagram& datagram) {
         datagram.ping = Ping{77, std::nullopt};
       }},
      {"ack", [](Datagram& datagram) { datagram.ack = 0xfedcba9876543210; }},
  };
}

// Membership and connection counts.
std::vector<Part> StateParts() {
  return {
      {"member-updates",
       [](Datagram& datagram) {
         datagram.member_updates = {{1, kLender, 3, MemberState::kAlive},
                                    {2, kBorrower, 4, MemberState::kSuspect},
                                    {3, {13, 1}, 5, MemberState::kDead},
                                    {4095, {14, 2}, 6, MemberState::kLeft}};
       }},
      {"counts-updates",
       [](Datagram& datagram) {
         datagram.counts_updates = {
             {2,
              kLender,
              900,
              1,
              3,
              Micros(1'234'567),
              false,
              {{"coast", 1, {100, 40, 30, 20, 10}}, {"", 2, {5, 1, 1, 1, 2}}}},
             {3, kBorrower, 901, 0, 1, std::nullopt, true, {{"*", 0, {7, 7, 0, 0, 0}}}}};
       }},
      {"digests",
       [](Datagram& datagram) {
         datagram.digests = {{1, 0xabcdef01, 55, Micros(0), true}, {2, 0, 0, std::nullopt, false}};
       }},
      {"member-list-from", [](Datagram& datagram) { datagram.member_list_from = 0; }},
      {"member-list",
       [](Datagram& datagram) {
         datagram.member_list =
             MemberListPage{64, 128, true, std::string("\x05\x00\xff", 3), {{65, kLender}, {127, kBorrower}}};
       }},
      {"periodic", [](Datagram& datagram) { datagram.periodic = true; }},
  };
}

// Health verdicts on endpoints, and requests sent to them.
std::vector<Part> EndpointParts() {
  return {
      {"evidence",
       [](Datagram& datagram) {
         datagram.evidence = {
             {1, kLender, "s-1", 1'700'000'000'000, HealthVerdict::kFailing, 9, 31, Micros(400'000),
              seconds(6)},
             {2, kBorrower, "s-2", -1, HealthVerdict::kSlow, 8, 32, std::nullopt, seconds(5)},
             {3, kLender, "s-3", 3, HealthVerdict::kOverloaded, 7, 33, Micros(0), seconds(4)},
             {4, kBorrower, "s-4", 4, HealthVerdict::kHealthy, 6, 34, Micros(1), seconds(3)}};
       }},
      {"unreported-sends",
       [](Datagram& datagram) {
         datagram.unreported_sends = {{"s-1", 17}, {"s-2", 1}};
       }},
  };
}

// Quota leases.
std::vector<Part> LeaseParts() {
  return {
      {"lease-requests",
       [](Datagram& datagram) {
         datagram.lease_requests = {{21, "attempts", 5, 22}, {23, "cold:s-1", 6, 0}};
       }},
      {"grants",
       [](Datagram& datagram) {
         datagram.grants = {{21, 24, "attempts", 4, seconds(2), kBorrower}};
       }},
      {"returns",
       [](Datagram& datagram) {
         datagram.returns = {{24, kLender, "quota:coast", 3}};
       }},
      {"return-acks",
       [](Datagram& datagram) {
         datagram.return_acks = {{24, "quota:coast", 3, kBorrower}};
       }},
      {"held-leases",
       [](Datagram& datagram) {
         datagram.held_leases = HeldLeases{kLender, 25, {{"quota:coast", 24, 2}, {"quota:reef", 26, 1}}};
       }},
      {"wants-held-leases", [](Datagram& datagram) { datagram.wants_held_leases = true; }},
      {"idle-units",
       [](Datagram& datagram) {
         datagram.idle_units = {{"attempts", 12}, {"probes", 200}};
       }},
  };
}

// All parts, in the order in which they are added to the datagram that has them all.
std::vector<Part> Parts() {
  std::vector<Part> all;
  for (const auto& group : {FailureDetectionParts(), StateParts(), EndpointParts(), LeaseParts()}) {
    all.insert(all.end(), group.begin(), group.end());
  }
  return all;
}

// One datagram for each part, one with the header alone and one with all parts.
std::vector<std::pair<std::string, Datagram>> Datagrams() {
  std::vector<std::pair<std::string, Datagram>> all{{"header", HeaderOnly()}};
  Datagram full = HeaderOnly();
  for (const Part& part : Parts()) {
    Datagram datagram = HeaderOnly();
    part.add(datagram);
    all.emplace_back(part.file, datagram);
    part.add(full);
  }
  all.emplace_back("all", full);
  return all;
}

std::string ToHex(const std::string& bytes) {
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); ++index) {
    text += fmt::format("{:02x}", static_cast<unsigned char>(bytes[index]));
    if (index % 32 == 31 || index + 1 == bytes.size()) text += '\n';
  }
  return text;
}

std::string FromHex(const std::string& hex) {
  std::string digits, bytes;
  for (const char digit : hex) {
    if (std::isxdigit(static_cast<unsigned char>(digit)) != 0) digits += digit;
  }
  for (std::size_t index = 0; index + 1 < digits.size(); index += 2) {
    bytes += static_cast<char>(std::stoi(digits.substr(index, 2), nullptr, 16));
  }
  return bytes;
}

TEST_CASE("encoded datagrams match their golden files, also after they are decoded and encoded again") {
  const auto datagrams = Datagrams();
  REQUIRE(datagrams.size() == 21);
  for (const auto& [name, datagram] : datagrams) {
    INFO(name);
    const std::string encoded = Encode(datagram, kGoldenFleet);
    const std::string golden = GoldenText("datagrams/" + name + ".hex", ToHex(encoded));
    CHECK(ToHex(encoded) == golden);
    const auto decoded = Decode(FromHex(golden), kGoldenFleet);
    REQUIRE(std::holds_alternative<Datagram>(decoded));
    CHECK(ToHex(Encode(std::get<Datagram>(decoded), kGoldenFleet)) == golden);
  }
}

// The header: the sender and the echo.
void CheckHeader(const Datagram& datagram) {
  CHECK(datagram.from == 3);
  CHECK(datagram.name == "n3");
  CHECK(datagram.incarnation == Incarnation{1'764'000'000'000, 0x0f1e2d3c4b5a6978});
  CHECK((datagram.refutations == 2 && datagram.seq == 300 && datagram.fleet_size == 100));
  CHECK((datagram.echo_run == 0xfedcba98 && datagram.echo_seq == 41 && datagram.echo_held == Micros(2500)));
}

// Failure detection and membership.
void CheckMembership(const Datagram& datagram) {
  REQUIRE(datagram.ping);
  CHECK((datagram.ping->nonce == 77 && !datagram.ping->target));
  CHECK(datagram.ack == 0xfedcba9876543210);
  REQUIRE(datagram.member_updates.size() == 4);
  CHECK((datagram.member_updates[3].member_id == 4095 &&
         datagram.member_updates[3].state == MemberState::kLeft &&
         datagram.member_updates[3].refutations == 6));
}

// Connection counts and their digests.
void CheckCounts(const Datagram& datagram) {
  REQUIRE(datagram.counts_updates.size() == 2);
  CHECK((datagram.counts_updates[0].version == 900 && datagram.counts_updates[0].part == 1 &&
         datagram.counts_updates[0].parts == 3 && !datagram.counts_updates[0].ended));
  CHECK(datagram.counts_updates[0].age == Micros(1'234'567));
  REQUIRE(datagram.counts_updates[0].rows.size() == 2);
  CHECK((datagram.counts_updates[0].rows[0].group == "coast" &&
         datagram.counts_updates[0].rows[0].class_index == 1));
  CHECK(datagram.counts_updates[0].rows[0].counts == ConnectionCounts{100, 40, 30, 20, 10});
  CHECK((datagram.counts_updates[1].ended && !datagram.counts_updates[1].age));
  REQUIRE(datagram.digests.size() == 2);
  CHECK((datagram.digests[0].run == 0xabcdef01 && datagram.digests[0].age == Micros(0) &&
         datagram.digests[0].ended));
}

// The member list and the flags.
void CheckMemberList(const Datagram& datagram) {
  CHECK(datagram.member_list_from == MemberId{0});
  REQUIRE(datagram.member_list);
  CHECK((datagram.member_list->from == 64 && datagram.member_list->next == 128 &&
         datagram.member_list->complete));
  CHECK(datagram.member_list->basis == std::string("\x05\x00\xff", 3));
  CHECK((datagram.member_list->incarnations.size() == 2 &&
         datagram.member_list->incarnations[1].member_id == 127));
  CHECK((datagram.periodic && datagram.wants_held_leases));
}

// Health verdicts on endpoints, and requests sent to them.
void CheckEndpoints(const Datagram& datagram) {
  REQUIRE(datagram.evidence.size() == 4);
  CHECK((datagram.evidence[1].verdict == HealthVerdict::kSlow && datagram.evidence[1].endpoint_start == -1 &&
         !datagram.evidence[1].age));
  CHECK((datagram.evidence[0].observations == 9 && datagram.evidence[0].valid == seconds(6)));
  CHECK((datagram.unreported_sends.size() == 2 && datagram.unreported_sends[0].endpoint == "s-1" &&
         datagram.unreported_sends[0].count == 17));
}

// Quota leases.
void CheckLeases(const Datagram& datagram) {
  CHECK((datagram.lease_requests.size() == 2 && datagram.lease_requests[0].nonce == 21 &&
         datagram.lease_requests[0].renews == 22 && datagram.lease_requests[1].units == 6));
  REQUIRE(datagram.grants.size() == 1);
  CHECK((datagram.grants[0].lease == 24 && datagram.grants[0].length == seconds(2) &&
         datagram.grants[0].borrower.generation == 12));
  REQUIRE((datagram.returns.size() == 1 && datagram.return_acks.size() == 1));
  CHECK((datagram.returns[0].lender.generation == 11 && datagram.returns[0].quota == "quota:coast" &&
         datagram.returns[0].units == 3));
  CHECK((datagram.return_acks[0].lease == 24 && datagram.return_acks[0].borrower.id == 0x8877665544332211));
  REQUIRE((datagram.held_leases && datagram.held_leases->items.size() == 2));
  CHECK((datagram.held_leases->covers == 25 && datagram.held_leases->items[1].lease == 26 &&
         datagram.held_leases->items[1].units == 1));
  CHECK((datagram.idle_units.size() == 2 && datagram.idle_units[1].quota == "probes" &&
         datagram.idle_units[1].units == 200));
}

TEST_CASE("the golden datagram with all parts decodes to the values that were encoded") {
  const std::string bytes =
      FromHex(GoldenText("datagrams/all.hex", ToHex(Encode(Datagrams().back().second, kGoldenFleet))));
  const auto decoded = Decode(bytes, kGoldenFleet);
  REQUIRE(std::holds_alternative<Datagram>(decoded));
  const auto& datagram = std::get<Datagram>(decoded);
  CheckHeader(datagram);
  CheckMembership(datagram);
  CheckCounts(datagram);
  CheckMemberList(datagram);
  CheckEndpoints(datagram);
  CheckLeases(datagram);
}

}  // namespace
}  // namespace stoatrun::fleet
