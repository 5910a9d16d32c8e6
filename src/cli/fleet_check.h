// Checks the fleet status documents of several relays, each by itself and against each other.
//
// Fed document by document; a missing key or a value of another type throws simdjson::simdjson_error. Not
// thread-safe.
#ifndef STOATRUN_CLI_FLEET_CHECK_H_
#define STOATRUN_CLI_FLEET_CHECK_H_

#include <simdjson.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace stoatrun::cli {

// Something that is wrong with a relay, or with the fleet.
struct FleetFinding {
  std::string relay;  // The relay's name, its address if it did not answer, or "fleet".
  std::string what;   // In English.
};

// Collects what is wrong.
class FleetCheck {
 public:
  // Records that the relay at `address` did not answer, and why.
  void AddUnreachable(const std::string& address, const std::string& reason);
  // Checks one relay's document.
  void AddStatus(const simdjson::dom::element& status);
  // Compares the relays' settings. To be called once, after all documents.
  void CompareRelays();

  // In the order in which they were found.
  const std::vector<FleetFinding>& Findings() const { return findings_; }

 private:
  using Values = std::map<std::string, std::set<std::string>>;  // By setting: the values that relays state.

  void CheckMembers(const simdjson::dom::element& status);
  void CheckQuotas(const simdjson::dom::element& status);
  void CheckTotals(const simdjson::dom::element& status);
  void CheckDistrusted(const simdjson::dom::element& status);
  void ReportDifferences(const Values& values, const char* kind);
  void Report(std::string what) { findings_.push_back({relay_, std::move(what)}); }

  std::string relay_;  // Whose document is being checked.
  Values settings_, quotas_;
  std::vector<FleetFinding> findings_;
};

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_CHECK_H_
