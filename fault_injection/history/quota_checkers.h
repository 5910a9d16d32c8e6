// Checkers of the quotas that the relays share: rate quotas (units per window) and concurrency quotas (units
// held at one time).
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_QUOTA_CHECKERS_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_QUOTA_CHECKERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "history/check_state.h"

namespace stoatrun::history {

// The size of a quota.
struct QuotaRule {
  std::int64_t units = 0;
  std::int64_t window_us = 0;  // 0: a concurrency quota.
};

// The quotas that the history's first record names.
class QuotaRules {
 public:
  // `name` with `:` at its end stands for all quotas whose names begin so.
  void Set(const std::string& name, QuotaRule rule) { rules_[name] = rule; }
  // The rule for a quota: its own, or the one for all that begin so (`cold:` for `cold:s-1`). May be null.
  const QuotaRule* Find(const std::string& quota) const;

 private:
  std::map<std::string, QuotaRule> rules_;
};

// In no stretch of a quota's window, wherever it begins, may all relays together spend more than its units.
class RateQuotaChecker {
 public:
  RateQuotaChecker(CheckState& state, const QuotaRules& rules) : state_(state), rules_(rules) {}
  // One unit was spent.
  void OnSpent(const std::string& relay, const std::string& quota);
  // Writes the mean utilization into the findings.
  void Finish();

 private:
  CheckState& state_;
  const QuotaRules& rules_;
  std::map<std::string, std::deque<std::int64_t>> recent_us_;  // Of a quota: units spent within the window.
  double utilization_sum_ = 0;
  std::size_t utilization_count_ = 0;
};

// At no time may all runs together hold more units than a quota has (twice as many while duplicates run).
class ConcurrencyQuotaChecker {
 public:
  ConcurrencyQuotaChecker(CheckState& state, const QuotaRules& rules) : state_(state), rules_(rules) {}
  // One unit was acquired.
  void OnAcquired(const std::string& relay, const std::string& quota);
  // One unit was released.
  void OnReleased(const std::string& relay, const std::string& quota);
  // What a process held ended with it.
  void OnRunEnded(const std::string& relay);

 private:
  // Null, and a violation, if there is no such quota.
  const QuotaRule* Change(const std::string& relay, const std::string& quota, std::int64_t units);

  CheckState& state_;
  const QuotaRules& rules_;
  std::map<std::string, std::int64_t> in_use_;
  std::map<std::string, std::map<std::string, std::int64_t>> in_use_by_relay_;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_QUOTA_CHECKERS_H_
