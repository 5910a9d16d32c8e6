// The faults of the network between relays, as set by a schedule's steps: cut links, a partition, loss,
// duplication, corruption and delay. The simulated network and the harness's datagram switch both apply them
// to each datagram.
#ifndef STOATRUN_SIMULATION_NETWORK_FAULTS_H_
#define STOATRUN_SIMULATION_NETWORK_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Relays are identified by index; percentages are of all datagrams. Not thread-safe.
class NetworkFaults {
 public:
  // `max_delay`: the greatest one-way delay until a step sets another.
  explicit NetworkFaults(Micros max_delay) : max_delay_(max_delay) {}

  // Applies the step if it changes the network; returns false for other steps.
  bool Apply(const Step& step);

  // Whether a cut link or the partition blocks datagrams from `sender` to `receiver`.
  bool Blocks(std::size_t sender, std::size_t receiver) const;

  // The percentage of datagrams that are dropped.
  std::uint64_t LossPercent() const { return loss_percent_; }
  // The percentage of datagrams that are delivered twice.
  std::uint64_t DuplicationPercent() const { return duplication_percent_; }
  // The percentage of datagrams that have one byte changed.
  std::uint64_t CorruptionPercent() const { return corruption_percent_; }
  // The least one-way delay; delays are distributed uniformly from MinDelay to MaxDelay.
  Micros MinDelay() const { return min_delay_; }
  // The greatest one-way delay.
  Micros MaxDelay() const { return max_delay_; }

 private:
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;  // Pairs of sender and receiver.
  std::set<std::size_t> partition_;                          // One side; empty: no partition.
  std::uint64_t loss_percent_ = 0, duplication_percent_ = 0, corruption_percent_ = 0;
  Micros min_delay_{0}, max_delay_;
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_NETWORK_FAULTS_H_
