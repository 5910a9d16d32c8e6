#include "base/event_loop.h"

#include <algorithm>
#include <utility>

#include "base/error.h"

namespace stoatrun {

EventLoop::EventLoop(Clock::Mode mode)
    : clock(mode), loop_(ev_loop_new(EVFLAG_AUTO)), previous_turn_(clock.Now()), current_turn_(clock.Now()) {
  if (loop_ == nullptr) throw Error(ErrorCode::kUnavailable, "libev could not create an event loop");
  ev_check_init(&check_, OnCheck);
  ev_set_priority(&check_, EV_MAXPRI);  // Runs before all other callbacks of the turn.
  check_.data = this;
  ev_check_start(loop_, &check_);
  ev_prepare_init(&prepare_, OnPrepare);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
  ev_timer_init(&timer_, OnTimer, 0., 0.);
  timer_.data = this;
}

EventLoop::~EventLoop() { ev_loop_destroy(loop_); }

void EventLoop::Poll() {
  ev_run(loop_, EVRUN_NOWAIT);
  timers.RunExpired(Now());
}

void EventLoop::OnCheck(struct ev_loop* /*loop*/, ev_check* watcher, int /*events*/) {
  auto* self = static_cast<EventLoop*>(watcher->data);
  self->clock.Read();
  self->previous_turn_ = std::exchange(self->current_turn_, self->Now());
}

void EventLoop::OnPrepare(struct ev_loop* loop, ev_prepare* watcher, int /*events*/) {
  auto* self = static_cast<EventLoop*>(watcher->data);
  for (const auto& hook : self->turn_end_hooks_) hook();
  ev_timer_stop(loop, &self->timer_);
  if (self->timers.Empty()) return;
  const Micros remaining = std::max(Micros(0), self->timers.Next() - self->Now());
  ev_timer_set(&self->timer_, static_cast<double>(remaining.count()) / 1e6, 0.);
  ev_timer_start(loop, &self->timer_);
}

void EventLoop::OnTimer(struct ev_loop* /*loop*/, ev_timer* watcher, int /*events*/) {
  auto* self = static_cast<EventLoop*>(watcher->data);
  self->timers.RunExpired(self->Now());
}

}  // namespace stoatrun
