// The schedule of the operators' drain of the proxy (`POST /v1/relay/drain`, `/v1/relay/activate`): when
// health checks of the front load balancer fail, and how many established connections are migrated at each
// step. Pure functions of the times and counts that are passed in; no I/O, no clock.
//
// The front load balancer checks health every 0.1 s and sends new connections for 0.2 s after the first
// failed check, so connections are still established for a while after the call. Migration begins once a
// migrated client can no longer be sent back here, and all are migrated well before the 4 s after which a
// connection that is still open counts as lost. Those established later than that are migrated at the next
// step.
#ifndef STOATRUN_PROXY_DRAIN_SCHEDULE_H_
#define STOATRUN_PROXY_DRAIN_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoatrun::drain {

using Micros = std::chrono::microseconds;

// The times of a drain, in microseconds.
struct Timing {
  Micros migrate_after{400'000};  // From the call until the first migration.
  Micros spread{
      2'200'000};       // The connections open at the first migration are migrated evenly over this time.
  Micros step{50'000};  // Between two steps.
};

// What to do at one step of a drain.
struct Step {
  std::size_t migrations = 0;  // How many established connections to migrate now.
  Micros next_step_at{0};      // When to take the next step; 0: not draining.
};

// How many of `count` connections to migrate in this step so that all are migrated evenly within `remaining`,
// in steps of `step`. `carry` keeps the fraction of a connection that is due from one step to the next. In
// the last step it is all of them.
std::size_t EvenShare(std::size_t count, Micros remaining, Micros step, double& carry);

// An established connection, as a candidate for migration.
struct Candidate {
  std::uint64_t id = 0;
  bool request_in_flight = false;  // A client's line was forwarded and has no answer yet.
  Micros answered_at{0};  // When the last answer reached the client, or the connection was established.
};

// The ids of the `count` candidates to migrate first. Clients send a line every so often and wait for its
// answer: one that has just had its answer is furthest from its next line, so it can reconnect elsewhere
// before that line is due. Hence the most recently answered go first, and those with a request in flight
// last.
std::vector<std::uint64_t> SelectForMigration(std::vector<Candidate> candidates, std::size_t count);

// State of the operators' drain: active, or draining since some time. Used by one thread.
class Schedule {
 public:
  // A schedule that is active. `timing` holds for all its drains.
  explicit Schedule(const Timing& timing = {}) : timing_(timing) {}

  // Begins to drain at `now`. No effect while draining: the times of the first call stay.
  void Drain(Micros now);
  // Ends the drain. No effect if there is none.
  void Activate();

  // Whether a drain is in progress.
  bool Draining() const { return draining_; }
  // The answer to health checks of the front load balancer and to readiness checks.
  bool Healthy() const { return !draining_; }
  // Advances the drain to `now`, with `established` open connections. Call it once a step.
  Step Advance(Micros now, std::size_t established);

 private:
  Timing timing_;
  bool draining_ = false;
  Micros draining_since_{0};
  double carry_ = 0;
};

}  // namespace stoatrun::drain

#endif  // STOATRUN_PROXY_DRAIN_SCHEDULE_H_
