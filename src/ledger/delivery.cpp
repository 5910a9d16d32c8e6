#include "ledger/delivery.h"

#include <algorithm>

namespace stoatrun::ledger {
namespace {

constexpr int kOk = 200, kEndOfOk = 300, kConflict = 409, kTooLarge = 413, kTooMany = 429, kServerError = 500;
constexpr int kMostDoublings = 20;

}  // namespace

void Delivery::Known(Micros now, std::uint64_t head, std::uint64_t delivered) {
  const bool had = head_ > delivered_;
  head_ = head;
  delivered_ = delivered;
  // The first record after a quiet time goes at once; a wait that a failure imposed stays.
  if (!had && failures_ == 0) due_ = now;
}

std::optional<Micros> Delivery::DueAt() const {
  if (is_out_ || head_ <= delivered_) return std::nullopt;
  return due_;
}

Delivery::Batch Delivery::Send() {
  out_ = {delivered_ + 1, std::min(head_, delivered_ + most_)};
  is_out_ = true;
  return out_;
}

// Half of each wait is left to chance: relays that failed together must not come back together.
void Delivery::RetryLater(Micros now, double chance, Micros at_least) {
  const Micros longest =
      std::min(setup_.last_retry, setup_.first_retry * (1 << std::min(failures_, kMostDoublings)));
  ++failures_;
  const auto half = static_cast<double>(longest.count()) / 2;
  const Micros wait(static_cast<std::int64_t>(half + half * chance));
  due_ = now + std::max(wait, std::min(at_least, setup_.last_retry));
}

Delivery::Verdict Delivery::On(Micros now, const Answer& answer, double chance) {
  const bool ok = answer.status >= kOk && answer.status < kEndOfOk;
  if ((ok || answer.status == kConflict) && answer.held_seq) {
    if (*answer.held_seq <= head_) return Verdict::kConfirm;  // The request stays out until it is confirmed.
    is_out_ = false;
    failures_ = kMostDoublings;
    RetryLater(now, chance, setup_.last_retry);
    return Verdict::kDisagrees;
  }
  is_out_ = false;
  if (answer.status == kTooLarge && most_ > 1) {
    most_ = std::max<std::uint64_t>(1, most_ / 2);
    due_ = now;
    return Verdict::kAgain;
  }
  const bool refused = answer.status >= kEndOfOk && answer.status < kServerError && answer.status != kTooMany;
  if (refused) failures_ = kMostDoublings;
  RetryLater(now, chance, answer.retry_after);
  return refused ? Verdict::kRefused : Verdict::kAgain;
}

Delivery::Verdict Delivery::Confirmed(Micros now, std::uint64_t held, bool ours, double chance) {
  is_out_ = false;
  if (!ours) {
    failures_ = kMostDoublings;
    RetryLater(now, chance, setup_.last_retry);
    return Verdict::kDisagrees;
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
  return Verdict::kAgain;
}

}  // namespace stoatrun::ledger
