#include "proxy/graceful_shutdown.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include "base/log.h"
#include "proxy/drain_schedule.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

// After the shutdown begins the front load balancer still sends clients for 0.2 to 0.4 s.
constexpr Micros kAcceptDuration = milliseconds(500);
constexpr Micros kStepInterval = milliseconds(50);
// The platform sends SIGKILL 0.7 s after the longest request deadline, of which at most 3 s count. The
// shutdown ends 0.2 s before SIGKILL.
constexpr Micros kEndAfterDeadline = milliseconds(500);
constexpr Micros kMaxCountedDeadline = std::chrono::seconds(3);
// Sessions are migrated as late as possible, because they are served until then and another proxy may be
// restarting at the same time. They are spread over this time to avoid migrating all at once.
constexpr Micros kMigrationDuration = milliseconds(1600);
// The last session is migrated this long before the end, so that its client still receives MOVE.
constexpr Micros kMigrationEndMargin = milliseconds(400);
// Pending requests are answered this long before the end: the TCP reset at process exit could otherwise
// overtake the answer.
constexpr Micros kFinalAnswerMargin = milliseconds(250);

}  // namespace

GracefulShutdown::GracefulShutdown(EventLoop& loop, Micros max_deadline, SessionTable& sessions,
                                   Downstream& downstream, SessionController& controller,
                                   SessionCloser& closer, const EndpointListSharing& sharing)
    : loop_(loop),
      max_deadline_(max_deadline),
      sessions_(sessions),
      downstream_(downstream),
      controller_(controller),
      closer_(closer),
      sharing_(sharing),
      timer_(loop.timers, [this] { Step(); }) {}

bool GracefulShutdown::Begin() {
  if (phase_ != Phase::kServing) return false;
  phase_ = Phase::kAccepting;
  started_at_ = loop_.Now();
  LogLine(Level::kInfo, "draining").Field("requests", sessions_.Size());
  timer_.Set(started_at_);
  return true;
}

Micros GracefulShutdown::EndTime() const {
  return started_at_ + std::min(max_deadline_, kMaxCountedDeadline) + kEndAfterDeadline;
}

void GracefulShutdown::Step() {
  const bool accept_phase_is_over = downstream_.IsInherited() || loop_.Now() >= started_at_ + kAcceptDuration;
  if (phase_ == Phase::kAccepting && accept_phase_is_over) {
    downstream_.StopListening();
    phase_ = Phase::kMigrating;
  }
  const bool is_ending =
      loop_.Now() >= std::max(EndTime() - kFinalAnswerMargin, started_at_ + kAcceptDuration);
  const std::vector<SlotId> pending = sessions_.PendingIds();
  if (phase_ == Phase::kMigrating) MigrateStep(EndTime() - kMigrationEndMargin - loop_.Now());
  if (is_ending) {  // Requests that are not answered now would get no answer before the process exits.
    for (const SlotId session : pending) controller_.Fail(session);
    closer_.FinishAll();
  }
  downstream_.EndIdle(!is_ending && sessions_.Size() > 0);
  const bool all_clients_ended = phase_ == Phase::kMigrating && sessions_.Size() == 0 &&
                                 !downstream_.HasPendingClients() && !closer_.HasUnsentOutput();
  const bool may_leave_early = all_clients_ended && !sharing_.IsOnlySource();
  if (may_leave_early || loop_.Now() >= EndTime()) {
    LogLine(Level::kInfo, "drained,").Field("left", sessions_.Size());
    loop_.Stop();
    return;
  }
  timer_.Set(loop_.Now() + kStepInterval);
}

void GracefulShutdown::MigrateStep(Micros remaining) {
  const std::size_t established = sessions_.OpenCount();
  if (downstream_.IsInherited()) {
    // The next process is already serving, so migrated clients reach it at once. They are migrated evenly
    // from the start: the first ones show it the state of the endpoints before the rest arrive.
    controller_.MigrateIdle(drain::EvenShare(established, remaining, kStepInterval, migration_carry_));
  } else if (remaining <= kMigrationDuration) {
    // Each step migrates an equal share of the remaining sessions, so that the last step migrates the last
    // ones.
    const auto steps = static_cast<std::size_t>(std::max<Micros::rep>(1, remaining / kStepInterval));
    controller_.MigrateIdle((established + steps - 1) / steps);
  }
}

}  // namespace stoatrun
