#include "simulation/simulated_fleet.h"

#include <chrono>
#include <memory>
#include <utility>

#include "base/random.h"
#include "fleet/node.h"
#include "simulation/fault_target.h"
#include "simulation/history_writer.h"
#include "simulation/relay_workload.h"
#include "simulation/simulated_network.h"
#include "simulation/simulation_state.h"
#include "simulation/status_recorder.h"

namespace stoatrun::simulation {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kRateWindow = seconds(1);
constexpr Micros kTickPeriod = milliseconds(250);
// Bounds of the relays' outlier detection that the history checker enforces, with some tolerance; see
// FleetDescription.
constexpr Micros kMaxEvidenceAge = milliseconds(6600), kOwnSuccessValidity = milliseconds(4900),
                 kMaxEjection = milliseconds(2300);
// A process takes its generation from the wall clock. With this probability the wall clock has been set back
// when a process starts, which gives it a generation of at most kMaxSetBackGeneration.
constexpr double kClockSetBackProbability = 0.2;
constexpr std::uint64_t kFirstGeneration = 1'000'000, kMaxSetBackGeneration = 1000;
// The largest clock drift of a simulated relay, as a fraction of fleet::kMaxClockDrift.
constexpr double kClockRateMargin = 0.95;

class SimulatedFleet final : public FaultTarget {
 public:
  SimulatedFleet(const Schedule& schedule, const SimulatedFleetSetup& setup)
      : state_(schedule, setup), network_(state_), workload_(state_, network_), status_(state_, workload_) {}

  SimulatedFleetResults Run() {
    CreateRelays();
    state_.history.FleetStarted(Describe());
    for (std::size_t k = 0; k < state_.schedule.servers; ++k) {
      state_.servers.push_back({ServerName(k), false, 1});
    }
    for (auto& relay : state_.relays) {
      state_.events.At(state_.RandomMilliseconds(0, 400), [this, k = relay->index] { Start(k); });
    }
    workload_.DrawHotspots();
    for (const Step& step : state_.schedule.steps) {
      state_.events.At(step.at, [this, &step] {
        state_.history.StepApplied(step);
        ApplyStep(step, *this);
      });
    }
    state_.events.RunUntil(state_.schedule.length);
    FinishMetrics();
    return {state_.history.Text(), std::move(state_.metrics)};
  }

  // ---- faults ----

  NetworkFaults& Network() override { return network_.Faults(); }

  RelayFaults& FaultsOf(std::size_t relay) override { return state_.relays[relay]->faults; }

  void SetServerFailing(std::size_t server, bool failing) override {
    state_.servers[server].failing = failing;
    if (!failing || state_.first_failure_at.count() != 0) return;
    state_.first_failure_at = state_.Now();
    state_.first_failing_server = state_.servers[server].name;
  }

  void RestartServer(std::size_t server) override {
    ++state_.servers[server].start;
    state_.history.ServerRestarted(state_.servers[server].name);
    for (auto& relay : state_.relays) {
      if (relay->node) SetServerList(*relay);
    }
  }

  void Pause(std::size_t index) override {
    SimulatedRelay& relay = *state_.relays[index];
    relay.paused = relay.node != nullptr;
  }

  void Start(std::size_t index) override {
    SimulatedRelay& relay = *state_.relays[index];
    if (relay.node) return;
    ++relay.run;
    relay.paused = false;
    relay.deferred.clear();
    const auto wall_clock = kFirstGeneration + static_cast<std::uint64_t>(state_.Now().count() / 1000);
    const std::uint64_t generation = state_.random.Chance(kClockSetBackProbability)
                                         ? 1 + state_.random.Below(kMaxSetBackGeneration)
                                         : wall_clock;
    const std::uint64_t seed = state_.random.Next();
    const fleet::Incarnation incarnation{generation, state_.random.Next() | 1U};
    relay.node = std::make_unique<fleet::Node>(SettingsOf(relay.index), relay.name, incarnation, seed,
                                               state_.LocalTime(relay));
    SetServerList(relay);
    state_.history.RunStarted(relay.name);
    state_.Repeat(relay, kTickPeriod, [this, &relay] { Tick(relay); });
    status_.Start(relay);
    workload_.Start(relay);
  }

  // Runs everything that came due during the pause at once and in random order, as the first iteration of an
  // event loop may do.
  void Resume(std::size_t index) override {
    SimulatedRelay& relay = *state_.relays[index];
    if (!relay.paused || !relay.node) return;
    relay.paused = false;
    auto deferred = std::exchange(relay.deferred, {});
    state_.random.Shuffle(deferred);
    const std::uint64_t run = relay.run;
    for (const auto& callback : deferred) {
      if (relay.node && relay.run == run) callback();
    }
  }

  void Kill(std::size_t index) override {
    SimulatedRelay& relay = *state_.relays[index];
    if (!relay.node) return;
    state_.history.RunEnded(relay.name);
    relay.node.reset();
    relay.connections.clear();
    relay.deferred.clear();
    relay.pending_checks.clear();
    relay.paused = false;
    ++relay.run;
  }

  void Leave(std::size_t index) override {
    SimulatedRelay& relay = *state_.relays[index];
    if (!relay.node || relay.paused) return;
    workload_.CloseAll(relay);
    fleet::Outbox out;
    relay.node->Leave(state_.LocalTime(relay), out);
    network_.Send(relay, out);
    Kill(index);
  }

 private:
  // ---- setup ----

  void CreateRelays() {
    for (std::size_t k = 0; k < state_.schedule.relays; ++k) {
      auto relay = std::make_unique<SimulatedRelay>();
      relay->index = k;
      relay->name = RelayName(k);
      relay->clock_offset = seconds(1000 + static_cast<std::int64_t>(state_.random.Below(1'000'000)));
      const double drift = state_.random.Unit() * 2 - 1;
      relay->clock_rate = 1 + drift * kClockRateMargin * fleet::kMaxClockDrift;
      state_.relays.push_back(std::move(relay));
    }
  }

  fleet::Settings SettingsOf(std::size_t index) const {
    fleet::Settings settings;
    settings.fleet = "lab";
    settings.self = static_cast<fleet::MemberId>(index);
    settings.fleet_size = static_cast<std::uint32_t>(state_.schedule.relays);
    for (std::size_t peer = 0; peer < state_.schedule.relays; ++peer) {
      if (peer != index) settings.peers.push_back({static_cast<fleet::MemberId>(peer), RelayName(peer)});
    }
    settings.quota_templates = {{"cold", state_.SlowStartUnits(), kRateWindow}};
    settings.quotas = {{kRetryQuota, state_.RetryUnits(), kRateWindow}};
    for (std::size_t group = 0; group < kGroupCount; ++group) {
      settings.quotas.push_back({GroupName(group), state_.GroupUnits(), Micros(0)});
    }
    settings.max_accepted_per_s = 50;
    settings.max_open = 500;
    return settings;
  }

  FleetDescription Describe() const {
    const fleet::Settings settings = SettingsOf(0);
    FleetDescription fleet;
    for (const auto& relay : state_.relays) fleet.relays.push_back(relay->name);
    for (const auto& quota : settings.quotas) {
      fleet.quotas.push_back({quota.name, quota.units, quota.window.count()});
    }
    fleet.quotas.push_back({kSlowStartQuotaPrefix, state_.SlowStartUnits(), kRateWindow.count()});
    fleet.max_ejected_fraction = settings.max_ejected_fraction;
    fleet.evidence_us = kMaxEvidenceAge.count();
    fleet.own_us = kOwnSuccessValidity.count();
    fleet.ejection_us = kMaxEjection.count();
    return fleet;
  }

  void FinishMetrics() {
    SimulatedFleetMetrics& metrics = state_.metrics;
    const double relay_seconds =
        static_cast<double>(state_.relays.size()) * static_cast<double>(state_.schedule.length.count()) / 1e6;
    metrics.datagrams_per_relay_s = static_cast<double>(metrics.datagrams) / relay_seconds;
    metrics.bytes_per_relay_s = static_cast<double>(metrics.datagram_bytes) / relay_seconds;
    workload_.RecordQuotaUtilization();
    for (const auto& relay : state_.relays) {
      if (relay->first_failing_ejected_at.count() == 0) continue;
      const Micros delay = relay->first_failing_ejected_at - state_.first_failure_at;
      metrics.ejection_delays_s.push_back(static_cast<double>(delay.count()) / 1e6);
    }
  }

  void SetServerList(SimulatedRelay& relay) {
    std::vector<FleetClient::ListedEndpoint> listed;
    for (const SimulatedServer& server : state_.servers) listed.push_back({server.name, server.start});
    relay.node->Outliers().SetEndpoints(listed);
  }

  void Tick(SimulatedRelay& relay) {
    fleet::Outbox out;
    relay.node->Tick(state_.LocalTime(relay), out);
    network_.Send(relay, out);
    workload_.CloseExcess(relay);
    status_.RecordCounts(relay);
  }

  SimulationState state_;
  SimulatedNetwork network_;
  RelayWorkload workload_;
  StatusRecorder status_;
};

}  // namespace

SimulatedFleetResults Play(const Schedule& schedule, const SimulatedFleetSetup& setup) {
  return SimulatedFleet(schedule, setup).Run();
}

}  // namespace stoatrun::simulation
