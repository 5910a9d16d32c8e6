#include "base/timer_queue.h"

namespace stoatrun {

void TimerQueue::RunExpired(Micros now) {
  const std::uint64_t limit = next_sequence_;  // Timers set from now on run in the next call.
  while (!timers_.empty()) {
    const auto first = timers_.begin();
    if (first->first.time > now || first->first.sequence >= limit) return;
    Timer* expired = first->second;
    timers_.erase(first);
    expired->is_set_ = false;
    expired->callback_();
  }
}

void Timer::Set(Micros time) {
  Cancel();
  key_ = {time, queue_.next_sequence_++};
  queue_.timers_.emplace(key_, this);
  is_set_ = true;
}

void Timer::Cancel() {
  if (!is_set_) return;
  queue_.timers_.erase(key_);
  is_set_ = false;
}

}  // namespace stoatrun
