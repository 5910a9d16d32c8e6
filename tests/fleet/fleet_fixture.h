// Shared by the unit tests of the fleet's modules: a start time, two incarnations, and a fleet of three
// members.
#ifndef STOATRUN_TESTS_FLEET_FLEET_FIXTURE_H_
#define STOATRUN_TESTS_FLEET_FLEET_FIXTURE_H_

#include <chrono>
#include <string>

#include "fleet/types.h"

namespace stoatrun::fleet {

constexpr Micros kStart = std::chrono::seconds(1000);
// Incarnations of the relay under test and of another relay.
constexpr Incarnation kIncarnation{5, 50}, kOtherIncarnation{6, 60};

// The settings of member `self` of a fleet of three, with a rate quota, a concurrency quota and a template.
inline Settings ThreeMembers(MemberId self) {
  Settings settings;
  settings.fleet = "test";
  settings.self = self;
  settings.fleet_size = 3;
  for (MemberId peer = 0; peer < 3; ++peer) {
    if (peer != self) settings.peers.push_back({peer, "n" + std::to_string(peer)});
  }
  settings.quotas = {{"retry", 12, std::chrono::seconds(1)}, {"group", 12, Micros(0)}};
  settings.quota_templates = {{"cold", 3, std::chrono::seconds(1)}};
  settings.max_accepted_per_s = 10;
  settings.max_open = 100;
  return settings;
}

}  // namespace stoatrun::fleet

#endif  // STOATRUN_TESTS_FLEET_FLEET_FIXTURE_H_
