// What all parts of the fleet's shared state speak of: places, incarnations, quotas. Pure: no clocks, no
// sockets.
#ifndef STOATRUN_FLEET_TYPES_H_
#define STOATRUN_FLEET_TYPES_H_

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace stoatrun::fleet {

using Micros = std::chrono::microseconds;  // A duration, or a time on the relay's own monotonic clock.

// A place in the fleet, given by the operator file: 0 to `fleet_size` - 1. Who sits there may change, the
// place's share of quota_templates quota does not.
using MemberId = std::uint32_t;

// One run of a process. A later run of the same name is greater; `id` is drawn at random at the start, so
// that two runs that chose the same generation are told apart.
struct Incarnation {
  std::uint64_t generation = 0;  // 0: nobody has been heard.
  std::uint64_t id = 0;
  // NOLINTNEXTLINE(modernize-use-nullptr): the generated comparison with 0 is accepted for one with a
  // pointer.
  auto operator<=>(const Incarnation&) const = default;
  explicit operator bool() const { return generation != 0; }
};

// A clock may be fast or slow against real time by this part, at the most. Every bound that spans two clocks
// allows for it on both sides.
constexpr double kMaxClockDrift = 0.01;

// No earlier than `t` of real time, and no later: how long to wait on a clock that may be fast, or slow.
inline Micros AtLeast(Micros t) {
  return Micros(static_cast<std::int64_t>(static_cast<double>(t.count()) * (1 + kMaxClockDrift)) + 1);
}
inline Micros AtMost(Micros t) {
  return Micros(static_cast<std::int64_t>(static_cast<double>(t.count()) * (1 - kMaxClockDrift)));
}

// The longest lease, for all fleets: a new run waits that long for what its former one lent, so that it must
// not depend on a setting that the former run may have had otherwise.
constexpr Micros kLeaseDuration = std::chrono::seconds(2);

struct Peer {
  MemberId member_id = 0;
  std::string name;
};

// What is spent is gone for `window` (a send, an attempt, a probe); a window of 0 is a level: what is
// accepted stays accepted until it is given back (a connection that stands).
struct QuotaRule {
  std::string name;         // Unique; the name's part before a ':' is its kind, as in `cold:s-1`.
  std::uint32_t units = 0;  // Of the complete fleet.
  Micros window{0};
  bool IsConcurrencyQuota() const { return window.count() == 0; }
};

struct Settings {
  std::string fleet;  // Datagrams of another name are not ours.
  MemberId self = 0;
  std::uint32_t fleet_size = 1;
  std::vector<Peer> peers;  // Without self.
  // QuotaLeases that are there from the start. `quota_templates`: rules for quotas made as needed, by kind
  // (`cold` for `cold:s-1`).
  std::vector<QuotaRule> quotas;
  std::vector<QuotaRule> quota_templates;
  Micros period = std::chrono::seconds(1);  // Of the members' checks.
  Micros tick = std::chrono::milliseconds(250);
  Micros stale_after = std::chrono::seconds(10);  // Counts older than that are widened.
  std::uint32_t max_accepted_per_s =
      1000;                           // A relay takes no more connections than that: the widening's slope.
  std::uint32_t max_open = 10000;     // Nor does it hold more at once.
  double max_ejected_fraction = 0.3;  // Part of the endpoints that may be ejected on hearsay.
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_TYPES_H_
