// Types shared by all modules of the fleet's replicated state: members, incarnations, quotas, settings.
//
// All modules in src/fleet are deterministic: time, randomness and datagrams are passed in, no clock is read
// and no socket is opened (src/fleet/io does that). They are not thread-safe and are used on the event loop's
// thread only.
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

// A member's index in the operator file: 0 to `fleet_size` - 1. Another process may take over an index; the
// share of each quota that belongs to the index stays the same.
using MemberId = std::uint32_t;

// Identifies one run of a member's process and orders it among all runs of that member, even if the disk was
// lost or the wall clock was set back. A later run compares greater.
struct Incarnation {
  // Wall-clock milliseconds at process start; raised when the process learns of a greater run of the same
  // member. 0: no run.
  std::uint64_t generation = 0;
  // Random, drawn at process start; distinguishes two runs with the same generation.
  std::uint64_t id = 0;
  // The check mistakes the generated comparison with 0 for one with a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  auto operator<=>(const Incarnation&) const = default;
  explicit operator bool() const { return generation != 0; }
};

// Largest relative rate error of a clock, in either direction. Every bound that spans two clocks allows for
// it.
constexpr double kMaxClockDrift = 0.01;

// The most that a clock may advance during `duration` of real time. A wait of this length on any clock lasts
// at least `duration`.
inline Micros UpperBoundWithDrift(Micros duration) {
  return Micros(static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 + kMaxClockDrift)) + 1);
}
// The least that a clock may advance during `duration` of real time. A wait of this length on any clock lasts
// at most `duration`.
inline Micros LowerBoundWithDrift(Micros duration) {
  return Micros(static_cast<std::int64_t>(static_cast<double>(duration.count()) * (1 - kMaxClockDrift)));
}

// Maximum length of a lease. A new run waits this long for the leases that the previous run granted to end,
// so the value must not be a setting that may have had another value in the previous run.
constexpr Micros kLeaseDuration = std::chrono::seconds(2);

// Another member, as listed in the operator file.
struct Peer {
  MemberId member_id = 0;
  std::string name;
};

// A fleet-wide quota. A rate quota has a window: an acquired unit becomes available again one window later (a
// send, an attempt, a health check). A concurrency quota has none: a unit stays acquired until it is released
// (an established connection).
struct QuotaRule {
  std::string name;         // Unique; the part before ':' is the name of the template, as in `cold:s-1`.
  std::uint32_t units = 0;  // For the whole fleet.
  Micros window{0};         // 0: a concurrency quota.
  // True for a concurrency quota, false for a rate quota.
  bool IsConcurrencyQuota() const { return window.count() == 0; }
};

// The fleet's settings, from the operator file and the configuration.
struct Settings {
  std::string fleet;  // The fleet's name; datagrams of another fleet are dropped.
  MemberId self = 0;
  std::uint32_t fleet_size = 1;
  std::vector<Peer> peers;                        // All members but this one.
  std::vector<QuotaRule> quotas;                  // Created at start.
  std::vector<QuotaRule> quota_templates;         // Created on demand, by the part of the name before ':'.
  Micros period = std::chrono::seconds(1);        // Mean interval between the pings that a member sends.
  Micros tick = std::chrono::milliseconds(250);   // Interval between calls of Node::Tick.
  Micros stale_after = std::chrono::seconds(10);  // Counts older than this are widened to an interval.
  // Upper bounds on what a relay does while no reports arrive from it: connections accepted per second, and
  // connections open at once. The widened intervals are computed from them.
  std::uint32_t max_accepted_per_s = 1000;
  std::uint32_t max_open = 10000;
  double max_ejected_fraction = 0.3;  // Of the listed endpoints, when ejected on remote evidence alone.
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_TYPES_H_
