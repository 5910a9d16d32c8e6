// Tests of fleet-wide outlier detection: ejection on remote evidence and the rules that limit it.
#include "fleet/outlier_consensus.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/fleet_fixture.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Evidence by `author` that an endpoint is failing, valid for six seconds.
Evidence FailingEvidence(MemberId author, const std::string& endpoint, std::uint64_t version,
                         std::int64_t start = 1) {
  Evidence evidence;
  evidence.author = author;
  evidence.incarnation = Incarnation{1, author + 1U};
  evidence.endpoint = endpoint;
  evidence.endpoint_start = start;
  evidence.verdict = HealthVerdict::kFailing;
  evidence.observations = 9;
  evidence.version = version;
  evidence.age = Micros(0);
  evidence.valid = seconds(6);
  return evidence;
}

Settings SettingsFor(MemberId self, std::uint32_t fleet_size) {
  Settings settings;
  settings.self = self;
  settings.fleet_size = fleet_size;
  settings.max_ejected_fraction = 0.3;
  return settings;
}

// Member 0 of ten relays, with ten listed endpoints: s0 to s9.
OutlierConsensus TenEndpoints() {
  OutlierConsensus consensus(SettingsFor(0, 10));
  std::vector<FleetClient::ListedEndpoint> listed;
  listed.reserve(10);
  for (int endpoint = 0; endpoint < 10; ++endpoint) listed.push_back({"s" + std::to_string(endpoint), 1});
  consensus.SetEndpoints(listed);
  return consensus;
}

TEST_CASE(
    "an endpoint is ejected on the evidence of two witnesses, but not of one, nor against an own healthy "
    "observation") {
  OutlierConsensus consensus = TenEndpoints();
  consensus.OnEvidence(kStart, FailingEvidence(1, "s1", 1), Micros(0));
  consensus.OnEvidence(kStart, FailingEvidence(1, "s1", 2), Micros(0));
  CHECK(consensus.EndpointsToEject(kStart).empty());
  consensus.OnEvidence(kStart, FailingEvidence(2, "s1", 1), Micros(0));
  CHECK(consensus.EndpointsToEject(kStart) == std::set<std::string>{"s1"});
  consensus.Observe(kStart + milliseconds(10), "s1", HealthVerdict::kHealthy);
  CHECK(consensus.EndpointsToEject(kStart + milliseconds(10)).empty());
}

TEST_CASE("remote evidence expires, and ejects no longer than an own health check takes") {
  OutlierConsensus consensus = TenEndpoints();
  for (MemberId author = 1; author <= 3; ++author) {
    consensus.OnEvidence(kStart, FailingEvidence(author, "s1", 1), Micros(0));
  }
  CHECK(consensus.EndpointsToEject(kStart).size() == 1);
  CHECK(consensus.EndpointsToEject(kStart + milliseconds(1900)).size() == 1);
  CHECK(consensus.EndpointsToEject(kStart + milliseconds(2100)).empty());
  // Renewed evidence does not eject again during the cooldown.
  for (MemberId author = 1; author <= 3; ++author) {
    consensus.OnEvidence(kStart + seconds(5), FailingEvidence(author, "s1", 2), Micros(0));
  }
  CHECK(consensus.EndpointsToEject(kStart + seconds(5)).empty());
  // Evidence whose age is unbounded or exceeds its validity is dropped.
  for (MemberId author = 1; author <= 3; ++author) {
    consensus.OnEvidence(kStart, FailingEvidence(author, "s2", 1), std::nullopt);
    consensus.OnEvidence(kStart, FailingEvidence(author, "s3", 1), seconds(7));
  }
  CHECK(consensus.EndpointsToEject(kStart) == std::set<std::string>{"s1"});
  CHECK(consensus.GetCounts().stale == 6);
}

TEST_CASE("no more than the configured fraction is ejected on remote evidence, whatever the evidence says") {
  OutlierConsensus consensus = TenEndpoints();
  for (MemberId author = 1; author <= 9; ++author) {
    for (int endpoint = 0; endpoint < 5; ++endpoint) {
      consensus.OnEvidence(kStart, FailingEvidence(author, "s" + std::to_string(endpoint), 1), Micros(0));
    }
  }
  CHECK(consensus.EndpointsToEject(kStart).size() == 3);
  // A witness that reports more than half of the endpoints as bad is assumed to have a bad link.
  for (MemberId author = 1; author <= 9; ++author) {
    consensus.OnEvidence(kStart, FailingEvidence(author, "s5", 1), Micros(0));
  }
  CHECK(consensus.EndpointsToEject(kStart).empty());
  CHECK(consensus.DistrustedWitnesses(kStart).size() == 9);
}

TEST_CASE("evidence expires with the process of its endpoint and with the incarnation of its author") {
  OutlierConsensus consensus = TenEndpoints();
  for (MemberId author = 1; author <= 3; ++author) {
    // Evidence on an earlier process of s1.
    consensus.OnEvidence(kStart, FailingEvidence(author, "s1", 1, 0), Micros(0));
  }
  CHECK(consensus.EndpointsToEject(kStart).empty());
  for (MemberId author = 1; author <= 2; ++author) {
    consensus.OnEvidence(kStart, FailingEvidence(author, "s2", 1), Micros(0));
  }
  consensus.OnIncarnationEnded(1, Incarnation{1, 2});
  CHECK(consensus.EndpointsToEject(kStart).empty());
}

TEST_CASE("a witness whose evidence was repeatedly disproved is distrusted") {
  OutlierConsensus consensus = TenEndpoints();
  Micros now = kStart;
  for (std::uint64_t version = 1; version <= 3; ++version) {
    consensus.OnEvidence(now, FailingEvidence(4, "s" + std::to_string(version), version), Micros(0));
    now += seconds(2);
    consensus.Observe(now, "s" + std::to_string(version), HealthVerdict::kHealthy);
  }
  consensus.OnEvidence(now, FailingEvidence(4, "s9", 9), Micros(0));
  consensus.OnEvidence(now, FailingEvidence(5, "s9", 1), Micros(0));
  CHECK(consensus.EndpointsToEject(now).empty());
  CHECK(consensus.DistrustedWitnesses(now) ==
        std::vector<OutlierConsensus::DistrustedWitness>{{4, "was found wrong here"}});
}

}  // namespace
}  // namespace stoatrun::fleet
