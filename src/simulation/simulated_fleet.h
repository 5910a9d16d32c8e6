// A fleet in virtual time: the very modules that the relay runs, on a simulated network, under a schedule of
// faults. What happens goes into a history (fault_injection/HISTORY.md), the same that the rig writes of real
// processes.
#ifndef STOATRUN_SIMULATION_SIMULATED_FLEET_H_
#define STOATRUN_SIMULATION_SIMULATED_FLEET_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

struct WorldSetup {
  bool sharing = true;       // Without, each relay has its static share and its own eyes alone.
  double demand = 0.6;       // Of the budgets, by all relays together, where no step says otherwise.
  double busiest = 0.5;      // The part of the demand that one relay has, drawn anew each few seconds.
  double connections = 4.0;  // New ones a second, at each relay.
  double tries = 6.0;        // Servers tried a second, at each relay.
  Micros settled = std::chrono::seconds(5);  // Spends are counted from here on, for the use of budgets.
  bool history = true;                       // Without, only the figures are kept.
};

struct WorldFigures {
  std::uint64_t datagrams = 0, bytes = 0, oversized = 0, wanted = 0, spent = 0, denied = 0;
  double datagrams_per_relay_s = 0, bytes_per_relay_s = 0;
  std::uint64_t unbalanced = 0;        // Reports of relays whose own check failed.
  std::uint64_t false_twins = 0;       // Relays taken for twins, though each name ran once.
  std::map<std::string, double> used;  // Of each budget of a window: the part that was spent, once settled.
  // Of each relay: how long after the first `bad` step it avoided that server, by its own eyes or on hearsay.
  std::vector<double> avoided_after_s;
  // Of each stretch in which a relay avoided a sound server on hearsay: how long it was.
  std::vector<double> wrongly_for_s;
};

struct WorldResult {
  std::string history;
  WorldFigures figures;
};

WorldResult Play(const Schedule& schedule, const WorldSetup& setup = {});

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SIMULATED_FLEET_H_
