// Reads the history of a fleet and reports which of its bounds were violated. It knows the history's format
// (fault_injection/HISTORY.md) and nothing of the code that wrote it: no type, constant or header of the
// program, so that an error there can't hide itself here.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::history {

// The bounds of HISTORY.md, a checker each.
enum class Bound { kFormat, kRateQuota, kConcurrencyQuota, kCounts, kFleetTotals, kEjection };

// The bound's name in reports, as in HISTORY.md: form, window, level, accounts, sum, hearsay.
std::string_view NameOf(Bound bound);

// One violation of a bound: when (microseconds since the start of the run), and what was seen.
struct Violation {
  std::int64_t at_us = 0;
  Bound bound = Bound::kFormat;
  std::string what;
};

inline constexpr std::size_t kMaxViolations = 50;

// The result of a check.
struct Findings {
  std::vector<Violation> violations;   // At most kMaxViolations, in order of time.
  std::size_t further_violations = 0;  // Those beyond.

  // How much there was to check: a history in which no quota is used proves nothing of quotas.
  std::size_t events = 0, runs = 0;
  std::size_t rate_units_spent = 0;  // Units of rate quotas.
  std::size_t units_acquired = 0;    // Units of concurrency quotas.
  std::size_t count_reports = 0;     // Of a relay's own connections.
  std::size_t total_reports = 0;     // Of the fleet's connections.
  std::size_t unbounded_totals = 0;  // Of these, with no upper bound for some count.
  std::size_t ejection_reports = 0;  // Lists of servers ejected on remote evidence.

  // Measures of quality.
  double rate_quota_utilization = 0;   // Mean, over the windows that end with a spent unit.
  double mean_open_width = 0;          // Width of the bounded intervals of open connections.
  std::int64_t mean_total_age_us = 0;  // Age of the oldest part of these totals.

  // Whether no bound was violated.
  bool Sound() const { return violations.empty(); }
};

// Checks a whole history. What is not of the format is a violation of kFormat; never throws for it.
Findings Check(std::string_view history);

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_
