// What the parts of a simulated fleet share: virtual time, randomness, the history, relays and servers.
#ifndef STOATRUN_SIMULATION_SIMULATION_STATE_H_
#define STOATRUN_SIMULATION_SIMULATION_STATE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/node.h"
#include "simulation/event_queue.h"
#include "simulation/history_writer.h"
#include "simulation/relay_faults.h"
#include "simulation/schedule.h"
#include "simulation/simulated_fleet.h"
#include "simulation/workload.h"

namespace stoatrun::simulation {

// Names of the rate quotas; each server in slow start has one of its own.
inline constexpr const char* kRetryQuota = "retry";
inline constexpr const char* kSlowStartQuotaPrefix = "cold:";

// A client's connection at a relay.
struct SimulatedConnection {
  fleet::LocalConnectionCounts::Handle count_handle;
  std::string quota;  // Of which it holds a unit; empty: none.
  bool ended = false;
};

// A relay: its process, of which there may be none, and the faults under which it is.
struct SimulatedRelay {
  std::size_t index = 0;
  std::string name;
  std::unique_ptr<fleet::Node> node;  // Null: not running.
  std::uint64_t run = 0;              // Changes with each start and end.
  bool paused = false;
  std::vector<std::function<void()>> deferred;  // What came due while it was paused.
  // Its monotonic clock against virtual time.
  Micros clock_offset{0};
  double clock_rate = 1.0;

  RelayFaults faults;

  std::vector<std::shared_ptr<SimulatedConnection>> connections;
  std::set<std::string> checking;                       // Ejected servers that it is about to try itself.
  Micros ejected_failing_at{0};                         // The first failing server; 0: not yet.
  std::map<std::string, Micros> wrongly_ejected_since;  // Sound servers, on remote evidence.
};

// A server, the same for all relays.
struct SimulatedServer {
  std::string name;
  bool failing = false;
  std::int64_t start = 1;  // Counts its processes.
};

// Plain state with the few operations that all parts need. Not thread-safe.
struct SimulationState {
  SimulationState(const Schedule& played_schedule, const SimulatedFleetSetup& fleet_setup);

  // Virtual time.
  Micros Now() const { return events.Now(); }
  // What the relay's clock reads.
  Micros LocalTime(const SimulatedRelay& relay) const;
  // Runs what a process does after the delay: not once its run has ended, and not while it is paused.
  void After(SimulatedRelay& relay, Micros delay, std::function<void()> callback);
  // Runs it with this period for the rest of the relay's run, the first time within a period.
  void Repeat(SimulatedRelay& relay, Micros period, const std::function<void()>& callback);
  // The time to the next event of a Poisson process.
  Micros RandomInterval(double per_second);
  // Whole milliseconds from the minimum to below the minimum and the range.
  Micros RandomMilliseconds(std::size_t min_ms, std::size_t range_ms);
  // Each with the same probability.
  const SimulatedServer& RandomServer() { return servers[random.Below(servers.size())]; }

  // The quotas' sizes: at least a unit for each relay.
  std::uint32_t SlowStartUnits() const;  // Of requests to a server in slow start, per window.
  std::uint32_t RetryUnits() const;      // Of retries, per window.
  std::uint32_t GroupUnits() const;      // Of a group's connections at one time.

  const Schedule& schedule;
  const SimulatedFleetSetup& setup;
  fleet::Random random;
  EventQueue events;
  HistoryWriter history;
  SimulatedFleetMetrics metrics;
  std::vector<std::unique_ptr<SimulatedRelay>> relays;  // By index.
  std::vector<SimulatedServer> servers;                 // By index.
  std::string first_failing_server;                     // By the schedule's steps; empty: none yet.
  Micros first_failure_at{0};

 private:
  void RunAndRepeat(SimulatedRelay& relay, Micros period, const std::function<void()>& callback);
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATION_STATE_H_
