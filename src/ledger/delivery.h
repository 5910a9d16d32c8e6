// Schedules the delivery of records to the billing receiver and evaluates its responses.
//
// Delivery is at least once, with an idempotency key. The receiver responds with the sequence number and hash
// of the last record that it has stored durably. Records count as delivered only after the ledger has checked
// that this hash is its own; after any other response they are sent again later under the same key. Retries
// back off exponentially with jitter.
//
// Pure: time and randomness are arguments. Not thread-safe: used by the event loop's thread only.
#ifndef STOATRUN_LEDGER_DELIVERY_H_
#define STOATRUN_LEDGER_DELIVERY_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace stoatrun::ledger {

using Micros = std::chrono::microseconds;

struct DeliverySetup {
  Micros initial_backoff = std::chrono::seconds(1);
  Micros max_backoff = std::chrono::seconds(60);
  std::uint64_t max_batch_records = 500;  // Per request.
};

// The outcome of one request.
struct ReceiverResponse {
  int status = 0;  // HTTP status; 0: no valid response (connection refused or lost, timeout, malformed).
  std::optional<std::uint64_t> acknowledged_seq;  // The last record that the receiver has stored; 0: none.
  std::string acknowledged_hash;                  // The hash of that record.
  Micros retry_after{0};                          // From the Retry-After header.
};

// See the comment at the top of this file. At most one request is in flight: StartBatch, then OnResponse,
// then, if that returned kVerify, OnVerified.
class Delivery {
 public:
  // There is nothing to send until UpdateState is called.
  explicit Delivery(const DeliverySetup& setup)
      : setup_(setup), max_batch_records_(setup.max_batch_records) {}

  // Sets the sequence numbers of the ledger's last record and of the last delivered record. Must be called at
  // the start and after each change.
  void UpdateState(Micros now, std::uint64_t head, std::uint64_t delivered);

  // When to send the next request; nullopt if there is nothing to send or a request is in flight.
  std::optional<Micros> NextAttemptAt() const;

  // The first and last record of a request.
  struct Batch {
    std::uint64_t from = 0, to = 0;
  };
  // Returns the records to send now and marks a request as in flight.
  Batch StartBatch();

  // How a response is to be handled.
  enum class Verdict {
    kRetry,     // Send the next request at NextAttemptAt.
    kVerify,    // Compare the acknowledged hash with the ledger's record, then call OnVerified.
    kRejected,  // As kRetry, but the operator should be told: the receiver does not accept the request.
    kConflict   // As kRejected: the receiver holds a record that this ledger did not create.
  };
  // Evaluates a response. `random` in [0, 1) determines the jitter of a backoff.
  Verdict OnResponse(Micros now, const ReceiverResponse& response, double random);
  // Completes kVerify. `hash_matches`: the ledger's record `acknowledged` has the acknowledged hash.
  Verdict OnVerified(Micros now, std::uint64_t acknowledged, bool hash_matches, double random);

  // The number of records not delivered yet.
  std::uint64_t Backlog() const { return head_ - delivered_; }
  // The sequence number of the last delivered record.
  std::uint64_t Delivered() const { return delivered_; }
  // Consecutive failures as counted for the backoff; a rejection sets them to the maximum. 0 after progress.
  int Failures() const { return failures_; }
  // How often the receiver acknowledged fewer records than before, for example after it was restored from an
  // older copy.
  std::uint64_t Rewinds() const { return rewinds_; }

 private:
  void BackOff(Micros now, double random, Micros min_backoff);
  // Backs off for the maximum time, as after many failures.
  void BackOffMax(Micros now, double random);

  DeliverySetup setup_;
  std::uint64_t head_ = 0, delivered_ = 0, max_batch_records_;
  bool in_flight_ = false;
  Micros next_attempt_{0};
  int failures_ = 0;
  std::uint64_t rewinds_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_DELIVERY_H_
