// Fault schedules: which fault is injected into a fleet, and when. A schedule is read from text or generated
// from a seed; the simulation (virtual time) and the fault-injection harness (real processes) both play it.
//
// Text format, one step a line: `AT_MS VERB ARGUMENT...`. A line that begins with # is a comment. The header
// lines `seed N`, `relays N`, `servers N` and `for MS` come first; times count from the start of the run.
//
//   cut A B, heal A B         datagrams from A to B are dropped; are delivered again (one direction)
//   split A,B,... ; join      a partition between the named relays and the rest; all cuts and partitions end
//   loss PERCENT              so many datagrams in a hundred are dropped
//   double PERCENT            so many datagrams in a hundred are delivered twice
//   corrupt PERCENT           so many datagrams in a hundred have one byte changed (processes only)
//   delay FROM_MS TO_MS       uniform one-way delay; datagrams overtake each other if TO is over FROM
//   garbage A N               N datagrams that no peer sent reach relay A (processes only)
//   pause A, continue A       the process is stopped (SIGSTOP) and continued
//   kill A, start A           SIGKILL; a new run, which remembers nothing
//   leave A                   graceful shutdown
//   twin A, untwin A          a second process runs under A's name; it is killed (processes only)
//   remove A                  A is taken out of its peers' operator files (processes only)
//   bad S, good S             server S fails its requests; recovers
//   renew S                   server S is replaced by a new process
//   badlink A, goodlink A     every server fails for relay A alone; no longer
//   lie A, truth A            relay A misreports servers as failing; no longer
//   busy A PERCENT            relay A alone wants so much of every quota
//
// Everything here is a plain value: no clock, no I/O, no shared state.
#ifndef STOATRUN_SIMULATION_SCHEDULE_H_
#define STOATRUN_SIMULATION_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::simulation {

using Micros = std::chrono::microseconds;

// What a step does, a verb of the text format each.
enum class FaultAction {
  kCutLink,
  kHealLink,
  kPartition,
  kHealAll,
  kSetLoss,
  kSetDuplication,
  kSetCorruption,
  kSetDelay,
  kSendGarbage,
  kPause,
  kResume,
  kKill,
  kStart,
  kLeave,
  kStartDuplicate,
  kStopDuplicate,
  kRemoveFromPeers,
  kFailServer,
  kRecoverServer,
  kRestartServer,
  kBreakServerLinks,
  kRestoreServerLinks,
  kStartMisreporting,
  kStopMisreporting,
  kSetDemand,
};

// The verb of an action in the text format, for example `cut`.
std::string_view VerbOf(FaultAction action);

// One action at one time. The arguments are kept as text, as the verb's format requires them.
struct Step {
  Micros at{0};
  FaultAction action = FaultAction::kHealAll;
  std::vector<std::string> arguments;

  // The n-th argument as the index in a relay's or server's name. An argument must be of the form that is
  // asked for, as it is in a parsed or generated schedule.
  std::size_t Index(std::size_t n) const;
  // The n-th argument as the indices in a list of relays.
  std::set<std::size_t> Indices(std::size_t n) const;
  // The n-th argument as a number.
  std::uint64_t Number(std::size_t n) const;
  // The n-th argument as a fraction: `60` (percent) gives 0.6.
  double Fraction(std::size_t n) const { return static_cast<double>(Number(n)) / 100; }
};

// A whole run: how large the fleet is, how long it runs, and its steps in order of time.
struct Schedule {
  std::uint64_t seed = 1;
  std::size_t relays = 5, servers = 6;
  Micros length = std::chrono::seconds(30);
  std::vector<Step> steps;

  // Reads the text format. `name` stands for the source in messages. Throws std::invalid_argument:
  // `NAME:LINE: FIELD: what is wrong`.
  static Schedule Parse(std::string_view text, const std::string& name);
  // A random schedule; the same arguments give the same schedule.
  static Schedule Generate(std::uint64_t seed, std::size_t relays, Micros length);
  // The text format: Parse(ToText()) gives an equal schedule, up to fractions of a millisecond.
  std::string ToText() const;
};

// The names of relays in schedules and histories: `n0`, `n1`, ...
std::string RelayName(std::size_t index);
// The names of servers there: `s0`, `s1`, ...
std::string ServerName(std::size_t index);
// The index in such a name.
std::size_t IndexFromName(const std::string& name);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SCHEDULE_H_
