// QuotaLeases that the fleet keeps together, though no relay sees all of it.
//
// A quota is a number of units. Each place of the fleet owns a static share of them; a unit is spent by
// whoever has it and is then gone for the quota's window. A share that lies idle is lent. That no window of
// the complete fleet ever sees more than the quota follows from four rules, quota_templates kept by one relay
// alone:
//  - a unit of the own share is spent, or lent, only if it was not spent within a window before;
//  - a borrower spends a unit of a lease at most once a window, and only while the lease lasts by its own
//  clock, which
//    it reads in the turn in which it spends. The lease counts from the moment of its request;
//  - a lender takes a unit for its own again only a window after the lease has ended by its clock, whatever
//  it hears;
//  - a new run of a process knows nothing of what the former spent or lent: it has its share back only when
//  the longest
//    lease and a window have passed, and the part that is never lent when a window has passed.
// Clocks may differ in rate by kMaxClockDrift; quota_templates of these waits allows for it.
//
// A level (connections of a group) has no window: a unit is accepted until it is given back, and a process
// that is stopped holds its connections. So a level's lease ends for the borrower by its clock (it takes
// nothing more and gives up what is ended), but the lender has the units back only when the borrower says so,
// or when a new run of the borrower is heard of, as the connections ended with the former one. A new run of a
// lender has the part that it lends back when all others have said what they hold of it.
#ifndef STOATRUN_FLEET_QUOTA_LEASES_H_
#define STOATRUN_FLEET_QUOTA_LEASES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/random.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The share of a place: the complete part, and one of the units that are left for the places that the quota's
// name picks. All shares together are `units`.
std::uint32_t ShareOf(const std::string& quota, std::uint32_t units, MemberId member_id,
                      std::uint32_t fleet_size);

class QuotaLeases {
 public:
  struct Counts {
    std::uint64_t spent = 0, denied = 0, asked = 0, granted = 0, lent = 0, borrowed = 0, rejected = 0,
                  returned = 0, late_grants = 0, renewed = 0, no_room = 0;
  };
  struct Lease {  // One side's view, for the operators.
    std::string quota;
    MemberId other = 0;
    std::uint32_t units = 0;
    Micros ends{0};
    bool ended = false;  // By the clock; a level is still held.
  };
  struct View {
    std::string quota;
    std::uint32_t units = 0, share = 0, available = 0, spent = 0, lent = 0, borrowed = 0, excess = 0;
    bool reconciled = true;
  };

  QuotaLeases(const Settings& settings, std::uint64_t seed, Micros start);

  // Takes one unit, if there is one: of a window's quota, or of a level's until Release. `now` must be read
  // in the turn in which the unit is used.
  bool TryAcquire(Micros now, const std::string& quota);
  void Release(const std::string& quota);
  std::uint32_t Available(Micros now, const std::string& quota);
  // Units of a level that are held and should not be: to be given up at once.
  std::uint32_t Excess(Micros now, const std::string& quota);
  // Whether there is such a quota, or a rule that makes one.
  bool HasQuota(const std::string& quota) const { return RuleOf(quota) != nullptr; }

  // Asks that are due: what for; the caller picks whom by what is known to lie idle elsewhere.
  struct DueRequest {
    LeaseRequest request;
    std::optional<MemberId> lender;  // Of the lease that the request renews.
  };
  std::vector<DueRequest> Tick(Micros now);
  // The request was sent to `lender`: only now does its time begin.
  void OnRequestSent(Micros now, MemberId lender, const LeaseRequest& request);
  LeaseGrant OnRequest(Micros now, MemberId from, const Incarnation& borrower, const LeaseRequest& request);
  void OnGrant(Micros now, MemberId from, const Incarnation& lender, const Incarnation& self,
               const LeaseGrant& grant);
  // Returns that were not settled yet, for `lender`.
  std::vector<LeaseReturn> Returns(MemberId lender);
  // What to confirm; nothing: it is not ours.
  LeaseReturnAck OnReturn(Micros now, MemberId from, const LeaseReturn& r);
  void OnReturnAck(MemberId from, const LeaseReturnAck& settled);
  HeldLeases HeldFrom(MemberId lender, const Incarnation& lender_incarnation);
  void OnHeldLeases(Micros now, MemberId from, const Incarnation& borrower, const Incarnation& self,
                    const HeldLeases& held);
  bool NeedsHeldFrom(MemberId peer) const { return !reconciled_.contains(peer); }
  // A new run of `peer` was heard of: what its former one held of a level is free.
  void OnIncarnationSuperseded(MemberId peer, const Incarnation& former);
  // Of the peers that the operator file names: all must speak before a level's lent part is free.
  void Follow(const std::vector<Peer>& peers);

  std::vector<IdleUnits> IdleUnitsNow(Micros now);
  void OnIdleUnits(Micros now, MemberId peer, const std::vector<IdleUnits>& idle);
  // Whom to request for units of a quota: at random, by what they say lies idle.
  std::optional<MemberId> LenderFor(Micros now, const std::string& quota, const std::vector<MemberId>& alive);

  std::vector<View> Views(Micros now);
  std::vector<Lease> Lent(Micros now) const;
  std::vector<Lease> Borrowed(Micros now) const;
  const Counts& GetCounts() const { return counts_; }

 private:
  struct LentLease {
    std::uint64_t id = 0, nonce = 0;
    MemberId borrower = 0;
    Incarnation incarnation;
    std::uint32_t units = 0;
    Micros ends{0};
  };
  struct BorrowedLease {
    std::uint64_t id = 0;
    MemberId lender = 0;
    Incarnation lender_incarnation;
    std::uint32_t units = 0;
    Micros ends{0};
    std::deque<Micros> spent;  // Within the window.
    bool returning = false;
  };
  struct PendingRequest {
    std::uint64_t nonce = 0;
    MemberId lender = 0;
    std::uint32_t units = 0;
    Micros at{0};
    std::uint64_t renews = 0;
  };
  struct QuotaAccount {
    QuotaRule rule;
    std::uint32_t share = 0, reserve = 0;  // The reserve is part of the share and is never lent.
    std::deque<Micros> spent;              // Of the own share, within the window.
    std::uint32_t held = 0;                // Of a level.
    std::vector<LentLease> lent;
    std::vector<BorrowedLease> borrowed;
    std::vector<PendingRequest> requests;
    std::deque<Micros> demand;  // Calls of TryAcquire within the memory of demand.
    Micros requested_at{0};
    std::map<MemberId, std::pair<std::uint32_t, Micros>> idle_elsewhere;
    Micros used_at{0};
  };

  const QuotaRule* RuleOf(const std::string& quota) const;
  QuotaAccount* Find(Micros now, const std::string& quota);
  std::uint32_t Usable(const QuotaAccount& p, Micros now) const;
  std::uint32_t LentOut(const QuotaAccount& p) const;
  void Expire(QuotaAccount& p, Micros now);
  std::uint32_t OwnFree(const QuotaAccount& p, Micros now) const;
  std::uint32_t Allowed(const QuotaAccount& p, Micros now) const;
  std::uint32_t Demand(QuotaAccount& p, Micros now) const;
  std::uint32_t Lendable(QuotaAccount& p, Micros now) const;
  bool Reconciled() const;

  Settings settings_;
  Micros start_;
  Random random_;
  std::map<std::string, QuotaAccount> accounts_;
  std::uint64_t last_request_ = 0;
  std::set<MemberId> reconciled_;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_QUOTA_LEASES_H_
