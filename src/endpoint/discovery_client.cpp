#include "endpoint/discovery_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "base/durations.h"
#include "base/log.h"

namespace stoatrun {
namespace {

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

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DiscoveryListener& listener, Counters& counters,
                                 const Address& address, std::string host, std::uint64_t known_revision,
                                 const CallPacing& pacing)
    : loop_(loop),
      listener_(listener),
      counters_(counters),
      address_(address),
      host_(std::move(host)),
      revision_(known_revision),
      next_call_(loop.timers, [this] { StartCall(); }),
      backoff_(pacing.callers, pacing.max_delay, pacing.jitter_seed),
      deadline_(loop.Now()),
      last_event_at_(loop.Now()) {
  loop_.AddTurnEndHook([this] { calls_.Reclaim(); });
}

void DiscoveryClient::Watch() {
  watching_ = response_due_ = true;
  if (calls_.Size() == 0 && !next_call_.IsSet()) ScheduleFirstCall();
}

void DiscoveryClient::ChangeAddress(const Address& address, std::string host) {
  const bool same_host = host == host_;
  // A second reload must not cancel the call that the first reload started.
  if (same_host && HasCallToCurrentAddress()) return;
  address_ = address;
  host_ = std::move(host);
  // Revisions of different services are unrelated: only a complete list is certain to omit nothing.
  if (!same_host) revision_ = 0;
  // Backoff from failures at the old address must not delay calls to the new one.
  backoff_.Reset();
  deadline_.OnReload(loop_.Now());
  CloseCallsExcept(watch_);
  if (watching_) ScheduleFirstCall();
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
  if (!watching_ || !deadline_.IsOverdue(loop_.Now())) return false;
  if (!std::exchange(overdue_logged_, true)) {
    LogLine(Level::kWarn, "endpoint list overdue, requests are rejected")
        .Field("list_age_ms", ToMilliseconds(loop_.Now() - last_event_at_));
  }
  return true;
}

void DiscoveryClient::StartCall() {
  ++counters_.watch_calls;
  calls_.Add(loop_, *this, host_).Start(address_, revision_);
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
  deadline_.OnEvent(loop_.Now());
  overdue_logged_ = false;
  if (call.Id() == watch_) return;
  watch_ = call.Id();
  next_call_.Cancel();
  CloseCallsExcept(watch_);
}

void DiscoveryClient::OnCallUpdate(WatchCall& call, const EndpointUpdate& update) {
  if (call.Host() == host_) {
    revision_ = update.revision;
    backoff_.Reset();
  }
  response_due_ = false;
  ++counters_.endpoint_updates;
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
  if (!call.HasConnected()) {
    deadline_.OnUnreachable(call.StartedAt());
  } else if (!was_watch) {
    deadline_.OnCallFailed(call.StartedAt());
  }
  ScheduleRetry(call, failure);
}

}  // namespace stoatrun
