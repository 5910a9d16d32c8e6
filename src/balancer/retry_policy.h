// A request and the rules on its attempts and final answer: limits, idempotency and deduplication.
#pragma once

#include <algorithm>

#include "balancer/balancer.h"
#include "base/dense_set.h"
#include "base/split_mix64.h"

namespace balancer {

using stoatrun::FromSeconds, stoatrun::ToSeconds;
struct EndpointRecord;

constexpr double kAttemptTimeoutFraction = 0.5;  // Of the time left, for an attempt that others may follow.

struct Context {  // What all parts share; `now` is the time of the event in hand.
  const Settings settings;
  stoatrun::SplitMix64 random{settings.seed};
  Micros now{0};
};

struct Request {  // From its arrival until no attempt of it is in flight.
  RequestArrived info;
  ClassSettings class_settings;
  bool finished = false;  // Has its final answer, is migrated, or its client is gone.
  bool attempt_in_flight = false, may_have_run = false;  // In flight also while established.
  bool waiting = false;                                  // For probe answers or an endpoint that may take it.
  bool was_established = false;                          // Stays so after a migration.
  std::size_t established_index = stoatrun::kNotInDenseSet;   // Among its endpoint's connections.
  EndpointRecord *endpoint = nullptr, *group_home = nullptr;  // Of the last attempt; preferred by its group.
  const EndpointRecord* first_run_endpoint =
      nullptr;  // Of the first attempt that may have run, sent at `first_run_sent_at`.
  Micros first_run_sent_at{0}, sent_at{0}, placement_deadline{0};
  std::uint32_t attempts = 0;
  double reported_load = -1;  // Reported load; negative: not reported.
  std::vector<const EndpointRecord*> tried_endpoints, pending_probes;

  bool IsEstablished() const { return established_index != stoatrun::kNotInDenseSet; }
  bool IsSettingUp() const { return attempt_in_flight && !finished && !IsEstablished(); }  // Its attempt.
  bool WasTried(const EndpointRecord& at) const {
    return std::ranges::find(tried_endpoints, &at) != tried_endpoints.end();
  }
  bool CanAttempt(const Context& context) const {  // Within its limits.
    const bool within_limits = attempts < context.settings.max_attempts && context.now < info.deadline;
    return !finished && !attempt_in_flight && within_limits;
  }
  bool HasIdempotencyKey() const {
    return class_settings.idempotency == Idempotency::kIdempotencyKey;
  }                                        // For deduplication.
  bool IsSafeToRepeat(Micros now) const {  // Harmlessly, although an earlier attempt may have run.
    if (!may_have_run || class_settings.idempotency == Idempotency::kIdempotent) return true;
    return HasIdempotencyKey() && now < first_run_sent_at + class_settings.deduplication_window;
  }
  // Whether `target` would recognize a repeat of what may have run at `ran`.
  bool IsDeduplicatedAt(const Endpoint& target, const Endpoint& first_run) const {
    if (class_settings.deduplication_scope == DeduplicationScope::kZone) return first_run.zone == target.zone;
    return class_settings.deduplication_scope == DeduplicationScope::kAll || first_run.cell == target.cell;
  }
  // Whether the final answer may be a rejection, which tells the client that a retry is harmless.
  bool CanReject() const {
    if (class_settings.idempotency == Idempotency::kIdempotent || (!may_have_run && !attempt_in_flight)) {
      return true;
    }
    return HasIdempotencyKey() && class_settings.deduplication_scope == DeduplicationScope::kAll;
  }
  Micros AttemptTimeout(const Context& context) const {  // Of the next attempt.
    const Micros left = info.deadline - context.now;
    if (attempts + 1 >= context.settings.max_attempts) return left;
    const Micros share = FromSeconds(ToSeconds(left) * kAttemptTimeoutFraction);
    return std::max(share, std::min(left, class_settings.setup_latency_objective));
  }
};

}  // namespace balancer
