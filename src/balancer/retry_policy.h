// The state of one request and the rules for its attempts and its final answer: attempt limits, idempotency
// and deduplication.
#pragma once

#include <algorithm>

#include "balancer/balancer.h"
#include "base/dense_set.h"
#include "base/split_mix64.h"

namespace balancer {

using stoatrun::FromSeconds, stoatrun::ToSeconds;
struct EndpointRecord;

// Share of the time left that one attempt may take while further attempts are allowed.
constexpr double kAttemptTimeoutFraction = 0.5;

// State shared by all components of a balancer.
struct Context {
  const Settings settings;
  stoatrun::SplitMix64 random{settings.seed};
  Micros now{0};  // Time of the event being handled.
};

// A request, kept from its arrival until it is finished and has no attempt in flight.
struct Request {
  RequestArrived info;
  ClassSettings class_settings;
  bool finished = false;           // Was answered or migrated, or its client has disconnected.
  bool attempt_in_flight = false;  // Also true while the connection is established.
  bool may_have_run = false;       // Whether an earlier attempt may have been executed.
  bool waiting = false;            // For probe results, or for an endpoint that may take the request.
  bool was_established = false;    // Not reset by a migration.
  std::size_t established_index = stoatrun::kNotInDenseSet;  // In EndpointRecord::established.
  EndpointRecord* endpoint = nullptr;                        // Of the latest attempt.
  EndpointRecord* group_home = nullptr;                      // See Placement::FindGroupHome.
  // The endpoint of the first attempt that may have run, and when that attempt was sent.
  const EndpointRecord* first_run_endpoint = nullptr;
  Micros first_run_sent_at{0};
  Micros sent_at{0};             // When the latest attempt was sent.
  Micros placement_deadline{0};  // When to place the request without waiting for further probe results.
  std::uint32_t attempts = 0;
  double reported_load = -1;  // Negative: not reported.
  std::vector<const EndpointRecord*> tried_endpoints, pending_probes;

  bool IsEstablished() const { return established_index != stoatrun::kNotInDenseSet; }
  // Whether an attempt is in flight and not yet established.
  bool IsSettingUp() const { return attempt_in_flight && !finished && !IsEstablished(); }
  bool WasTried(const EndpointRecord& at) const {
    return std::ranges::find(tried_endpoints, &at) != tried_endpoints.end();
  }
  // Whether the attempt limit and the deadline permit another attempt.
  bool CanAttempt(const Context& context) const {
    const bool within_limits = attempts < context.settings.max_attempts && context.now < info.deadline;
    return !finished && !attempt_in_flight && within_limits;
  }
  bool HasIdempotencyKey() const { return class_settings.idempotency == Idempotency::kIdempotencyKey; }
  // The end of the deduplication window, before which the request may be repeated; nullopt if none applies.
  std::optional<Micros> RepeatDeadline() const {
    if (!may_have_run || !HasIdempotencyKey()) return std::nullopt;
    return first_run_sent_at + class_settings.deduplication_window;
  }
  // Whether the request may be sent again although an earlier attempt may have run.
  bool IsSafeToRepeat(Micros now) const {
    if (!may_have_run || class_settings.idempotency == Idempotency::kIdempotent) return true;
    return HasIdempotencyKey() && now < RepeatDeadline();
  }
  // Whether `target` deduplicates a repeat of the attempt that may have run at `first_run`.
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
  // The timeout of the next attempt.
  Micros AttemptTimeout(const Context& context) const {
    const Micros left = info.deadline - context.now;
    if (attempts + 1 >= context.settings.max_attempts) return left;
    const Micros share = FromSeconds(ToSeconds(left) * kAttemptTimeoutFraction);
    return std::max(share, std::min(left, class_settings.setup_latency_objective));
  }
};

}  // namespace balancer
