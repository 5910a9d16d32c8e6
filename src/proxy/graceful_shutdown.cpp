#include "proxy/graceful_shutdown.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/log.h"
#include "proxy/drain_schedule.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

// The front load balancer sends clients for another 0.2 to 0.4 s.
constexpr Micros kAcceptFor = milliseconds(500);
constexpr Micros kStepInterval = milliseconds(50);
// SIGKILL comes 0.7 s after the longest deadline, which is taken as 3 s where it is longer: the process ends
// 0.2 s before that.
constexpr Micros kAfterDeadline = milliseconds(500);
constexpr Micros kMaxDeadline = std::chrono::seconds(3);
// Sessions are migrated late, for until then they are served and another proxy may itself be restarting; and
// not all at once.
constexpr Micros kMigrateFor = milliseconds(1600);
// All are migrated so long before the end: clients have yet to receive their MOVE.
constexpr Micros kMigratedBeforeEnd = milliseconds(400);
// Likewise what is still pending is answered: the reset at the process's end would overtake the answer.
constexpr Micros kAnsweredBeforeEnd = milliseconds(250);

}  // namespace

GracefulShutdown::GracefulShutdown(EventLoop& loop, Micros max_deadline, SessionTable& sessions,
                                   Downstream& downstream, SessionController& controller)
    : loop_(loop),
      longest_deadline_(max_deadline),
      sessions_(sessions),
      downstream_(downstream),
      controller_(controller),
      timer_(loop.timers, [this] { Step(); }) {}

bool GracefulShutdown::Begin() {
  if (phase_ != Phase::kServing) return false;
  phase_ = Phase::kAccepting;
  began_at_ = loop_.Now();
  LogLine(Level::kInfo, "draining").Field("requests", sessions_.Size());
  timer_.Set(began_at_);
  return true;
}

Micros GracefulShutdown::EndsAt() const {
  return began_at_ + std::min(longest_deadline_, kMaxDeadline) + kAfterDeadline;
}

void GracefulShutdown::Step() {
  const bool accepted_long_enough = downstream_.IsInherited() || loop_.Now() >= began_at_ + kAcceptFor;
  if (phase_ == Phase::kAccepting && accepted_long_enough) {
    downstream_.StopListening();
    phase_ = Phase::kMigrating;
  }
  const bool ending = loop_.Now() >= std::max(EndsAt() - kAnsweredBeforeEnd, began_at_ + kAcceptFor);
  const std::vector<SlotId> pending = sessions_.PendingIds();
  if (phase_ == Phase::kMigrating) MigrateStep(EndsAt() - kMigratedBeforeEnd - loop_.Now());
  if (ending) {  // What is unanswered now would be lost with the process.
    for (const SlotId session : pending) controller_.Fail(session);
  }
  downstream_.EndIdle(!ending && sessions_.Size() > 0);
  const bool all_ended =
      phase_ == Phase::kMigrating && sessions_.Size() == 0 && !downstream_.HasPendingClients();
  if (all_ended || loop_.Now() >= EndsAt()) {
    LogLine(Level::kInfo, "drained,").Field("left", sessions_.Size());
    loop_.Stop();
    return;
  }
  timer_.Set(loop_.Now() + kStepInterval);
}

void GracefulShutdown::MigrateStep(Micros remaining) {
  const std::size_t established = sessions_.EstablishedCount();
  if (downstream_.IsInherited()) {
    // The next process serves already, and migrated clients find it at once. They are migrated evenly from
    // the start, so that it learns of the endpoints from the first of them before the rest come.
    controller_.MigrateIdle(drain::EvenShare(established, remaining, kStepInterval, migration_carry_));
  } else if (remaining <= kMigrateFor) {  // An even share of what remains a step, all by the time.
    const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, remaining / kStepInterval));
    controller_.MigrateIdle((established + steps - 1) / steps);
  }
}

}  // namespace stoatrun
