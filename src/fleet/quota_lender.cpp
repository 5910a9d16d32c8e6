// The lender side of QuotaLeases: answering requests and taking units back.
#include <algorithm>

#include "fleet/quota_leases.h"

namespace stoatrun::fleet {

LeaseGrant QuotaLeases::OnRequest(Micros now, MemberId from, const Incarnation& borrower,
                                  const LeaseRequest& request) {
  LeaseGrant grant{request.nonce, 0, request.quota, 0, kLeaseDuration, borrower};
  QuotaAccount* account = FindOrCreateAccount(now, request.quota);
  if (account == nullptr) return grant;
  account->Expire(now);
  const auto granted = [&](const QuotaAccount::LentLease& lease) {
    grant.lease = lease.id;
    grant.units = lease.units;
    return grant;
  };
  const auto is_held_by_borrower = [&](const QuotaAccount::LentLease& lease) {
    return lease.borrower == from && lease.incarnation.id == borrower.id;
  };
  for (const QuotaAccount::LentLease& lease : account->lent) {
    if (is_held_by_borrower(lease) && lease.nonce == request.nonce) return granted(lease);  // A duplicate.
  }
  if (request.renews != 0) {
    const auto lease =
        std::find_if(account->lent.begin(), account->lent.end(), [&](const QuotaAccount::LentLease& lent) {
          return lent.id == request.renews && is_held_by_borrower(lent);
        });
    if (lease != account->lent.end() && TryRenew(now, *account, *lease, request.nonce)) {
      return granted(*lease);
    }
    ++counts_.rejected;
    return grant;
  }
  const std::uint32_t units =
      std::min(request.units, account->LendableUnits(UsableShare(*account, now), now));
  if (units == 0) {
    ++counts_.rejected;
    return grant;
  }
  account->last_used_at = now;
  account->lent.push_back(
      {random_.Next() | 1U, request.nonce, from, borrower, units, now + UpperBoundWithDrift(kLeaseDuration)});
  counts_.lent += units;
  return granted(account->lent.back());
}

// Fails if this relay needs the units itself, or if the lease has ended and only its window is still running.
bool QuotaLeases::TryRenew(Micros now, QuotaAccount& account, QuotaAccount::LentLease& lease,
                           std::uint64_t nonce) {
  const std::uint32_t demand = account.Demand(now);
  const bool needed =
      demand > 0 && demand + Headroom(demand) + account.LentUnits() > UsableShare(account, now);
  if (now >= lease.ends || needed) return false;
  lease.ends = now + UpperBoundWithDrift(kLeaseDuration);
  lease.nonce = nonce;
  ++counts_.renewed;
  return true;
}

LeaseReturnAck QuotaLeases::OnReturn(Micros now, MemberId from, const LeaseReturn& lease_return) {
  // A return addressed to a previous incarnation is accepted as well: if the lease is still counted as lent,
  // it is by the current one.
  const auto it = accounts_.find(lease_return.quota);
  if (it != accounts_.end() && it->second.rule.IsConcurrencyQuota()) {
    std::erase_if(it->second.lent, [&](const QuotaAccount::LentLease& lease) {
      return lease.id == lease_return.lease && lease.borrower == from;
    });
    it->second.last_used_at = now;
  }
  ++counts_.returned;
  return {lease_return.lease, lease_return.quota, lease_return.units, {}};
}

void QuotaLeases::OnHeldLeases(Micros now, MemberId from, const Incarnation& borrower,
                               const Incarnation& self, const HeldLeases& held) {
  if (held.lender.id != self.id) return;
  const auto holds = [&](std::uint64_t lease) {
    return std::any_of(held.items.begin(), held.items.end(),
                       [&](const HeldLeases::Item& item) { return item.lease == lease; });
  };
  for (auto& [name, account] : accounts_) {
    if (!account.rule.IsConcurrencyQuota()) continue;
    std::erase_if(account.lent, [&](const QuotaAccount::LentLease& lease) {
      return lease.borrower == from && lease.incarnation.id == borrower.id && lease.nonce <= held.covers &&
             !holds(lease.id);
    });
  }
  for (const HeldLeases::Item& item : held.items) {
    QuotaAccount* account = FindOrCreateAccount(now, item.quota);
    if (account == nullptr || !account->rule.IsConcurrencyQuota()) continue;
    const bool known =
        std::any_of(account->lent.begin(), account->lent.end(),
                    [&](const QuotaAccount::LentLease& lease) { return lease.id == item.lease; });
    if (!known) account->lent.push_back({item.lease, 0, from, borrower, item.units, now});
  }
  reconciled_.insert(from);
}

void QuotaLeases::OnIncarnationSuperseded(MemberId peer, const Incarnation& previous) {
  for (auto& [name, account] : accounts_) {
    account.idle_at_peers.erase(peer);
    if (!account.rule.IsConcurrencyQuota()) continue;
    std::erase_if(account.lent, [&](const QuotaAccount::LentLease& lease) {
      return lease.borrower == peer && lease.incarnation.id == previous.id;
    });
  }
}

std::vector<IdleUnits> QuotaLeases::LendableUnits(Micros now) {
  std::vector<IdleUnits> out;
  for (auto& [name, account] : accounts_) {
    account.Expire(now);
    const std::uint32_t units = account.LendableUnits(UsableShare(account, now), now);
    if (units > 0) out.push_back({name, units});
  }
  return out;
}

}  // namespace stoatrun::fleet
