// The vocabulary that all modules of the fleet's shared state use: members, incarnations, quotas, settings.
//
// All modules in src/fleet are deterministic: time, randomness and datagrams are passed in, no clock is read
// and no socket is opened (src/fleet/io does that). None of them is thread-safe; the event loop's thread owns
// them.
#ifndef STOATRUN_FLEET_TYPES_H_
#define STOATRUN_FLEET_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::fleet {

// A duration, or a point in time on the relay's own monotonic clock.
using Micros = std::chrono::microseconds;

// A member's place in the fleet as the operator file numbers it: 0 to `fleet_size` - 1. The process at a
// place may change; the place's share of each quota does not.
using MemberId = std::uint32_t;

// Identifies one run of a member's process and orders it against other runs of the same member, also where a
// disk was lost or a wall clock was set back. A later run compares greater.
struct Incarnation {
  // Wall-clock milliseconds at the start; raised by a process that learns of a run greater than itself. 0: no
  // run.
  std::uint64_t generation = 0;
  // Drawn at random at the start, so that two runs that chose the same generation differ.
  std::uint64_t id = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the generated comparison with 0 is taken for one with a pointer.
  auto operator<=>(const Incarnation&) const = default;
  // True if this names a run.
  explicit operator bool() const { return generation != 0; }
};

// The largest relative rate error of a clock that every bound spanning two clocks allows for, on both sides.
constexpr double kMaxClockDrift = 0.01;

// The reading a fast clock may show after `duration` of real time: waiting that long waits for at least
// `duration`.
inline Micros UpperBoundWithDrift(Micros duration) {
  return Micros(static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 + kMaxClockDrift)) + 1);
}
// The reading a slow clock may show after `duration` of real time: waiting that long waits for at most
// `duration`.
inline Micros LowerBoundWithDrift(Micros duration) {
  return Micros(static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 - kMaxClockDrift)));
}

// The longest lease, in all fleets. A new run waits that long for what its former run lent, so the value must
// not depend on a setting that the former run may have had otherwise.
constexpr Micros kLeaseDuration = std::chrono::seconds(2);

// Another member as the operator file names it.
struct Peer {
  MemberId member_id = 0;
  std::string name;
};

// A quota of the whole fleet. A rate quota has a window: a unit that was acquired is available again a window
// later (a send, an attempt, a health check). A concurrency quota has none: a unit stays acquired until it is
// released (an established connection).
struct QuotaRule {
  std::string name;         // Unique; the part before a ':' names its template, as in `cold:s-1`.
  std::uint32_t units = 0;  // Of the whole fleet.
  Micros window{0};         // 0: a concurrency quota.
  // True for a concurrency quota, false for a rate quota.
  bool IsConcurrencyQuota() const { return window.count() == 0; }
};

// What the operator file and the configuration say of the fleet.
struct Settings {
  std::string fleet;  // The fleet's name; datagrams of another fleet are dropped.
  MemberId self = 0;
  std::uint32_t fleet_size = 1;
  std::vector<Peer> peers;                       // All members but this one.
  std::vector<QuotaRule> quotas;                 // Exist from the start.
  std::vector<QuotaRule> quota_templates;        // Quotas made on demand, by the part of the name before ':'.
  Micros period = std::chrono::seconds(1);       // Between two pings that a member sends.
  Micros tick = std::chrono::milliseconds(250);  // Between two calls of Node::Tick.
  Micros stale_after = std::chrono::seconds(10);  // Counts older than that are widened to an interval.
  // Bounds on what a relay may do while nothing is heard of it: connections accepted a second, and open at
  // once.
  std::uint32_t max_accepted_per_s = 1000;
  std::uint32_t max_open = 10000;
  double max_ejected_fraction = 0.3;  // Of the listed endpoints, on remote evidence alone.
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_TYPES_H_
