// A request and the rules on its attempts and final answer: limits, idempotency and deduplication.
#pragma once

#include <algorithm>

#include "balancer/balancer.h"
#include "base/dense_set.h"
#include "base/split_mix64.h"

namespace balancer {

using stoatrun::FromSeconds, stoatrun::ToSeconds;
struct EndpointRecord;

constexpr double kFirstTimeoutShare = 0.5;  // Of the time left, for an attempt that others may follow.

struct Context {  // What all parts share; `now` is the time of the event in hand.
  const Settings settings;
  stoatrun::SplitMix64 random{settings.seed};
  Micros now{0};
};

struct Request {  // From its arrival until no attempt of it is in flight.
  RequestArrived info;
  ClassSettings rules;
  bool finished = false;  // Has its final answer, is migrated, or its client is gone.
  bool attempt_in_flight = false, may_have_run = false;  // In flight also while established.
  bool waiting = false;                                  // For probe answers or an endpoint that may take it.
  bool was_established = false;                          // Stays so after a migration.
  std::size_t established_position = stoatrun::kNotInDenseSet;  // Among its endpoint's connections.
  EndpointRecord *endpoint = nullptr, *group_home = nullptr;  // Of the last attempt; preferred by its group.
  const EndpointRecord* ran_at = nullptr;  // Of the first attempt that may have run, sent at `ran_since`.
  Micros ran_since{0}, sent_at{0}, decide_by{0};
  std::uint32_t attempts = 0;
  double load = -1;  // Reported load; negative: not reported.
  std::vector<const EndpointRecord*> tried, awaited_probes;

  bool IsEstablished() const { return established_position != stoatrun::kNotInDenseSet; }
  bool IsSettingUp() const { return attempt_in_flight && !finished && !IsEstablished(); }  // Its attempt.
  bool WasTried(const EndpointRecord& at) const { return std::ranges::find(tried, &at) != tried.end(); }
  bool CanAttempt(const Context& context) const {  // Within its limits.
    const bool in_limits = attempts < context.settings.max_attempts && context.now < info.deadline;
    return !finished && !attempt_in_flight && in_limits;
  }
  bool HasKey() const { return rules.idempotency == Idempotency::kIdempotencyKey; }  // For deduplication.
  bool CanRepeat(Micros now) const {  // Harmlessly, although an earlier attempt may have run.
    if (!may_have_run || rules.idempotency == Idempotency::kIdempotent) return true;
    return HasKey() && now < ran_since + rules.deduplication_window;
  }
  // Whether `target` would recognize a repeat of what may have run at `ran`.
  bool IsDeduplicatedAt(const Endpoint& target, const Endpoint& ran) const {
    if (rules.deduplication_scope == DeduplicationScope::kZone) return ran.zone == target.zone;
    return rules.deduplication_scope == DeduplicationScope::kAll || ran.cell == target.cell;
  }
  // Whether the final answer may be a rejection, which tells the client that a retry is harmless.
  bool CanReject() const {
    if (rules.idempotency == Idempotency::kIdempotent || (!may_have_run && !attempt_in_flight)) return true;
    return HasKey() && rules.deduplication_scope == DeduplicationScope::kAll;
  }
  Micros AttemptTimeout(const Context& context) const {  // Of the next attempt.
    const Micros left = info.deadline - context.now;
    if (attempts + 1 >= context.settings.max_attempts) return left;
    const Micros share = FromSeconds(ToSeconds(left) * kFirstTimeoutShare);
    return std::max(share, std::min(left, rules.setup_latency_objective));
  }
};

}  // namespace balancer
