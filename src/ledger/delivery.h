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
  Micros first_retry = std::chrono::seconds(1);
  Micros last_retry = std::chrono::seconds(60);
  std::uint64_t most_records = 500;  // In one request.
};

struct Answer {
  int status = 0;  // HTTP's; 0: none came (refused, cut, timed out, malformed).
  std::optional<std::uint64_t> held_seq;
  std::string held_hash;
  Micros retry_after{0};
};

class Delivery {
 public:
  explicit Delivery(const DeliverySetup& setup) : setup_(setup), most_(setup.most_records) {}

  // What the ledger holds and knows to be delivered. At the start, and after each change.
  void Known(Micros now, std::uint64_t head, std::uint64_t delivered);

  // When to send next; nothing while there is nothing to send or a request is out.
  std::optional<Micros> DueAt() const;
  struct Batch {
    std::uint64_t from = 0, to = 0;
  };
  Batch Send();

  // What to do with an answer.
  enum class Verdict {
    kAgain,     // Came to nothing: tried again at DueAt.
    kConfirm,   // The ledger must look up the hash that the receiver names, then call Confirmed.
    kRefused,   // As kAgain, but someone should look: the receiver does not want the request.
    kDisagrees  // The receiver holds what this ledger never made.
  };
  Verdict On(Micros now, const Answer& answer, double chance);
  // `ours`: the ledger's record of that number has that hash. Gives kAgain where delivery goes on.
  Verdict Confirmed(Micros now, std::uint64_t held, bool ours, double chance);

  std::uint64_t Backlog() const { return head_ - delivered_; }
  std::uint64_t Delivered() const { return delivered_; }
  int Failures() const { return failures_; }
  std::uint64_t Rewinds() const { return rewinds_; }

 private:
  void RetryLater(Micros now, double chance, Micros at_least);

  DeliverySetup setup_;
  std::uint64_t head_ = 0, delivered_ = 0, most_;
  Batch out_;
  bool is_out_ = false;
  Micros due_{0};
  int failures_ = 0;
  std::uint64_t rewinds_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_DELIVERY_H_
