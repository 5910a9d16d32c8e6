// Checks ejections on remote evidence: servers that a relay avoids because other relays report failures.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_EJECTION_CHECKER_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_EJECTION_CHECKER_H_

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "history/check_state.h"

namespace stoatrun::history {

// The bounds of an ejection on remote evidence, from the history's first record.
struct EjectionLimits {
  double max_ejected_fraction = 1;  // Of the listed servers.
  std::int64_t evidence_us = 0;     // How long a reported failure counts as evidence.
  std::int64_t own_success_us = 0;  // A relay's own success rules out ejection for this long.
  std::int64_t ejection_us = 0;     // The longest uninterrupted ejection.
  std::int64_t witnesses = 2;       // How many other relays must have reported failures.
};

// Checks that ejections are limited in number and duration, are backed by enough witnesses, and don't
// contradict the relay's own latest observation.
class EjectionChecker {
 public:
  // `state` must outlive the checker.
  explicit EjectionChecker(CheckState& state) : state_(state) {}

  // To be called before any event.
  void SetLimits(const EjectionLimits& limits) { limits_ = limits; }
  // A relay observed the result of its own attempt at a server.
  void OnObserved(const std::string& relay, const std::string& server, bool failing);
  // A relay reported a failure; this counts as evidence even if the relay observed none.
  void OnFailureClaimed(const std::string& relay, const std::string& server);
  // Discards observations of the server's previous process: they don't apply to the new one.
  void OnServerRestarted(const std::string& server);
  // Discards the relay's observations and ejections.
  void OnRunEnded(const std::string& relay);
  // The record `hearsay`: the servers that are ejected now. Throws simdjson::simdjson_error if a field is
  // missing.
  void OnEjectedReported(const std::string& relay, const Record& record);

 private:
  struct Observation {
    std::int64_t at_us = 0;
    bool failing = false;
  };
  struct Relay {
    std::map<std::string, std::deque<Observation>> observations;  // By server.
    std::map<std::string, std::int64_t> ejected_since_us;
  };

  void CheckDuration(const std::string& relay_name, Relay& relay, const std::string& server);
  void CheckOwnSuccess(const std::string& relay_name, const Relay& relay, const std::string& server);
  void CheckWitnesses(const std::string& relay_name, const std::string& server);

  CheckState& state_;
  EjectionLimits limits_;
  std::map<std::string, Relay> relays_;
  // By server, then by relay: the latest failure observed or claimed. Kept when the relay's run ends, as the
  // run may have reported the failure to its peers before.
  std::map<std::string, std::map<std::string, std::int64_t>> failures_us_;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_EJECTION_CHECKER_H_
