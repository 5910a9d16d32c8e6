// Budgets that the fleet keeps together, though no relay sees all of it.
//
// A budget is a number of units. Each place of the fleet owns a static share of them; a unit is spent by
// whoever has it and is then gone for the budget's window. A share that lies idle is lent. That no window of
// the whole fleet ever sees more than the budget follows from four rules, each kept by one relay alone:
//  - a unit of the own share is spent, or lent, only if it was not spent within a window before;
//  - a borrower spends a unit of a lease at most once a window, and only while the lease lasts by its own
//  clock, which
//    it reads in the turn in which it spends. The lease counts from the moment of its ask;
//  - a lender takes a unit for its own again only a window after the lease has ended by its clock, whatever
//  it hears;
//  - a new run of a process knows nothing of what the former spent or lent: it has its share back only when
//  the longest
//    lease and a window have passed, and the part that is never lent when a window has passed.
// Clocks may differ in rate by kClockRate; each of these waits allows for it.
//
// A level (connections of a group) has no window: a unit is taken until it is given back, and a process that
// is stopped holds its connections. So a level's lease ends for the borrower by its clock (it takes nothing
// more and gives up what is over), but the lender has the units back only when the borrower says so, or when
// a new run of the borrower is heard of, as the connections ended with the former one. A new run of a lender
// has the part that it lends back when all others have said what they hold of it.
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

// The share of a place: the whole part, and one of the units that are left for the places that the budget's
// name picks. All shares together are `units`.
std::uint32_t ShareOf(const std::string& budget, std::uint32_t units, Slot slot, std::uint32_t slots);

class Budgets {
 public:
  struct Counts {
    std::uint64_t spent = 0, denied = 0, asked = 0, granted = 0, lent = 0, borrowed = 0, refused = 0,
                  returned = 0, late_grants = 0, renewed = 0, no_room = 0;
  };
  struct Lease {  // One side's view, for the operators.
    std::string budget;
    Slot other = 0;
    std::uint32_t units = 0;
    Micros ends{0};
    bool ended = false;  // By the clock; a level is still held.
  };
  struct View {
    std::string budget;
    std::uint32_t units = 0, share = 0, available = 0, spent = 0, lent = 0, borrowed = 0, excess = 0;
    bool reconciled = true;
  };

  Budgets(const Settings& settings, std::uint64_t seed, Micros start);

  // Takes one unit, if there is one: of a window's budget, or of a level's until Release. `now` must be read
  // in the turn in which the unit is used.
  bool Spend(Micros now, const std::string& budget);
  void Release(const std::string& budget);
  std::uint32_t Available(Micros now, const std::string& budget);
  // Units of a level that are held and should not be: to be given up at once.
  std::uint32_t Excess(Micros now, const std::string& budget);
  // Whether there is such a budget, or a rule that makes one.
  bool Knows(const std::string& budget) const { return RuleOf(budget) != nullptr; }

  // Asks that are due: what for; the caller picks whom by what is known to lie idle elsewhere.
  struct Wanted {
    LeaseAsk ask;
    std::optional<Slot> lender;  // Of the lease that the ask renews.
  };
  std::vector<Wanted> Tick(Micros now);
  // The ask was sent to `lender`: only now does its time begin.
  void Asked(Micros now, Slot lender, const LeaseAsk& ask);
  LeaseGrant OnAsk(Micros now, Slot from, const Life& borrower, const LeaseAsk& ask);
  void OnGrant(Micros now, Slot from, const Life& lender, const Life& self, const LeaseGrant& grant);
  // Returns that were not settled yet, for `lender`.
  std::vector<LeaseReturn> Returns(Slot lender);
  // What to confirm; nothing: it is not ours.
  std::optional<LeaseSettled> OnReturn(Micros now, Slot from, const Life& self, const LeaseReturn& r);
  void OnSettled(Slot from, const LeaseSettled& settled);
  Held HeldOf(Slot lender, const Life& lender_life);
  void OnHeld(Micros now, Slot from, const Life& borrower, const Life& self, const Held& held);
  bool WantsHeldOf(Slot peer) const { return !reconciled_.contains(peer); }
  // A new run of `peer` was heard of: what its former one held of a level is free.
  void OnSuperseded(Slot peer, const Life& former);
  // Of the peers that the operator file names: all must speak before a level's lent part is free.
  void Follow(const std::vector<Peer>& peers);

  std::vector<Idle> IdleNow(Micros now);
  void NoteIdle(Micros now, Slot peer, const std::vector<Idle>& idle);
  // Whom to ask for units of a budget: at random, by what they say lies idle.
  std::optional<Slot> LenderFor(Micros now, const std::string& budget, const std::vector<Slot>& alive);

  std::vector<View> Views(Micros now);
  std::vector<Lease> Lent(Micros now) const;
  std::vector<Lease> Borrowed(Micros now) const;
  const Counts& Counted() const { return counts_; }

 private:
  struct LentLease {
    std::uint64_t id = 0, nonce = 0;
    Slot borrower = 0;
    Life life;
    std::uint32_t units = 0;
    Micros ends{0};
  };
  struct BorrowedLease {
    std::uint64_t id = 0;
    Slot lender = 0;
    Life lender_life;
    std::uint32_t units = 0;
    Micros ends{0};
    std::deque<Micros> spent;  // Within the window.
    bool returning = false;
  };
  struct Ask {
    std::uint64_t nonce = 0;
    Slot lender = 0;
    std::uint32_t units = 0;
    Micros at{0};
    std::uint64_t renews = 0;
  };
  struct Purse {
    BudgetRule rule;
    std::uint32_t share = 0, reserve = 0;  // The reserve is part of the share and is never lent.
    std::deque<Micros> spent;              // Of the own share, within the window.
    std::uint32_t held = 0;                // Of a level.
    std::vector<LentLease> lent;
    std::vector<BorrowedLease> borrowed;
    std::vector<Ask> asks;
    std::deque<Micros> demand;  // Calls of Spend within the memory of demand.
    Micros asked_at{0};
    std::map<Slot, std::pair<std::uint32_t, Micros>> idle_elsewhere;
    Micros used_at{0};
  };

  const BudgetRule* RuleOf(const std::string& budget) const;
  Purse* Find(Micros now, const std::string& budget);
  std::uint32_t Usable(const Purse& p, Micros now) const;
  std::uint32_t LentOut(const Purse& p) const;
  void Expire(Purse& p, Micros now);
  std::uint32_t OwnFree(const Purse& p, Micros now) const;
  std::uint32_t Allowed(const Purse& p, Micros now) const;
  std::uint32_t Demand(Purse& p, Micros now) const;
  std::uint32_t Lendable(Purse& p, Micros now) const;
  bool Reconciled() const;

  Settings settings_;
  Micros start_;
  Random random_;
  std::map<std::string, Purse> purses_;
  std::uint64_t last_ask_ = 0;
  std::set<Slot> reconciled_;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_QUOTA_LEASES_H_
