// The borrower side of QuotaLeases: requesting, accepting and returning leases.
#include <algorithm>

#include "fleet/injected_fault.h"
#include "fleet/quota_leases.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kRequestInterval = milliseconds(100);  // Minimum between requests for one quota.
constexpr std::size_t kMaxNewRequests = 4;              // Pending at the same time for one quota.
constexpr Micros kIdleReportLifetime = seconds(3);

}  // namespace

std::vector<QuotaLeases::DueRequest> QuotaLeases::Tick(Micros now) {
  std::vector<DueRequest> out;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    QuotaAccount& account = it->second;
    account.Expire(now);
    if (account.IsEvictable(now)) {
      it = accounts_.erase(it);
      continue;
    }
    ++it;
    const std::uint32_t demand = account.Demand(now);
    const std::uint32_t wanted = demand + Headroom(demand);
    const std::uint32_t usable = UsableShare(account, now);
    const std::uint32_t lent_units = account.LentUnits();
    std::uint32_t available = usable > lent_units ? usable - lent_units : 0;
    RenewOrReturnLeases(now, account, wanted, available, out);
    RequestNewLeases(now, account, wanted, available, out);
  }
  return out;
}

void QuotaLeases::RenewOrReturnLeases(Micros now, QuotaAccount& account, std::uint32_t wanted,
                                      std::uint32_t& available, std::vector<DueRequest>& out) {
  for (QuotaAccount::BorrowedLease& lease : account.borrowed) {
    if (lease.returning) continue;
    const bool is_valid = now < lease.ends;
    const bool needed = wanted > available;
    available += is_valid ? lease.units : 0;
    if (!needed || !is_valid) {
      // Units of a concurrency quota are returned as soon as the units in use fit the limit without them.
      const std::uint32_t limit = account.ConcurrencyLimit(UsableShare(account, now), now);
      if (account.rule.IsConcurrencyQuota() &&
          account.in_use + lease.units <= limit + (is_valid ? 0 : lease.units)) {
        lease.returning = true;
      }
      continue;
    }
    if (account.IsRenewing(lease.id) || now < lease.ends - kLeaseDuration / 2) continue;
    out.push_back({{++last_nonce_, account.rule.name, lease.units, lease.id}, lease.lender});
  }
}

void QuotaLeases::RequestNewLeases(Micros now, QuotaAccount& account, std::uint32_t wanted,
                                   std::uint32_t available, std::vector<DueRequest>& out) {
  std::size_t pending = 0;
  for (const QuotaAccount::PendingRequest& request : account.requests) {
    if (request.renews != 0) continue;
    available += request.units;
    ++pending;
  }
  if (account.last_request_at.count() > 0 && now < account.last_request_at + kRequestInterval) return;
  // Each request is limited to about one member's share, as a peer rarely has more to lend.
  for (; wanted > available && pending < kMaxNewRequests; ++pending) {
    const std::uint32_t units = std::min(wanted - available, std::max<std::uint32_t>(1, account.share));
    account.last_request_at = now;
    available += units;
    out.push_back({{++last_nonce_, account.rule.name, units, 0}, std::nullopt});
  }
}

void QuotaLeases::OnRequestSent(Micros now, MemberId lender, const LeaseRequest& request) {
  const auto it = accounts_.find(request.quota);
  if (it == accounts_.end()) return;
  QuotaAccount& account = it->second;
  ++counts_.requested;
  account.requests.push_back({request.nonce, lender, request.units, now, request.renews});
  // The requested units are assumed to be no longer idle at that peer.
  const auto idle = account.idle_at_peers.find(lender);
  if (idle != account.idle_at_peers.end()) idle->second.units -= std::min(idle->second.units, request.units);
}

void QuotaLeases::OnGrant(Micros now, MemberId from, const Incarnation& lender, const Incarnation& self,
                          const LeaseGrant& grant) {
  const auto it = accounts_.find(grant.quota);
  if (it == accounts_.end() || grant.borrower.id != self.id) return;
  QuotaAccount& account = it->second;
  const auto pending = std::find_if(account.requests.begin(), account.requests.end(),
                                    [&](const QuotaAccount::PendingRequest& request) {
                                      return request.nonce == grant.nonce && request.lender == from;
                                    });
  if (pending == account.requests.end()) {
    ++counts_.late_grants;
    const bool known = std::any_of(account.borrowed.begin(), account.borrowed.end(),
                                   [&](const QuotaAccount::BorrowedLease& lease) {
                                     return lease.id == grant.lease && lease.lender == from;
                                   });
    // The grant is too late to be used. The lender of a concurrency quota would wait for the units forever,
    // so they are returned.
    if (account.rule.IsConcurrencyQuota() && grant.units > 0 && !known) {
      account.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    }
    return;
  }
  const QuotaAccount::PendingRequest request = *pending;
  if (!IsInjected(Fault::kGrantTakenTwice)) account.requests.erase(pending);
  if (grant.units > 0) {
    AcceptGrant(now, from, lender, grant, account, request);
    return;
  }
  if (IsInjected(Fault::kGrantTakenTwice)) {
    std::erase_if(account.requests,
                  [&](const QuotaAccount::PendingRequest& other) { return other.nonce == grant.nonce; });
  }
  account.idle_at_peers.erase(from);
}

void QuotaLeases::AcceptGrant(Micros now, MemberId from, const Incarnation& lender, const LeaseGrant& grant,
                              QuotaAccount& account, const QuotaAccount::PendingRequest& request) {
  // The lease runs from the request, because the lender cannot have started it earlier.
  const Micros starts = IsInjected(Fault::kLeaseCountsFromGrant) ? now : request.at;
  const Micros ends = starts + LowerBoundWithDrift(std::min(grant.length, kLeaseDuration));
  ++counts_.granted;
  const auto known = std::find_if(account.borrowed.begin(), account.borrowed.end(),
                                  [&](const QuotaAccount::BorrowedLease& lease) {
                                    return lease.id == grant.lease && lease.lender == from;
                                  });
  if (known != account.borrowed.end() && !IsInjected(Fault::kGrantTakenTwice)) {
    known->ends = std::max(known->ends, ends);
    return;
  }
  if (request.renews != 0) {
    // The lease to renew has already ended here. Units of a concurrency quota must still be returned.
    if (account.rule.IsConcurrencyQuota()) {
      account.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    }
    return;
  }
  counts_.borrowed += grant.units;
  account.borrowed.push_back({grant.lease, from, lender, grant.units, ends, {}, false});
}

std::vector<LeaseReturn> QuotaLeases::PendingReturns(MemberId lender) const {
  std::vector<LeaseReturn> out;
  for (const auto& [name, account] : accounts_) {
    for (const QuotaAccount::BorrowedLease& lease : account.borrowed) {
      if (lease.returning && lease.lender == lender) {
        out.push_back({lease.id, lease.lender_incarnation, name, lease.units});
      }
    }
  }
  return out;
}

void QuotaLeases::OnReturnAck(MemberId from, const LeaseReturnAck& ack) {
  const auto it = accounts_.find(ack.quota);
  if (it == accounts_.end()) return;
  std::erase_if(it->second.borrowed, [&](const QuotaAccount::BorrowedLease& lease) {
    return lease.returning && lease.id == ack.lease && lease.lender == from;
  });
}

HeldLeases QuotaLeases::ReportHeldLeases(MemberId lender, const Incarnation& lender_incarnation) {
  HeldLeases held;
  held.lender = lender_incarnation;
  held.covers = last_nonce_;
  for (auto& [name, account] : accounts_) {
    if (!account.rule.IsConcurrencyQuota()) continue;
    // A grant in transit is no longer accepted, because it would invalidate this statement.
    std::erase_if(account.requests,
                  [&](const QuotaAccount::PendingRequest& request) { return request.lender == lender; });
    for (const QuotaAccount::BorrowedLease& lease : account.borrowed) {
      if (lease.lender == lender) held.items.push_back({name, lease.id, lease.units});
    }
  }
  return held;
}

void QuotaLeases::OnIdleUnits(Micros now, MemberId peer, const std::vector<IdleUnits>& idle) {
  for (const IdleUnits& reported : idle) {
    const auto it = accounts_.find(reported.quota);
    if (it != accounts_.end()) it->second.idle_at_peers[peer] = {reported.units, now};
  }
}

std::optional<MemberId> QuotaLeases::ChooseLender(Micros now, const std::string& quota,
                                                  const std::vector<MemberId>& alive) {
  if (alive.empty()) return std::nullopt;
  const auto account = accounts_.find(quota);
  if (account == accounts_.end()) return std::nullopt;
  struct Candidate {
    MemberId member_id = 0;
    std::uint32_t units = 0;
  };
  std::vector<Candidate> candidates;
  std::uint64_t total = 0;
  for (const auto& [member_id, report] : account->second.idle_at_peers) {
    if (now >= report.at + kIdleReportLifetime || report.units == 0) continue;
    if (std::find(alive.begin(), alive.end(), member_id) == alive.end()) continue;
    candidates.push_back({member_id, report.units});
    total += report.units;
  }
  if (total == 0) return alive[random_.Below(alive.size())];
  std::uint64_t drawn = random_.Next() % total;
  for (const Candidate& candidate : candidates) {
    if (drawn < candidate.units) return candidate.member_id;
    drawn -= candidate.units;
  }
  return candidates.back().member_id;
}

}  // namespace stoatrun::fleet
