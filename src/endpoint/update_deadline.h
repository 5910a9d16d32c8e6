// The time by which a proxy must have received the changes of the endpoint list that its watch may have
// missed. The platform assumes that it knows them from then on, whether or not they have arrived.
//
// Pure: the caller passes in the time, in microseconds of one monotonic clock. Not thread-safe.
#ifndef STOATRUN_ENDPOINT_UPDATE_DEADLINE_H_
#define STOATRUN_ENDPOINT_UPDATE_DEADLINE_H_

#include <algorithm>
#include <chrono>
#include <optional>

#include "base/clock.h"

namespace stoatrun {

// Follows the events of the watch, the calls to the service and the reloads of one discovery client.
class UpdateDeadline {
 public:
  // The list is assumed to be current at the start.
  explicit UpdateDeadline(Micros now) : list_current_at_(now) {}

  // The service has sent an event: the list is current.
  void OnEvent(Micros now) {
    list_current_at_ = now;
    reload_deadline_.reset();
    overdue_since_.reset();
  }
  // The client has been told to use another address of the service. Further reloads before the next event
  // don't extend the deadline.
  void OnReload(Micros now) {
    if (!reload_deadline_) reload_deadline_ = now + kKnownAfterReload;
  }
  // A call has failed that was made at `called_at`: the service could not be used then.
  void OnCallFailed(Micros called_at) { unavailable_at_ = std::max(unavailable_at_, called_at); }
  // The same, as no connection could be made: nothing can be known of an address that does not exist.
  void OnUnreachable(Micros called_at) {
    OnCallFailed(called_at);
    if (reload_deadline_) reload_deadline_ = std::max(*reload_deadline_, called_at + kKnownAfterReload);
  }
  // A call has not been answered in time.
  void OnCallUnanswered(Micros now) { unanswered_at_ = now; }

  // Whether changes may count as known that have not been received. After kMaxOverdue without an event this
  // ends until the next event, whatever happens in between: the service is assumed to be out of order, and
  // the current list is the best that there is.
  bool IsOverdue(Micros now) {
    Micros deadline = std::max({list_current_at_ + kKnownAfterChange, unavailable_at_ + kKnownAfterChange,
                                unanswered_at_ + kKnownAfterUnansweredCall});
    if (reload_deadline_) deadline = std::min(deadline, *reload_deadline_);
    if (now < deadline) return false;
    if (!overdue_since_) overdue_since_ = deadline;
    return now < *overdue_since_ + kMaxOverdue;
  }

  // The time by which the next call must begin, so that it can be answered before the deadline. If that is no
  // longer possible, the deadline is the one of the changes made since the service was last unavailable.
  Micros LatestCall(Micros now) const {
    Micros latest_call = list_current_at_ + kKnownAfterChange - kAnswerTime;
    if (reload_deadline_) latest_call = std::min(latest_call, *reload_deadline_ - kAnswerTime);
    if (latest_call > now) return latest_call;
    const Micros after_unanswered = unanswered_at_ + kKnownAfterUnansweredCall - kShortAnswerTime;
    const Micros after_failure = unavailable_at_ + kKnownAfterChange - kAnswerTime;
    return std::max({now, after_unanswered, after_failure});
  }

 private:
  static constexpr Micros kKnownAfterChange = std::chrono::seconds(6);
  static constexpr Micros kKnownAfterReload = std::chrono::seconds(4);
  static constexpr Micros kKnownAfterUnansweredCall = std::chrono::seconds(2);
  static constexpr Micros kMaxOverdue = std::chrono::seconds(3);
  // Kept free for the answer of a service that is slow, or that all proxies call at the same time.
  static constexpr Micros kAnswerTime = std::chrono::milliseconds(2500);
  // Where less time is left in all.
  static constexpr Micros kShortAnswerTime = std::chrono::seconds(1);

  Micros list_current_at_;
  Micros unanswered_at_{0};
  Micros unavailable_at_{0};
  std::optional<Micros> reload_deadline_;  // Set from a reload to the next event.
  std::optional<Micros> overdue_since_;    // Set when the list is found to be overdue, to the next event.
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_UPDATE_DEADLINE_H_
