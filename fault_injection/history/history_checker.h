// Checks the history of a fleet against its bounds and reports the violations. It depends on the history's
// format (fault_injection/HISTORY.md) only, and uses no type, constant or header of the program: an error
// there would otherwise affect both the history and its check.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::history {

// The bounds that HISTORY.md defines.
enum class Bound { kFormat, kRateQuota, kConcurrencyQuota, kCounts, kFleetTotals, kEjection };

// The bound's name in reports, as in HISTORY.md: form, window, level, accounts, sum, hearsay.
std::string_view NameOf(Bound bound);

// One violation of a bound: its time (microseconds since the start of the run) and a description.
struct Violation {
  std::int64_t at_us = 0;
  Bound bound = Bound::kFormat;
  std::string what;
};

inline constexpr std::size_t kMaxViolations = 50;

// The result of a check.
struct Findings {
  std::vector<Violation> violations;   // At most kMaxViolations, in chronological order.
  std::size_t further_violations = 0;  // The number of violations beyond kMaxViolations.

  // How many records were checked: a history in which no quota is used proves nothing about quotas.
  std::size_t events = 0, runs = 0;
  std::size_t rate_units_spent = 0;  // Units of rate quotas.
  std::size_t units_acquired = 0;    // Units of concurrency quotas.
  std::size_t count_reports = 0;     // Reports of a relay's own counts.
  std::size_t total_reports = 0;     // Reports of the fleet's totals.
  std::size_t unbounded_totals = 0;  // Those of total_reports without an upper bound for some count.
  std::size_t ejection_reports = 0;  // Lists of servers ejected on remote evidence.

  // Measures of accuracy and efficiency.
  double rate_quota_utilization = 0;   // Mean over the windows that end when a unit is spent.
  double mean_open_width = 0;          // Mean width of the bounded intervals of open connections.
  std::int64_t mean_total_age_us = 0;  // Mean age of the oldest part of the bounded totals.

  // True if no bound was violated.
  bool Sound() const { return violations.empty(); }
};

// Checks a complete history. A record that doesn't match the format is reported as a violation of kFormat; it
// never causes an exception.
Findings Check(std::string_view history);

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_
