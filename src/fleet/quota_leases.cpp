#include "fleet/quota_leases.h"

#include <algorithm>
#include <utility>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint32_t kReservePart = 8;  // An eighth of a share is never lent; half of a level's.
constexpr std::uint32_t kLevelReservePart = 2;
constexpr Micros kDemandMemory = seconds(1);            // Or the window, if that is longer.
constexpr Micros kRequestInterval = milliseconds(100);  // Between requests for one quota.
constexpr Micros kRequestTimeout = milliseconds(1000);  // A grant that comes later is not accepted.
constexpr std::size_t kMaxRequests = 4;                 // Outbox at once for one quota.
constexpr Micros kIdleNews = seconds(3);                // What others said of their idle units holds so long.
constexpr std::size_t kMaxAccounts = 4096;              // QuotaLeases made by rule: endpoints come and go.
constexpr Micros kAccountIdleLimit = seconds(60);  // One made by rule goes when it was not used for so long.

std::string KindOf(const std::string& quota) { return quota.substr(0, quota.find(':')); }

std::uint64_t Hash(const std::string& text) {  // FNV-1a: the same at every relay.
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

}  // namespace

std::uint32_t ShareOf(const std::string& quota, std::uint32_t units, MemberId member_id,
                      std::uint32_t fleet_size) {
  if (fleet_size == 0 || member_id >= fleet_size) return 0;
  const std::uint32_t complete = units / fleet_size;
  const std::uint32_t left = units % fleet_size;
  if (left == 0) return complete;
  const std::uint64_t name = Hash(quota);
  const auto rank = [&](MemberId s) { return std::pair(Mixed(name, s + 1), s); };
  const auto own = rank(member_id);
  std::uint32_t before = 0;
  for (MemberId s = 0; s < fleet_size && before < left; ++s) before += rank(s) < own ? 1 : 0;
  return complete + (before < left ? 1 : 0);
}

QuotaLeases::QuotaLeases(const Settings& settings, std::uint64_t seed, Micros start)
    : settings_(settings), start_(start), random_(seed) {
  for (const QuotaRule& rule : settings.quotas) Find(start, rule.name);
}

const QuotaRule* QuotaLeases::RuleOf(const std::string& quota) const {
  const auto named = std::find_if(settings_.quotas.begin(), settings_.quotas.end(),
                                  [&](const QuotaRule& r) { return r.name == quota; });
  if (named != settings_.quotas.end()) return &*named;
  const auto kind = std::find_if(
      settings_.quota_templates.begin(), settings_.quota_templates.end(),
      [&](const QuotaRule& r) { return r.name == KindOf(quota) && quota.size() > r.name.size() + 1; });
  return kind != settings_.quota_templates.end() ? &*kind : nullptr;
}

QuotaLeases::QuotaAccount* QuotaLeases::Find(Micros now, const std::string& quota) {
  if (const auto at = accounts_.find(quota); at != accounts_.end()) return &at->second;
  const QuotaRule* rule = RuleOf(quota);
  if (rule == nullptr) return nullptr;
  if (accounts_.size() >= kMaxAccounts) {
    ++counts_.no_room;
    return nullptr;
  }
  QuotaAccount& p = accounts_[quota];
  p.rule = *rule;
  p.rule.name = quota;
  p.share = ShareOf(quota, rule->units, settings_.self, settings_.fleet_size);
  p.reserve = p.share / (rule->IsConcurrencyQuota() ? kLevelReservePart : kReservePart);
  p.used_at = now;
  return &p;
}

bool QuotaLeases::Reconciled() const {
  return std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& p) { return reconciled_.contains(p.member_id); });
}

// The part of the own share that no former run of this process can still be using, or have lent.
std::uint32_t QuotaLeases::Usable(const QuotaAccount& p, Micros now) const {
  if (p.rule.IsConcurrencyQuota())
    return Reconciled() || IsInjected(Fault::kLentLeasesForgottenByRestart) ? p.share : p.reserve;
  if (IsInjected(Fault::kLenderIgnoresRestart)) return p.share;
  const Micros window = AtLeast(p.rule.window);
  if (now < start_ + window) return 0;
  return now < start_ + AtLeast(kLeaseDuration) + window ? p.reserve : p.share;
}

std::uint32_t QuotaLeases::LentOut(const QuotaAccount& p) const {
  std::uint32_t units = 0;
  for (const LentLease& l : p.lent) units += l.units;
  return units;
}

void QuotaLeases::Expire(QuotaAccount& p, Micros now) {
  const Micros window = AtLeast(p.rule.window);
  while (!p.spent.empty() && p.spent.front() + window <= now) p.spent.pop_front();
  const Micros memory = std::max(kDemandMemory, p.rule.window);
  while (!p.demand.empty() && p.demand.front() + memory <= now) p.demand.pop_front();
  std::erase_if(p.requests, [&](const PendingRequest& a) { return now >= a.at + kRequestTimeout; });
  for (BorrowedLease& b : p.borrowed) {
    while (!b.spent.empty() && b.spent.front() + window <= now) b.spent.pop_front();
  }
  if (p.rule.IsConcurrencyQuota()) {
    if (IsInjected(Fault::kConcurrencyLeaseEndsByClock))
      std::erase_if(p.lent, [&](const LentLease& l) { return now >= l.ends; });
    return;
  }
  const Micros wait = IsInjected(Fault::kLenderIgnoresWindow) ? Micros(0) : window;
  std::erase_if(p.lent, [&](const LentLease& l) { return now >= l.ends + wait; });
  std::erase_if(p.borrowed, [&](const BorrowedLease& b) {
    return now >= b.ends && !IsInjected(Fault::kLeaseIgnoresPause);
  });
}

std::uint32_t QuotaLeases::OwnFree(const QuotaAccount& p, Micros now) const {
  const std::uint32_t usable = Usable(p, now);
  const auto gone = static_cast<std::uint32_t>(p.spent.size()) + LentOut(p);
  return usable > gone ? usable - gone : 0;
}

// Of a level: how many units may be held now.
std::uint32_t QuotaLeases::Allowed(const QuotaAccount& p, Micros now) const {
  const std::uint32_t usable = Usable(p, now), lent = LentOut(p);
  std::uint32_t allowed = usable > lent ? usable - lent : 0;
  for (const BorrowedLease& b : p.borrowed) allowed += !b.returning && now < b.ends ? b.units : 0;
  return allowed;
}

bool QuotaLeases::TryAcquire(Micros now, const std::string& quota) {
  QuotaAccount* p = Find(now, quota);
  if (p == nullptr) return false;
  p->used_at = now;
  if (!IsInjected(Fault::kLeaseIgnoresPause)) Expire(*p, now);
  if (p->demand.size() < 2 * static_cast<std::size_t>(p->rule.units) + 16) p->demand.push_back(now);
  if (p->rule.IsConcurrencyQuota()) {
    if (p->held >= Allowed(*p, now)) {
      ++counts_.denied;
      return false;
    }
    ++p->held;
    ++counts_.spent;
    return true;
  }
  // Borrowed units first: what is left of them when the lease ends is of no use to anybody.
  for (BorrowedLease& b : p->borrowed) {
    if (b.spent.size() >= b.units) continue;
    b.spent.push_back(now);
    ++counts_.spent;
    return true;
  }
  if (OwnFree(*p, now) == 0) {
    ++counts_.denied;
    return false;
  }
  p->spent.push_back(now);
  ++counts_.spent;
  return true;
}

void QuotaLeases::Release(const std::string& quota) {
  const auto at = accounts_.find(quota);
  if (at != accounts_.end() && at->second.held > 0) --at->second.held;
}

std::uint32_t QuotaLeases::Available(Micros now, const std::string& quota) {
  QuotaAccount* p = Find(now, quota);
  if (p == nullptr) return 0;
  Expire(*p, now);
  if (p->rule.IsConcurrencyQuota()) {
    const std::uint32_t allowed = Allowed(*p, now);
    return allowed > p->held ? allowed - p->held : 0;
  }
  std::uint32_t free = OwnFree(*p, now);
  for (const BorrowedLease& b : p->borrowed) free += b.units - static_cast<std::uint32_t>(b.spent.size());
  return free;
}

std::uint32_t QuotaLeases::Excess(Micros now, const std::string& quota) {
  QuotaAccount* p = Find(now, quota);
  if (p == nullptr || !p->rule.IsConcurrencyQuota()) return 0;
  Expire(*p, now);
  const std::uint32_t allowed = Allowed(*p, now);
  return p->held > allowed ? p->held - allowed : 0;
}

// Units that this relay uses, or would: what it asked of the quota lately.
std::uint32_t QuotaLeases::Demand(QuotaAccount& p, Micros now) const {
  const Micros memory = std::max(kDemandMemory, p.rule.window);
  while (!p.demand.empty() && p.demand.front() + memory <= now) p.demand.pop_front();
  const auto asked = static_cast<std::uint32_t>(p.demand.size());
  return p.rule.IsConcurrencyQuota() ? p.held + asked : asked;
}

std::uint32_t QuotaLeases::Lendable(QuotaAccount& p, Micros now) const {
  const std::uint32_t most = p.share - p.reserve, lent = LentOut(p);
  if (lent >= most || Usable(p, now) < p.share) return 0;
  std::uint32_t free = 0;
  if (p.rule.IsConcurrencyQuota()) {
    const std::uint32_t allowed = p.share > lent ? p.share - lent : 0;
    free = allowed > p.held ? allowed - p.held : 0;
  } else {
    free = OwnFree(p, now);
  }
  const std::uint32_t demand = Demand(p, now);
  const std::uint32_t keep = demand > 0 ? demand / 4 + 1 : 0;
  return std::min(most - lent, free > keep ? free - keep : 0);
}

std::vector<QuotaLeases::DueRequest> QuotaLeases::Tick(Micros now) {
  std::vector<DueRequest> out;
  for (auto it = accounts_.begin(); it != accounts_.end();) {
    auto& [name, p] = *it;
    Expire(p, now);
    const bool by_rule = name.find(':') != std::string::npos;
    if (by_rule && p.lent.empty() && p.borrowed.empty() && p.spent.empty() && p.held == 0 &&
        p.requests.empty() && now >= p.used_at + kAccountIdleLimit) {
      it = accounts_.erase(it);
      continue;
    }
    ++it;
    const std::uint32_t demand = Demand(p, now);
    const std::uint32_t wanted = demand > 0 ? demand + demand / 4 + 1 : 0;
    const std::uint32_t usable = Usable(p, now), lent = LentOut(p);
    const std::uint32_t own = usable > lent ? usable - lent : 0;
    std::uint32_t have = own;
    for (BorrowedLease& b : p.borrowed) {
      if (b.returning) continue;
      const bool needed = wanted > have;
      have += now < b.ends ? b.units : 0;
      if (!needed || now >= b.ends) {
        // A level's units go back as soon as what is held fits without them.
        if (p.rule.IsConcurrencyQuota() && p.held + b.units <= Allowed(p, now) + (now < b.ends ? 0 : b.units))
          b.returning = true;
        continue;
      }
      const bool asked = std::any_of(p.requests.begin(), p.requests.end(),
                                     [&](const PendingRequest& a) { return a.renews == b.id; });
      if (asked || now < b.ends - kLeaseDuration / 2) continue;
      out.push_back({{++last_request_, name, b.units, b.id}, b.lender});
    }
    std::uint32_t coming = 0;
    std::size_t out_now = 0;
    for (const PendingRequest& a : p.requests) {
      coming += a.renews == 0 ? a.units : 0;
      out_now += a.renews == 0 ? 1 : 0;
    }
    if (p.requested_at.count() > 0 && now < p.requested_at + kRequestInterval) continue;
    // A peer is asked for about what a place owns: more it rarely has.
    for (; wanted > have + coming && out_now < kMaxRequests; ++out_now) {
      const std::uint32_t units = std::min(wanted - have - coming, std::max<std::uint32_t>(1, p.share));
      p.requested_at = now;
      coming += units;
      out.push_back({{++last_request_, name, units, 0}, std::nullopt});
    }
  }
  return out;
}

void QuotaLeases::OnRequestSent(Micros now, MemberId lender, const LeaseRequest& request) {
  const auto at = accounts_.find(request.quota);
  if (at == accounts_.end()) return;
  ++counts_.asked;
  at->second.requests.push_back({request.nonce, lender, request.units, now, request.renews});
  // So much less lies idle there.
  if (const auto idle = at->second.idle_elsewhere.find(lender); idle != at->second.idle_elsewhere.end()) {
    idle->second.first -= std::min(idle->second.first, request.units);
  }
}

LeaseGrant QuotaLeases::OnRequest(Micros now, MemberId from, const Incarnation& borrower,
                                  const LeaseRequest& request) {
  LeaseGrant grant{request.nonce, 0, request.quota, 0, kLeaseDuration, borrower};
  QuotaAccount* p = Find(now, request.quota);
  if (p == nullptr) return grant;
  Expire(*p, now);
  const auto granted = [&](const LentLease& l) {
    grant.lease = l.id;
    grant.units = l.units;
    return grant;
  };
  for (const LentLease& l : p->lent) {  // The same request again: the same ack.
    if (l.borrower == from && l.incarnation.id == borrower.id && l.nonce == request.nonce) return granted(l);
  }
  if (request.renews != 0) {
    for (LentLease& l : p->lent) {
      if (l.id != request.renews || l.borrower != from || l.incarnation.id != borrower.id) continue;
      // Not if this relay needs its units, or the lease is ended and only its window still runs.
      const std::uint32_t demand = Demand(*p, now);
      if (now >= l.ends || (demand > 0 && demand + demand / 4 + 1 + LentOut(*p) > Usable(*p, now))) break;
      l.ends = now + AtLeast(kLeaseDuration);
      l.nonce = request.nonce;
      ++counts_.renewed;
      return granted(l);
    }
    ++counts_.rejected;
    return grant;
  }
  const std::uint32_t units = std::min(request.units, Lendable(*p, now));
  if (units == 0) {
    ++counts_.rejected;
    return grant;
  }
  p->used_at = now;
  p->lent.push_back(
      {random_.Next() | 1U, request.nonce, from, borrower, units, now + AtLeast(kLeaseDuration)});
  counts_.lent += units;
  return granted(p->lent.back());
}

void QuotaLeases::OnGrant(Micros now, MemberId from, const Incarnation& lender, const Incarnation& self,
                          const LeaseGrant& grant) {
  const auto at = accounts_.find(grant.quota);
  if (at == accounts_.end() || grant.borrower.id != self.id) return;
  QuotaAccount& p = at->second;
  const auto request = std::find_if(p.requests.begin(), p.requests.end(), [&](const PendingRequest& a) {
    return a.nonce == grant.nonce && a.lender == from;
  });
  const auto known = std::find_if(p.borrowed.begin(), p.borrowed.end(), [&](const BorrowedLease& b) {
    return b.id == grant.lease && b.lender == from;
  });
  if (request == p.requests.end()) {
    // Too late to be of use, or said twice. A level's lender would wait for ever: it gets the units back at
    // once.
    ++counts_.late_grants;
    if (p.rule.IsConcurrencyQuota() && grant.units > 0 && known == p.borrowed.end()) {
      p.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    }
    return;
  }
  const PendingRequest asked = *request;
  if (!IsInjected(Fault::kGrantTakenTwice)) p.requests.erase(request);
  if (grant.units == 0) {
    if (IsInjected(Fault::kGrantTakenTwice))
      std::erase_if(p.requests, [&](const PendingRequest& a) { return a.nonce == grant.nonce; });
    p.idle_elsewhere.erase(from);
    return;
  }
  // From the request on, for the lender's clock ran no earlier than that.
  const Micros from_when = IsInjected(Fault::kLeaseCountsFromGrant) ? now : asked.at;
  const Micros ends = from_when + AtMost(std::min(grant.length, kLeaseDuration));
  ++counts_.granted;
  if (known != p.borrowed.end() && !IsInjected(Fault::kGrantTakenTwice)) {
    known->ends = std::max(known->ends, ends);
    return;
  }
  if (asked.renews != 0) {
    // The lease that it renews is ended here. A level's units are still to be given back.
    if (p.rule.IsConcurrencyQuota())
      p.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    return;
  }
  counts_.borrowed += grant.units;
  p.borrowed.push_back({grant.lease, from, lender, grant.units, ends, {}, false});
}

std::vector<LeaseReturn> QuotaLeases::Returns(MemberId lender) {
  std::vector<LeaseReturn> out;
  for (auto& [name, p] : accounts_) {
    for (const BorrowedLease& b : p.borrowed) {
      if (b.returning && b.lender == lender) out.push_back({b.id, b.lender_incarnation, name, b.units});
    }
  }
  return out;
}

LeaseReturnAck QuotaLeases::OnReturn(Micros now, MemberId from, const LeaseReturn& r) {
  const auto at = accounts_.find(r.quota);
  if (at != accounts_.end() && at->second.rule.IsConcurrencyQuota()) {
    std::erase_if(at->second.lent, [&](const LentLease& l) { return l.id == r.lease && l.borrower == from; });
    at->second.used_at = now;
  }
  ++counts_.returned;
  return LeaseReturnAck{r.lease, r.quota, r.units, {}};
}

void QuotaLeases::OnReturnAck(MemberId from, const LeaseReturnAck& settled) {
  const auto at = accounts_.find(settled.quota);
  if (at == accounts_.end()) return;
  std::erase_if(at->second.borrowed, [&](const BorrowedLease& b) {
    return b.returning && b.id == settled.lease && b.lender == from;
  });
}

HeldLeases QuotaLeases::HeldFrom(MemberId lender, const Incarnation& lender_incarnation) {
  HeldLeases held;
  held.lender = lender_incarnation;
  held.covers = last_request_;
  for (auto& [name, p] : accounts_) {
    if (!p.rule.IsConcurrencyQuota()) continue;
    // What is still on its way is not accepted any more: the statement must hold for ever.
    std::erase_if(p.requests, [&](const PendingRequest& a) { return a.lender == lender; });
    for (const BorrowedLease& b : p.borrowed) {
      if (b.lender == lender) held.items.push_back({name, b.id, b.units});
    }
  }
  return held;
}

void QuotaLeases::OnHeldLeases(Micros now, MemberId from, const Incarnation& borrower,
                               const Incarnation& self, const HeldLeases& held) {
  if (held.lender.id != self.id) return;
  for (auto& [name, p] : accounts_) {
    if (!p.rule.IsConcurrencyQuota()) continue;
    std::erase_if(p.lent, [&](const LentLease& l) {
      return l.borrower == from && l.incarnation.id == borrower.id && l.nonce <= held.covers &&
             std::none_of(held.items.begin(), held.items.end(),
                          [&](const HeldLeases::Item& i) { return i.lease == l.id; });
    });
  }
  for (const HeldLeases::Item& item : held.items) {
    QuotaAccount* p = Find(now, item.quota);
    if (p == nullptr || !p->rule.IsConcurrencyQuota()) continue;
    const bool known =
        std::any_of(p->lent.begin(), p->lent.end(), [&](const LentLease& l) { return l.id == item.lease; });
    if (!known) p->lent.push_back({item.lease, 0, from, borrower, item.units, now});
  }
  reconciled_.insert(from);
}

void QuotaLeases::OnIncarnationSuperseded(MemberId peer, const Incarnation& former) {
  for (auto& [name, p] : accounts_) {
    p.idle_elsewhere.erase(peer);
    if (!p.rule.IsConcurrencyQuota()) continue;
    std::erase_if(p.lent,
                  [&](const LentLease& l) { return l.borrower == peer && l.incarnation.id == former.id; });
  }
}

void QuotaLeases::Follow(const std::vector<Peer>& peers) { settings_.peers = peers; }

std::vector<IdleUnits> QuotaLeases::IdleUnitsNow(Micros now) {
  std::vector<IdleUnits> out;
  for (auto& [name, p] : accounts_) {
    Expire(p, now);
    if (const std::uint32_t units = Lendable(p, now); units > 0) out.push_back({name, units});
  }
  return out;
}

void QuotaLeases::OnIdleUnits(Micros now, MemberId peer, const std::vector<IdleUnits>& idle) {
  for (const IdleUnits& i : idle) {
    if (const auto at = accounts_.find(i.quota); at != accounts_.end())
      at->second.idle_elsewhere[peer] = {i.units, now};
  }
}

std::optional<MemberId> QuotaLeases::LenderFor(Micros now, const std::string& quota,
                                               const std::vector<MemberId>& alive) {
  if (alive.empty()) return std::nullopt;
  const auto at = accounts_.find(quota);
  if (at == accounts_.end()) return std::nullopt;
  QuotaAccount& p = at->second;
  std::uint64_t total = 0;
  std::vector<std::pair<MemberId, std::uint32_t>> known;
  for (const auto& [member_id, note] : p.idle_elsewhere) {
    if (now >= note.second + kIdleNews || note.first == 0) continue;
    if (std::find(alive.begin(), alive.end(), member_id) == alive.end()) continue;
    known.emplace_back(member_id, note.first);
    total += note.first;
  }
  if (total == 0) return alive[random_.Below(alive.size())];
  std::uint64_t at_unit = random_.Next() % total;
  for (const auto& [member_id, units] : known) {
    if (at_unit < units) return member_id;
    at_unit -= units;
  }
  return known.back().first;
}

std::vector<QuotaLeases::View> QuotaLeases::Views(Micros now) {
  std::vector<View> out;
  for (auto& [name, p] : accounts_) {
    Expire(p, now);
    View v{name,
           p.rule.units,
           p.share,
           Available(now, name),
           0,
           LentOut(p),
           0,
           Excess(now, name),
           !p.rule.IsConcurrencyQuota() || Reconciled()};
    v.spent = p.rule.IsConcurrencyQuota() ? p.held : static_cast<std::uint32_t>(p.spent.size());
    for (const BorrowedLease& b : p.borrowed) {
      v.borrowed += b.units;
      if (!p.rule.IsConcurrencyQuota()) v.spent += static_cast<std::uint32_t>(b.spent.size());
    }
    out.push_back(std::move(v));
  }
  return out;
}

std::vector<QuotaLeases::Lease> QuotaLeases::Lent(Micros now) const {
  std::vector<Lease> out;
  for (const auto& [name, p] : accounts_) {
    for (const LentLease& l : p.lent) out.push_back({name, l.borrower, l.units, l.ends, now >= l.ends});
  }
  return out;
}

std::vector<QuotaLeases::Lease> QuotaLeases::Borrowed(Micros now) const {
  std::vector<Lease> out;
  for (const auto& [name, p] : accounts_) {
    for (const BorrowedLease& b : p.borrowed) out.push_back({name, b.lender, b.units, b.ends, now >= b.ends});
  }
  return out;
}

}  // namespace stoatrun::fleet
