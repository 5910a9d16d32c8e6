#include "base/event_loop.h"

#include <algorithm>
#include <stdexcept>

namespace stoatrun {

void TimerQueue::RunExpired(Micros now) {
  const std::uint64_t limit = next_;
  while (!order_.empty()) {
    const auto first = order_.begin();
    if (first->first.first > now || first->first.second >= limit) return;
    Timer* due = first->second;
    order_.erase(first);
    due->set_ = false;
    due->due_();
  }
}

void Timer::Set(Micros at) {
  Cancel();
  key_ = {at, all_.next_++};
  all_.order_.emplace(key_, this);
  set_ = true;
}

void Timer::Cancel() {
  if (!set_) return;
  all_.order_.erase(key_);
  set_ = false;
}

EventLoop::EventLoop(Clock::Mode mode) : clock(mode), loop_(ev_loop_new(EVFLAG_AUTO)) {
  if (loop_ == nullptr) throw std::runtime_error("no event loop to be had");
  ev_check_init(&check_, OnCheck);
  ev_set_priority(&check_, EV_MAXPRI);  // Before every callback of the turn.
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

void EventLoop::OnCheck(struct ev_loop* /*loop*/, ev_check* w, int /*events*/) {
  static_cast<EventLoop*>(w->data)->clock.Read();
}

void EventLoop::OnPrepare(struct ev_loop* loop, ev_prepare* w, int /*events*/) {
  auto* self = static_cast<EventLoop*>(w->data);
  for (const auto& sweep : self->turn_end_hooks_) sweep();
  ev_timer_stop(loop, &self->timer_);
  if (self->timers.Empty()) return;
  const Micros left = std::max(Micros(0), self->timers.Next() - self->Now());
  ev_timer_set(&self->timer_, static_cast<double>(left.count()) / 1e6, 0.);
  ev_timer_start(loop, &self->timer_);
}

void EventLoop::OnTimer(struct ev_loop* /*loop*/, ev_timer* w, int /*events*/) {
  auto* self = static_cast<EventLoop*>(w->data);
  self->timers.RunExpired(self->Now());
}

}  // namespace stoatrun
