// Faults that the simulation's tests inject into the fleet's modules, to show that the history checker finds
// them.
//
// The program is built without STOATRUN_INJECT_FAULTS: then IsInjected() is false at compile time.
#ifndef STOATRUN_FLEET_INJECTED_FAULT_H_
#define STOATRUN_FLEET_INJECTED_FAULT_H_

namespace stoatrun::fleet {

// Each is a defect that breaks a bound of the fleet's shared state, or the quality of its sums and verdicts.
enum class Fault {
  kNone,
  kLeaseIgnoresPause,            // The borrower checks the time when it borrows, not when it acquires.
  kLeaseCountsFromGrant,         // The borrower counts the lease from the grant's arrival.
  kLenderIgnoresWindow,          // The lender reuses units at the moment at which the lease ends.
  kLenderIgnoresRestart,         // A new incarnation uses and lends its share at once.
  kGrantTakenTwice,              // A duplicated grant counts twice.
  kConcurrencyLeaseEndsByClock,  // The lender of a concurrency quota takes units back by its own clock alone.
  kLentLeasesForgottenByRestart,  // A new incarnation of a lender doesn't ask who holds its units.
  kCountWithoutIncarnation,       // Counts of a new incarnation replace those of the former.
  kCountAddedTwice,               // Delayed counts of a former version are added again.
  kAgeWithoutTransit,             // The transit time is left out of an age.
  kEvidenceNeverExpires,          // Remote evidence is valid for ever.
  kOneWitnessSuffices,            // The evidence of one witness ejects an endpoint.
  kNoEjectionCap,                 // Any number of endpoints may be ejected on remote evidence.
  kRemoteEvidenceFirst,           // Remote evidence takes precedence over own observations.
};

#ifdef STOATRUN_INJECT_FAULTS
// The fault that is injected on this thread.
inline thread_local Fault injected_fault = Fault::kNone;
// Whether `fault` is injected on this thread.
inline bool IsInjected(Fault fault) { return injected_fault == fault; }
#else
// Whether `fault` is injected: never in this build.
constexpr bool IsInjected(Fault /*fault*/) { return false; }
#endif

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_INJECTED_FAULT_H_
