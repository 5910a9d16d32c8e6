// Reads the history of a fleet and says which of its bounds broke. It knows the history's form
// (fault_injection/HISTORY.md) and nothing of the code that made it: no type, no constant, no header of the
// program.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun::history {

struct Breach {
  std::int64_t at_us = 0;
  std::string bound;  // One word: window, level, accounts, sum, hearsay, form.
  std::string what;
};

struct Findings {
  std::vector<Breach> breaches;  // At most `kMostBreaches`; `more` tells how many further there were.
  std::size_t more = 0;
  // What was there to be checked: a history without a spend proves nothing of budgets.
  std::size_t events = 0, spends = 0, holds = 0, sums = 0, unbounded_sums = 0, hearsays = 0, accounts = 0,
              runs = 0;
  // Measures, for the report.
  double used = 0;              // Mean part of the window budgets that was used, over windows with demand.
  double sum_width = 0;         // Mean width of the bounded sums of open connections.
  std::int64_t sum_age_us = 0;  // Mean age of their oldest part.
  bool Sound() const { return breaches.empty(); }
};
constexpr std::size_t kMostBreaches = 50;

Findings Check(std::string_view history);

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_HISTORY_CHECKER_H_
