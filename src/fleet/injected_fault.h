// Faults that the simulation tests inject into the fleet's modules to verify that the history checker detects
// them.
//
// The program itself is built without STOATRUN_INJECT_FAULTS, so that IsInjected() is a constant false.
#ifndef STOATRUN_FLEET_INJECTED_FAULT_H_
#define STOATRUN_FLEET_INJECTED_FAULT_H_

namespace stoatrun::fleet {

// Each fault breaks a bound that the fleet's shared state guarantees, or degrades its sums and verdicts.
enum class Fault {
  kNone,
  kLeaseIgnoresPause,            // The borrower checks the lease's end when it borrows, not when it acquires.
  kLeaseCountsFromGrant,         // The borrower counts the lease's length from the arrival of the grant.
  kLenderIgnoresWindow,          // The lender reuses units as soon as the lease ends.
  kLenderIgnoresRestart,         // A new incarnation uses and lends its share immediately.
  kGrantTakenTwice,              // A duplicated grant counts twice.
  kConcurrencyLeaseEndsByClock,  // The lender of a concurrency quota reclaims units by its own clock alone.
  kLentLeasesForgottenByRestart,  // A new incarnation of a lender doesn't ask which peers hold its units.
  kCountWithoutIncarnation,       // Counts of a new incarnation replace those of the previous one.
  kCountAddedTwice,               // Delayed counts of an earlier version are added again.
  kAgeWithoutTransit,             // An age omits the transit time.
  kEvidenceNeverExpires,          // Remote evidence never expires.
  kOneWitnessSuffices,            // The evidence of a single witness ejects an endpoint.
  kNoEjectionCap,                 // Remote evidence may eject any number of endpoints.
  kRemoteEvidenceFirst,           // Remote evidence takes precedence over own observations.
};

#ifdef STOATRUN_INJECT_FAULTS
// The fault injected on this thread.
inline thread_local Fault injected_fault = Fault::kNone;
inline bool IsInjected(Fault fault) { return injected_fault == fault; }
#else
constexpr bool IsInjected(Fault /*fault*/) { return false; }
#endif

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_INJECTED_FAULT_H_
