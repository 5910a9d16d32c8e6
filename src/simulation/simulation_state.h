// The state that the parts of a simulated fleet share: virtual time, random numbers, the history, relays and
// servers.
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

// Names of the rate quotas. Each server in slow start has a quota of its own: the prefix and its name.
inline constexpr const char* kRetryQuota = "retry";
inline constexpr const char* kSlowStartQuotaPrefix = "cold:";

// A client's connection at a relay.
struct SimulatedConnection {
  fleet::LocalConnectionCounts::Handle count_handle;
  std::string quota;  // The concurrency quota of which it holds a unit; empty: none.
  bool ended = false;
};

// A relay: its process, if one is running, and the faults injected into it.
struct SimulatedRelay {
  std::size_t index = 0;
  std::string name;
  std::unique_ptr<fleet::Node> node;  // Null: not running.
  std::uint64_t run = 0;              // Changes whenever the process starts or ends.
  bool paused = false;
  std::vector<std::function<void()>> deferred;  // Callbacks that came due while it was paused.
  // Its monotonic clock reads the offset plus virtual time multiplied by the rate.
  Micros clock_offset{0};
  double clock_rate = 1.0;

  RelayFaults faults;

  std::vector<std::shared_ptr<SimulatedConnection>> connections;
  std::set<std::string> pending_checks;  // Ejected servers for which a health check is scheduled.
  Micros first_failing_ejected_at{0};    // When it ejected the first failing server; 0: not yet.
  std::map<std::string, Micros> wrongly_ejected_since;  // Healthy servers ejected on remote evidence.
};

// A server, the same for all relays.
struct SimulatedServer {
  std::string name;
  bool failing = false;
  std::int64_t start = 1;  // The number of the server's current process.
};

// The shared state and the operations on it that all parts need. Not thread-safe.
struct SimulationState {
  SimulationState(const Schedule& played_schedule, const SimulatedFleetSetup& fleet_setup);

  // Virtual time.
  Micros Now() const { return events.Now(); }
  // The reading of the relay's monotonic clock.
  Micros LocalTime(const SimulatedRelay& relay) const;
  // Runs the callback of a relay's process after the delay. It is dropped if the run has ended by then, and
  // deferred until the process resumes if it is paused.
  void After(SimulatedRelay& relay, Micros delay, std::function<void()> callback);
  // Runs the callback periodically until the relay's run ends, the first time at a random moment within one
  // period.
  void Repeat(SimulatedRelay& relay, Micros period, const std::function<void()>& callback);
  // A random time to the next event of a Poisson process.
  Micros RandomInterval(double per_second);
  // A random number of whole milliseconds from `min_ms` to below `min_ms + range_ms`.
  Micros RandomMilliseconds(std::size_t min_ms, std::size_t range_ms);
  // A server, each with the same probability.
  const SimulatedServer& RandomServer() { return servers[random.Below(servers.size())]; }

  // The sizes of the quotas: at least one unit per relay.
  std::uint32_t SlowStartUnits() const;  // Requests to one server in slow start, per window.
  std::uint32_t RetryUnits() const;      // Retries per window.
  std::uint32_t GroupUnits() const;      // Concurrent connections of one group.

  const Schedule& schedule;
  const SimulatedFleetSetup& setup;
  fleet::Random random;
  EventQueue events;
  HistoryWriter history;
  SimulatedFleetMetrics metrics;
  std::vector<std::unique_ptr<SimulatedRelay>> relays;  // By index.
  std::vector<SimulatedServer> servers;                 // By index.
  std::string first_failing_server;                     // Failed by a step of the schedule; empty: none yet.
  Micros first_failure_at{0};

 private:
  void RunAndReschedule(SimulatedRelay& relay, Micros period, const std::function<void()>& callback);
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATION_STATE_H_
