#include "ledger/delivery.h"

#include <algorithm>

namespace stoatrun::ledger {
namespace {

constexpr int kOk = 200, kEndOfOk = 300, kConflict = 409, kTooLarge = 413, kTooMany = 429, kServerError = 500;
constexpr int kMostDoublings = 20;

}  // namespace

void Delivery::UpdateState(Micros now, std::uint64_t head, std::uint64_t delivered) {
  const bool had = head_ > delivered_;
  head_ = head;
  delivered_ = delivered;
  // The first record after a quiet time goes at once; a wait that a failure imposed stays.
  if (!had && failures_ == 0) due_ = now;
}

std::optional<Micros> Delivery::NextAttemptAt() const {
  if (awaiting_response_ || head_ <= delivered_) return std::nullopt;
  return due_;
}

Delivery::Batch Delivery::StartBatch() {
  in_flight_ = {delivered_ + 1, std::min(head_, delivered_ + max_batch_records_)};
  awaiting_response_ = true;
  return in_flight_;
}

// Half of each wait is left to chance: relays that failed together must not come back together.
void Delivery::RetryLater(Micros now, double chance, Micros at_least) {
  const Micros longest =
      std::min(setup_.max_backoff, setup_.initial_backoff * (1 << std::min(failures_, kMostDoublings)));
  ++failures_;
  const auto half = static_cast<double>(longest.count()) / 2;
  const Micros wait(static_cast<std::int64_t>(half + half * chance));
  due_ = now + std::max(wait, std::min(at_least, setup_.max_backoff));
}

Delivery::Verdict Delivery::OnResponse(Micros now, const ReceiverResponse& answer, double chance) {
  const bool ok = answer.status >= kOk && answer.status < kEndOfOk;
  if ((ok || answer.status == kConflict) && answer.acknowledged_seq) {
    if (*answer.acknowledged_seq <= head_)
      return Verdict::kVerify;  // The request stays out until it is confirmed.
    awaiting_response_ = false;
    failures_ = kMostDoublings;
    RetryLater(now, chance, setup_.max_backoff);
    return Verdict::kConflict;
  }
  awaiting_response_ = false;
  if (answer.status == kTooLarge && max_batch_records_ > 1) {
    max_batch_records_ = std::max<std::uint64_t>(1, max_batch_records_ / 2);
    due_ = now;
    return Verdict::kRetry;
  }
  const bool refused = answer.status >= kEndOfOk && answer.status < kServerError && answer.status != kTooMany;
  if (refused) failures_ = kMostDoublings;
  RetryLater(now, chance, answer.retry_after);
  return refused ? Verdict::kRejected : Verdict::kRetry;
}

Delivery::Verdict Delivery::OnVerified(Micros now, std::uint64_t held, bool ours, double chance) {
  awaiting_response_ = false;
  if (!ours) {
    failures_ = kMostDoublings;
    RetryLater(now, chance, setup_.max_backoff);
    return Verdict::kConflict;
  }
  // It may hold less than it once said: taken back from an older copy, say. What it lacks goes again.
  if (held < delivered_) ++rewinds_;
  const bool further = held > delivered_;
  delivered_ = held;
  if (further) {
    failures_ = 0;
    due_ = now;
  } else {
    RetryLater(now, chance, Micros(0));  // It answers, but takes nothing, or loses what it took.
  }
  return Verdict::kRetry;
}

}  // namespace stoatrun::ledger
