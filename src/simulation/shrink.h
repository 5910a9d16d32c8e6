// Shrinks a schedule that violates a bound to a shorter one that still does, for reports and regression
// tests.
#ifndef STOATRUN_SIMULATION_SHRINK_H_
#define STOATRUN_SIMULATION_SHRINK_H_

#include <cstddef>
#include <functional>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Ends the schedule earlier and removes steps as long as `violates` returns true for the result. `violates`
// runs a schedule and checks its history; it is called at most `max_runs` times.
Schedule Shrink(Schedule schedule, const std::function<bool(const Schedule&)>& violates,
                std::size_t max_runs = 400);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SHRINK_H_
