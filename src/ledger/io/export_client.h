// Delivers records to the billing receiver as HTTP/1.1 POST requests. ledger/delivery.h decides what is sent
// and when.
//
// Request: POST PATH with `Content-Type: application/x-ndjson` and `Idempotency-Key: RELAY-BOOK-FROM-TO-HASH`
// (BOOK: the ledger's id; HASH: the hash of the last line). Response: 200 or 409 with {"seq":N,"hash":"..."},
// the last record of this ledger that the receiver has stored durably. Any other response acknowledges
// nothing.
//
// Contract: at-least-once delivery in order. An acknowledgement is stored durably before the next request is
// sent. Receiver and store errors are logged, counted and retried with backoff.
//
// Threading: used on the event loop's thread; the store is accessed through the recorder's worker.
#ifndef STOATRUN_LEDGER_IO_EXPORT_CLIENT_H_
#define STOATRUN_LEDGER_IO_EXPORT_CLIENT_H_

#include <http_parser.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "ledger/delivery.h"
#include "ledger/io/usage_recorder.h"

namespace stoatrun::ledger {

// Settings of an ExportClient.
struct ExportClientSetup {
  Address receiver;
  std::string host, path = "/";                        // Of the HTTP request.
  Micros response_timeout = std::chrono::seconds(10);  // From connect to the complete response.
  DeliverySetup delivery;
  std::uint64_t seed = 0;  // Of the backoff's jitter.
};

// Totals since the start.
struct ExportClientCounters {
  std::uint64_t requests = 0, records = 0;
  std::uint64_t failures = 0;       // Attempts without progress, for any reason.
  std::uint64_t rejections = 0;     // Requests that the receiver rejected.
  std::uint64_t disagreements = 0;  // The receiver holds a record that this ledger never wrote.
};

// See the comment at the top of this file.
class ExportClient : public TcpConnectionHandler {
 public:
  // Starts delivering when `recorder` reports its first state. `loop` and `recorder` must outlive this
  // object.
  ExportClient(EventLoop& loop, UsageRecorder& recorder, const ExportClientSetup& setup);

  // Totals since the start.
  const ExportClientCounters& Counts() const { return counts_; }
  // The number of records not delivered yet.
  std::uint64_t Backlog() const { return delivery_.Backlog(); }
  // Adds the counters to a log record.
  void AddFields(LogLine& record) const;

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;

 private:
  // A connection that carries one request.
  struct RequestConnection {
    RequestConnection(SlotId slot, ExportClient& client) : id(slot), connection(client.loop_, client, slot) {}
    SlotId id;
    TcpConnection connection;
  };
  // The parts of the response that the parser has read so far.
  struct ParsedResponse {
    std::string header_name, body, retry_after;
    bool complete = false;
  };

  void OnStoreState(const StoreState& state);
  void ScheduleAttempt();
  void ReadBatch();
  void SendRequest(const std::vector<StoredRecord>& records);
  std::string FormatRequest(const std::vector<StoredRecord>& records) const;
  // Requires a complete response.
  ReceiverResponse MakeReceiverResponse() const;
  void FinishRequest(const ReceiverResponse& response);
  void VerifyAcknowledgement(std::uint64_t seq, const std::string& hash);
  void OnAttemptEnded(Delivery::Verdict verdict, std::string_view reason);
  void LogFailure(Delivery::Verdict verdict, std::string_view reason);
  double NextJitter() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  static int OnHeaderField(http_parser* parser, const char* data, std::size_t size);
  static int OnHeaderValue(http_parser* parser, const char* data, std::size_t size);
  static int OnBody(http_parser* parser, const char* data, std::size_t size);
  static int OnMessageComplete(http_parser* parser);

  EventLoop& loop_;
  UsageRecorder& recorder_;
  const ExportClientSetup setup_;
  Delivery delivery_;
  std::mt19937_64 random_;
  StoreState state_;
  bool has_state_ = false;
  Timer attempt_timer_, response_timer_;
  SlotMap<RequestConnection> connections_;
  SlotId active_connection_;  // Of the request in flight.
  std::string request_;
  ParsedResponse response_;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
  ExportClientCounters counts_;
  LogRateLimiter log_limiter_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_EXPORT_CLIENT_H_
