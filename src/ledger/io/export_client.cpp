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

constexpr std::size_t kMaxResponseBody = 4096;  // A receipt is short; more is not one.

// Fills in the receipt, if the body is one.
void ParseReceipt(const std::string& body, ReceiverResponse& answer) {
  simdjson::dom::parser parser;
  simdjson::dom::element root;
  std::uint64_t seq = 0;
  std::string_view hash;
  if (parser.parse(simdjson::padded_string(body)).get(root) != simdjson::SUCCESS ||
      root["seq"].get(seq) != simdjson::SUCCESS || root["hash"].get(hash) != simdjson::SUCCESS) {
    return;
  }
  answer.acknowledged_seq = seq;
  answer.acknowledged_hash = hash;
}

}  // namespace

ExportClient::ExportClient(EventLoop& loop, UsageRecorder& recorder, const ExportClientSetup& setup)
    : loop_(loop),
      usage_recorder_(recorder),
      setup_(setup),
      delivery_(setup.delivery),
      random_(setup.seed),
      due_(loop.timers, [this] { Send(); }),
      response_timer_(loop.timers, [this] { Finish({}); }) {
  http_parser_settings_init(&parser_settings_);
  parser_settings_.on_header_field = OnField;
  parser_settings_.on_header_value = OnValue;
  parser_settings_.on_body = OnBody;
  parser_settings_.on_message_complete = OnComplete;
  loop_.AddTurnEndHook([this] { calls_.Reclaim(); });
  usage_recorder_.OnState([this](const StoreState& state) { TakeState(state); });
}

void ExportClient::TakeState(const StoreState& state) {
  state_ = state;
  // Once begun, delivery knows better than a state that was read before the last receipt.
  delivery_.UpdateState(loop_.Now(), state.head_seq, begun_ ? delivery_.Delivered() : state.delivered_seq);
  begun_ = true;
  Wait();
}

void ExportClient::Wait() {
  if (const auto at = delivery_.NextAttemptAt()) due_.Set(std::max(*at, loop_.Now()));
}

void ExportClient::Send() {
  const Delivery::Batch batch = delivery_.StartBatch();
  auto records = std::make_shared<std::vector<StoredRecord>>();
  const bool posted = usage_recorder_.WithStore(
      [records, batch](Store& store) { *records = store.Records(batch.from, batch.to - batch.from + 1); },
      [this, records](bool ok) {
        if (ok && !records->empty()) return Connect(*records);
        Finish({});
      });
  if (!posted) Finish({});
}

void ExportClient::Connect(const std::vector<StoredRecord>& records) {
  std::size_t size = 0;
  for (const StoredRecord& r : records) size += r.line.size();
  request_ = fmt::format(
      "POST {} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/x-ndjson\r\nContent-Length: {}\r\n"
      "Idempotency-Key: {}-{}-{}-{}-{}\r\nConnection: close\r\n\r\n",
      setup_.path, setup_.host, size, state_.relay, state_.ledger_id, records.front().seq, records.back().seq,
      records.back().hash);
  for (const StoredRecord& r : records) request_ += r.line;
  ++counts_.requests;
  counts_.records += records.size();
  Call& call = calls_.Add(*this);
  call_ = call.id;
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  body_.clear();
  field_.clear();
  retry_after_.clear();
  complete_ = false;
  response_timer_.Set(loop_.Now() +
                      (call.stream.Connect(setup_.receiver) ? setup_.response_timeout : Micros(1)));
}

void ExportClient::OnConnected(SlotId id) {
  if (Call* call = calls_.Find(id)) call->stream.Write({request_});
  request_ = {};
}

void ExportClient::OnData(SlotId id) {
  Call* call = calls_.Find(id);
  if (call == nullptr || id != call_) return;
  const std::string_view in = call->stream.input();
  const std::size_t used = http_parser_execute(&parser_, &parser_settings_, in.data(), in.size());
  const std::size_t size = in.size();
  call->stream.Consume(size);
  if (complete_) return Finish(ReadAnswer());
  if (used != size || HTTP_PARSER_ERRNO(&parser_) != HPE_OK || body_.size() > kMaxResponseBody) Finish({});
}

// An answer without a length ends with its connection.
void ExportClient::OnEnd(SlotId id, ConnectionEnd /*end*/) {
  if (id != call_ || calls_.Find(id) == nullptr) return;
  http_parser_execute(&parser_, &parser_settings_, nullptr, 0);
  Finish(complete_ ? ReadAnswer() : ReceiverResponse{});
}

ReceiverResponse ExportClient::ReadAnswer() const {
  ReceiverResponse answer;
  answer.status = static_cast<int>(parser_.status_code);
  ParseReceipt(body_, answer);
  std::int64_t wait_s = 0;
  std::from_chars(retry_after_.data(), retry_after_.data() + retry_after_.size(), wait_s);
  answer.retry_after = std::chrono::seconds(std::clamp<std::int64_t>(wait_s, 0, 86'400));
  return answer;
}

void ExportClient::Finish(const ReceiverResponse& answer) {
  response_timer_.Cancel();
  if (Call* call = calls_.Find(call_)) call->stream.Close();
  calls_.Erase(call_);
  call_ = {};
  const Delivery::Verdict verdict = delivery_.OnResponse(loop_.Now(), answer, Chance());
  if (verdict == Delivery::Verdict::kVerify)
    return Confirm(*answer.acknowledged_seq, answer.acknowledged_hash);
  Told(verdict, answer.status == 0 ? std::string("no answer") : fmt::format("status {}", answer.status));
}

// The ledger says whether what the receiver names is its own, and keeps that it was delivered, before
// anything further goes out.
void ExportClient::Confirm(std::uint64_t seq, const std::string& hash) {
  auto ours = std::make_shared<bool>(false);
  const bool posted = usage_recorder_.WithStore(
      [ours, seq, hash](Store& store) { *ours = store.Acknowledge(seq, hash); },
      [this, ours, seq](bool ok) {
        if (!ok)
          return Told(delivery_.OnResponse(loop_.Now(), {}, Chance()), "the store did not keep the receipt");
        Told(delivery_.OnVerified(loop_.Now(), seq, *ours, Chance()), "the receiver holds another record");
      });
  if (!posted) Told(delivery_.OnResponse(loop_.Now(), {}, Chance()), "the store's queue is full");
}

void ExportClient::Told(Delivery::Verdict verdict, std::string_view why) {
  const bool well = verdict == Delivery::Verdict::kRetry && delivery_.Failures() == 0;
  if (!well) {
    ++counts_.failures;
    counts_.refused += verdict == Delivery::Verdict::kRejected ? 1 : 0;
    counts_.disagreements += verdict == Delivery::Verdict::kConflict ? 1 : 0;
    const Level level = verdict == Delivery::Verdict::kConflict ? Level::kError : Level::kWarn;
    if (told_.Allows(loop_.Now())) {
      LogLine(level, verdict == Delivery::Verdict::kConflict   ? "ledger receiver disagrees"
                     : verdict == Delivery::Verdict::kRejected ? "ledger receiver refuses"
                                                               : "ledger delivery failed")
          .Reason(why)
          .Field("backlog", delivery_.Backlog())
          .Field("left_out", told_.TakeSuppressed());
    }
  }
  Wait();
}

void ExportClient::AddFields(LogLine& record) const {
  record.Field("ledger_requests", counts_.requests)
      .Field("ledger_delivery_failures", counts_.failures)
      .Field("ledger_refused", counts_.refused)
      .Field("ledger_disagreements", counts_.disagreements)
      .Field("ledger_rewinds", delivery_.Rewinds())
      .Field("ledger_undelivered", delivery_.Backlog());
}

int ExportClient::OnField(http_parser* p, const char* at, std::size_t size) {
  auto* self = static_cast<ExportClient*>(p->data);
  self->field_.assign(at, size);  // In one piece or not: the end of a name is never that of another of ours.
  return 0;
}

int ExportClient::OnValue(http_parser* p, const char* at, std::size_t size) {
  auto* self = static_cast<ExportClient*>(p->data);
  if (strcasecmp(self->field_.c_str(), "retry-after") == 0) self->retry_after_.append(at, size);
  return 0;
}

int ExportClient::OnBody(http_parser* p, const char* at, std::size_t size) {
  auto* self = static_cast<ExportClient*>(p->data);
  self->body_.append(
      at, std::min(size, kMaxResponseBody + 1 - std::min(self->body_.size(), kMaxResponseBody + 1)));
  return 0;
}

int ExportClient::OnComplete(http_parser* p) {
  static_cast<ExportClient*>(p->data)->complete_ = true;
  return 0;
}

}  // namespace stoatrun::ledger
