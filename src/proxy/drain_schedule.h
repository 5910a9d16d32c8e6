// The schedule of the operators' drain (`POST /v1/relay/drain`, `/v1/relay/activate`): when health checks of
// the front load balancer fail, and how many established connections are migrated at each step. The code
// depends only on the times and counts that are passed in; it uses no I/O and no clock.
//
// The front load balancer checks health every 0.1 s and sends new connections for 0.2 s after the first
// failed check, so connections are still established for a while after the call. Migration begins once a
// migrated client can no longer be sent back to this proxy. It ends well before 4 s, after which a connection
// that is still open counts as lost. Connections that are established after the migration's end are migrated
// at the next step.
#ifndef STOATRUN_PROXY_DRAIN_SCHEDULE_H_
#define STOATRUN_PROXY_DRAIN_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoatrun::drain {

using Micros = std::chrono::microseconds;

// The durations that define a drain.
struct Timing {
  // From the operator's call until the first migration.
  Micros migration_delay{400'000};
  // The connections that are open at the first migration are migrated evenly over this time.
  Micros migration_duration{2'200'000};
  // Between two steps.
  Micros step_interval{50'000};
};

// The work of one step of a drain.
struct Step {
  std::size_t migrations = 0;  // How many established connections to migrate now.
  Micros next_step_at{0};      // When to call Advance again; 0: not draining.
};

// Returns how many of `count` connections to migrate in this step so that all are migrated evenly within
// `remaining`, with one step every `step_interval`; in the last step, all of them. `carry` keeps the fraction
// of a connection that is carried over from one step to the next.
std::size_t EvenShare(std::size_t count, Micros remaining, Micros step_interval, double& carry);

// An established connection, as a candidate for migration.
struct Candidate {
  std::uint64_t id = 0;
  bool request_in_flight = false;  // A line of the client was forwarded and not answered yet.
  Micros answered_at{0};  // When the last answer was sent to the client, or the connection was established.
};

// Returns the ids of the `count` candidates to migrate first. Clients send lines at intervals and wait for
// each answer. A client that has just received an answer has the most time until its next line, so it can
// reconnect before that line is due. Therefore the most recently answered candidates come first, and those
// with a request in flight last.
std::vector<std::uint64_t> SelectForMigration(std::vector<Candidate> candidates, std::size_t count);

// The state of the operators' drain: active, or draining since a point in time. Not thread-safe.
class Schedule {
 public:
  // The schedule is active at first. `timing` applies to all its drains.
  explicit Schedule(const Timing& timing = {}) : timing_(timing) {}

  // Starts a drain at `now`. No effect while draining: the times of the first call remain valid.
  void Drain(Micros now);
  // Ends the drain. No effect if not draining.
  void Activate();

  // Whether a drain is in progress.
  bool Draining() const { return draining_; }
  // The result of the front load balancer's health checks and of readiness checks.
  bool Healthy() const { return !draining_; }
  // Advances the drain to `now`, with `established` open connections. To be called once per step.
  Step Advance(Micros now, std::size_t established);

 private:
  Timing timing_;
  bool draining_ = false;
  Micros draining_since_{0};
  double carry_ = 0;
};

}  // namespace stoatrun::drain

#endif  // STOATRUN_PROXY_DRAIN_SCHEDULE_H_
