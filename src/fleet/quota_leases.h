// Quotas that the fleet keeps together, though no relay sees all of them: escrow shares and leases.
//
// A quota is a number of units. Each member owns a static share of them (escrow: O'Neil 1986); units of a
// share that lie idle are lent under leases (Gray, Cheriton 1989). A unit of a rate quota is acquired by
// whoever has it and is then unavailable for the quota's window. No window of the whole fleet ever sees more
// than the quota, because of four rules, each kept by one relay alone:
//  - a unit of the own share is acquired, or lent, only if it was not acquired within a window before;
//  - a borrower acquires a unit of a lease at most once a window, and only while the lease lasts by its own
//    clock, which it reads in the turn in which it acquires. The lease counts from the moment of its request;
//  - a lender uses a lent unit itself again only a window after the lease has ended by its clock, whatever
//    messages say;
//  - a new incarnation knows nothing of what the former one acquired or lent: it has its share back only when
//    the longest lease and a window have passed, and the part that is never lent when a window has passed.
// Clocks may differ in rate by kMaxClockDrift; each of these waits allows for it.
//
// A concurrency quota (connections of a group) has no window: a unit is in use until it is released, and a
// process that is stopped keeps its connections. So a lease ends for the borrower by its clock (it acquires
// nothing more and gives up what exceeds its quota), but the lender has the units back only when the borrower
// returns them, or when a new incarnation of the borrower is heard of, as the connections ended with the
// former one. A new incarnation of a lender has the part that it lends back when all peers have stated what
// they hold of it.
//
// Deterministic and not thread-safe; see node.h. Bounded: at most 4,096 accounts, four pending requests for
// each.
#ifndef STOATRUN_FLEET_QUOTA_LEASES_H_
#define STOATRUN_FLEET_QUOTA_LEASES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/message.h"
#include "fleet/quota_account.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The fleet's quotas as this relay sees them, as lender and as borrower.
class QuotaLeases {
 public:
  // Counters since the start.
  struct Counts {
    std::uint64_t acquired = 0, denied = 0, requested = 0, granted = 0, lent = 0, borrowed = 0, rejected = 0,
                  returned = 0, late_grants = 0, renewed = 0, over_capacity = 0;
  };
  // A lease as one side sees it, for the status call.
  struct Lease {
    std::string quota;
    MemberId peer = 0;
    std::uint32_t units = 0;
    Micros ends{0};
    bool ended = false;  // By the clock; of a concurrency quota it may still be held.
  };
  // A quota, for the status call.
  struct View {
    std::string quota;
    std::uint32_t units = 0, share = 0, available = 0, acquired = 0, lent = 0, borrowed = 0, excess = 0;
    bool reconciled = true;  // All peers have stated what they hold of it.
  };
  // A request that is due. The caller picks the lender, where none is named, and reports OnRequestSent.
  struct DueRequest {
    LeaseRequest request;
    std::optional<MemberId> lender;  // Of the lease that is renewed.
  };

  // `start`: when this incarnation started.
  QuotaLeases(const Settings& settings, std::uint64_t seed, Micros start);

  // Acquires one unit, if one is available: of a rate quota for its window, of a concurrency quota until
  // Release. `now` must be read in the turn in which the unit is used.
  bool TryAcquire(Micros now, const std::string& quota);
  // Releases one unit of a concurrency quota.
  void Release(const std::string& quota);
  // How many units could be acquired now.
  std::uint32_t Available(Micros now, const std::string& quota);
  // Units of a concurrency quota that are in use and should not be: to be released at once.
  std::uint32_t Excess(Micros now, const std::string& quota);
  // Whether there is such a quota, or a template that makes one.
  bool HasQuota(const std::string& quota) const { return RuleOf(quota) != nullptr; }
  // Follows a changed operator file: peers added or removed.
  void SetPeers(const std::vector<Peer>& peers);

  // ---- as a borrower ----

  // Returns the requests that are due; called each tick and when a unit was denied.
  std::vector<DueRequest> Tick(Micros now);
  // The request was sent: its lease's time starts here.
  void OnRequestSent(Micros now, MemberId lender, const LeaseRequest& request);
  // A grant arrived. `self`: this relay's incarnation.
  void OnGrant(Micros now, MemberId from, const Incarnation& lender, const Incarnation& self,
               const LeaseGrant& grant);
  // Returns to `lender` that it did not acknowledge yet.
  std::vector<LeaseReturn> PendingReturns(MemberId lender) const;
  // The lender has the units back.
  void OnReturnAck(MemberId from, const LeaseReturnAck& ack);
  // States what this relay holds of the lender's concurrency quotas, and withdraws its pending requests
  // there.
  HeldLeases ReportHeldLeases(MemberId lender, const Incarnation& lender_incarnation);
  // Takes note of the units that a peer would lend.
  void OnIdleUnits(Micros now, MemberId peer, const std::vector<IdleUnits>& idle);
  // Which of the `alive` members to ask for units: at random, weighted by what they said lies idle.
  std::optional<MemberId> ChooseLender(Micros now, const std::string& quota,
                                       const std::vector<MemberId>& alive);

  // ---- as a lender ----

  // Answers a request; a repeated request has the same answer.
  LeaseGrant OnRequest(Micros now, MemberId from, const Incarnation& borrower, const LeaseRequest& request);
  // Takes units back and returns the acknowledgement, also for a lease that is not known (any more).
  LeaseReturnAck OnReturn(Micros now, MemberId from, const LeaseReturn& lease_return);
  // A peer stated what it holds of this relay's concurrency quotas. `self`: this relay's incarnation.
  void OnHeldLeases(Micros now, MemberId from, const Incarnation& borrower, const Incarnation& self,
                    const HeldLeases& held);
  // Whether the peer's statement is still missing.
  bool NeedsHeldLeasesFrom(MemberId peer) const { return !reconciled_.contains(peer); }
  // A new incarnation of `peer` was heard of: what the former one held of concurrency quotas is free.
  void OnIncarnationSuperseded(MemberId peer, const Incarnation& former);
  // Units of each quota that this relay would lend now.
  std::vector<IdleUnits> LendableUnits(Micros now);

  // ---- for the status call ----

  // All quotas.
  std::vector<View> Views(Micros now);
  // All leases that were lent.
  std::vector<Lease> LentLeases(Micros now) const;
  // All leases that were borrowed.
  std::vector<Lease> BorrowedLeases(Micros now) const;
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }

 private:
  const QuotaRule* RuleOf(const std::string& quota) const;
  // The account; made if the quota exists and there is none yet. Null: no such quota, or too many accounts.
  QuotaAccount* Find(Micros now, const std::string& quota);
  // The part of the own share that no former incarnation can still be using, or have lent.
  std::uint32_t Usable(const QuotaAccount& account, Micros now) const;
  bool IsReconciled() const;

  bool TryAcquireConcurrent(QuotaAccount& account, Micros now);
  bool TryAcquireRate(QuotaAccount& account, Micros now);
  // Returns or renews borrowed leases. `available`: units at hand without them; borrowed ones are added.
  void ReviewBorrowed(Micros now, QuotaAccount& account, std::uint32_t wanted, std::uint32_t& available,
                      std::vector<DueRequest>& out);
  void RequestNewLeases(Micros now, QuotaAccount& account, std::uint32_t wanted, std::uint32_t available,
                        std::vector<DueRequest>& out);
  void AcceptGrant(Micros now, MemberId from, const Incarnation& lender, const LeaseGrant& grant,
                   QuotaAccount& account, const QuotaAccount::PendingRequest& request);
  bool TryRenew(Micros now, QuotaAccount& account, QuotaAccount::LentLease& lease, std::uint64_t nonce);

  Settings settings_;
  Micros start_;
  Random random_;
  std::map<std::string, QuotaAccount> accounts_;
  std::uint64_t last_nonce_ = 0;
  std::set<MemberId> reconciled_;  // Peers that stated what they hold.
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_QUOTA_LEASES_H_
