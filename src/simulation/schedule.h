// Fault schedules: which faults are injected into a fleet, and when. A schedule is parsed from text or
// generated from a seed; the simulation (virtual time) and the fault-injection harness (real processes) both
// run it.
//
// Text format, one step per line: `AT_MS VERB ARGUMENT...`. A line that begins with # is a comment. The
// header lines `seed N`, `relays N`, `servers N` and `for MS` (the length) come first. Times are in
// milliseconds from the start of the run.
//
//   cut A B, heal A B         datagrams from A to B (one direction) are dropped; are delivered again
//   split A,B,... ; join      a partition between the listed relays and the rest; ends all cuts, partitions
//   loss PERCENT              this percentage of datagrams is dropped
//   double PERCENT            this percentage of datagrams is delivered twice
//   corrupt PERCENT           this percentage of datagrams has one byte changed (processes only)
//   delay FROM_MS TO_MS       uniform one-way delay; datagrams are reordered if TO exceeds FROM
//   garbage A N               relay A receives N invalid datagrams that no peer sent (processes only)
//   pause A, continue A       the process is stopped (SIGSTOP) and resumed (SIGCONT)
//   kill A, start A           SIGKILL; a new run without state of the previous one
//   leave A                   graceful shutdown
//   twin A, untwin A          a second process starts under A's name; is killed (processes only)
//   remove A                  A is removed from its peers' operator files (processes only)
//   bad S, good S             server S fails all requests; recovers
//   renew S                   server S is replaced by a new process
//   badlink A, goodlink A     every server fails for relay A alone; no longer
//   lie A, truth A            relay A misreports servers as failing; no longer
//   busy A PERCENT            relay A demands this percentage of every quota
//
// All types here are plain values: no clock, no I/O, no shared state.
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

// The action of a step; each has a verb in the text format.
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

// One action at one time. The arguments are stored as text in the form that the verb requires.
struct Step {
  Micros at{0};
  FaultAction action = FaultAction::kHealAll;
  std::vector<std::string> arguments;

  // The n-th argument, a relay's or server's name, as its index. These accessors require an argument of the
  // matching form, which parsed and generated schedules guarantee.
  std::size_t Index(std::size_t n) const;
  // The n-th argument, a list of relays, as their indices.
  std::set<std::size_t> Indices(std::size_t n) const;
  // The n-th argument as a number.
  std::uint64_t Number(std::size_t n) const;
  // The n-th argument, a percentage, as a fraction: `60` gives 0.6.
  double Fraction(std::size_t n) const { return static_cast<double>(Number(n)) / 100; }
};

// A complete run: the size of the fleet, the length of the run, and its steps in order of time.
struct Schedule {
  std::uint64_t seed = 1;
  std::size_t relays = 5, servers = 6;
  Micros length = std::chrono::seconds(30);
  std::vector<Step> steps;

  // Parses the text format. `name` identifies the source in error messages. Throws std::invalid_argument with
  // a message of the form `NAME:LINE: FIELD: REASON`.
  static Schedule Parse(std::string_view text, const std::string& name);
  // A random schedule; the same arguments give the same schedule.
  static Schedule Generate(std::uint64_t seed, std::size_t relays, Micros length);
  // Formats the schedule as text. Parse(ToText()) gives an equal schedule, except that times are rounded down
  // to milliseconds.
  std::string ToText() const;
};

// The names of relays in schedules and histories: `n0`, `n1`, ...
std::string RelayName(std::size_t index);
// The names of servers in schedules and histories: `s0`, `s1`, ...
std::string ServerName(std::size_t index);
// The index in a relay's or server's name.
std::size_t IndexFromName(const std::string& name);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SCHEDULE_H_
