// State that the parts of a process fleet share: the event loop, addresses, the history, and the state of
// relays and servers. Used on the event loop's thread only.
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

// Duration of a restarted server's slow start; also written into the relays' configuration.
inline constexpr std::chrono::microseconds kSlowStart = std::chrono::seconds(9);

// A relay with its processes and its active faults.
struct ManagedRelay {
  std::size_t index = 0;
  std::string name;
  RelayProcess process;
  RelayProcess duplicate;  // A second process under the same name.
  std::uint64_t run = 0;   // The number of times that the process was started.
  bool paused = false;
  bool removed = false;            // Taken out of its peers' operator files.
  simulation::RelayFaults faults;  // `demand` scales the rate of new connections.
};

// A server, with one state for all relays.
struct FakeServer {
  std::string name;
  bool failing = false;
  std::int64_t started_at_ms = 0;  // Unix time; 0: before the run, without slow start.
};

// The harness's random numbers, seeded by the schedule.
class RandomSource {
 public:
  // The same seed gives the same sequence.
  explicit RandomSource(std::uint64_t seed) : engine_(seed) {}
  // 64 random bits.
  std::uint64_t Bits() { return engine_(); }
  // Uniform in [0, 1).
  double Unit() { return std::uniform_real_distribution<double>(0, 1)(engine_); }
  // True with a probability of `percent` in a hundred.
  bool Percent(std::uint64_t percent) { return Unit() * 100 < static_cast<double>(percent); }
  // Uniform in [0, limit).
  std::size_t Below(std::size_t limit) {
    return static_cast<std::size_t>(Unit() * static_cast<double>(limit));
  }
  // The time to the next event of a Poisson process.
  Micros Interval(double per_second) { return simulation::PoissonInterval(Unit(), per_second); }

 private:
  std::mt19937_64 engine_;
};

// Defers the destruction of connections to the next Flush, as one of their callbacks may be on the stack.
class DeferredCloser {
 public:
  // Closes the connection at the next Flush.
  void Close(const std::shared_ptr<LineConnection>& connection) {
    pending_.emplace_back([connection] { connection->Close(); });
  }
  // Resets the owner's `stream` at the next Flush. The stream's callbacks hold a reference to the owner, so
  // this also breaks the reference cycle.
  template <typename Owner>
  void CloseStream(const std::shared_ptr<Owner>& owner) {
    pending_.emplace_back([owner] { owner->stream.reset(); });
  }
  // Runs the deferred closes. To be called from a timer of the loop, not from a connection's callback.
  void Flush() {
    for (const auto& close : std::exchange(pending_, {})) close();
  }

 private:
  std::vector<std::function<void()>> pending_;
};

// Members are destroyed in reverse order; those that use the loop must be declared after it.
struct Harness {
  Harness(const simulation::Schedule& fault_schedule, const ProcessFleetSetup& fleet_setup);

  // Whether the server was restarted less than kSlowStart ago.
  bool InSlowStart(const FakeServer& server) const;

  const simulation::Schedule& schedule;
  const ProcessFleetSetup& setup;
  EventLoop loop;
  LoopbackNetwork network;
  RandomSource random;
  simulation::HistoryWriter history;
  ProcessFleetResults results;
  DeferredCloser closer;
  std::vector<std::unique_ptr<ManagedRelay>> relays;  // By index; pointers stay valid.
  std::vector<FakeServer> servers;
};

// Milliseconds since the epoch.
std::int64_t UnixMs();

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_HARNESS_H_
