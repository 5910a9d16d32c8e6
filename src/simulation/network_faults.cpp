#include "simulation/network_faults.h"

namespace stoatrun::simulation {

bool NetworkFaults::Apply(const Step& step) {
  switch (step.action) {
    case FaultAction::kCutLink:
      cut_links_.insert({step.Index(0), step.Index(1)});
      return true;
    case FaultAction::kHealLink:
      cut_links_.erase({step.Index(0), step.Index(1)});
      return true;
    case FaultAction::kPartition:
      partition_ = step.Indices(0);
      return true;
    case FaultAction::kHealAll:
      partition_.clear();
      cut_links_.clear();
      return true;
    case FaultAction::kSetLoss:
      loss_percent_ = step.Number(0);
      return true;
    case FaultAction::kSetDuplication:
      duplication_percent_ = step.Number(0);
      return true;
    case FaultAction::kSetCorruption:
      corruption_percent_ = step.Number(0);
      return true;
    case FaultAction::kSetDelay:
      min_delay_ = std::chrono::milliseconds(step.Number(0));
      max_delay_ = std::chrono::milliseconds(step.Number(1));
      return true;
    default:
      return false;
  }
}

bool NetworkFaults::Blocks(std::size_t sender, std::size_t receiver) const {
  if (cut_links_.contains({sender, receiver})) return true;
  return !partition_.empty() && partition_.contains(sender) != partition_.contains(receiver);
}

}  // namespace stoatrun::simulation
