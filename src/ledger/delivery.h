// Decides when records are sent to the billing receiver and what its responses mean.
//
// Delivery is at least once, with an idempotency key. The receiver answers with the last record that it holds
// durably, by number and hash. Only that, once the ledger has verified the hash as its own, counts as
// delivered; after anything else the same records are sent again later under the same key. Retries back off
// exponentially with jitter.
//
// Pure: time and randomness are arguments. Not synchronized: of one thread, the event loop's.
#ifndef STOATRUN_LEDGER_DELIVERY_H_
#define STOATRUN_LEDGER_DELIVERY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace stoatrun::ledger {

using Micros = std::chrono::microseconds;

// Settings of delivery.
struct DeliverySetup {
  Micros initial_backoff = std::chrono::seconds(1);
  Micros max_backoff = std::chrono::seconds(60);
  std::uint64_t max_batch_records = 500;  // In one request.
};

// What came of one request.
struct ReceiverResponse {
  int status = 0;  // HTTP's; 0: none (connection refused or cut, timeout, malformed response).
  std::optional<std::uint64_t> acknowledged_seq;  // The last record that the receiver holds; 0: none yet.
  std::string acknowledged_hash;                  // Of that record.
  Micros retry_after{0};                          // From the Retry-After header.
};

// See the comment at the top of this file. At most one request is in flight: StartBatch, then OnResponse,
// then, if that returned kVerify, OnVerified.
class Delivery {
 public:
  // Starts with nothing to send.
  explicit Delivery(const DeliverySetup& setup)
      : setup_(setup), max_batch_records_(setup.max_batch_records) {}

  // The number of the ledger's last record and of the last one known to be delivered. To be called at the
  // start and after each change.
  void UpdateState(Micros now, std::uint64_t head, std::uint64_t delivered);

  // When to send the next request; nothing while there is nothing to send or a request is in flight.
  std::optional<Micros> NextAttemptAt() const;

  // The records of a request, first and last.
  struct Batch {
    std::uint64_t from = 0, to = 0;
  };
  // The records to send now. A request is in flight from here on.
  Batch StartBatch();

  // What to do after a response.
  enum class Verdict {
    kRetry,     // Nothing more: the next attempt is due at NextAttemptAt.
    kVerify,    // Look up the hash that the receiver acknowledged in the ledger, then call OnVerified.
    kRejected,  // As kRetry, but worth an operator's attention: the receiver does not accept the request.
    kConflict   // As kRejected: the receiver holds a record that this ledger never made.
  };
  // Evaluates a response. `random` in [0, 1) is the jitter of a backoff.
  Verdict OnResponse(Micros now, const ReceiverResponse& response, double random);
  // `is_ours`: the ledger's record `acknowledged` has the hash that was acknowledged.
  Verdict OnVerified(Micros now, std::uint64_t acknowledged, bool is_ours, double random);

  // Records that are not delivered yet.
  std::uint64_t Backlog() const { return head_ - delivered_; }
  // The number of the last delivered record.
  std::uint64_t Delivered() const { return delivered_; }
  // Consecutive failures, as the backoff counts them; 0 after progress.
  int Failures() const { return failures_; }
  // How often the receiver acknowledged less than before (restored from an older copy, for example).
  std::uint64_t Rewinds() const { return rewinds_; }

 private:
  void BackOff(Micros now, double random, Micros at_least);
  // As after many failures: the longest backoff.
  void BackOffLongest(Micros now, double random);

  DeliverySetup setup_;
  std::uint64_t head_ = 0, delivered_ = 0, max_batch_records_;
  bool in_flight_ = false;
  Micros next_attempt_{0};
  int failures_ = 0;
  std::uint64_t rewinds_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_DELIVERY_H_
