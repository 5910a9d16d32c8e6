// The operators' drain of the relay (`POST /v1/relay/drain`, `/v1/relay/activate`): when the relay says no to
// the front, and how many of its standing connections it moves at each step. Pure: time is handed in.
//
// The front asks every 0.1 s and sends new connections for 0.2 s after the first no, so connections still
// come up for a while after the call; moving begins once a moved client can no longer be sent back here, and
// all are moved well before the 4 s after which a connection that is still held counts as lost. What comes up
// later than the spread is moved at the next step.
#ifndef STOATRUN_PROXY_DRAIN_SCHEDULE_H_
#define STOATRUN_PROXY_DRAIN_SCHEDULE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace stoatrun::drain {

using Micros = std::chrono::microseconds;

struct Pace {
  Micros hold{400'000};      // From the call until the first move.
  Micros spread{2'200'000};  // Over which the connections held at the first move go, evenly.
  Micros step{50'000};
};

struct Step {
  std::size_t moves = 0;  // Of the standing connections, so many now.
  Micros next{0};         // When to step again; 0: not while serving.
};

// Of `count` still to go in `left` by steps of `step`, how many go now, so that they go evenly in time:
// `carry` keeps the part of one that is owed from step to step. What is left at the last step goes whole.
std::size_t EvenShare(std::size_t count, Micros left, Micros step, double& carry);

// A standing connection as the choice of whom to move sees it.
struct Standing {
  std::uint64_t id = 0;
  bool asking = false;    // A client's line is on its way and its answer not yet back.
  Micros answered_at{0};  // When the host's last answer reached the client, or the connection came up.
};

// The `n` to move now. Clients send a line every so often and wait for its answer: one that has just had its
// answer is furthest from its next line, so it can come back elsewhere before that line is due. Those with a
// line under way go last.
std::vector<std::uint64_t> Quietest(std::vector<Standing> all, std::size_t n);

class Plan {
 public:
  explicit Plan(const Pace& pace = {}) : pace_(pace) {}

  // Both are harmless when repeated: a second drain keeps the first one's times.
  void Drain(Micros now);
  void Activate();

  bool Draining() const { return draining_; }
  // What the front and the readiness check are told.
  bool SaysYes() const { return !draining_; }
  // Of `standing` connections held at `now`; called once a step.
  Step At(Micros now, std::size_t standing);

 private:
  Pace pace_;
  bool draining_ = false;
  Micros since_{0};
  double carry_ = 0;
};

}  // namespace stoatrun::drain

#endif  // STOATRUN_PROXY_DRAIN_SCHEDULE_H_
