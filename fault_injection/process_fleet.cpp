#include "process_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <stdexcept>
#include <utility>

#include "datagram_switch.h"
#include "fake_clients.h"
#include "fake_discovery.h"
#include "fake_servers.h"
#include "harness.h"
#include "relay_settings.h"
#include "simulation/fault_target.h"
#include "status_poller.h"

namespace stoatrun::fault_injection {
namespace {

using simulation::Step;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Limited by the last byte of an address, and by the subnets of a network.
constexpr std::size_t kMaxRelays = 250, kMaxServers = 100;
// The longest delay between an event in a relay and its record here.
constexpr Micros kSlack = milliseconds(400);
// Bounds of the relays' outlier detection, with a margin; see FleetDescription.
constexpr double kMaxEjectedFraction = 0.3;
constexpr Micros kEvidence = milliseconds(6600), kOwnObservation = milliseconds(4500),
                 kEjection = milliseconds(2600);
constexpr std::int64_t kRateWindowUs = 1'000'000;

constexpr Micros kFirstClientDelay = milliseconds(700);
constexpr Micros kFirstPollDelay = milliseconds(900);
constexpr Micros kHousekeepingInterval = milliseconds(20);
constexpr Micros kResumeGrace = milliseconds(50);  // Time for a resumed relay to process what it missed.
constexpr auto kShutdownTimeout = seconds(5);

class ProcessFleet final : public simulation::FaultTarget {
 public:
  ProcessFleet(const simulation::Schedule& schedule, const ProcessFleetSetup& setup)
      : harness_(schedule, setup),
        switch_(harness_),
        discovery_(harness_),
        servers_(harness_),
        clients_(harness_),
        status_(harness_) {}

  ProcessFleetResults Run() {
    harness_.history.FleetStarted(Describe());
    StartAll();
    for (const Step& step : harness_.schedule.steps) {
      harness_.loop.RunAfter(step.at, [this, &step] {
        harness_.history.StepApplied(step);
        simulation::ApplyStep(step, *this);
      });
    }
    harness_.loop.RunAfter(harness_.schedule.length, [this] { harness_.loop.Stop(); });
    harness_.loop.Run();
    MeasureUsage();
    StopAll();
    harness_.results.seconds = std::chrono::duration<double>(harness_.schedule.length).count();
    harness_.results.history = harness_.history.Text();
    return std::move(harness_.results);
  }

  // FaultTarget:

  simulation::NetworkFaults& Network() override { return switch_.Faults(); }

  simulation::RelayFaults& FaultsOf(std::size_t relay) override { return harness_.relays[relay]->faults; }

  void SetServerFailing(std::size_t server, bool failing) override {
    harness_.servers[server].failing = failing;
  }

  void Leave(std::size_t relay) override { harness_.relays[relay]->process.Signal(SIGTERM); }

  void SendGarbage(std::size_t relay, std::uint64_t datagrams) override {
    switch_.SendGarbage(relay, datagrams);
  }

  void Start(std::size_t index) override {
    ManagedRelay& relay = *harness_.relays[index];
    if (relay.process.IsRunning()) return;
    ++relay.run;
    relay.paused = false;
    relay.process.Start(harness_.setup.program, FilesOfRelay(harness_, relay));
    harness_.history.RunStarted(relay.name);
  }

  void Kill(std::size_t index) override {
    ManagedRelay& relay = *harness_.relays[index];
    if (!relay.process.IsRunning()) return;
    relay.process.KillAndWait();
    OnRunEnded(relay);
  }

  void Pause(std::size_t index) override {
    ManagedRelay& relay = *harness_.relays[index];
    if (!relay.process.IsRunning()) return;
    clients_.RecordUncertain(relay);
    relay.paused = true;
    relay.process.Signal(SIGSTOP);
  }

  void Resume(std::size_t index) override {
    ManagedRelay& relay = *harness_.relays[index];
    if (!relay.process.IsRunning()) return;
    relay.process.Signal(SIGCONT);
    harness_.loop.RunAfter(kResumeGrace, [&relay] { relay.paused = false; });
  }

  void StartDuplicate(std::size_t index) override {
    ManagedRelay& relay = *harness_.relays[index];
    if (relay.duplicate.IsRunning()) return;
    harness_.history.DuplicateStarted(relay.name);
    WriteDuplicateFiles(harness_, relay);
    relay.duplicate.Start(harness_.setup.program, FilesOfDuplicate(harness_, relay));
  }

  void StopDuplicate(std::size_t index) override {
    ManagedRelay& relay = *harness_.relays[index];
    if (!relay.duplicate.IsRunning()) return;
    harness_.history.DuplicateStopped(relay.name);
    relay.duplicate.KillAndWait();
  }

  // The other relays reload their settings without this one, which keeps running.
  void RemoveFromPeers(std::size_t index) override {
    ManagedRelay& removed = *harness_.relays[index];
    removed.removed = true;
    harness_.history.RemovedFromPeers(removed.name);
    for (auto& relay : harness_.relays) {
      WriteRelayFiles(harness_, *relay);
      if (relay->index != index) relay->process.Signal(SIGHUP);
    }
  }

  void RestartServer(std::size_t index) override {
    harness_.servers[index].started_at_ms = UnixMs();
    harness_.history.ServerRestarted(harness_.servers[index].name);
    discovery_.PushChange(index);
  }

 private:
  simulation::FleetDescription Describe() const {
    simulation::FleetDescription fleet;
    for (const auto& relay : harness_.relays) fleet.relays.push_back(relay->name);
    for (std::size_t group = 0; group < kGroupCount; ++group) {
      fleet.quotas.push_back({"connections:" + GroupName(group), harness_.setup.group_units, 0});
    }
    fleet.quotas.push_back({"cold:", harness_.setup.slow_start_units, kRateWindowUs});
    fleet.quotas.push_back({"attempts", harness_.setup.attempt_units, kRateWindowUs});
    fleet.slack_us = kSlack.count();
    fleet.max_ejected_fraction = kMaxEjectedFraction;
    fleet.evidence_us = kEvidence.count();
    fleet.own_us = kOwnObservation.count();
    fleet.ejection_us = kEjection.count();
    return fleet;
  }

  void StartAll() {
    for (auto& relay : harness_.relays) {
      WriteRelayFiles(harness_, *relay);
      Start(relay->index);
      harness_.loop.RunAfter(kFirstClientDelay, [this, &relay = *relay] { clients_.Start(relay); });
      harness_.loop.RunAfter(kFirstPollDelay, [this, &relay = *relay] { status_.Start(relay); });
    }
    harness_.loop.RunAfter(kHousekeepingInterval, [this] { RunHousekeeping(); });
  }

  void StopAll() {
    harness_.closer.Flush();
    servers_.CloseAll();
    clients_.CloseAll();
    for (auto& relay : harness_.relays) {
      relay->process.Signal(SIGCONT);
      relay->process.Signal(SIGTERM);
      relay->duplicate.KillAndWait();
    }
    const auto deadline = std::chrono::steady_clock::now() + kShutdownTimeout;
    for (auto& relay : harness_.relays) relay->process.WaitUntil(deadline);
  }

  void MeasureUsage() {
    double running = 0;
    ProcessFleetResults& results = harness_.results;
    for (const auto& relay : harness_.relays) {
      if (!relay->process.IsRunning()) continue;
      const RelayProcess::Usage usage = relay->process.MeasureUsage();
      results.cpu_cores += usage.cpu_cores;
      results.resident_kib += usage.resident_kib;
      ++running;
    }
    if (running == 0) return;
    results.cpu_cores /= running;
    results.resident_kib /= running;
  }

  // Counts processes that exited on their own as crashes, and closes deferred connections.
  void RunHousekeeping() {
    for (auto& relay : harness_.relays) {
      if (!relay->process.ReapIfEnded()) continue;
      ++harness_.results.crashed;
      harness_.history.Note(relay->name + " exited unexpectedly");
      OnRunEnded(*relay);
    }
    harness_.closer.Flush();
    harness_.loop.RunAfter(kHousekeepingInterval, [this] { RunHousekeeping(); });
  }

  void OnRunEnded(ManagedRelay& relay) {
    clients_.RecordUncertain(relay);
    harness_.history.RunEnded(relay.name);
    clients_.OnRunEnded(relay);
    discovery_.OnRunEnded(relay);
    status_.OnRunEnded(relay);
  }

  Harness harness_;
  DatagramSwitch switch_;
  FakeDiscovery discovery_;
  FakeServers servers_;
  FakeClients clients_;
  StatusPoller status_;
};

}  // namespace

ProcessFleetResults Play(const simulation::Schedule& schedule, const ProcessFleetSetup& setup) {
  if (schedule.relays > kMaxRelays || schedule.servers > kMaxServers) {
    throw std::runtime_error("at most 250 relays and 100 servers");
  }
  return ProcessFleet(schedule, setup).Run();
}

}  // namespace stoatrun::fault_injection
