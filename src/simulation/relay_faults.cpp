#include "simulation/relay_faults.h"

namespace stoatrun::simulation {

bool RelayFaults::Apply(const Step& step) {
  switch (step.action) {
    case FaultAction::kBreakServerLinks:
    case FaultAction::kRestoreServerLinks:
      server_links_broken = step.action == FaultAction::kBreakServerLinks;
      return true;
    case FaultAction::kStartMisreporting:
    case FaultAction::kStopMisreporting:
      misreports = step.action == FaultAction::kStartMisreporting;
      return true;
    case FaultAction::kSetDemand:
      demand = step.Fraction(1);
      return true;
    default:
      return false;
  }
}

}  // namespace stoatrun::simulation
