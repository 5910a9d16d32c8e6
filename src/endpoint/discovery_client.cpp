#include "endpoint/discovery_client.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <utility>
#include <vector>

#include "base/durations.h"
#include "base/log.h"

namespace stoatrun {
namespace {

// A shared service handles calls sequentially, so an answer may take seconds. An agent answers at once.
constexpr Micros kAnswerTimeout = std::chrono::milliseconds(3500);
constexpr Micros kAgentAnswerTimeout = std::chrono::seconds(1);
// Calls that may wait for an answer at the same time.
constexpr std::size_t kMaxPendingCalls = 3;

// The reasons in the log, which operators search for.
const char* LogName(WatchFailure failure) {
  switch (failure) {
    case WatchFailure::kRejected:
      return "refused";
    case WatchFailure::kEnded:
      return "ended";
    case WatchFailure::kMalformed:
      return "malformed";
    case WatchFailure::kReset:
      return "reset";
    case WatchFailure::kTimedOut:
      return "silent";
  }
  return "";
}

// Returns what the failure of `call` shows of the service.
CallFailure Evidence(const WatchCall& call, WatchFailure failure) {
  if (call.WasRefused()) return CallFailure::kRefused;
  if (call.HasAnswer()) return CallFailure::kOther;
  if (failure == WatchFailure::kTimedOut) return CallFailure::kUnanswered;
  return call.HasConnected() ? CallFailure::kNoAnswer : CallFailure::kOther;
}

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DiscoveryListener& listener, Counters& counters,
                                 const Address& address, std::string host, std::uint64_t known_revision,
                                 const CallPacing& pacing)
    : loop_(loop),
      listener_(listener),
      counters_(counters),
      address_(address),
      host_(std::move(host)),
      answer_timeout_(pacing.source == ListSource::kLocalAgent ? kAgentAnswerTimeout : kAnswerTimeout),
      revision_(known_revision),
      list_host_(host_),
      list_revision_(known_revision),
      service_since_(loop.Now()),
      next_call_(loop.timers, [this] { StartCall(); }),
      backoff_(pacing.callers, pacing.max_delay, pacing.jitter_seed),
      deadline_(loop.Now(), pacing.source),
      last_event_at_(loop.Now()) {
  loop_.AddTurnEndHook([this] { calls_.Reclaim(); });
}

void DiscoveryClient::Watch() {
  watching_ = response_due_ = true;
  if (calls_.Size() == 0 && !next_call_.IsSet()) ScheduleFirstCall();
}

void DiscoveryClient::ChangeAddress(const Address& address, std::string host) {
  const bool same_host = host == host_;
  deadline_.OnReload(loop_.Now());
  // A second reload must not cancel the call that the first reload started.
  if (same_host && HasCallToCurrentAddress()) return;
  address_ = address;
  host_ = std::move(host);
  if (!same_host) {
    // Revisions of different services are unrelated: only a complete list is certain to omit nothing.
    revision_ = other_process_revision_ = 0;
    service_since_ = loop_.Now();
  }
  // Backoff from failures at the old address must not delay calls to the new one.
  backoff_.Reset();
  deadline_.OnAddressChanged();
  CloseCallsExcept(watch_);
  if (watching_) ScheduleFirstCall();
}

std::optional<DiscoveryClient::ListStatus> DiscoveryClient::Status() const {
  if (!deadline_.HasEvidence()) return std::nullopt;
  return ListStatus{list_host_, service_since_, list_revision_, deadline_.Freshness(), has_event_};
}

bool DiscoveryClient::IsNewerThanList(const EndpointSnapshot& other) const {
  const bool same_service = other.discovery == list_host_;
  return !same_service || other.list.revision > list_revision_;
}

bool DiscoveryClient::OnOtherProcess(const EndpointSnapshot& other) {
  const bool from_own_service = other.discovery == host_;
  const bool had_evidence = deadline_.HasEvidence();
  // This process is ahead: it has a list of its service, and the other process uses another one.
  if (!from_own_service && had_evidence && list_host_ == host_) return false;
  const bool is_new = !had_evidence || IsNewerThanList(other);
  if (from_own_service) {
    deadline_.OnOtherProcess(other.freshness);
  } else if (!had_evidence) {
    // As after a reload: the list of the old service stays in effect until the new one answers.
    deadline_.OnOtherProcess(other.freshness);
    deadline_.OnReload(loop_.Now());
  }
  if (!is_new) return false;
  list_host_ = other.discovery;
  list_revision_ = other.list.revision;
  revision_ = from_own_service ? other.list.revision : 0;
  if (from_own_service) other_process_revision_ = revision_;
  return true;
}

bool DiscoveryClient::HasCallToCurrentAddress() {
  bool found = false;
  calls_.ForEach([&](const WatchCall& call) { found = found || call.Host() == host_; });
  return found;
}

// A call that is already scheduled is not postponed: several reloads in a row would otherwise postpone it
// again and again.
void DiscoveryClient::ScheduleFirstCall() {
  const Micros now = loop_.Now();
  const Micros at = now + backoff_.InitialDelay(deadline_.LatestCall(now) - now);
  if (next_call_.IsSet() && next_call_.Time() <= at) return;
  if (at > now) return next_call_.Set(at);
  next_call_.Cancel();
  StartCall();
}

void DiscoveryClient::ScheduleRetry(const WatchCall& call, WatchFailure failure) {
  const Micros now = loop_.Now();
  const Micros delay = backoff_.NextDelay(deadline_.LatestCall(now) - now);
  LogLine(Level::kInfo, "watch failed")
      .Reason(LogName(failure))
      .Field("again_in_ms", ToMilliseconds(delay))
      .Field("call_age_ms", ToMilliseconds(now - call.StartedAt()))
      .Field("list_age_ms", ToMilliseconds(now - last_event_at_));
  ++counters_.watch_failures;
  if (!next_call_.IsSet() || next_call_.Time() > now + delay) next_call_.Set(now + delay);
  if (std::exchange(response_due_, false)) listener_.OnWatchFailed();
}

bool DiscoveryClient::IsListOverdue() {
  if (!watching_ || !deadline_.IsOverdue(loop_.clock.Current())) return false;
  if (!std::exchange(overdue_logged_, true)) {
    LogLine(Level::kWarn, "endpoint list overdue, requests are rejected")
        .Field("list_age_ms", ToMilliseconds(loop_.Now() - last_event_at_));
  }
  return true;
}

void DiscoveryClient::StartCall() {
  LimitPendingCalls();
  ++counters_.watch_calls;
  deadline_.OnCallStarted(loop_.Now());
  calls_.Add(loop_, *this, host_, answer_timeout_).Start(address_, revision_);
}

// Closes the oldest pending call if one more would be too many.
void DiscoveryClient::LimitPendingCalls() {
  WatchCall* oldest = nullptr;
  std::size_t pending = 0;
  calls_.ForEach([&](WatchCall& call) {
    if (call.Id() == watch_) return;
    ++pending;
    if (oldest == nullptr || call.StartedAt() < oldest->StartedAt()) oldest = &call;
  });
  if (pending < kMaxPendingCalls) return;
  oldest->Close();
  calls_.Erase(oldest->Id());
}

void DiscoveryClient::CloseCallsExcept(SlotId remaining) {
  std::vector<SlotId> closed;
  calls_.ForEach([&](WatchCall& call) {
    if (call.Id() == remaining) return;
    call.Close();
    closed.push_back(call.Id());
  });
  for (const SlotId id : closed) calls_.Erase(id);
}

void DiscoveryClient::OnCallEvent(WatchCall& call) {
  last_event_at_ = loop_.Now();
  // The old address's watch does not tell whether the new address has changes.
  if (call.Host() != host_) return;
  deadline_.OnEvent(loop_.PreviousTurn());  // The event may have been sent that early.
  overdue_logged_ = false;
  has_event_ = true;
  if (call.Id() == watch_) return;
  watch_ = call.Id();
  next_call_.Cancel();
  CloseCallsExcept(watch_);
}

void DiscoveryClient::OnCallUpdate(WatchCall& call, const EndpointUpdate& update) {
  const bool from_own_service = call.Host() == host_;
  const bool other_is_ahead = other_process_revision_ > 0 && update.revision <= other_process_revision_;
  const bool is_known = from_own_service && !update.complete && other_is_ahead;
  if (from_own_service) {
    if (!is_known) revision_ = update.revision;
    if (update.complete) other_process_revision_ = 0;  // The service may have started to count anew.
    backoff_.Reset();
  }
  response_due_ = false;
  ++counters_.endpoint_updates;
  // Older changes must not undo those that another process was told first.
  if (is_known) return listener_.OnEndpointUpdate({update.revision, false, {}});
  list_host_ = call.Host();
  list_revision_ = update.revision;
  listener_.OnEndpointUpdate(update);
}

void DiscoveryClient::OnCallUnanswered(WatchCall& call) {
  deadline_.OnCallUnanswered(loop_.Now());
  ScheduleRetry(call, WatchFailure::kTimedOut);
}

void DiscoveryClient::OnCallFailed(WatchCall& call, WatchFailure failure) {
  const bool was_watch = call.Id() == watch_;
  if (was_watch) watch_ = {};
  calls_.Erase(call.Id());
  if (call.Host() != host_) {
    // A reload has already scheduled the first call to the new address.
    LogLine(Level::kInfo, "old watch ended").Reason(LogName(failure));
    return;
  }
  if (!was_watch) {
    deadline_.OnCallFailed(call.StartedAt(), loop_.Now(), Evidence(call, failure));
  } else if (failure == WatchFailure::kTimedOut) {
    deadline_.OnWatchSilent();
  }
  ScheduleRetry(call, failure);
}

}  // namespace stoatrun
