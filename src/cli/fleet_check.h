// Checks the fleet status documents of several relays, each for problems of its own and all of them for
// differences.
//
// A missing key or a value of an unexpected type throws simdjson::simdjson_error. Not thread-safe.
#ifndef STOATRUN_CLI_FLEET_CHECK_H_
#define STOATRUN_CLI_FLEET_CHECK_H_

#include <simdjson.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace stoatrun::cli {

// A problem of one relay or of the whole fleet.
struct FleetFinding {
  std::string relay;    // The relay's name, its address if the request failed, or "fleet".
  std::string problem;  // A human-readable description.
};

// Collects the findings. Call AddUnreachable or AddStatus once for each relay, then CompareRelays.
class FleetCheck {
 public:
  // Adds a finding for the relay at `address`, whose status request failed for `reason`.
  void AddUnreachable(const std::string& address, const std::string& reason);
  // Checks the status document of one relay.
  void AddStatus(const simdjson::dom::element& status);
  // Compares the settings of all relays whose documents were added. Must be called once, after the last one.
  void CompareRelays();

  // All findings, in the order in which they were added.
  const std::vector<FleetFinding>& Findings() const { return findings_; }

 private:
  // The distinct values that the relays report, by name of the setting or quota.
  using ReportedValues = std::map<std::string, std::set<std::string>>;

  void CheckMembers(const simdjson::dom::element& status);
  void CheckQuotas(const simdjson::dom::element& status);
  void CheckTotals(const simdjson::dom::element& status);
  void CheckDistrusted(const simdjson::dom::element& status);
  void AddDifferences(const ReportedValues& values, const char* kind);
  void AddFinding(std::string problem) { findings_.push_back({relay_, std::move(problem)}); }

  std::string relay_;  // The name of the relay whose document is being checked.
  ReportedValues settings_, quotas_;
  std::vector<FleetFinding> findings_;
};

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_CHECK_H_
