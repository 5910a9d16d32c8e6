#include "simulation/simulation_state.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace stoatrun::simulation {
namespace {

constexpr std::uint64_t kRandomSalt = 0xfacade;
constexpr std::uint32_t kMinSlowStartUnits = 9, kMinRetryUnits = 13, kMinGroupUnits = 12;

}  // namespace

SimulationState::SimulationState(const Schedule& played_schedule, const SimulatedFleetSetup& fleet_setup)
    : schedule(played_schedule),
      setup(fleet_setup),
      random(fleet::HashCombine(played_schedule.seed, kRandomSalt)),
      history([this] { return Now(); }, fleet_setup.record_history) {}

Micros SimulationState::LocalTime(const SimulatedRelay& relay) const {
  const double elapsed = static_cast<double>(Now().count()) * relay.clock_rate;
  return relay.clock_offset + Micros(static_cast<std::int64_t>(elapsed));
}

void SimulationState::After(SimulatedRelay& relay, Micros delay, std::function<void()> callback) {
  events.At(Now() + delay, [&relay, run = relay.run, callback = std::move(callback)] {
    if (!relay.node || relay.run != run) return;
    if (relay.paused) {
      relay.deferred.push_back(callback);
    } else {
      callback();
    }
  });
}

void SimulationState::Repeat(SimulatedRelay& relay, Micros period, const std::function<void()>& callback) {
  const auto first = random.Below(static_cast<std::size_t>(period.count()));
  After(relay, Micros(static_cast<std::int64_t>(first)),
        [this, &relay, period, callback] { RunAndReschedule(relay, period, callback); });
}

void SimulationState::RunAndReschedule(SimulatedRelay& relay, Micros period,
                                       const std::function<void()>& callback) {
  callback();
  if (!relay.node) return;
  After(relay, period, [this, &relay, period, callback] { RunAndReschedule(relay, period, callback); });
}

Micros SimulationState::RandomInterval(double per_second) {
  return PoissonInterval(random.Unit(), per_second);
}

Micros SimulationState::RandomMilliseconds(std::size_t min_ms, std::size_t range_ms) {
  return std::chrono::milliseconds(static_cast<std::int64_t>(min_ms + random.Below(range_ms)));
}

std::uint32_t SimulationState::SlowStartUnits() const {
  return std::max(kMinSlowStartUnits, static_cast<std::uint32_t>(schedule.relays));
}

std::uint32_t SimulationState::RetryUnits() const {
  return std::max(kMinRetryUnits, 2 * static_cast<std::uint32_t>(schedule.relays));
}

std::uint32_t SimulationState::GroupUnits() const {
  return std::max(kMinGroupUnits, static_cast<std::uint32_t>(schedule.relays));
}

}  // namespace stoatrun::simulation
