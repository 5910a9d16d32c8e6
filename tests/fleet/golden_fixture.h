// Shared by the golden tests of the fleet: the fleet's name and the header of a datagram.
#ifndef STOATRUN_TESTS_FLEET_GOLDEN_FIXTURE_H_
#define STOATRUN_TESTS_FLEET_GOLDEN_FIXTURE_H_

#include "fleet/message.h"

namespace stoatrun::fleet {

constexpr const char* kGoldenFleet = "golden";

// A datagram from member 3 with a header and no parts.
inline Datagram HeaderOnly() {
  Datagram datagram;
  datagram.from = 3;
  datagram.name = "n3";
  datagram.incarnation = {1'764'000'000'000, 0x0f1e2d3c4b5a6978};
  datagram.refutations = 2;
  datagram.seq = 300;
  datagram.fleet_size = 100;
  return datagram;
}

}  // namespace stoatrun::fleet

#endif  // STOATRUN_TESTS_FLEET_GOLDEN_FIXTURE_H_
