// Decides when records go to the billing receiver and what its answers mean. Pure: time and chance come as
// arguments.
//
// The receiver answers with the last record that it holds durably, by number and hash. Only what it names so,
// and what the ledger finds to be its own, counts as delivered; whatever else happens, the same records go
// again later, under the same key.
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
  std::uint64_t max_batch_records = 500;  // In one request.
};

struct ReceiverResponse {
  int status = 0;  // HTTP's; 0: none came (refused, cut, timed out, malformed).
  std::optional<std::uint64_t> acknowledged_seq;
  std::string acknowledged_hash;
  Micros retry_after{0};
};

class Delivery {
 public:
  explicit Delivery(const DeliverySetup& setup)
      : setup_(setup), max_batch_records_(setup.max_batch_records) {}

  // What the ledger holds and knows to be delivered. At the start, and after each change.
  void UpdateState(Micros now, std::uint64_t head, std::uint64_t delivered);

  // When to send next; nothing while there is nothing to send or a request is out.
  std::optional<Micros> NextAttemptAt() const;
  struct Batch {
    std::uint64_t from = 0, to = 0;
  };
  Batch StartBatch();

  // What to do with an answer.
  enum class Verdict {
    kRetry,     // Came to nothing: tried again at NextAttemptAt.
    kVerify,    // The ledger must look up the hash that the receiver names, then call OnVerified.
    kRejected,  // As kRetry, but someone should look: the receiver does not want the request.
    kConflict   // The receiver holds what this ledger never made.
  };
  Verdict OnResponse(Micros now, const ReceiverResponse& answer, double chance);
  // `ours`: the ledger's record of that number has that hash. Gives kRetry where delivery goes on.
  Verdict OnVerified(Micros now, std::uint64_t held, bool ours, double chance);

  std::uint64_t Backlog() const { return head_ - delivered_; }
  std::uint64_t Delivered() const { return delivered_; }
  int Failures() const { return failures_; }
  std::uint64_t Rewinds() const { return rewinds_; }

 private:
  void RetryLater(Micros now, double chance, Micros at_least);

  DeliverySetup setup_;
  std::uint64_t head_ = 0, delivered_ = 0, max_batch_records_;
  Batch in_flight_;
  bool awaiting_response_ = false;
  Micros due_{0};
  int failures_ = 0;
  std::uint64_t rewinds_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_DELIVERY_H_
