#include "ledger/io/export_client.h"

#include <fmt/format.h>
#include <simdjson.h>
#include <strings.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <utility>

namespace stoatrun::ledger {
namespace {

constexpr std::size_t kMaxResponseBody = 4096;    // An acknowledgement is shorter.
constexpr std::int64_t kMaxRetryAfterS = 86'400;  // Prevents overflow when added to a time.

// Sets the acknowledgement in `response` if the body contains one.
void ParseAcknowledgement(const std::string& body, ReceiverResponse& response) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  std::uint64_t seq = 0;
  std::string_view hash;
  if (parser.parse(simdjson::padded_string(body)).get(root) != simdjson::SUCCESS ||
      root["seq"].get(seq) != simdjson::SUCCESS || root["hash"].get(hash) != simdjson::SUCCESS) {
    return;
  }
  response.acknowledged_seq = seq;
  response.acknowledged_hash = hash;
}

Micros ParseRetryAfter(const std::string& value) {
  std::int64_t seconds = 0;
  std::from_chars(value.data(), value.data() + value.size(), seconds);
  return std::chrono::seconds(std::clamp<std::int64_t>(seconds, 0, kMaxRetryAfterS));
}

const char* LogMessage(Delivery::Verdict verdict) {
  switch (verdict) {
    case Delivery::Verdict::kConflict:
      return "ledger receiver disagrees";
    case Delivery::Verdict::kRejected:
      return "ledger receiver refuses";
    default:
      return "ledger delivery failed";
  }
}

}  // namespace

ExportClient::ExportClient(EventLoop& loop, UsageRecorder& recorder, const ExportClientSetup& setup)
    : loop_(loop),
      recorder_(recorder),
      setup_(setup),
      delivery_(setup.delivery),
      random_(setup.seed),
      attempt_timer_(loop.timers, [this] { ReadBatch(); }),
      response_timer_(loop.timers, [this] { FinishRequest({}); }) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_header_field = OnHeaderField;
  parser_settings_.on_header_value = OnHeaderValue;
  parser_settings_.on_body = OnBody;
  parser_settings_.on_message_complete = OnMessageComplete;
  loop_.AddTurnEndHook([this] { connections_.Reclaim(); });
  recorder_.SetStateCallback([this](const StoreState& state) { OnStoreState(state); });
}

void ExportClient::OnStoreState(const StoreState& state) {
  state_ = state;
  // A later state may have been read before the last acknowledgement; delivery_ is more recent then.
  const std::uint64_t delivered = has_state_ ? delivery_.Delivered() : state.delivered_seq;
  delivery_.UpdateState(loop_.Now(), state.head_seq, delivered);
  has_state_ = true;
  ScheduleAttempt();
}

void ExportClient::ScheduleAttempt() {
  if (const auto at = delivery_.NextAttemptAt()) attempt_timer_.Set(std::max(*at, loop_.Now()));
}

void ExportClient::ReadBatch() {
  const Delivery::Batch batch = delivery_.StartBatch();
  auto records = std::make_shared<std::vector<StoredRecord>>();
  const bool posted = recorder_.RunWithStore(
      [records, batch](Store& store) { *records = store.Records(batch.from, batch.to - batch.from + 1); },
      [this, records](bool done) {
        if (done && !records->empty()) return SendRequest(*records);
        FinishRequest({});
      });
  if (!posted) FinishRequest({});
}

std::string ExportClient::FormatRequest(const std::vector<StoredRecord>& records) const {
  std::size_t size = 0;
  for (const StoredRecord& record : records) size += record.line.size();
  std::string request = fmt::format(
      "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n"
      "Idempotency-Key: {}-{}-{}-{}-{}\r\nConnection: close\r\n\r\n",
      setup_.path, setup_.host, size, state_.relay, state_.ledger_id, records.front().seq, records.back().seq,
      records.back().hash);
  for (const StoredRecord& record : records) request += record.line;
  return request;
}

void ExportClient::SendRequest(const std::vector<StoredRecord>& records) {
  request_ = FormatRequest(records);
  ++counts_.requests;
  counts_.records += records.size();
  RequestConnection& request_connection = connections_.Add(*this);
  active_connection_ = request_connection.id;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  response_ = {};
  // A failure to start connecting is handled in the next turn of the event loop, not inside this call.
  const bool started = request_connection.connection.Connect(setup_.receiver);
  response_timer_.Set(loop_.Now() + (started ? setup_.response_timeout : Micros(1)));
}

void ExportClient::OnConnected(SlotId id) {
  if (RequestConnection* found = connections_.Find(id)) found->connection.Write({request_});
  request_ = {};
}

void ExportClient::OnData(SlotId id) {
  RequestConnection* found = connections_.Find(id);
  if (found == nullptr || id != active_connection_) return;
  const std::string_view input = found->connection.input();
  const std::size_t size = input.size();
  const std::size_t parsed = http_parser_execute(&parser_, &parser_settings_, input.data(), size);
  found->connection.Consume(size);
  if (response_.complete) return FinishRequest(MakeReceiverResponse());
  const bool malformed = parsed != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
  if (malformed || response_.body.size() > kMaxResponseBody) FinishRequest({});
}

// A response without a length ends when its connection is closed.
void ExportClient::OnEnd(SlotId id, ConnectionEnd /*end*/) {
  if (id != active_connection_ || connections_.Find(id) == nullptr) return;
  http_parser_execute(&parser_, &parser_settings_, nullptr, 0);
  FinishRequest(response_.complete ? MakeReceiverResponse() : ReceiverResponse{});
}

ReceiverResponse ExportClient::MakeReceiverResponse() const {
  ReceiverResponse response;
  response.status = static_cast<int>(parser_.status_code);
  ParseAcknowledgement(response_.body, response);
  response.retry_after = ParseRetryAfter(response_.retry_after);
  return response;
}

void ExportClient::FinishRequest(const ReceiverResponse& response) {
  response_timer_.Cancel();
  if (RequestConnection* found = connections_.Find(active_connection_)) found->connection.Close();
  connections_.Erase(active_connection_);
  active_connection_ = {};
  const Delivery::Verdict verdict = delivery_.OnResponse(loop_.Now(), response, NextJitter());
  if (verdict == Delivery::Verdict::kVerify) {
    return VerifyAcknowledgement(*response.acknowledged_seq, response.acknowledged_hash);
  }
  OnAttemptEnded(verdict, response.status == 0 ? std::string("no valid response")
                                               : fmt::format("status {}", response.status));
}

// Checks that the acknowledged record is in the store, and stores the acknowledgement durably before the next
// request is sent.
void ExportClient::VerifyAcknowledgement(std::uint64_t seq, const std::string& hash) {
  auto is_known = std::make_shared<bool>(false);
  const auto fail = [this](std::string_view reason) {
    OnAttemptEnded(delivery_.OnResponse(loop_.Now(), {}, NextJitter()), reason);
  };
  const bool posted = recorder_.RunWithStore(
      [is_known, seq, hash](Store& store) { *is_known = store.Acknowledge(seq, hash); },
      [this, fail, is_known, seq](bool done) {
        if (!done) return fail("the store could not save the acknowledgement");
        OnAttemptEnded(delivery_.OnVerified(loop_.Now(), seq, *is_known, NextJitter()),
                       "the acknowledged record is not in this ledger");
      });
  if (!posted) fail("the queue of store jobs is full");
}

void ExportClient::OnAttemptEnded(Delivery::Verdict verdict, std::string_view reason) {
  const bool progress = verdict == Delivery::Verdict::kRetry && delivery_.Failures() == 0;
  if (!progress) {
    ++counts_.failures;
    counts_.rejections += verdict == Delivery::Verdict::kRejected ? 1 : 0;
    counts_.disagreements += verdict == Delivery::Verdict::kConflict ? 1 : 0;
    LogFailure(verdict, reason);
  }
  ScheduleAttempt();
}

void ExportClient::LogFailure(Delivery::Verdict verdict, std::string_view reason) {
  if (!log_limiter_.Allows(loop_.Now())) return;
  LogLine(verdict == Delivery::Verdict::kConflict ? Level::kError : Level::kWarn, LogMessage(verdict))
      .Reason(reason)
      .Field("backlog", delivery_.Backlog())
      .Field("left_out", log_limiter_.TakeSuppressed());
}

void ExportClient::AddFields(LogLine& record) const {
  record.Field("ledger_requests", counts_.requests)
      .Field("ledger_delivery_failures", counts_.failures)
      .Field("ledger_refused", counts_.rejections)
      .Field("ledger_disagreements", counts_.disagreements)
      .Field("ledger_rewinds", delivery_.Rewinds())
      .Field("ledger_undelivered", delivery_.Backlog());
}

int ExportClient::OnHeaderField(http_parser* parser, const char* data, std::size_t size) {
  // Only the last piece of a name that arrives in several pieces is kept. A Retry-After header that is split
  // so is ignored, and the usual backoff applies.
  static_cast<ExportClient*>(parser->data)->response_.header_name.assign(data, size);
  return 0;
}

int ExportClient::OnHeaderValue(http_parser* parser, const char* data, std::size_t size) {
  ParsedResponse& response = static_cast<ExportClient*>(parser->data)->response_;
  if (strcasecmp(response.header_name.c_str(), "retry-after") == 0) response.retry_after.append(data, size);
  return 0;
}

int ExportClient::OnBody(http_parser* parser, const char* data, std::size_t size) {
  std::string& body = static_cast<ExportClient*>(parser->data)->response_.body;
  const std::size_t capacity = kMaxResponseBody + 1 - std::min(body.size(), kMaxResponseBody + 1);
  body.append(data, std::min(size, capacity));
  return 0;
}

int ExportClient::OnMessageComplete(http_parser* parser) {
  static_cast<ExportClient*>(parser->data)->response_.complete = true;
  return 0;
}

}  // namespace stoatrun::ledger
