#include "fleet/quota_leases.h"

#include <algorithm>
#include <utility>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

// The reserve, the part of a share that is never lent, is the share divided by these.
constexpr std::uint32_t kRateReserveDivisor = 8;
constexpr std::uint32_t kConcurrencyReserveDivisor = 2;
// Endpoints come and go, and with them the accounts made from templates; this bounds their number.
constexpr std::size_t kMaxAccounts = 4096;

std::string TemplateName(const std::string& quota) { return quota.substr(0, quota.find(':')); }

// Bounds the memory for recorded demand. Attempts beyond this bound do not affect any decision.
std::size_t MaxDemand(const QuotaRule& rule) { return 2 * static_cast<std::size_t>(rule.units) + 16; }

}  // namespace

QuotaLeases::QuotaLeases(const Settings& settings, std::uint64_t seed, Micros start)
    : settings_(settings), start_(start), random_(seed) {
  for (const QuotaRule& rule : settings.quotas) FindOrCreateAccount(start, rule.name);
}

void QuotaLeases::SetPeers(const std::vector<Peer>& peers) { settings_.peers = peers; }

const QuotaRule* QuotaLeases::FindRule(const std::string& quota) const {
  const auto named = std::find_if(settings_.quotas.begin(), settings_.quotas.end(),
                                  [&](const QuotaRule& rule) { return rule.name == quota; });
  if (named != settings_.quotas.end()) return &*named;
  const auto quota_template = std::find_if(
      settings_.quota_templates.begin(), settings_.quota_templates.end(), [&](const QuotaRule& rule) {
        return rule.name == TemplateName(quota) && quota.size() > rule.name.size() + 1;
      });
  return quota_template != settings_.quota_templates.end() ? &*quota_template : nullptr;
}

QuotaAccount* QuotaLeases::FindOrCreateAccount(Micros now, const std::string& quota) {
  if (const auto it = accounts_.find(quota); it != accounts_.end()) return &it->second;
  const QuotaRule* rule = FindRule(quota);
  if (rule == nullptr) return nullptr;
  if (accounts_.size() >= kMaxAccounts) {
    ++counts_.over_capacity;
    return nullptr;
  }
  QuotaAccount& account = accounts_[quota];
  account.rule = *rule;
  account.rule.name = quota;
  account.share = ShareOf(quota, rule->units, settings_.self, settings_.fleet_size);
  account.reserve =
      account.share / (rule->IsConcurrencyQuota() ? kConcurrencyReserveDivisor : kRateReserveDivisor);
  account.last_used_at = now;
  return &account;
}

bool QuotaLeases::IsReconciled() const {
  return std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& peer) { return reconciled_.contains(peer.member_id); });
}

std::uint32_t QuotaLeases::UsableShare(const QuotaAccount& account, Micros now) const {
  if (account.rule.IsConcurrencyQuota()) {
    const bool all_usable = IsReconciled() || IsInjected(Fault::kLentLeasesForgottenByRestart);
    return all_usable ? account.share : account.reserve;
  }
  if (IsInjected(Fault::kLenderIgnoresRestart)) return account.share;
  const Micros window = UpperBoundWithDrift(account.rule.window);
  if (now < start_ + window) return 0;
  return now < start_ + UpperBoundWithDrift(kLeaseDuration) + window ? account.reserve : account.share;
}

// ---- acquiring ----

bool QuotaLeases::TryAcquire(Micros now, const std::string& quota) {
  QuotaAccount* account = FindOrCreateAccount(now, quota);
  if (account == nullptr) return false;
  account->last_used_at = now;
  if (!IsInjected(Fault::kLeaseIgnoresPause)) account->Expire(now);
  if (account->recent_attempts.size() < MaxDemand(account->rule)) account->recent_attempts.push_back(now);
  const bool acquired = account->rule.IsConcurrencyQuota() ? TryAcquireConcurrent(*account, now)
                                                           : TryAcquireRate(*account, now);
  ++(acquired ? counts_.acquired : counts_.denied);
  return acquired;
}

bool QuotaLeases::TryAcquireConcurrent(QuotaAccount& account, Micros now) {
  if (account.in_use >= account.ConcurrencyLimit(UsableShare(account, now), now)) return false;
  ++account.in_use;
  return true;
}

bool QuotaLeases::TryAcquireRate(QuotaAccount& account, Micros now) {
  // Borrowed units are used first, because units left unused when the lease ends are wasted.
  for (QuotaAccount::BorrowedLease& lease : account.borrowed) {
    if (lease.acquired_at.size() >= lease.units) continue;
    lease.acquired_at.push_back(now);
    return true;
  }
  if (account.FreeOwnUnits(UsableShare(account, now)) == 0) return false;
  account.acquired_at.push_back(now);
  return true;
}

void QuotaLeases::Release(const std::string& quota) {
  const auto it = accounts_.find(quota);
  if (it != accounts_.end() && it->second.in_use > 0) --it->second.in_use;
}

std::uint32_t QuotaLeases::Available(Micros now, const std::string& quota) {
  QuotaAccount* account = FindOrCreateAccount(now, quota);
  if (account == nullptr) return 0;
  account->Expire(now);
  const std::uint32_t usable = UsableShare(*account, now);
  if (account->rule.IsConcurrencyQuota()) {
    const std::uint32_t limit = account->ConcurrencyLimit(usable, now);
    return limit > account->in_use ? limit - account->in_use : 0;
  }
  std::uint32_t free = account->FreeOwnUnits(usable);
  for (const QuotaAccount::BorrowedLease& lease : account->borrowed) {
    free += lease.units - static_cast<std::uint32_t>(lease.acquired_at.size());
  }
  return free;
}

std::uint32_t QuotaLeases::Excess(Micros now, const std::string& quota) {
  QuotaAccount* account = FindOrCreateAccount(now, quota);
  if (account == nullptr || !account->rule.IsConcurrencyQuota()) return 0;
  account->Expire(now);
  const std::uint32_t limit = account->ConcurrencyLimit(UsableShare(*account, now), now);
  return account->in_use > limit ? account->in_use - limit : 0;
}

// ---- status ----

std::vector<QuotaLeases::View> QuotaLeases::Views(Micros now) {
  std::vector<View> out;
  for (auto& [name, account] : accounts_) {
    account.Expire(now);
    const bool concurrent = account.rule.IsConcurrencyQuota();
    View view;
    view.quota = name;
    view.units = account.rule.units;
    view.share = account.share;
    view.available = Available(now, name);
    view.acquired = concurrent ? account.in_use : static_cast<std::uint32_t>(account.acquired_at.size());
    view.lent = account.LentUnits();
    view.excess = Excess(now, name);
    view.reconciled = !concurrent || IsReconciled();
    for (const QuotaAccount::BorrowedLease& lease : account.borrowed) {
      view.borrowed += lease.units;
      if (!concurrent) view.acquired += static_cast<std::uint32_t>(lease.acquired_at.size());
    }
    out.push_back(std::move(view));
  }
  return out;
}

std::vector<QuotaLeases::Lease> QuotaLeases::LentLeases(Micros now) const {
  std::vector<Lease> out;
  for (const auto& [name, account] : accounts_) {
    for (const QuotaAccount::LentLease& lease : account.lent) {
      out.push_back({name, lease.borrower, lease.units, lease.ends, now >= lease.ends});
    }
  }
  return out;
}

std::vector<QuotaLeases::Lease> QuotaLeases::BorrowedLeases(Micros now) const {
  std::vector<Lease> out;
  for (const auto& [name, account] : accounts_) {
    for (const QuotaAccount::BorrowedLease& lease : account.borrowed) {
      out.push_back({name, lease.lender, lease.units, lease.ends, now >= lease.ends});
    }
  }
  return out;
}

}  // namespace stoatrun::fleet
