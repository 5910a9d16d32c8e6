// Makes a schedule that broke a bound short: steps are left out, and its end drawn in, as long as it still
// breaks one.
#ifndef STOATRUN_SIMULATION_SHRINK_H_
#define STOATRUN_SIMULATION_SHRINK_H_

#include <functional>

#include "simulation/schedule.h"

namespace stoatrun::simulation {

// `breaks` plays a schedule and says whether the bound still breaks. At most `most_plays` plays.
Schedule Shrink(Schedule schedule, const std::function<bool(const Schedule&)>& breaks,
                std::size_t most_plays = 400);

}  // namespace stoatrun::simulation

#endif  // STOATRUN_SIMULATION_SHRINK_H_
