// Carries records to the billing receiver: HTTP/1.1 POST of record lines, as ledger/delivery decides.
//
// The request: POST PATH, `Content-Type: application/x-ndjson`, `Idempotency-Key: RELAY-BOOK-FROM-TO-HASH`
// (HASH: of the last line). The answer, 200 or 409: {"seq":N,"hash":"..."}, the last record of this ledger_id
// that the receiver holds durably. Anything else is no receipt.
#ifndef STOATRUN_LEDGER_IO_EXPORT_CLIENT_H_
#define STOATRUN_LEDGER_IO_EXPORT_CLIENT_H_

#include <http_parser.h>

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "ledger/delivery.h"
#include "ledger/io/usage_recorder.h"

namespace stoatrun::ledger {

struct ExportClientSetup {
  Address receiver;
  std::string host, path = "/";
  Micros response_timeout = std::chrono::seconds(10);
  DeliverySetup delivery;
  std::uint64_t seed = 0;
};

struct ExportClientCounters {
  std::uint64_t requests = 0, records = 0, failures = 0, refused = 0, disagreements = 0;
};

class ExportClient : public TcpConnectionHandler {
 public:
  ExportClient(EventLoop& loop, UsageRecorder& recorder, const ExportClientSetup& setup);

  const ExportClientCounters& Counts() const { return counts_; }
  std::uint64_t Backlog() const { return delivery_.Backlog(); }
  void AddFields(LogLine& record) const;

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;

 private:
  struct Call {
    Call(SlotId slot, ExportClient& all) : id(slot), stream(all.loop_, all, slot) {}
    SlotId id;
    TcpConnection stream;
  };
  void TakeState(const StoreState& state);
  void Wait();
  void Send();
  void Connect(const std::vector<StoredRecord>& records);
  ReceiverResponse ReadAnswer() const;  // Of a response that is whole.
  void Finish(const ReceiverResponse& answer);
  void Confirm(std::uint64_t seq, const std::string& hash);
  void Told(Delivery::Verdict verdict, std::string_view why);
  double Chance() { return std::uniform_real_distribution<double>(0, 1)(random_); }
  static int OnField(http_parser* p, const char* at, std::size_t size);
  static int OnValue(http_parser* p, const char* at, std::size_t size);
  static int OnBody(http_parser* p, const char* at, std::size_t size);
  static int OnComplete(http_parser* p);

  EventLoop& loop_;
  UsageRecorder& usage_recorder_;
  const ExportClientSetup setup_;
  Delivery delivery_;
  std::mt19937_64 random_;
  StoreState state_;
  Timer due_, response_timer_;
  SlotMap<Call> calls_;
  SlotId call_;
  std::string request_, field_, body_, retry_after_;
  bool complete_ = false, begun_ = false;
  http_parser parser_{};
  http_parser_settings parser_settings_{};
  ExportClientCounters counts_;
  LogRateLimiter told_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_EXPORT_CLIENT_H_
