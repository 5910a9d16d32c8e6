#include "fleet/quota_account.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::seconds;

constexpr Micros kMinDemandWindow = seconds(1);      // The quota's window applies instead if it is longer.
constexpr Micros kRequestTimeout = seconds(1);       // Later grants are rejected.
constexpr Micros kAccountIdleTimeout = seconds(60);  // For accounts made from a template.

// FNV-1a. Must give the same value at every relay.
std::uint64_t Hash(const std::string& text) {
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char character : text) hash = (hash ^ static_cast<unsigned char>(character)) * 0x100000001b3ULL;
  return hash;
}

}  // namespace

std::uint32_t ShareOf(const std::string& quota, std::uint32_t units, MemberId member_id,
                      std::uint32_t fleet_size) {
  if (fleet_size == 0 || member_id >= fleet_size) return 0;
  const std::uint32_t quotient = units / fleet_size;
  const std::uint32_t remainder = units % fleet_size;
  if (remainder == 0) return quotient;
  // The remainder goes to the members that come first in a pseudo-random order seeded by the quota's name.
  const std::uint64_t seed = Hash(quota);
  const auto rank = [&](MemberId other) { return std::pair(HashCombine(seed, other + 1), other); };
  const auto own = rank(member_id);
  std::uint32_t before = 0;
  for (MemberId other = 0; other < fleet_size && before < remainder; ++other) {
    before += rank(other) < own ? 1 : 0;
  }
  return quotient + (before < remainder ? 1 : 0);
}

std::uint32_t Headroom(std::uint32_t demand) { return demand > 0 ? demand / 4 + 1 : 0; }

void QuotaAccount::ExpireDemand(Micros now) {
  const Micros demand_window = std::max(kMinDemandWindow, rule.window);
  while (!recent_attempts.empty() && recent_attempts.front() + demand_window <= now) {
    recent_attempts.pop_front();
  }
}

void QuotaAccount::Expire(Micros now) {
  const Micros window = UpperBoundWithDrift(rule.window);
  const auto expire_acquired = [&](std::deque<Micros>& times) {
    while (!times.empty() && times.front() + window <= now) times.pop_front();
  };
  expire_acquired(acquired_at);
  ExpireDemand(now);
  std::erase_if(requests, [&](const PendingRequest& request) { return now >= request.at + kRequestTimeout; });
  for (BorrowedLease& lease : borrowed) expire_acquired(lease.acquired_at);
  if (rule.IsConcurrencyQuota()) {
    if (IsInjected(Fault::kConcurrencyLeaseEndsByClock)) {
      std::erase_if(lent, [&](const LentLease& lease) { return now >= lease.ends; });
    }
    return;
  }
  const Micros reuse_delay = IsInjected(Fault::kLenderIgnoresWindow) ? Micros(0) : window;
  std::erase_if(lent, [&](const LentLease& lease) { return now >= lease.ends + reuse_delay; });
  std::erase_if(borrowed, [&](const BorrowedLease& lease) {
    return now >= lease.ends && !IsInjected(Fault::kLeaseIgnoresPause);
  });
}

bool QuotaAccount::IsEvictable(Micros now) const {
  const bool from_template = rule.name.find(':') != std::string::npos;
  return from_template && lent.empty() && borrowed.empty() && acquired_at.empty() && in_use == 0 &&
         requests.empty() && now >= last_used_at + kAccountIdleTimeout;
}

std::uint32_t QuotaAccount::LentUnits() const {
  std::uint32_t units = 0;
  for (const LentLease& lease : lent) units += lease.units;
  return units;
}

std::uint32_t QuotaAccount::FreeOwnUnits(std::uint32_t usable) const {
  const auto unavailable = static_cast<std::uint32_t>(acquired_at.size()) + LentUnits();
  return usable > unavailable ? usable - unavailable : 0;
}

std::uint32_t QuotaAccount::ConcurrencyLimit(std::uint32_t usable, Micros now) const {
  const std::uint32_t lent_units = LentUnits();
  std::uint32_t limit = usable > lent_units ? usable - lent_units : 0;
  for (const BorrowedLease& lease : borrowed) {
    limit += !lease.returning && now < lease.ends ? lease.units : 0;
  }
  return limit;
}

std::uint32_t QuotaAccount::Demand(Micros now) {
  ExpireDemand(now);
  const auto attempts = static_cast<std::uint32_t>(recent_attempts.size());
  return rule.IsConcurrencyQuota() ? in_use + attempts : attempts;
}

std::uint32_t QuotaAccount::LendableUnits(std::uint32_t usable, Micros now) {
  const std::uint32_t max_lent = share - reserve;
  const std::uint32_t lent_units = LentUnits();
  if (lent_units >= max_lent || usable < share) return 0;
  std::uint32_t free = 0;
  if (rule.IsConcurrencyQuota()) {
    const std::uint32_t limit = share > lent_units ? share - lent_units : 0;
    free = limit > in_use ? limit - in_use : 0;
  } else {
    free = FreeOwnUnits(usable);
  }
  const std::uint32_t headroom = Headroom(Demand(now));
  return std::min(max_lent - lent_units, free > headroom ? free - headroom : 0);
}

bool QuotaAccount::IsRenewing(std::uint64_t lease) const {
  return std::any_of(requests.begin(), requests.end(),
                     [&](const PendingRequest& request) { return request.renews == lease; });
}

}  // namespace stoatrun::fleet
