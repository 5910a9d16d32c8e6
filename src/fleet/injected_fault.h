// Faults that the fleet's own tests plant, to see that the checker of histories can fail. The program is
// built without STOATRUN_INJECT_FAULTS: then every question here is `false` at compile time.
#ifndef STOATRUN_FLEET_INJECTED_FAULT_H_
#define STOATRUN_FLEET_INJECTED_FAULT_H_

namespace stoatrun::fleet {

enum class Fault {
  kNone,
  kLeaseIgnoresPause,             // The borrower requests for the time when it borrows, not when it spends.
  kLeaseCountsFromGrant,          // The borrower counts the lease from the grant's arrival.
  kLenderIgnoresWindow,           // The lender uses units again in the moment in which the lease ends.
  kLenderIgnoresRestart,          // A new run uses and lends its share at once.
  kGrantTakenTwice,               // A grant that comes twice counts twice.
  kConcurrencyLeaseEndsByClock,   // The lender of a level takes it back by its own clock alone.
  kLentLeasesForgottenByRestart,  // A new run of a lender doesn't request who holds its units.
  kCountWithoutIncarnation,       // Counts of a new run replace those of the former.
  kCountAddedTwice,               // Counts that come late from a former run are added again.
  kAgeWithoutTransit,             // The time under way is left out of an age.
  kEvidenceNeverExpires,          // Hearsay holds for ever.
  kOneWitnessSuffices,            // Hearsay of one takes a endpoint away.
  kNoEjectionCap,                 // Any number of endpoints may be ejected on hearsay.
  kRemoteEvidenceFirst,           // What others say goes before what was seen here.
};

#ifdef STOATRUN_INJECT_FAULTS
inline thread_local Fault injected_fault = Fault::kNone;
inline bool IsInjected(Fault fault) { return injected_fault == fault; }
#else
constexpr bool IsInjected(Fault /*fault*/) { return false; }
#endif

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_INJECTED_FAULT_H_
