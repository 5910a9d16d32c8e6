// Checks which servers relays eject on remote evidence, that is because other relays report them as failing.
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
  std::int64_t evidence_us = 0;     // How long evidence counts.
  std::int64_t own_us = 0;          // How long an own success keeps a server from being ejected.
  std::int64_t ejection_us = 0;     // The longest ejection at a stretch.
  std::int64_t witnesses = 2;       // Other relays that must have seen failures.
};

// Ejections must be few, short, backed by witnesses, and not against the relay's own latest success.
class EjectionChecker {
 public:
  // `state` must outlive the checker.
  explicit EjectionChecker(CheckState& state) : state_(state) {}

  // Before any event.
  void SetLimits(const EjectionLimits& limits) { limits_ = limits; }
  // A relay tried a server itself.
  void OnObserved(const std::string& relay, const std::string& server, bool failing);
  // A claim counts as evidence, whether the relay saw a failure or not.
  void OnFailureClaimed(const std::string& relay, const std::string& server);
  // What was seen of the former process says nothing of the new one.
  void OnServerRestarted(const std::string& server);
  // The relay forgets what it saw and ejected.
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
    std::map<std::string, std::deque<Observation>> observations;  // Of a server.
    std::map<std::string, std::int64_t> ejected_since_us;
  };

  void CheckDuration(const std::string& relay_name, Relay& relay, const std::string& server);
  void CheckOwnSuccess(const std::string& relay_name, const Relay& relay, const std::string& server);
  void CheckWitnesses(const std::string& relay_name, const std::string& server);

  CheckState& state_;
  EjectionLimits limits_;
  std::map<std::string, Relay> relays_;
  // Of a server, by relay: the latest failure that it saw or claimed. It outlives the relay's run, which may
  // have reported it before it ended.
  std::map<std::string, std::map<std::string, std::int64_t>> failures_us_;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_EJECTION_CHECKER_H_
