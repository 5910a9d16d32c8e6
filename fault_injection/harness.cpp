#include "harness.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace stoatrun::fault_injection {

using std::chrono::milliseconds;

Micros RandomSource::Interval(double per_second) {
  const double seconds = -std::log(1 - Unit()) / std::max(per_second, 0.01);
  return Micros(static_cast<std::int64_t>(seconds * 1e6) + 1);
}

Harness::Harness(const simulation::Schedule& played_schedule, const ProcessFleetSetup& fleet_setup)
    : schedule(played_schedule),
      setup(fleet_setup),
      network(loop),
      random(played_schedule.seed),
      history([this] { return loop.Now(); }, true) {
  for (std::size_t k = 0; k < schedule.relays; ++k) {
    relays.push_back(std::make_unique<ManagedRelay>());
    relays.back()->index = k;
    relays.back()->name = simulation::RelayName(k);
  }
  for (std::size_t k = 0; k < schedule.servers; ++k) servers.push_back({simulation::ServerName(k), false, 0});
}

bool Harness::InSlowStart(const StandInServer& server) const {
  return server.started_at_ms > 0 && milliseconds(UnixMs() - server.started_at_ms) < kSlowStart;
}

std::int64_t UnixMs() {
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<milliseconds>(now).count();
}

}  // namespace stoatrun::fault_injection
