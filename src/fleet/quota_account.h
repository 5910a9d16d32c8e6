// One quota as this relay accounts for it: its own share, what it lent out and what it borrowed.
//
// The bounds that keep the whole fleet within a quota are stated in quota_leases.h; this struct holds the
// numbers and the sums over them.
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

// The share of a member: the integral part, and one of the units that remain for the members that the quota's
// name picks. All shares together are `units`.
std::uint32_t ShareOf(const std::string& quota, std::uint32_t units, MemberId member_id,
                      std::uint32_t fleet_size);

// Units that are kept free beside a demand, so that a small rise needs no lease.
std::uint32_t Headroom(std::uint32_t demand);

// The account of one quota.
struct QuotaAccount {
  // Units that this relay lent to a peer.
  struct LentLease {
    std::uint64_t id = 0, nonce = 0;  // `nonce`: of the last request that it answered.
    MemberId borrower = 0;
    Incarnation incarnation;  // The borrower's.
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
    bool returning = false;          // Given up, and not acknowledged yet.
  };
  // A request that was not answered yet.
  struct PendingRequest {
    std::uint64_t nonce = 0;
    MemberId lender = 0;
    std::uint32_t units = 0;
    Micros at{0};
    std::uint64_t renews = 0;  // 0: a new lease.
  };
  // What a peer said it would lend.
  struct IdleReport {
    std::uint32_t units = 0;
    Micros at{0};
  };

  QuotaRule rule;
  std::uint32_t share = 0;
  std::uint32_t reserve = 0;       // The part of the share that is never lent.
  std::deque<Micros> acquired_at;  // Units of the own share that a rate quota's window still covers.
  std::uint32_t in_use = 0;        // Of a concurrency quota.
  std::vector<LentLease> lent;
  std::vector<BorrowedLease> borrowed;
  std::vector<PendingRequest> requests;
  std::deque<Micros> demand_at;  // Recent calls of TryAcquire.
  Micros requested_at{0};        // The last request for a new lease.
  std::map<MemberId, IdleReport> idle_at_peers;
  Micros used_at{0};

  // Drops what has expired.
  void Expire(Micros now);
  // True if nothing would be lost with the account, and it was not used for long.
  bool IsDisposable(Micros now) const;
  // Units that are lent out.
  std::uint32_t LentOut() const;
  // Units of `usable`, the usable part of the share, that are not acquired and not lent.
  std::uint32_t OwnFree(std::uint32_t usable) const;
  // Of a concurrency quota: how many units may be in use now.
  std::uint32_t Allowed(std::uint32_t usable, Micros now) const;
  // Units that this relay uses, or would: what was asked of the quota recently.
  std::uint32_t Demand(Micros now);
  // Units that may be lent now.
  std::uint32_t Lendable(std::uint32_t usable, Micros now);
  // True if a request to renew the lease is pending.
  bool IsRenewing(std::uint64_t lease) const;

 private:
  void ExpireDemand(Micros now);
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_QUOTA_ACCOUNT_H_
