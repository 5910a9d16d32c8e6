// Shrinks a schedule that violates a bound to a short one that still does, for the report and for a kept
// test.
#ifndef STOATRUN_SIMULATION_SHRINK_H_
#define STOATRUN_SIMULATION_SHRINK_H_

#include <cstddef>
#include <functional>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// Ends the schedule earlier and leaves out steps, as long as `violates` says that the shorter one still
// violates the bound. `violates` plays a schedule; it is called at most `max_plays` times.
Schedule Shrink(Schedule schedule, const std::function<bool(const Schedule&)>& violates,
                std::size_t max_plays = 400);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SHRINK_H_
