// Computes fractions of durations.
#ifndef STOATRUN_PROXY_TIME_FRACTION_H_
#define STOATRUN_PROXY_TIME_FRACTION_H_

#include "base/clock.h"

namespace stoatrun {

// Returns `fraction` of `time`, rounded towards zero.
inline Micros TimeFraction(Micros time, double fraction) {
  return Micros(static_cast<Micros::rep>(static_cast<double>(time.count()) * fraction));
}

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_TIME_FRACTION_H_
