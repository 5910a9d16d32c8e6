// Tests when records are sent to the receiver and how its responses are handled.
#include "ledger/delivery.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>

namespace stoatrun::ledger {
namespace {

TEST_CASE("delivery backs off after each failure, with jitter, and sends immediately after progress") {
  Delivery delivery({std::chrono::seconds(1), std::chrono::seconds(60), 10});
  Micros now(0);
  delivery.UpdateState(now, 25, 0);
  REQUIRE(delivery.NextAttemptAt() == now);
  const Delivery::Batch first = delivery.StartBatch();
  CHECK((first.from == 1 && first.to == 10));
  CHECK_FALSE(delivery.NextAttemptAt());
  Micros last_backoff(0);
  for (int k = 0; k < 12; ++k) {
    CHECK(delivery.OnResponse(now, {}, 0.5) == Delivery::Verdict::kRetry);
    const Micros backoff = *delivery.NextAttemptAt() - now;
    CHECK(backoff >= last_backoff);
    CHECK(backoff <= std::chrono::seconds(60));
    last_backoff = backoff;
    now = *delivery.NextAttemptAt();
    const Delivery::Batch retry = delivery.StartBatch();
    CHECK((retry.from == 1 && retry.to == 10));
  }
  CHECK(last_backoff == std::chrono::seconds(45));
  CHECK(delivery.OnResponse(now, {200, 10, "h", Micros(0)}, 0.5) == Delivery::Verdict::kVerify);
  CHECK(delivery.OnVerified(now, 10, true, 0.5) == Delivery::Verdict::kRetry);
  CHECK(delivery.NextAttemptAt() == now);
  CHECK(delivery.Backlog() == 15);
  CHECK(delivery.StartBatch().from == 11);
  CHECK(delivery.OnResponse(now, {200, 99, "h", Micros(0)}, 0.5) == Delivery::Verdict::kConflict);
  CHECK(delivery.Backlog() == 15);
  delivery.StartBatch();
  CHECK(delivery.OnResponse(now, {503, std::nullopt, "", std::chrono::hours(5)}, 0.0) ==
        Delivery::Verdict::kRetry);
  CHECK(*delivery.NextAttemptAt() - now ==
        std::chrono::seconds(60));  // Retry-After is capped at the maximum backoff.
  delivery.StartBatch();
  CHECK(delivery.OnResponse(now, {200, 4, "h", Micros(0)}, 0.0) == Delivery::Verdict::kVerify);
  delivery.OnVerified(now, 4, true, 0.0);
  CHECK(delivery.Rewinds() == 1);
  CHECK(delivery.StartBatch().from == 5);
}

}  // namespace
}  // namespace stoatrun::ledger
