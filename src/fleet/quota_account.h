// This relay's account of one quota: its own share, the units lent to peers and the units borrowed from them.
//
// The rules that keep the whole fleet within a quota are stated in quota_leases.h; this struct holds the
// state of one quota and the sums over it.
#ifndef STOATRUN_FLEET_QUOTA_ACCOUNT_H_
#define STOATRUN_FLEET_QUOTA_ACCOUNT_H_

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The share of a member: `units` divided evenly, with one unit of the remainder for each of the members that
// a hash of the quota's name selects. The shares of all members add up to `units`.
std::uint32_t ShareOf(const std::string& quota, std::uint32_t units, MemberId member_id,
                      std::uint32_t fleet_size);

// Units kept free in addition to the demand, so that a small increase needs no lease.
std::uint32_t Headroom(std::uint32_t demand);

// The account of one quota.
struct QuotaAccount {
  // Units that this relay lent to a peer.
  struct LentLease {
    std::uint64_t id = 0, nonce = 0;  // `nonce`: of the last request answered with this lease.
    MemberId borrower = 0;
    Incarnation incarnation;  // Of the borrower.
    std::uint32_t units = 0;
    Micros ends{0};
  };
  // Units that this relay borrowed from a peer.
  struct BorrowedLease {
    std::uint64_t id = 0;
    MemberId lender = 0;
    Incarnation lender_incarnation;
    std::uint32_t units = 0;
    Micros ends{0};
    std::deque<Micros> acquired_at;  // Within the window.
    bool returning = false;          // Returned, but not acknowledged yet.
  };
  // A request that has not been answered yet.
  struct PendingRequest {
    std::uint64_t nonce = 0;
    MemberId lender = 0;
    std::uint32_t units = 0;
    Micros at{0};
    std::uint64_t renews = 0;  // Id of the lease to renew; 0: request for a new lease.
  };
  // The lendable units that a peer reported.
  struct IdleReport {
    std::uint32_t units = 0;
    Micros at{0};
  };

  QuotaRule rule;
  std::uint32_t share = 0;
  std::uint32_t reserve = 0;       // Part of the share that is never lent.
  std::deque<Micros> acquired_at;  // Own units of a rate quota acquired within the window.
  std::uint32_t in_use = 0;        // Units of a concurrency quota in use.
  std::vector<LentLease> lent;
  std::vector<BorrowedLease> borrowed;
  std::vector<PendingRequest> requests;
  std::deque<Micros> recent_attempts;  // Times of recent TryAcquire calls; measures demand.
  Micros last_request_at{0};           // Time of the last request for a new lease.
  std::map<MemberId, IdleReport> idle_at_peers;
  Micros last_used_at{0};

  // Removes expired entries.
  void Expire(Micros now);
  // True if the account was made from a template, holds no state and was not used recently.
  bool IsEvictable(Micros now) const;
  std::uint32_t LentUnits() const;
  // Units of `usable`, the usable part of the share, that are neither acquired nor lent.
  std::uint32_t FreeOwnUnits(std::uint32_t usable) const;
  // The number of units of a concurrency quota that may be in use now.
  std::uint32_t ConcurrencyLimit(std::uint32_t usable, Micros now) const;
  // Units this relay uses or would use: recent acquisition attempts, and units in use.
  std::uint32_t Demand(Micros now);
  // The number of units that may be lent now.
  std::uint32_t LendableUnits(std::uint32_t usable, Micros now);
  // True if a request to renew the lease is pending.
  bool IsRenewing(std::uint64_t lease) const;

 private:
  void ExpireDemand(Micros now);
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_QUOTA_ACCOUNT_H_
