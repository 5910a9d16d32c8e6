#include "endpoint/discovery_client.h"

#include <simdjson.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/config.h"
#include "config/json.h"

namespace stoatrun {
namespace {

// The service handles calls sequentially, so the response headers may take seconds. The balancer requests a
// new watch after 6 s.
constexpr Micros kResponseHeadersTimeout = std::chrono::milliseconds(3500);
// The service sends a heartbeat every 2 s; on a busy machine it may be late by a quarter of that. Only
// complete events extend the timeout: a watch that delivers bytes but never a complete event is as dead as a
// silent one.
constexpr Micros kEventTimeout = std::chrono::milliseconds(2500);
// The platform assumes that a proxy knows the updates that a silent watch missed 6 s after the watch's last
// event, or 2 s after the response headers of a call timed out. To learn them by then, a call needs 1 s for
// its response when many proxies call at the same time.
constexpr Micros kNotifiedAfterEvent = std::chrono::seconds(6);
constexpr Micros kNotifiedAfterHeadersTimeout = std::chrono::seconds(2);
constexpr Micros kResponseTime = std::chrono::seconds(1);
// Only this many consecutive timeouts are followed by a retry that meets the deadline above. After more of
// them the service itself is overloaded, and early retries would keep it overloaded.
constexpr int kMaxEarlyRetries = 2;
// An endpoint takes about 150 bytes of JSON, or twice that if indented, so this is enough for a few thousand
// endpoints. It is one thirtieth of the minimum memory of a proxy.
constexpr std::size_t kMaxObjectSize = 1 << 20;
constexpr unsigned kHttpOk = 200;

std::int64_t Milliseconds(Micros duration) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
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
      retry_timer_(loop.timers, [this] { StartCall(); }),
      watch_timeout_(loop.timers, [this] { OnWatchTimeout(); }),
      backoff_(pacing.callers, pacing.max_delay, pacing.jitter_seed),
      last_event_at_(loop.Now()),
      framer_(kMaxObjectSize) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_headers_complete = OnHeadersComplete;
  parser_settings_.on_body = OnBody;
  parser_settings_.on_message_complete = OnMessageComplete;
  loop_.AddTurnEndHook([this] { calls_.Reclaim(); });
}

void DiscoveryClient::Watch() {
  watching_ = response_due_ = true;
  if (calls_.Find(call_) == nullptr && !retry_timer_.IsSet()) ScheduleFirstCall();
}

void DiscoveryClient::ScheduleFirstCall() {
  const Micros delay = backoff_.InitialDelay();
  if (delay.count() == 0) return StartCall();
  retry_timer_.Set(loop_.Now() + delay);
}

void DiscoveryClient::ChangeAddress(const Address& address, std::string host) {
  const bool same_host = host == host_;
  // A second reload must not cancel the call that the first reload started.
  if (same_host && calls_.Find(call_) != nullptr) return;
  address_ = address;
  host_ = std::move(host);
  // Revisions of different services are unrelated: only a complete list is certain to omit nothing.
  if (!same_host) revision_ = 0;
  // Backoff from failures at the old address must not delay calls to the new one.
  backoff_.Reset();
  CancelCall();
  if (watching_) ScheduleFirstCall();
}

void DiscoveryClient::CancelCall() {
  if (Call* call = calls_.Find(call_)) call->connection.Close();
  calls_.Erase(call_);
  call_ = {};
  watch_timeout_.Cancel();
  retry_timer_.Cancel();
}

void DiscoveryClient::StartCall() {
  Call& call = calls_.Add(*this);
  call_ = call.id;
  ++counters_.watch_calls;
  call_started_at_ = loop_.Now();
  LogLine(Level::kInfo, "watch call").Field("discovery", host_).Field("revision", revision_);
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  framer_.Clear();
  response_ = {};
  // A connection that fails immediately is also reported by a later callback, like any other failure.
  watch_timeout_.Set(loop_.Now() + (call.connection.Connect(address_) ? kResponseHeadersTimeout : Micros(1)));
}

void DiscoveryClient::OnConnected(SlotId id) {
  Call* call = calls_.Find(id);
  if (call == nullptr) return;
  call->connection.Write({"GET /v1/endpoints?watch=1&after=", std::to_string(revision_),
                          " HTTP/1.1\r\nHost: ", host_, "\r\nAccept: application/json\r\n\r\n"});
}

void DiscoveryClient::OnData(SlotId id) {
  Call* call = calls_.Find(id);
  if (call == nullptr || id != call_) return;
  const std::string_view input = call->connection.input();
  const std::size_t parsed = http_parser_execute(&parser_, &parser_settings_, input.data(), input.size());
  if (calls_.Find(id) == nullptr) return;  // The listener changed the address.
  call->connection.Consume(input.size());
  const bool not_http = parsed != input.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
  if (response_.rejected) {
    FailWatch(WatchFailure::kRejected);
  } else if (response_.ended && !response_.malformed) {
    FailWatch(WatchFailure::kEnded);
  } else if (response_.malformed || not_http) {
    FailWatch(WatchFailure::kMalformed);
  }
}

void DiscoveryClient::OnEnd(SlotId id, ConnectionEnd end) {
  if (id != call_ || calls_.Find(id) == nullptr) return;
  FailWatch(end == ConnectionEnd::kReset ? WatchFailure::kReset : WatchFailure::kEnded);
}

void DiscoveryClient::OnWatchTimeout() {
  if (++consecutive_timeouts_ <= kMaxEarlyRetries) {
    const Micros after_headers =
        response_.received_event ? Micros(0) : loop_.Now() + kNotifiedAfterHeadersTimeout;
    notified_deadline_ = std::max(last_event_at_ + kNotifiedAfterEvent, after_headers);
  }
  FailWatch(WatchFailure::kTimedOut);
}

void DiscoveryClient::RecordEvent() {
  response_.received_event = true;
  last_event_at_ = loop_.Now();
  consecutive_timeouts_ = 0;
  watch_timeout_.Set(last_event_at_ + kEventTimeout);
}

// The reasons in the log, which operators search for.
const char* DiscoveryClient::LogName(WatchFailure failure) {
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

void DiscoveryClient::FailWatch(WatchFailure failure) {
  Micros delay = backoff_.NextDelay();
  // In a large fleet the backoff may exceed the time left until the missed updates are assumed to be known.
  const Micros remaining = notified_deadline_ - kResponseTime - loop_.Now();
  if (remaining.count() > 0) delay = std::min(delay, backoff_.DelayWithin(remaining / 2));
  LogLine(Level::kInfo, "watch failed")
      .Reason(LogName(failure))
      .Field("again_in_ms", Milliseconds(delay))
      .Field("call_age_ms", Milliseconds(loop_.Now() - call_started_at_))
      .Field("list_age_ms", Milliseconds(loop_.Now() - last_event_at_));
  ++counters_.watch_failures;
  CancelCall();
  retry_timer_.Set(loop_.Now() + delay);
  if (std::exchange(response_due_, false)) listener_.OnWatchFailed();
}

int DiscoveryClient::OnHeadersComplete(http_parser* parser) {
  auto* self = static_cast<DiscoveryClient*>(parser->data);
  self->response_.rejected = parser->status_code != kHttpOk;
  if (self->response_.rejected) return 0;
  LogLine(Level::kInfo, "watch answered")
      .Field("after_ms", Milliseconds(self->loop_.Now() - self->call_started_at_));
  // The service has started to handle this call: events are due from now on.
  self->watch_timeout_.Set(self->loop_.Now() + kEventTimeout);
  return 0;
}

int DiscoveryClient::OnBody(http_parser* parser, const char* data, std::size_t size) {
  auto* self = static_cast<DiscoveryClient*>(parser->data);
  if (!self->response_.rejected) self->HandleBody({data, size});
  return 0;
}

int DiscoveryClient::OnMessageComplete(http_parser* parser) {
  static_cast<DiscoveryClient*>(parser->data)->response_.ended = true;
  return 0;
}

void DiscoveryClient::HandleBody(std::string_view body) {
  if (response_.malformed) return;
  const auto on_object = [this](std::string_view object) { return HandleUpdate(object); };
  // Data after a malformed object can't be trusted, so the watch is renewed.
  response_.malformed = !framer_.Feed(body, on_object, [this] { RecordEvent(); });
}

bool DiscoveryClient::HandleUpdate(std::string_view object) {
  EndpointUpdate update;
  try {
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    if (parser.parse(simdjson::padded_string(object)).get(root) != simdjson::SUCCESS) {
      LogLine(Level::kWarn, "discovery sent invalid JSON").Field("size", object.size());
      return false;
    }
    update = ParseEndpointUpdate(root);
  } catch (const JsonError& error) {
    LogLine(Level::kWarn, "discovery sent a malformed endpoint list").Reason(error.what());
    return false;
  }
  RecordEvent();
  revision_ = update.revision;
  notified_deadline_ = Micros(0);
  backoff_.Reset();
  response_due_ = false;
  ++counters_.endpoint_updates;
  listener_.OnEndpointUpdate(update);
  return true;
}

}  // namespace stoatrun
