#include "history/quota_checkers.h"

#include <fmt/format.h>

#include <algorithm>

namespace stoatrun::history {

const QuotaRule* QuotaRules::Find(const std::string& quota) const {
  if (const auto at = rules_.find(quota); at != rules_.end()) return &at->second;
  const std::size_t colon = quota.find(':');
  if (colon == std::string::npos) return nullptr;
  const auto at = rules_.find(quota.substr(0, colon + 1));
  return at == rules_.end() ? nullptr : &at->second;
}

void RateQuotaChecker::OnUnitSpent(const std::string& relay, const std::string& quota) {
  ++state_.findings.rate_units_spent;
  const QuotaRule* rule = rules_.Find(quota);
  if (rule == nullptr || rule->window_us == 0) {
    return state_.AddViolation(Bound::kFormat, "no rate quota " + quota);
  }
  std::deque<std::int64_t>& recent_us = recent_us_[quota];
  recent_us.push_back(state_.now_us);
  // Because of the slack, two units may be recorded closer together than they were spent.
  const std::int64_t length_us = rule->window_us - state_.slack_us;
  while (recent_us.front() <= state_.now_us - length_us) recent_us.pop_front();
  const auto spent = static_cast<std::int64_t>(recent_us.size());
  if (spent > rule->units) {
    state_.AddViolation(Bound::kRateQuota,
                        fmt::format("{}: {} units spent within {} us, limit {}; last by {}", quota, spent,
                                    length_us, rule->units, relay));
  }
  utilization_sum_ +=
      static_cast<double>(spent) / static_cast<double>(std::max<std::int64_t>(1, rule->units));
  ++utilization_count_;
}

void RateQuotaChecker::Finish() {
  if (utilization_count_ == 0) return;
  state_.findings.rate_quota_utilization = utilization_sum_ / static_cast<double>(utilization_count_);
}

const QuotaRule* ConcurrencyQuotaChecker::Change(const std::string& relay, const std::string& quota,
                                                 std::int64_t units) {
  const QuotaRule* rule = rules_.Find(quota);
  if (rule == nullptr || rule->window_us != 0) {
    state_.AddViolation(Bound::kFormat, "no concurrency quota " + quota);
    return nullptr;
  }
  std::int64_t& in_use_by_relay = in_use_by_relay_[relay][quota];
  in_use_by_relay += units;
  in_use_[quota] += units;
  if (in_use_by_relay < 0) {
    state_.AddViolation(Bound::kFormat, relay + ": released more units than it acquired of " + quota);
  }
  return rule;
}

void ConcurrencyQuotaChecker::OnUnitAcquired(const std::string& relay, const std::string& quota) {
  const QuotaRule* rule = Change(relay, quota, 1);
  if (rule == nullptr) return;
  ++state_.findings.units_acquired;
  const std::int64_t allowed = (state_.DuplicatesMayRun() ? 2 : 1) * rule->units;
  if (in_use_[quota] > allowed) {
    state_.AddViolation(Bound::kConcurrencyQuota, fmt::format("{}: {} units held, limit {}; last by {}",
                                                              quota, in_use_[quota], rule->units, relay));
  }
}

void ConcurrencyQuotaChecker::OnUnitReleased(const std::string& relay, const std::string& quota) {
  Change(relay, quota, -1);
}

void ConcurrencyQuotaChecker::OnRunEnded(const std::string& relay) {
  auto& in_use_by_relay = in_use_by_relay_[relay];
  for (const auto& [quota, units] : in_use_by_relay) in_use_[quota] -= units;
  in_use_by_relay.clear();
}

}  // namespace stoatrun::history
