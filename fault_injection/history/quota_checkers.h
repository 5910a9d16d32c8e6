// Checks the quotas that the relays share: rate quotas (units per window) and concurrency quotas (units held
// at the same time).
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_QUOTA_CHECKERS_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_QUOTA_CHECKERS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "history/check_state.h"

namespace stoatrun::history {

// The limit of a quota.
struct QuotaRule {
  std::int64_t units = 0;
  std::int64_t window_us = 0;  // 0: a concurrency quota.
};

// The quotas from the history's first record.
class QuotaRules {
 public:
  // A `name` that ends with `:` applies to every quota whose name begins with it.
  void Set(const std::string& name, QuotaRule rule) { rules_[name] = rule; }
  // The rule for a quota: its own, or that of its prefix (`cold:` for `cold:s-1`). Null if there is none.
  const QuotaRule* Find(const std::string& quota) const;

 private:
  std::map<std::string, QuotaRule> rules_;
};

// Checks that within any sliding window of a quota's length, all relays together spend no more than its
// units.
class RateQuotaChecker {
 public:
  RateQuotaChecker(CheckState& state, const QuotaRules& rules) : state_(state), rules_(rules) {}
  // One unit was spent.
  void OnUnitSpent(const std::string& relay, const std::string& quota);
  // Writes the mean utilization into the findings.
  void Finish();

 private:
  CheckState& state_;
  const QuotaRules& rules_;
  // By quota: the times at which units were spent within the window.
  std::map<std::string, std::deque<std::int64_t>> recent_us_;
  double utilization_sum_ = 0;
  std::size_t utilization_count_ = 0;
};

// Checks that all runs together never hold more units than a quota has (twice as many while two processes may
// run under one name).
class ConcurrencyQuotaChecker {
 public:
  ConcurrencyQuotaChecker(CheckState& state, const QuotaRules& rules) : state_(state), rules_(rules) {}
  // One unit was acquired.
  void OnUnitAcquired(const std::string& relay, const std::string& quota);
  // One unit was released.
  void OnUnitReleased(const std::string& relay, const std::string& quota);
  // Releases all units that the process held.
  void OnRunEnded(const std::string& relay);

 private:
  // Null if there is no such quota, which is recorded as a violation.
  const QuotaRule* Change(const std::string& relay, const std::string& quota, std::int64_t units);

  CheckState& state_;
  const QuotaRules& rules_;
  std::map<std::string, std::int64_t> in_use_;
  std::map<std::string, std::map<std::string, std::int64_t>> in_use_by_relay_;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_QUOTA_CHECKERS_H_
