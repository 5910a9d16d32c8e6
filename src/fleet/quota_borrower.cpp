// QuotaLeases as a borrower: leases requested, accepted and returned.
#include <algorithm>

#include "fleet/injected_fault.h"
#include "fleet/quota_leases.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kRequestInterval = milliseconds(100);  // Between requests for one quota.
constexpr std::size_t kMaxNewRequests = 4;              // Pending at once for one quota.
constexpr Micros kIdleReportValid = seconds(3);

}  // namespace

std::vector<QuotaLeases::DueRequest> QuotaLeases::Tick(Micros now) {
  std::vector<DueRequest> out;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    QuotaAccount& account = it->second;
    account.Expire(now);
    if (account.IsDisposable(now)) {
      it = accounts_.erase(it);
      continue;
    }
    ++it;
    const std::uint32_t demand = account.Demand(now);
    const std::uint32_t wanted = demand + Headroom(demand);
    const std::uint32_t usable = Usable(account, now);
    const std::uint32_t lent_out = account.LentOut();
    std::uint32_t available = usable > lent_out ? usable - lent_out : 0;
    ReviewBorrowed(now, account, wanted, available, out);
    RequestNewLeases(now, account, wanted, available, out);
  }
  return out;
}

void QuotaLeases::ReviewBorrowed(Micros now, QuotaAccount& account, std::uint32_t wanted,
                                 std::uint32_t& available, std::vector<DueRequest>& out) {
  for (QuotaAccount::BorrowedLease& lease : account.borrowed) {
    if (lease.returning) continue;
    const bool lasts = now < lease.ends;
    const bool needed = wanted > available;
    available += lasts ? lease.units : 0;
    if (!needed || !lasts) {
      // Units of a concurrency quota are returned as soon as what is in use fits without them.
      const std::uint32_t allowed = account.Allowed(Usable(account, now), now);
      if (account.rule.IsConcurrencyQuota() &&
          account.in_use + lease.units <= allowed + (lasts ? 0 : lease.units)) {
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
  if (account.requested_at.count() > 0 && now < account.requested_at + kRequestInterval) return;
  // A peer is asked for about what a member owns: more it rarely has.
  for (; wanted > available && pending < kMaxNewRequests; ++pending) {
    const std::uint32_t units = std::min(wanted - available, std::max<std::uint32_t>(1, account.share));
    account.requested_at = now;
    available += units;
    out.push_back({{++last_nonce_, account.rule.name, units, 0}, std::nullopt});
  }
}

void QuotaLeases::OnRequestSent(Micros now, MemberId lender, const LeaseRequest& request) {
  const auto at = accounts_.find(request.quota);
  if (at == accounts_.end()) return;
  QuotaAccount& account = at->second;
  ++counts_.requested;
  account.requests.push_back({request.nonce, lender, request.units, now, request.renews});
  // That many fewer lie idle there.
  const auto idle = account.idle_at_peers.find(lender);
  if (idle != account.idle_at_peers.end()) idle->second.units -= std::min(idle->second.units, request.units);
}

void QuotaLeases::OnGrant(Micros now, MemberId from, const Incarnation& lender, const Incarnation& self,
                          const LeaseGrant& grant) {
  const auto at = accounts_.find(grant.quota);
  if (at == accounts_.end() || grant.borrower.id != self.id) return;
  QuotaAccount& account = at->second;
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
    // Too late to be of use. The lender of a concurrency quota would wait without end: it gets the units
    // back.
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
  // The lease counts from the request, for the lender's clock started it no earlier than that.
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
    // The lease that it renews has ended here. Units of a concurrency quota are still to be returned.
    if (account.rule.IsConcurrencyQuota()) {
      account.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    }
    return;
  }
  counts_.borrowed += grant.units;
  account.borrowed.push_back({grant.lease, from, lender, grant.units, ends, {}, false});
}

std::vector<LeaseReturn> QuotaLeases::Returns(MemberId lender) const {
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
  const auto at = accounts_.find(ack.quota);
  if (at == accounts_.end()) return;
  std::erase_if(at->second.borrowed, [&](const QuotaAccount::BorrowedLease& lease) {
    return lease.returning && lease.id == ack.lease && lease.lender == from;
  });
}

HeldLeases QuotaLeases::HeldFrom(MemberId lender, const Incarnation& lender_incarnation) {
  HeldLeases held;
  held.lender = lender_incarnation;
  held.covers = last_nonce_;
  for (auto& [name, account] : accounts_) {
    if (!account.rule.IsConcurrencyQuota()) continue;
    // A grant that is still under way is no longer accepted: the statement must stay true.
    std::erase_if(account.requests,
                  [&](const QuotaAccount::PendingRequest& request) { return request.lender == lender; });
    for (const QuotaAccount::BorrowedLease& lease : account.borrowed) {
      if (lease.lender == lender) held.items.push_back({name, lease.id, lease.units});
    }
  }
  return held;
}

void QuotaLeases::OnIdleUnits(Micros now, MemberId peer, const std::vector<IdleUnits>& idle) {
  for (const IdleUnits& part : idle) {
    const auto at = accounts_.find(part.quota);
    if (at != accounts_.end()) at->second.idle_at_peers[peer] = {part.units, now};
  }
}

std::optional<MemberId> QuotaLeases::LenderFor(Micros now, const std::string& quota,
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
    if (now >= report.at + kIdleReportValid || report.units == 0) continue;
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
