#include "harness.h"

#include <chrono>

namespace stoatrun::fault_injection {

using std::chrono::milliseconds;

Harness::Harness(const simulation::Schedule& fault_schedule, const ProcessFleetSetup& fleet_setup)
    : schedule(fault_schedule),
      setup(fleet_setup),
      network(loop),
      random(fault_schedule.seed),
      history([this] { return loop.Now(); }, true) {
  for (std::size_t k = 0; k < schedule.relays; ++k) {
    relays.push_back(std::make_unique<ManagedRelay>());
    relays.back()->index = k;
    relays.back()->name = simulation::RelayName(k);
  }
  for (std::size_t k = 0; k < schedule.servers; ++k) servers.push_back({simulation::ServerName(k), false, 0});
}

bool Harness::InSlowStart(const FakeServer& server) const {
  return server.started_at_ms > 0 && milliseconds(UnixMs() - server.started_at_ms) < kSlowStart;
}

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace stoatrun::fault_injection
