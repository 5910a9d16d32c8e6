// The state of the network between relays, as a schedule's steps change it: cuts, a partition, loss,
// duplication, corruption and delay. The simulated and the real network both ask it about each datagram.
#ifndef STOATRUN_SIMULATION_NETWORK_FAULTS_H_
#define STOATRUN_SIMULATION_NETWORK_FAULTS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <utility>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Not thread-safe; relays are named by index. Percentages are of all datagrams.
class NetworkFaults {
 public:
  // `max_delay`: before any step sets a delay, datagrams take up to so long.
  explicit NetworkFaults(Micros max_delay) : max_delay_(max_delay) {}

  // Applies the step if it changes the network; false if it does something else.
  bool Apply(const Step& step);

  // Whether a cut or the partition keeps datagrams of `sender` away from `receiver`.
  bool Blocks(std::size_t sender, std::size_t receiver) const;

  // Of a hundred datagrams, so many are dropped.
  std::uint64_t LossPercent() const { return loss_percent_; }
  // So many are delivered twice.
  std::uint64_t DuplicationPercent() const { return duplication_percent_; }
  // So many have one byte changed.
  std::uint64_t CorruptionPercent() const { return corruption_percent_; }
  // The least one-way delay; delays are uniform between both.
  Micros MinDelay() const { return min_delay_; }
  // The greatest one-way delay.
  Micros MaxDelay() const { return max_delay_; }

 private:
  std::set<std::pair<std::size_t, std::size_t>> cut_links_;  // Sender, receiver.
  std::set<std::size_t> partition_;                          // One side; empty: no partition.
  std::uint64_t loss_percent_ = 0, duplication_percent_ = 0, corruption_percent_ = 0;
  Micros min_delay_{0}, max_delay_;
};

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_NETWORK_FAULTS_H_
