#include "ledger/delivery.h"

#include <algorithm>

namespace stoatrun::ledger {
namespace {

constexpr int kOk = 200, kEndOfOk = 300, kConflictStatus = 409, kTooLarge = 413, kTooManyRequests = 429,
              kServerError = 500;
constexpr int kMaxDoublings = 20;  // Far beyond any configured ratio of the longest to the first backoff.

}  // namespace

void Delivery::UpdateState(Micros now, std::uint64_t head, std::uint64_t delivered) {
  const bool had_backlog = head_ > delivered_;
  head_ = head;
  delivered_ = delivered;
  // The first record after a quiet time is sent at once; a backoff after a failure goes on.
  if (!had_backlog && failures_ == 0) next_attempt_ = now;
}

std::optional<Micros> Delivery::NextAttemptAt() const {
  if (in_flight_ || head_ <= delivered_) return std::nullopt;
  return next_attempt_;
}

Delivery::Batch Delivery::StartBatch() {
  in_flight_ = true;
  return {delivered_ + 1, std::min(head_, delivered_ + max_batch_records_)};
}

// Half of each backoff is jitter: relays that failed together must not retry together.
void Delivery::BackOff(Micros now, double random, Micros at_least) {
  const Micros longest =
      std::min(setup_.max_backoff, setup_.initial_backoff * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  const auto half = static_cast<double>(longest.count()) / 2;
  const Micros backoff(static_cast<std::int64_t>(half + half * random));
  next_attempt_ = now + std::max(backoff, std::min(at_least, setup_.max_backoff));
}

void Delivery::BackOffLongest(Micros now, double random) {
  failures_ = kMaxDoublings;
  BackOff(now, random, setup_.max_backoff);
}

Delivery::Verdict Delivery::OnResponse(Micros now, const ReceiverResponse& response, double random) {
  const bool ok = response.status >= kOk && response.status < kEndOfOk;
  if ((ok || response.status == kConflictStatus) && response.acknowledged_seq) {
    if (*response.acknowledged_seq <= head_) return Verdict::kVerify;  // In flight until it is verified.
    in_flight_ = false;
    BackOffLongest(now, random);
    return Verdict::kConflict;
  }
  in_flight_ = false;
  if (response.status == kTooLarge && max_batch_records_ > 1) {
    max_batch_records_ = std::max<std::uint64_t>(1, max_batch_records_ / 2);
    next_attempt_ = now;
    return Verdict::kRetry;
  }
  const bool rejected =
      response.status >= kEndOfOk && response.status < kServerError && response.status != kTooManyRequests;
  if (rejected) failures_ = kMaxDoublings;
  BackOff(now, random, response.retry_after);
  return rejected ? Verdict::kRejected : Verdict::kRetry;
}

Delivery::Verdict Delivery::OnVerified(Micros now, std::uint64_t acknowledged, bool is_ours, double random) {
  in_flight_ = false;
  if (!is_ours) {
    BackOffLongest(now, random);
    return Verdict::kConflict;
  }
  // The receiver may hold less than it once acknowledged; what it lacks is sent again.
  if (acknowledged < delivered_) ++rewinds_;
  const bool progress = acknowledged > delivered_;
  delivered_ = acknowledged;
  if (progress) {
    failures_ = 0;
    next_attempt_ = now;
  } else {
    BackOff(now, random, Micros(0));  // It responds, but takes nothing, or loses what it took.
  }
  return Verdict::kRetry;
}

}  // namespace stoatrun::ledger
