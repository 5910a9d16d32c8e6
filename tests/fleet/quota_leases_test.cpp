// Tests of quota leases: shares, leases between a lender and a borrower, restarts, late and duplicated
// messages.
#include "fleet/quota_leases.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdint>
#include <string>

#include "fleet/fleet_fixture.h"
#include "fleet/message.h"
#include "fleet/quota_account.h"
#include "fleet/types.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Acquires all available units of a quota. Returns their number.
std::uint32_t AcquireAll(QuotaLeases& leases, Micros now, const std::string& quota) {
  std::uint32_t acquired = 0;
  while (leases.TryAcquire(now, quota)) ++acquired;
  return acquired;
}

// A time at which a new incarnation no longer withholds units that its predecessor may be using.
constexpr Micros kSettled = kStart + seconds(10);

// The lease request for the quota that is due now; empty if there is none.
LeaseRequest RequestFor(QuotaLeases& leases, Micros now, const std::string& quota) {
  for (const auto& due : leases.Tick(now)) {
    if (due.request.quota == quota) return due.request;
  }
  return {};
}

TEST_CASE("the shares of all members add up to the quota, for any name and fleet size") {
  for (const std::uint32_t fleet_size : {1U, 2U, 3U, 7U, 100U}) {
    for (std::uint32_t units = 0; units < 40; ++units) {
      for (const char* name : {"retry", "cold:s1", "cold:s2"}) {
        std::uint32_t sum = 0;
        for (MemberId member = 0; member < fleet_size; ++member) {
          sum += ShareOf(name, units, member, fleet_size);
        }
        REQUIRE(sum == units);
      }
    }
  }
  CHECK(ShareOf("retry", 10, 9, 5) == 0);
}

TEST_CASE(
    "a share is acquired once per window, and a new incarnation waits until the use by the previous one has "
    "expired") {
  Settings settings = ThreeMembers(0);
  settings.quotas[0].units = 48;
  QuotaLeases leases(settings, 1, kStart);
  // The previous incarnation may have acquired the whole share immediately before the restart.
  CHECK(AcquireAll(leases, kStart + milliseconds(1000), "retry") == 0);
  // After one window the reserve is usable, the eighth of the share that is never lent.
  CHECK(AcquireAll(leases, kStart + milliseconds(1011), "retry") == 2);
  CHECK(AcquireAll(leases, kStart + milliseconds(3020), "retry") == 2);
  // The rest is usable after the longest lease and one more window.
  CHECK(AcquireAll(leases, kStart + milliseconds(3031), "retry") == 14);
  CHECK(AcquireAll(leases, kStart + milliseconds(3900), "retry") == 0);
  CHECK(AcquireAll(leases, kStart + milliseconds(4042), "retry") == 16);
  CHECK_FALSE(leases.TryAcquire(kSettled, "unknown"));
  CHECK_FALSE(leases.TryAcquire(kSettled, "cold:"));
  CHECK(leases.HasQuota("cold:s1"));
  CHECK_FALSE(leases.HasQuota("cold"));
}

TEST_CASE(
    "a lease ends for the borrower before it ends for the lender, which reuses the units only a window "
    "later") {
  QuotaLeases lender(ThreeMembers(0), 1, kStart), borrower(ThreeMembers(1), 2, kStart);
  const Micros requested_at = kSettled;
  CHECK(AcquireAll(borrower, requested_at, "retry") == 4);
  const LeaseRequest request = RequestFor(borrower, requested_at, "retry");
  REQUIRE(request.units > 0);
  borrower.OnRequestSent(requested_at, 0, request);
  const Micros granted_at = kSettled + milliseconds(300);
  const LeaseGrant grant = lender.OnRequest(granted_at, 1, kOtherIncarnation, request);
  CHECK(grant.units == std::min<std::uint32_t>(request.units, 4));
  // A duplicate of the request gets the same lease.
  const LeaseGrant repeated = lender.OnRequest(granted_at + milliseconds(1), 1, kOtherIncarnation, request);
  CHECK(repeated.lease == grant.lease);
  CHECK(AcquireAll(lender, granted_at, "retry") == 4 - grant.units);

  borrower.OnGrant(requested_at + milliseconds(600), 0, kIncarnation, kOtherIncarnation, grant);
  borrower.OnGrant(requested_at + milliseconds(601), 0, kIncarnation, kOtherIncarnation, repeated);
  CHECK(AcquireAll(borrower, requested_at + milliseconds(700), "retry") == grant.units);
  // The lease runs from the request and is shortened by the allowed clock drift.
  CHECK(borrower.Available(requested_at + milliseconds(1979), "retry") == 4 + grant.units);
  CHECK(borrower.Available(requested_at + milliseconds(1980), "retry") == 4);
  CHECK(lender.Available(granted_at + milliseconds(3029), "retry") == 4 - grant.units);
  CHECK(lender.Available(granted_at + milliseconds(3031), "retry") == 4);
}

TEST_CASE(
    "a borrower that was suspended past the end of its lease finds it expired in the turn that would "
    "acquire a unit") {
  QuotaLeases lender(ThreeMembers(0), 1, kStart), borrower(ThreeMembers(1), 2, kStart);
  AcquireAll(borrower, kSettled, "retry");
  const LeaseRequest request = RequestFor(borrower, kSettled, "retry");
  borrower.OnRequestSent(kSettled, 0, request);
  borrower.OnGrant(kSettled, 0, kIncarnation, kOtherIncarnation,
                   lender.OnRequest(kSettled, 1, kOtherIncarnation, request));
  CHECK(AcquireAll(borrower, kSettled + seconds(20), "retry") == 4);
  CHECK(borrower.BorrowedLeases(kSettled + seconds(20)).empty());
}

TEST_CASE("late grants and grants for another incarnation or request are not accepted") {
  QuotaLeases lender(ThreeMembers(0), 1, kStart), borrower(ThreeMembers(1), 2, kStart);
  AcquireAll(borrower, kSettled, "retry");
  const LeaseRequest request = RequestFor(borrower, kSettled, "retry");
  borrower.OnRequestSent(kSettled, 0, request);
  const LeaseGrant grant = lender.OnRequest(kSettled, 1, kOtherIncarnation, request);
  borrower.OnGrant(kSettled, 0, kIncarnation, Incarnation{7, 70}, grant);
  borrower.OnGrant(kSettled, 2, kIncarnation, kOtherIncarnation, grant);
  LeaseGrant forged = grant;
  forged.nonce += 1000;
  borrower.OnGrant(kSettled, 0, kIncarnation, kOtherIncarnation, forged);
  CHECK(borrower.BorrowedLeases(kSettled).empty());
  borrower.Tick(kSettled + milliseconds(1100));
  borrower.OnGrant(kSettled + milliseconds(1100), 0, kIncarnation, kOtherIncarnation, grant);
  CHECK(borrower.BorrowedLeases(kSettled + milliseconds(1100)).empty());
  CHECK(borrower.GetCounts().late_grants == 3);
}

TEST_CASE(
    "units of a concurrency quota are regained when the borrower returns them, not by the lender's clock") {
  QuotaLeases lender(ThreeMembers(0), 1, kStart), borrower(ThreeMembers(1), 2, kStart);
  for (QuotaLeases* leases : {&lender, &borrower}) {
    for (MemberId member = 0; member < 3; ++member) {
      leases->OnHeldLeases(kStart, member, Incarnation{1, 1 + member}, kIncarnation, {kIncarnation, 0, {}});
    }
  }
  CHECK(AcquireAll(borrower, kSettled, "group") == 4);
  const LeaseRequest request = RequestFor(borrower, kSettled, "group");
  borrower.OnRequestSent(kSettled, 0, request);
  const LeaseGrant grant = lender.OnRequest(kSettled, 1, kOtherIncarnation, request);
  REQUIRE(grant.units == 2);  // Half of a concurrency quota's share is never lent.
  borrower.OnGrant(kSettled, 0, kIncarnation, kOtherIncarnation, grant);
  CHECK(AcquireAll(borrower, kSettled, "group") == 2);
  const Micros much_later = kSettled + seconds(3600);
  CHECK(lender.Available(much_later, "group") == 2);
  // The borrower releases the units of the ended lease before it returns the lease.
  CHECK(borrower.Excess(much_later, "group") == 2);
  borrower.Tick(much_later);
  CHECK(borrower.PendingReturns(0).empty());
  borrower.Release("group");
  borrower.Release("group");
  borrower.Tick(much_later);
  const auto returns = borrower.PendingReturns(0);
  REQUIRE(returns.size() == 1);
  const auto acknowledgement = lender.OnReturn(much_later, 1, returns[0]);
  CHECK(acknowledgement.lease == returns[0].lease);
  CHECK(lender.Available(much_later, "group") == 4);
  lender.OnReturn(much_later, 1, returns[0]);  // Duplicated in transit.
  CHECK(lender.Available(much_later, "group") == 4);
  borrower.OnReturnAck(0, acknowledgement);
  CHECK(borrower.PendingReturns(0).empty());
}

TEST_CASE(
    "a restarted lender regains the lendable part of a concurrency quota when all peers have stated what "
    "they hold") {
  QuotaLeases lender(ThreeMembers(0), 1, kStart);
  CHECK(lender.Available(kSettled, "group") == 2);
  lender.OnHeldLeases(kSettled, 1, kOtherIncarnation, kIncarnation, {kIncarnation, 0, {{"group", 77, 1}}});
  CHECK(lender.Available(kSettled, "group") == 1);  // A unit that a peer holds counts as lent at once.
  // A statement addressed to another incarnation is ignored.
  lender.OnHeldLeases(kSettled, 2, Incarnation{1, 3}, Incarnation{9, 99}, {kIncarnation, 0, {}});
  CHECK(lender.NeedsHeldLeasesFrom(2));
  lender.OnHeldLeases(kSettled, 2, Incarnation{1, 3}, kIncarnation, {kIncarnation, 0, {}});
  CHECK(lender.Available(kSettled, "group") == 3);
  // A new incarnation of the borrower holds none of the units that the previous one held.
  lender.OnIncarnationSuperseded(1, kOtherIncarnation);
  CHECK(lender.Available(kSettled, "group") == 4);
}

TEST_CASE("no grant for an earlier request is accepted after a statement of held leases") {
  QuotaLeases lender(ThreeMembers(0), 1, kStart), borrower(ThreeMembers(1), 2, kStart);
  for (MemberId member = 0; member < 3; ++member) {
    lender.OnHeldLeases(kStart, member, Incarnation{1, 1 + member}, kIncarnation, {kIncarnation, 0, {}});
  }
  AcquireAll(borrower, kSettled, "group");
  const LeaseRequest request = RequestFor(borrower, kSettled, "group");
  borrower.OnRequestSent(kSettled, 0, request);
  const LeaseGrant grant = lender.OnRequest(kSettled, 1, kOtherIncarnation, request);
  REQUIRE(grant.units > 0);
  const HeldLeases held = borrower.ReportHeldLeases(0, kIncarnation);
  lender.OnHeldLeases(kSettled, 1, kOtherIncarnation, kIncarnation, held);
  CHECK(lender.Available(kSettled, "group") == 4);
  const std::uint32_t before = borrower.Available(kSettled, "group");
  borrower.OnGrant(kSettled, 0, kIncarnation, kOtherIncarnation, grant);
  CHECK(borrower.Available(kSettled, "group") == before);
}

}  // namespace
}  // namespace stoatrun::fleet
