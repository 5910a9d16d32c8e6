#include "event_loop.h"

#include <unistd.h>

#include <algorithm>
#include <utility>

namespace stoatrun::fault_injection {

EventLoop::EventLoop() : loop_(ev_loop_new(EVFLAG_AUTO)), start_(std::chrono::steady_clock::now()) {
  ev_timer_init(&timer_, OnTimer, 0., 0.);
  timer_.data = this;
  ev_prepare_init(&prepare_, OnPrepare);
  prepare_.data = this;
  ev_prepare_start(loop_, &prepare_);
}

EventLoop::~EventLoop() {
  // A callback may hold the last reference to a watcher, whose destructor needs the loop.
  callbacks_.clear();
  ev_loop_destroy(loop_);
}

Micros EventLoop::Now() const {
  return std::chrono::duration_cast<Micros>(std::chrono::steady_clock::now() - start_);
}

void EventLoop::RunAfter(Micros delay, std::function<void()> callback) {
  callbacks_.emplace(Now() + delay, std::move(callback));
}

void EventLoop::OnPrepare(struct ev_loop* loop, ev_prepare* prepare, int /*events*/) {
  auto* self = static_cast<EventLoop*>(prepare->data);
  ev_timer_stop(loop, &self->timer_);
  if (self->callbacks_.empty()) return;
  const Micros left = std::max(Micros(0), self->callbacks_.begin()->first - self->Now());
  ev_timer_set(&self->timer_, static_cast<double>(left.count()) / 1e6, 0.);
  ev_timer_start(loop, &self->timer_);
}

void EventLoop::OnTimer(struct ev_loop* /*loop*/, ev_timer* timer, int /*events*/) {
  auto* self = static_cast<EventLoop*>(timer->data);
  const Micros now = self->Now();
  while (!self->callbacks_.empty() && self->callbacks_.begin()->first <= now) {
    const auto due = self->callbacks_.extract(self->callbacks_.begin());
    due.mapped()();
  }
}

DescriptorWatcher::DescriptorWatcher(EventLoop& loop, int fd, std::function<void()> on_readable)
    : loop_(loop), fd_(fd), on_readable_(std::move(on_readable)) {
  ev_io_init(&io_, OnIo, fd, EV_READ);
  io_.data = this;
  ev_io_start(loop_.native_handle(), &io_);
}

DescriptorWatcher::~DescriptorWatcher() {
  ev_io_stop(loop_.native_handle(), &io_);
  close(fd_);
}

void DescriptorWatcher::OnIo(struct ev_loop* /*loop*/, ev_io* watcher, int /*events*/) {
  // A copy: the callback may destroy the watcher and the original with it.
  const auto on_readable = static_cast<DescriptorWatcher*>(watcher->data)->on_readable_;
  on_readable();
}

}  // namespace stoatrun::fault_injection
