#include "endpoint/watch_call.h"

#include <simdjson.h>

#include <utility>

#include "base/durations.h"
#include "base/log.h"
#include "config/config.h"
#include "config/json.h"
#include "endpoint/list_freshness.h"

namespace stoatrun {
namespace {

// An unanswered call is given up after this time.
constexpr Micros kMaxAnswerTime = std::chrono::seconds(10);
// An endpoint takes about 150 bytes of JSON, or twice that if indented, so this is enough for a few thousand
// endpoints. It is one sixteenth of the minimum memory of a proxy.
constexpr std::size_t kMaxObjectSize = 2 << 20;
constexpr unsigned kHttpOk = 200;

}  // namespace

WatchCall::WatchCall(SlotId id, EventLoop& loop, WatchCallHandler& handler, std::string host,
                     Micros answer_timeout)
    : id_(id),
      loop_(loop),
      handler_(handler),
      host_(std::move(host)),
      answer_timeout_(answer_timeout),
      // After a pause of the process, the updates that arrived meanwhile precede the requests and the
      // timeout.
      connection_(loop, *this, id, IoPriority::kBeforeOthers),
      timeout_(loop.timers, [this] { OnTimeout(); }),
      framer_(kMaxObjectSize) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_headers_complete = OnHeadersComplete;
  parser_settings_.on_body = OnBody;
  parser_settings_.on_message_complete = OnMessageComplete;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
}

void WatchCall::Start(const Address& address, std::uint64_t revision) {
  revision_ = revision;
  started_at_ = loop_.Now();
  LogLine(Level::kInfo, "watch call").Field("discovery", host_).Field("revision", revision_);
  connect_failed_ = !connection_.Connect(address);
  // A connection that fails immediately is also reported by a later callback, like any other failure.
  timeout_.Set(loop_.Now() + (connect_failed_ ? Micros(1) : answer_timeout_));
}

void WatchCall::Close() {
  phase_ = Phase::kClosed;
  timeout_.Cancel();
  connection_.Close();
}

void WatchCall::Fail(WatchFailure failure) {
  Close();
  handler_.OnCallFailed(*this, failure);
}

void WatchCall::OnTimeout() {
  if (connect_failed_) return Fail(WatchFailure::kReset);
  // After a pause of the process, the timeout may run before what arrived meanwhile has been read.
  connection_.ReadNow();
  if (timeout_.IsSet() || phase_ == Phase::kClosed) return;
  if (phase_ != Phase::kWaiting) return Fail(WatchFailure::kTimedOut);
  phase_ = Phase::kOverdue;
  timeout_.Set(started_at_ + kMaxAnswerTime);
  handler_.OnCallUnanswered(*this);
}

void WatchCall::OnConnected(SlotId /*id*/) {
  connected_ = true;
  connection_.Write({"GET /v1/endpoints?watch=1&after=", std::to_string(revision_),
                     " HTTP/1.1\r\nHost: ", host_, "\r\nAccept: application/json\r\n\r\n"});
}

void WatchCall::OnData(SlotId /*id*/) {
  if (phase_ == Phase::kClosed) return;
  received_ = true;
  const std::string_view input = connection_.input();
  const std::size_t parsed = http_parser_execute(&parser_, &parser_settings_, input.data(), input.size());
  if (phase_ == Phase::kClosed) return;  // By the handler.
  connection_.Consume(input.size());
  const bool not_http = parsed != input.size() || HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
  if (rejected_) {
    Fail(WatchFailure::kRejected);
  } else if (ended_ && !malformed_) {
    Fail(WatchFailure::kEnded);
  } else if (malformed_ || not_http) {
    Fail(WatchFailure::kMalformed);
  }
}

void WatchCall::OnEnd(SlotId /*id*/, ConnectionEnd end) {
  if (phase_ == Phase::kClosed) return;
  Fail(end == ConnectionEnd::kReset ? WatchFailure::kReset : WatchFailure::kEnded);
}

int WatchCall::OnHeadersComplete(http_parser* parser) {
  static_cast<WatchCall*>(parser->data)->HandleHeaders();
  return 0;
}

void WatchCall::HandleHeaders() {
  rejected_ = parser_.status_code != kHttpOk;
  if (rejected_) return;
  phase_ = Phase::kAnswered;
  LogLine(Level::kInfo, "watch answered").Field("after_ms", ToMilliseconds(loop_.Now() - started_at_));
  // The service has started to handle this call: events are due from now on. Only complete ones extend the
  // timeout: a watch that delivers bytes but never a complete event is as dead as a silent one.
  timeout_.Set(loop_.Now() + kEventTimeout);
}

int WatchCall::OnBody(http_parser* parser, const char* data, std::size_t size) {
  static_cast<WatchCall*>(parser->data)->HandleBody({data, size});
  return 0;
}

int WatchCall::OnMessageComplete(http_parser* parser) {
  static_cast<WatchCall*>(parser->data)->ended_ = true;
  return 0;
}

void WatchCall::HandleBody(std::string_view body) {
  if (rejected_ || malformed_ || phase_ == Phase::kClosed) return;
  const auto on_object = [this](std::string_view object) { return HandleUpdate(object); };
  // Before the complete list that was requested, a heartbeat proves nothing.
  const auto on_line_end = [this] {
    if (phase_ != Phase::kClosed && (revision_ != 0 || updated_)) HandleEvent();
  };
  // Data after a malformed object can't be trusted, so the watch is renewed.
  malformed_ = !framer_.Feed(body, on_object, on_line_end);
}

void WatchCall::HandleEvent() {
  timeout_.Set(loop_.Now() + kEventTimeout);
  handler_.OnCallEvent(*this);
}

bool WatchCall::HandleUpdate(std::string_view object) {
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
  updated_ = true;
  HandleEvent();
  if (phase_ == Phase::kClosed) return false;
  handler_.OnCallUpdate(*this, update);
  return phase_ != Phase::kClosed;
}

}  // namespace stoatrun
