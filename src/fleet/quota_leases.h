// Fleet-wide quotas, enforced without global knowledge by escrow shares and leases.
//
// A quota is a number of units. Each member owns a static share of them (escrow: O'Neil 1986); idle units of
// a share are lent under leases (Gray, Cheriton 1989). A unit of a rate quota is acquired by the member that
// owns or borrows it and is then unavailable for the quota's window. Four rules, each enforced by a single
// relay, guarantee that the whole fleet never exceeds the quota in any window:
//  - a unit of a relay's own share is acquired or lent only if it was not acquired within the last window;
//  - a borrower acquires a unit of a lease at most once per window, and only while the lease is valid by the
//    borrower's own clock, read in the same event-loop turn as the acquisition. The lease runs from the time
//    of the request;
//  - a lender reuses a lent unit only one window after the lease has ended by the lender's clock, regardless
//    of any message;
//  - a new incarnation does not know what the previous one acquired or lent: it may use its whole share only
//    after the longest lease plus one window, and the part that is never lent after one window.
// Clock rates may differ by kMaxClockDrift; each of these waits allows for it.
//
// A concurrency quota (connections of a group) has no window: a unit is in use until it is released, and a
// suspended process keeps its connections. For the borrower, a lease therefore ends by its own clock: it
// acquires no further units and releases units in excess of its quota. The lender regains the units only when
// the borrower returns them, or when a new incarnation of the borrower becomes known, because the connections
// of the previous one ended with it. A new incarnation of a lender regains the lendable part of its share
// when all peers have stated which of its units they hold.
//
// Deterministic and not thread-safe; see node.h. Memory is bounded: at most 4,096 accounts with four pending
// requests each.
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

// This relay's view of the fleet's quotas, as lender and as borrower.
class QuotaLeases {
 public:
  // Counters since the start.
  struct Counts {
    std::uint64_t acquired = 0, denied = 0, requested = 0, granted = 0, lent = 0, borrowed = 0, rejected = 0,
                  returned = 0, late_grants = 0, renewed = 0, over_capacity = 0;
  };
  // A lease from the view of one side, for the status document.
  struct Lease {
    std::string quota;
    MemberId peer = 0;
    std::uint32_t units = 0;
    Micros ends{0};
    bool ended = false;  // By this relay's clock; units of a concurrency quota may still be held.
  };
  // A quota, for the status document.
  struct View {
    std::string quota;
    std::uint32_t units = 0, share = 0, available = 0, acquired = 0, lent = 0, borrowed = 0, excess = 0;
    bool reconciled = true;  // All peers have stated which of this relay's units they hold.
  };
  // A request that is due. The caller chooses the lender if none is set, and calls OnRequestSent.
  struct DueRequest {
    LeaseRequest request;
    std::optional<MemberId> lender;  // Set for a renewal.
  };

  // `start`: the start time of this incarnation.
  QuotaLeases(const Settings& settings, std::uint64_t seed, Micros start);

  // Acquires one unit if one is available: of a rate quota for its window, of a concurrency quota until
  // Release. `now` must be read in the same event-loop turn in which the unit is used.
  bool TryAcquire(Micros now, const std::string& quota);
  // Releases one unit of a concurrency quota.
  void Release(const std::string& quota);
  // The number of units that can be acquired now.
  std::uint32_t Available(Micros now, const std::string& quota);
  // Units of a concurrency quota in use beyond the current limit; the caller must release them at once.
  std::uint32_t Excess(Micros now, const std::string& quota);
  // True if the quota is configured or can be made from a template.
  bool HasQuota(const std::string& quota) const { return FindRule(quota) != nullptr; }
  // Applies a reloaded operator file that adds or removes peers.
  void SetPeers(const std::vector<Peer>& peers);

  // ---- as a borrower ----

  // Returns the requests that are due. Call on every tick and whenever a unit was denied.
  std::vector<DueRequest> Tick(Micros now);
  // Records that a request was sent. The lease runs from this time.
  void OnRequestSent(Micros now, MemberId lender, const LeaseRequest& request);
  // Processes a received grant. `self`: this relay's incarnation.
  void OnGrant(Micros now, MemberId from, const Incarnation& lender, const Incarnation& self,
               const LeaseGrant& grant);
  // Lease returns to `lender` that have not been acknowledged yet.
  std::vector<LeaseReturn> PendingReturns(MemberId lender) const;
  // Processes the lender's acknowledgement of a return.
  void OnReturnAck(MemberId from, const LeaseReturnAck& ack);
  // Lists the units of concurrency quotas that this relay holds from the lender, and cancels its pending
  // requests there.
  HeldLeases ReportHeldLeases(MemberId lender, const Incarnation& lender_incarnation);
  // Records the lendable units that a peer reported.
  void OnIdleUnits(Micros now, MemberId peer, const std::vector<IdleUnits>& idle);
  // Selects the `alive` member to request units from, at random, weighted by their reported lendable units.
  std::optional<MemberId> ChooseLender(Micros now, const std::string& quota,
                                       const std::vector<MemberId>& alive);

  // ---- as a lender ----

  // Answers a request. A duplicated request gets the same answer.
  LeaseGrant OnRequest(Micros now, MemberId from, const Incarnation& borrower, const LeaseRequest& request);
  // Takes returned units back. The return is acknowledged even if the lease is unknown.
  LeaseReturnAck OnReturn(Micros now, MemberId from, const LeaseReturn& lease_return);
  // Processes a peer's statement of the concurrency units that it holds from this relay. `self`: this relay's
  // incarnation.
  void OnHeldLeases(Micros now, MemberId from, const Incarnation& borrower, const Incarnation& self,
                    const HeldLeases& held);
  // True if the peer has not yet stated what it holds.
  bool NeedsHeldLeasesFrom(MemberId peer) const { return !reconciled_.contains(peer); }
  // A new incarnation of `peer` became known: frees the concurrency units that the previous one held.
  void OnIncarnationSuperseded(MemberId peer, const Incarnation& previous);
  // The units of each quota that this relay can lend now.
  std::vector<IdleUnits> LendableUnits(Micros now);

  // ---- status ----

  std::vector<View> Views(Micros now);
  std::vector<Lease> LentLeases(Micros now) const;
  std::vector<Lease> BorrowedLeases(Micros now) const;
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }

 private:
  const QuotaRule* FindRule(const std::string& quota) const;
  // Returns the account, created if necessary. Null if the quota does not exist or there are too many
  // accounts.
  QuotaAccount* FindOrCreateAccount(Micros now, const std::string& quota);
  // The part of the own share that no previous incarnation can still be using or have lent.
  std::uint32_t UsableShare(const QuotaAccount& account, Micros now) const;
  bool IsReconciled() const;

  bool TryAcquireConcurrent(QuotaAccount& account, Micros now);
  bool TryAcquireRate(QuotaAccount& account, Micros now);
  // Marks unneeded borrowed leases for return and requests renewal of the needed ones. `available`: in, the
  // units available without borrowed leases; out, also with those.
  void RenewOrReturnLeases(Micros now, QuotaAccount& account, std::uint32_t wanted, std::uint32_t& available,
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
  std::set<MemberId> reconciled_;  // Peers that have stated what they hold.
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_QUOTA_LEASES_H_
