#include "fleet/quota_account.h"

#include <algorithm>
#include <utility>

#include "base/random.h"
#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::seconds;

constexpr Micros kDemandMemory = seconds(1);       // Or the window, if that is longer.
constexpr Micros kRequestTimeout = seconds(1);     // A grant that comes later is not accepted.
constexpr Micros kAccountIdleLimit = seconds(60);  // An unused account made from a template is dropped then.

std::uint64_t Hash(const std::string& text) {  // FNV-1a: the same at every relay.
  std::uint64_t hash = 0xcbf29ce484222325ULL;
  for (const char symbol : text) hash = (hash ^ static_cast<unsigned char>(symbol)) * 0x100000001b3ULL;
  return hash;
}

}  // namespace

std::uint32_t ShareOf(const std::string& quota, std::uint32_t units, MemberId member_id,
                      std::uint32_t fleet_size) {
  if (fleet_size == 0 || member_id >= fleet_size) return 0;
  const std::uint32_t integral = units / fleet_size;
  const std::uint32_t remaining = units % fleet_size;
  if (remaining == 0) return integral;
  // The remaining units go to the members that rank first in an order that the quota's name draws.
  const std::uint64_t seed = Hash(quota);
  const auto rank = [&](MemberId other) { return std::pair(HashCombine(seed, other + 1), other); };
  const auto own = rank(member_id);
  std::uint32_t before = 0;
  for (MemberId other = 0; other < fleet_size && before < remaining; ++other) {
    before += rank(other) < own ? 1 : 0;
  }
  return integral + (before < remaining ? 1 : 0);
}

std::uint32_t Headroom(std::uint32_t demand) { return demand > 0 ? demand / 4 + 1 : 0; }

void QuotaAccount::ExpireDemand(Micros now) {
  const Micros memory = std::max(kDemandMemory, rule.window);
  while (!demand_at.empty() && demand_at.front() + memory <= now) demand_at.pop_front();
}

void QuotaAccount::Expire(Micros now) {
  const Micros window = AtLeast(rule.window);
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
  const Micros wait = IsInjected(Fault::kLenderIgnoresWindow) ? Micros(0) : window;
  std::erase_if(lent, [&](const LentLease& lease) { return now >= lease.ends + wait; });
  std::erase_if(borrowed, [&](const BorrowedLease& lease) {
    return now >= lease.ends && !IsInjected(Fault::kLeaseIgnoresPause);
  });
}

bool QuotaAccount::IsDisposable(Micros now) const {
  const bool from_template = rule.name.find(':') != std::string::npos;
  return from_template && lent.empty() && borrowed.empty() && acquired_at.empty() && in_use == 0 &&
         requests.empty() && now >= used_at + kAccountIdleLimit;
}

std::uint32_t QuotaAccount::LentOut() const {
  std::uint32_t units = 0;
  for (const LentLease& lease : lent) units += lease.units;
  return units;
}

std::uint32_t QuotaAccount::OwnFree(std::uint32_t usable) const {
  const auto taken = static_cast<std::uint32_t>(acquired_at.size()) + LentOut();
  return usable > taken ? usable - taken : 0;
}

std::uint32_t QuotaAccount::Allowed(std::uint32_t usable, Micros now) const {
  const std::uint32_t lent_out = LentOut();
  std::uint32_t allowed = usable > lent_out ? usable - lent_out : 0;
  for (const BorrowedLease& lease : borrowed) {
    allowed += !lease.returning && now < lease.ends ? lease.units : 0;
  }
  return allowed;
}

std::uint32_t QuotaAccount::Demand(Micros now) {
  ExpireDemand(now);
  const auto attempts = static_cast<std::uint32_t>(demand_at.size());
  return rule.IsConcurrencyQuota() ? in_use + attempts : attempts;
}

std::uint32_t QuotaAccount::Lendable(std::uint32_t usable, Micros now) {
  const std::uint32_t most = share - reserve;
  const std::uint32_t lent_out = LentOut();
  if (lent_out >= most || usable < share) return 0;
  std::uint32_t free = 0;
  if (rule.IsConcurrencyQuota()) {
    const std::uint32_t allowed = share > lent_out ? share - lent_out : 0;
    free = allowed > in_use ? allowed - in_use : 0;
  } else {
    free = OwnFree(usable);
  }
  const std::uint32_t headroom = Headroom(Demand(now));
  return std::min(most - lent_out, free > headroom ? free - headroom : 0);
}

bool QuotaAccount::IsRenewing(std::uint64_t lease) const {
  return std::any_of(requests.begin(), requests.end(),
                     [&](const PendingRequest& request) { return request.renews == lease; });
}

}  // namespace stoatrun::fleet
