// The time by which a proxy must have received the changes of the endpoint list that its watch may have
// missed. The platform assumes that it knows them from then on, whether or not they have arrived.
//
// Pure: the caller passes in the time, in microseconds of one monotonic clock. Not thread-safe.
#ifndef STOATRUN_ENDPOINT_UPDATE_DEADLINE_H_
#define STOATRUN_ENDPOINT_UPDATE_DEADLINE_H_

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "endpoint/list_freshness.h"

namespace stoatrun {

// Who answers the calls.
enum class ListSource : std::uint8_t {
  kSharedService,  // Changes that it has count as known after some time.
  kLocalAgent,     // Is pushed the lists. Answers at once, and not at all while it can't learn anything.
};

// What a failed call shows of the service.
enum class CallFailure : std::uint8_t {
  kRefused,     // Nothing listens at the address.
  kNoAnswer,    // Was rejected, or broken before any part of an answer.
  kUnanswered,  // Was given up without any part of an answer.
  kOther,       // Was answered in part, or could not be made.
};

// Follows the events of the watch, the calls to the service and the reloads of one discovery client.
class UpdateDeadline {
 public:
  // Nothing shows that the list is current at the start. What an agent has counts as known at once. A shared
  // service may be asked first, as if the list were current.
  UpdateDeadline(Micros now, ListSource source) : source_(source), list_current_at_(now) {
    if (source == ListSource::kLocalAgent) start_deadline_ = now + kMaxTimeToFirstAgentAnswer;
  }

  // The service has sent an event: the list is current.
  void OnEvent(Micros now) {
    list_current_at_ = now;
    watch_fell_silent_ = false;
    has_evidence_ = true;
    start_deadline_.reset();
    ready_deadline_.reset();
    reload_deadline_.reset();
    ForgetCalls();
  }
  // Another process of this relay, which uses the same service, has a list as fresh as this. What it was told
  // counts for this process, too.
  void OnOtherProcess(const ListFreshness& list) {
    if (has_evidence_ && list.current_at < list_current_at_) return;
    if (has_evidence_ && list.current_at == list_current_at_) return MergeDoubts(list);
    const bool is_from_before_reload =
        reload_deadline_ && list.current_at < *reload_deadline_ - kKnownAfterReload;
    if (!is_from_before_reload) reload_deadline_.reset();
    list_current_at_ = list.current_at;
    watch_fell_silent_ = false;
    MergeDoubts(list);
    has_evidence_ = true;
    ready_deadline_.reset();
    down_at_.reset();
    // An agent tells changes at once, to any process: the other one has them as long as its watch has events.
    if (start_deadline_) start_deadline_ = std::max(*start_deadline_, list.current_at + kEventTimeout);
  }
  // The process, which replaces another one, counts as ready. What that one was told counts as known some
  // time later, whatever has become of the service, so a list that nothing shows to be current must not be
  // used for longer.
  void OnReady(Micros now) {
    if (!has_evidence_) ready_deadline_ = now + kKnownAfterReady;
  }
  // The watch has been silent for too long. What it missed counts as known in time, whatever calls do.
  void OnWatchSilent() { watch_fell_silent_ = true; }
  // The client has been told to use a service, the same or another one. Further reloads before the next event
  // don't extend the deadline.
  void OnReload(Micros now) {
    if (!reload_deadline_) reload_deadline_ = now + kKnownAfterReload;
  }
  // Further calls go to another address.
  void OnAddressChanged() { ForgetCalls(); }
  // A call begins.
  void OnCallStarted(Micros now) { call_started_at_ = now; }
  // A call has not been answered in time.
  void OnCallUnanswered(Micros now) {
    unanswered_at_ = now;
    has_unanswered_call_ = true;
    if (source_ == ListSource::kSharedService) may_be_up_ = true;
  }
  // A call that was made at `called_at` has failed.
  void OnCallFailed(Micros called_at, Micros now, CallFailure failure) {
    failed_call_at_ = std::max(failed_call_at_, called_at);
    if (failure != CallFailure::kUnanswered) has_unanswered_call_ = false;
    call_started_at_.reset();
    was_refused_ = failure == CallFailure::kRefused;
    if (!ShowsOutage(failure, now - called_at)) may_be_up_ = true;
    if (!may_be_up_) down_at_ = now;
  }

  // How current the list is.
  ListFreshness Freshness() const { return {list_current_at_, watch_fell_silent_, reload_deadline_}; }
  // Whether anything has shown that the list was current at the time of Freshness.
  bool HasEvidence() const { return has_evidence_; }

  // Whether changes may count as known that have not been received. A failed call does not postpone that: a
  // crowded service fails calls too, and its changes count. Not while the service is shown to be down, as it
  // has no changes then.
  //
  // Ends after a time without an event, whatever happens in between: the service is assumed to be out of
  // order, and the current list is the best that there is.
  bool IsOverdue(Micros now) const {
    if (ready_deadline_ && now >= *ready_deadline_) return now < *ready_deadline_ + kMaxOverdue;
    if (now < Deadline() || IsDown(now)) return false;
    const bool is_certain = watch_fell_silent_ || reload_deadline_ || source_ == ListSource::kLocalAgent;
    const Micros limit = is_certain ? kMaxOverdue : kMaxOverdueInDoubt;
    return now < std::max(Deadline(), down_at_.value_or(Micros(0))) + limit;
  }

  // The time by which the next call must begin, so that it can be answered before the deadline. If that is no
  // longer possible, calls are spaced so that a service that is busy with them is not called too often.
  Micros LatestCall(Micros now) const {
    const Micros latest_call = Deadline() - kAnswerTime;
    if (latest_call > now) return latest_call;
    const bool address_is_missing = was_refused_ && reload_deadline_;
    const Micros spacing = (address_is_missing ? kKnownAfterReload : kKnownAfterChange) - kAnswerTime;
    return std::max({now, unanswered_at_ + kSpacingAfterUnansweredCall, failed_call_at_ + spacing});
  }

 private:
  static constexpr Micros kKnownAfterChange = std::chrono::seconds(6);
  static constexpr Micros kKnownAfterReload = std::chrono::seconds(4);
  static constexpr Micros kKnownAfterReady = std::chrono::seconds(2);
  // An agent answers at once. Within the grace time of a drain, less the time that a process may be held up.
  static constexpr Micros kMaxTimeToFirstAgentAnswer = std::chrono::milliseconds(150);
  // Bounds of IsOverdue: where changes that were missed count as known for certain, and where all calls may
  // have failed because the service is down.
  static constexpr Micros kMaxOverdue = std::chrono::seconds(30);
  static constexpr Micros kMaxOverdueInDoubt = std::chrono::seconds(10);
  // Kept free for the answer of a service that is slow, or that all proxies call at the same time.
  static constexpr Micros kAnswerTime = std::chrono::milliseconds(2500);
  static constexpr Micros kSpacingAfterUnansweredCall = std::chrono::seconds(1);
  // A call that is neither answered nor failed after this time has been accepted by a service that is up.
  static constexpr Micros kMaxTimeToFailAtOnce = std::chrono::milliseconds(250);

  Micros Deadline() const {
    const Micros by_start = start_deadline_.value_or(Micros::max());
    const Micros by_reload = reload_deadline_.value_or(Micros::max());
    const Micros by_change = ready_deadline_.value_or(list_current_at_ + kKnownAfterChange);
    return std::min({by_change, by_start, by_reload});
  }
  void MergeDoubts(const ListFreshness& list) {
    watch_fell_silent_ = watch_fell_silent_ || list.watch_fell_silent;
    if (!list.reload_deadline) return;
    reload_deadline_ = std::min(reload_deadline_.value_or(Micros::max()), *list.reload_deadline);
  }
  bool ShowsOutage(CallFailure failure, Micros age) const {
    if (failure == CallFailure::kRefused) return true;
    if (source_ == ListSource::kLocalAgent) return failure == CallFailure::kUnanswered;
    // A call that fails after a while may have waited in the queue of a crowded service.
    return failure == CallFailure::kNoAnswer && age < kMaxTimeToFailAtOnce;
  }
  bool IsDown(Micros now) const {
    // An agent that does not answer any call has learned nothing.
    if (source_ == ListSource::kLocalAgent && has_unanswered_call_) return !may_be_up_;
    const bool waits = call_started_at_ && now >= *call_started_at_ + kMaxTimeToFailAtOnce;
    if (watch_fell_silent_ || may_be_up_ || waits) return false;
    return down_at_ && (!reload_deadline_ || was_refused_);
  }
  void ForgetCalls() {
    call_started_at_.reset();
    down_at_.reset();
    has_unanswered_call_ = may_be_up_ = was_refused_ = false;
  }

  const ListSource source_;
  Micros list_current_at_;
  bool has_evidence_ = false;              // Of list_current_at_; it is assumed until then.
  std::optional<Micros> start_deadline_;   // Of a list that no agent has confirmed.
  std::optional<Micros> ready_deadline_;   // Of a list that nothing has confirmed, after OnReady.
  bool watch_fell_silent_ = false;         // Since the last event.
  std::optional<Micros> reload_deadline_;  // Set from a reload to the next event.

  // The calls since the last event or change of the address.
  std::optional<Micros> call_started_at_;  // The latest one, unless it has failed.
  std::optional<Micros> down_at_;          // The latest time at which the service was shown to be down.
  bool has_unanswered_call_ = false;       // And none has failed since.
  bool may_be_up_ = false;                 // Some call has shown that, so that later ones show no outage.
  bool was_refused_ = false;               // The latest one that has failed.

  // The latest calls, for their spacing.
  Micros unanswered_at_{0};
  Micros failed_call_at_{0};
};

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_UPDATE_DEADLINE_H_
