// Faults that the fleet's own tests plant, to see that the checker of histories can fail. The program is
// built without STOATRUN_INJECT_FAULTS: then every question here is `false` at compile time.
#ifndef STOATRUN_FLEET_INJECTED_FAULT_H_
#define STOATRUN_FLEET_INJECTED_FAULT_H_

namespace stoatrun::fleet {

enum class Fault {
  kNone,
  kLeaseIgnoresPause,        // The borrower asks for the time when it borrows, not when it spends.
  kLeaseCountsFromGrant,     // The borrower counts the lease from the grant's arrival.
  kLenderForgetsWindow,      // The lender uses units again in the moment in which the lease ends.
  kLenderForgetsRestart,     // A new run uses and lends its share at once.
  kGrantTakenTwice,          // A grant that comes twice counts twice.
  kLevelEndsByClock,         // The lender of a level takes it back by its own clock alone.
  kLoansForgottenByRestart,  // A new run of a lender doesn't ask who holds its units.
  kCountWithoutLife,         // Counts of a new run replace those of the former.
  kCountAddedTwice,          // Counts that come late from a former run are added again.
  kAgeWithoutTransit,        // The time under way is left out of an age.
  kJudgementWithoutEnd,      // Hearsay holds for ever.
  kOneWitnessIsEnough,       // Hearsay of one takes a server away.
  kNoCapOnHearsay,           // Any number of servers may be avoided on hearsay.
  kHearsayBeforeOwn,         // What others say goes before what was seen here.
};

#ifdef STOATRUN_INJECT_FAULTS
inline thread_local Fault planted = Fault::kNone;
inline bool Planted(Fault fault) { return planted == fault; }
#else
constexpr bool Planted(Fault /*fault*/) { return false; }
#endif

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_INJECTED_FAULT_H_
