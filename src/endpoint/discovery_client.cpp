#include "endpoint/discovery_client.h"

#include <simdjson.h>

#include <algorithm>
#include <utility>

#include "base/log.h"
#include "config/config.h"
#include "config/json.h"

namespace stoatrun {
namespace {

// The service handles calls one after another, so the response's head may take seconds; the balancer asks
// again after 6 s.
constexpr Micros kHeadTimeout = std::chrono::milliseconds(3500);
// A heartbeat is due every 2 s and may be a quarter late on a busy machine. Only complete events count: a
// watch that brings bytes and never completes an event is as dead as one that brings none.
constexpr Micros kEventTimeout = std::chrono::milliseconds(2500);
// The platform assumes that a proxy knows what a silent watch missed 6 s after the watch's last event, and 2
// s after the head timeout of a call that was never answered. A call that is to learn it in time needs a
// second where many proxies call at once.
constexpr Micros kNotifiedAfterEvent = std::chrono::seconds(6);
constexpr Micros kNotifiedAfterHeadTimeout = std::chrono::seconds(2);
constexpr Micros kResponseTime = std::chrono::seconds(1);
// So many timeouts in a row are followed by a call in time for that; after them the service itself is
// overloaded, and hurried calls would keep it so.
constexpr int kMaxHurriedRetries = 2;
// An endpoint takes some 150 bytes, or twice that indented: this is a few thousand endpoints, in a thirtieth
// of the least memory that a proxy is given.
constexpr std::size_t kMaxObjectSize = 1 << 20;
constexpr unsigned kHttpOk = 200;

}  // namespace

DiscoveryClient::DiscoveryClient(EventLoop& loop, DiscoveryListener& listener, Counters& counters,
                                 const Address& address, std::string host, std::uint64_t known_revision,
                                 const Callers& callers)
    : loop_(loop),
      listener_(listener),
      counters_(counters),
      address_(address),
      host_(std::move(host)),
      revision_(known_revision),
      retry_timer_(loop.timers, [this] { StartCall(); }),
      watch_timeout_(loop.timers, [this] { OnWatchTimeout(); }),
      backoff_(callers.relays, callers.longest_wait, callers.seed),
      framer_(kMaxObjectSize) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_headers_complete = OnHeadersComplete;
  parser_settings_.on_body = OnBody;
  parser_settings_.on_message_complete = OnMessageComplete;
  loop_.AddTurnEndHook([this] { calls_.Reclaim(); });
}

void DiscoveryClient::Watch() {
  watching_ = answer_due_ = true;
  if (calls_.Find(call_) == nullptr && !retry_timer_.IsSet()) ScheduleFirstCall();
}

void DiscoveryClient::ScheduleFirstCall() {
  const Micros delay = backoff_.InitialDelay();
  if (delay.count() == 0) return StartCall();
  retry_timer_.Set(loop_.Now() + delay);
}

void DiscoveryClient::ChangeAddress(const Address& address, std::string host) {
  const bool same_host = host == host_;
  // A second reload must not cancel the call that the first one started.
  if (same_host && calls_.Find(call_) != nullptr) return;
  address_ = address;
  host_ = std::move(host);
  // Another service counts its own revisions: only a complete list is sure to leave nothing out.
  if (!same_host) revision_ = 0;
  // The delays grew at the old address: they must not keep the proxy from the new one.
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
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  framer_.Clear();
  response_ = {};
  // A connection that fails at once is handled in a callback of its own, like any other failure.
  watch_timeout_.Set(loop_.Now() + (call.connection.Connect(address_) ? kHeadTimeout : Micros(1)));
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
  if (++consecutive_timeouts_ <= kMaxHurriedRetries) {
    const Micros after_head = response_.received_event ? Micros(0) : loop_.Now() + kNotifiedAfterHeadTimeout;
    notified_deadline_ = std::max(last_event_at_ + kNotifiedAfterEvent, after_head);
  }
  FailWatch(WatchFailure::kTimedOut);
}

void DiscoveryClient::RecordEvent() {
  response_.received_event = true;
  last_event_at_ = loop_.Now();
  consecutive_timeouts_ = 0;
  watch_timeout_.Set(last_event_at_ + kEventTimeout);
}

// The words of the log, which on-call staff search for.
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
  // In a large fleet the delays exceed the time until the missed updates are assumed to be known.
  const Micros remaining = notified_deadline_ - kResponseTime - loop_.Now();
  if (remaining.count() > 0) delay = std::min(delay, backoff_.DelayWithin(remaining / 2));
  LogLine(Level::kInfo, "watch failed").Reason(LogName(failure)).Field("again_in_ms", delay.count() / 1000);
  ++counters_.watch_failures;
  CancelCall();
  retry_timer_.Set(loop_.Now() + delay);
  if (std::exchange(answer_due_, false)) listener_.OnWatchFailed();
}

int DiscoveryClient::OnHeadersComplete(http_parser* parser) {
  auto* self = static_cast<DiscoveryClient*>(parser->data);
  self->response_.rejected = parser->status_code != kHttpOk;
  // The service has begun to serve this call: from now on events are due.
  if (!self->response_.rejected) self->watch_timeout_.Set(self->loop_.Now() + kEventTimeout);
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
  // What follows a malformed object can't be trusted: a new watch is made.
  response_.malformed = !framer_.Feed(body, on_object, [this] { RecordEvent(); });
}

bool DiscoveryClient::HandleUpdate(std::string_view object) {
  EndpointUpdate update;
  try {
    simdjson::dom::parser parser;
    simdjson::dom::element root;
    if (parser.parse(simdjson::padded_string(object)).get(root) != simdjson::SUCCESS) {
      LogLine(Level::kWarn, "discovery sent what is not JSON,").Field("size", object.size());
      return false;
    }
    update = ParseEndpointUpdate(root);
  } catch (const JsonError& error) {
    LogLine(Level::kWarn, "discovery sent a malformed list").Reason(error.what());
    return false;
  }
  RecordEvent();
  revision_ = update.revision;
  notified_deadline_ = Micros(0);
  backoff_.Reset();
  answer_due_ = false;
  ++counters_.endpoint_updates;
  listener_.OnEndpointUpdate(update);
  return true;
}

}  // namespace stoatrun
