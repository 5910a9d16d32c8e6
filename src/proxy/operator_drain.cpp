#include "proxy/operator_drain.h"

#include <algorithm>
#include <cstddef>

#include "base/log.h"

namespace stoatrun {

OperatorDrain::OperatorDrain(EventLoop& loop, Counters& counters, SessionTable& sessions,
                             Downstream& downstream, SessionController& controller)
    : loop_(loop),
      counters_(counters),
      sessions_(sessions),
      downstream_(downstream),
      controller_(controller),
      timer_(loop.timers, [this] { Step(); }) {}

void OperatorDrain::Drain() {
  ++counters_.drain_calls;
  if (schedule_.Draining()) return;
  LogLine(Level::kInfo, "operator drain started").Field("requests", sessions_.Size());
  schedule_.Drain(loop_.Now());
  downstream_.SetHealthy(false);
  Step();
}

void OperatorDrain::Activate(bool healthy) {
  ++counters_.activations;
  if (!schedule_.Draining()) return;
  LogLine(Level::kInfo, "activated").Field("requests", sessions_.Size());
  schedule_.Activate();
  timer_.Cancel();
  downstream_.SetHealthy(healthy);
}

void OperatorDrain::Step() {
  const std::size_t established = sessions_.OpenCount();
  const drain::Step step = schedule_.Advance(loop_.Now(), established);
  counters_.drain_migrations += std::min(established, step.migrations);
  controller_.MigrateIdle(step.migrations);
  if (step.next_step_at.count() > 0) timer_.Set(step.next_step_at);
}

}  // namespace stoatrun
