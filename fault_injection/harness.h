// What the parts of a process fleet share: the event loop, addresses, the history, and the state of relays
// and servers. Everything runs on the event loop's thread.
#ifndef STOATRUN_FAULT_INJECTION_HARNESS_H_
#define STOATRUN_FAULT_INJECTION_HARNESS_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "event_loop.h"
#include "line_connection.h"
#include "loopback_network.h"
#include "process_fleet.h"
#include "relay_process.h"
#include "simulation/history_writer.h"
#include "simulation/relay_faults.h"
#include "simulation/schedule.h"
#include "simulation/workload.h"

namespace stoatrun::fault_injection {

using simulation::GroupName;
using simulation::kGroupCount;

// How long a restarted server is in slow start, as the relays' configuration says.
inline constexpr std::chrono::microseconds kSlowStart = std::chrono::seconds(9);

// A relay, its processes, and the faults under which it is.
struct ManagedRelay {
  std::size_t index = 0;
  std::string name;
  RelayProcess process;
  RelayProcess duplicate;  // A second process under the same name.
  std::uint64_t run = 0;   // Counts the process's starts.
  bool paused = false;
  bool removed = false;            // From its peers' operator files.
  simulation::RelayFaults faults;  // The demand is a factor on its rate of new connections.
};

// A server, the same for all relays.
struct FakeServer {
  std::string name;
  bool failing = false;
  std::int64_t started_at_ms = 0;  // Unix time; 0: long ago.
};

// Random draws of the harness, from the schedule's seed.
class RandomSource {
 public:
  // The same seed gives the same draws.
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  // 64 random bits.
  std::uint64_t Bits() { return engine_(); }
  // Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  // True so many times in a hundred.
  bool Percent(std::uint64_t percent) { return Unit() * 100 < static_cast<double>(percent); }
  // Uniform below the limit.
  std::size_t Below(std::size_t limit) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(limit));
  }
  // The time to the next event of a Poisson process.
  Micros Interval(double per_second) { return simulation::PoissonInterval(Unit(), per_second); }

 private:
  std::mt19937_64 engine_;
};

// Defers the destruction of sockets to the next heartbeat, as one of their callbacks may be on the stack.
class DeferredCloser {
 public:
  // Closes the connection later.
  void Close(const std::shared_ptr<LineConnection>& connection) {
    pending_.emplace_back([connection] { connection->Close(); });
  }
  // Resets the `lines` of what owns a connection later: its callbacks hold the owner.
  template <typename Owner>
  void CloseLines(const std::shared_ptr<Owner>& owner) {
    pending_.emplace_back([owner] { owner->lines.reset(); });
  }
  // Closes all that was deferred. To be called from the loop itself, not from a callback of a connection.
  void Flush() {
    for (const auto& close : std::exchange(pending_, {})) close();
  }

 private:
  std::vector<std::function<void()>> pending_;
};

// Plain state. Members are destroyed in reverse order: whatever uses the loop goes before it.
struct Harness {
  Harness(const simulation::Schedule& played_schedule, const ProcessFleetSetup& fleet_setup);

  // A server is in slow start for a while after each restart.
  bool InSlowStart(const FakeServer& server) const;

  const simulation::Schedule& schedule;
  const ProcessFleetSetup& setup;
  EventLoop loop;
  LoopbackNetwork network;
  RandomSource random;
  simulation::HistoryWriter history;
  ProcessFleetResults results;
  DeferredCloser closer;
  std::vector<std::unique_ptr<ManagedRelay>> relays;  // By index; addresses stay.
  std::vector<FakeServer> servers;
};

// Milliseconds since the epoch.
std::int64_t UnixMs();

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_HARNESS_H_
