#include "ledger/delivery.h"

#include <algorithm>

namespace stoatrun::ledger {
namespace {

constexpr int kHttpOk = 200, kHttpMultipleChoices = 300, kHttpConflict = 409, kHttpContentTooLarge = 413,
              kHttpTooManyRequests = 429, kHttpInternalServerError = 500;
// Limits the exponent of the backoff; far above any configured ratio of the maximum to the initial backoff.
constexpr int kMaxDoublings = 20;

}  // namespace

void Delivery::UpdateState(Micros now, std::uint64_t head, std::uint64_t delivered) {
  const bool had_backlog = head_ > delivered_;
  head_ = head;
  delivered_ = delivered;
  // The first record after an idle time is sent immediately; a backoff after a failure stays in force.
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

// Half of each backoff is jitter, so that relays whose requests failed at the same time do not retry at the
// same time.
void Delivery::BackOff(Micros now, double random, Micros min_backoff) {
  const Micros max_backoff =
      std::min(setup_.max_backoff, setup_.initial_backoff * (1 << std::min(failures_, kMaxDoublings)));
  ++failures_;
  const auto half_us = static_cast<double>(max_backoff.count()) / 2;
  const Micros backoff(static_cast<std::int64_t>(half_us + half_us * random));
  next_attempt_ = now + std::max(backoff, std::min(min_backoff, setup_.max_backoff));
}

void Delivery::BackOffMax(Micros now, double random) {
  failures_ = kMaxDoublings;
  BackOff(now, random, setup_.max_backoff);
}

Delivery::Verdict Delivery::OnResponse(Micros now, const ReceiverResponse& response, double random) {
  const bool ok = response.status >= kHttpOk && response.status < kHttpMultipleChoices;
  if ((ok || response.status == kHttpConflict) && response.acknowledged_seq) {
    if (*response.acknowledged_seq <= head_) return Verdict::kVerify;  // Stays in flight until OnVerified.
    in_flight_ = false;
    BackOffMax(now, random);
    return Verdict::kConflict;
  }
  in_flight_ = false;
  if (response.status == kHttpContentTooLarge && max_batch_records_ > 1) {
    max_batch_records_ = std::max<std::uint64_t>(1, max_batch_records_ / 2);
    next_attempt_ = now;
    return Verdict::kRetry;
  }
  const bool rejected = response.status >= kHttpMultipleChoices &&
                        response.status < kHttpInternalServerError && response.status != kHttpTooManyRequests;
  if (rejected) failures_ = kMaxDoublings;
  BackOff(now, random, response.retry_after);
  return rejected ? Verdict::kRejected : Verdict::kRetry;
}

Delivery::Verdict Delivery::OnVerified(Micros now, std::uint64_t acknowledged, bool hash_matches,
                                       double random) {
  in_flight_ = false;
  if (!hash_matches) {
    BackOffMax(now, random);
    return Verdict::kConflict;
  }
  // If the receiver holds fewer records than it acknowledged before, the missing ones are sent again.
  if (acknowledged < delivered_) ++rewinds_;
  const bool progress = acknowledged > delivered_;
  delivered_ = acknowledged;
  if (progress) {
    failures_ = 0;
    next_attempt_ = now;
  } else {
    BackOff(now, random, Micros(0));  // It responds, but stores no records or has lost some.
  }
  return Verdict::kRetry;
}

}  // namespace stoatrun::ledger
