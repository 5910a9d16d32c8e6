#include "proxy/readiness_gate.h"

#include <chrono>

#include "base/durations.h"
#include "base/log.h"

namespace stoatrun {
namespace {

// Leaves 1.5 s of the platform's time for the start of a process on a busy machine, and for the platform's
// calls.
constexpr Micros kMaxDelay = std::chrono::milliseconds(4500);

}  // namespace

void ReadinessGate::Close() {
  is_open_ = false;
  closed_at_ = loop_.Now();
  timeout_.Set(closed_at_ + kMaxDelay);
}

void ReadinessGate::Open() {
  timeout_.Cancel();
  if (IsOpen()) return;
  is_open_ = true;
  LogLine(Level::kWarn, "ready before discovery has answered")
      .Field("waited_ms", ToMilliseconds(loop_.Now() - closed_at_));
  discovery_.OnReady();
}

}  // namespace stoatrun
