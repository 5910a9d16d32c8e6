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
constexpr Micros kDemandMemory = seconds(1);     // Or the window, if that is longer.
constexpr Micros kAskPause = milliseconds(100);  // Between asks for one budget.
constexpr Micros kAskLife = milliseconds(1000);  // A grant that comes later is not taken.
constexpr std::size_t kMostAsks = 4;             // Out at once for one budget.
constexpr Micros kIdleNews = seconds(3);         // What others said of their idle units holds so long.
constexpr std::size_t kMostPurses = 4096;        // Budgets made by rule: servers come and go.
constexpr Micros kPurseLife = seconds(60);       // One made by rule goes when it was not used for so long.

std::string KindOf(const std::string& budget) { return budget.substr(0, budget.find(':')); }

std::uint64_t Hash(const std::string& text) {  // FNV-1a: the same at every relay.
  std::uint64_t h = 0xcbf29ce484222325ULL;
  for (const char c : text) h = (h ^ static_cast<unsigned char>(c)) * 0x100000001b3ULL;
  return h;
}

}  // namespace

std::uint32_t ShareOf(const std::string& budget, std::uint32_t units, Slot slot, std::uint32_t slots) {
  if (slots == 0 || slot >= slots) return 0;
  const std::uint32_t whole = units / slots;
  const std::uint32_t left = units % slots;
  if (left == 0) return whole;
  const std::uint64_t name = Hash(budget);
  const auto rank = [&](Slot s) { return std::pair(Mixed(name, s + 1), s); };
  const auto own = rank(slot);
  std::uint32_t before = 0;
  for (Slot s = 0; s < slots && before < left; ++s) before += rank(s) < own ? 1 : 0;
  return whole + (before < left ? 1 : 0);
}

Budgets::Budgets(const Settings& settings, std::uint64_t seed, Micros start)
    : settings_(settings), start_(start), random_(seed) {
  for (const BudgetRule& rule : settings.budgets) Find(start, rule.name);
}

const BudgetRule* Budgets::RuleOf(const std::string& budget) const {
  const auto named = std::find_if(settings_.budgets.begin(), settings_.budgets.end(),
                                  [&](const BudgetRule& r) { return r.name == budget; });
  if (named != settings_.budgets.end()) return &*named;
  const auto kind = std::find_if(settings_.each.begin(), settings_.each.end(), [&](const BudgetRule& r) {
    return r.name == KindOf(budget) && budget.size() > r.name.size() + 1;
  });
  return kind != settings_.each.end() ? &*kind : nullptr;
}

Budgets::Purse* Budgets::Find(Micros now, const std::string& budget) {
  if (const auto at = purses_.find(budget); at != purses_.end()) return &at->second;
  const BudgetRule* rule = RuleOf(budget);
  if (rule == nullptr) return nullptr;
  if (purses_.size() >= kMostPurses) {
    ++counts_.no_room;
    return nullptr;
  }
  Purse& p = purses_[budget];
  p.rule = *rule;
  p.rule.name = budget;
  p.share = ShareOf(budget, rule->units, settings_.self, settings_.slots);
  p.reserve = p.share / (rule->Level() ? kLevelReservePart : kReservePart);
  p.used_at = now;
  return &p;
}

bool Budgets::Reconciled() const {
  return std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& p) { return reconciled_.contains(p.slot); });
}

// The part of the own share that no former run of this process can still be using, or have lent.
std::uint32_t Budgets::Usable(const Purse& p, Micros now) const {
  if (p.rule.Level()) return Reconciled() || Planted(Fault::kLoansForgottenByRestart) ? p.share : p.reserve;
  if (Planted(Fault::kLenderForgetsRestart)) return p.share;
  const Micros window = AtLeast(p.rule.window);
  if (now < start_ + window) return 0;
  return now < start_ + AtLeast(kLease) + window ? p.reserve : p.share;
}

std::uint32_t Budgets::LentOut(const Purse& p) const {
  std::uint32_t units = 0;
  for (const LentLease& l : p.lent) units += l.units;
  return units;
}

void Budgets::Expire(Purse& p, Micros now) {
  const Micros window = AtLeast(p.rule.window);
  while (!p.spent.empty() && p.spent.front() + window <= now) p.spent.pop_front();
  const Micros memory = std::max(kDemandMemory, p.rule.window);
  while (!p.demand.empty() && p.demand.front() + memory <= now) p.demand.pop_front();
  std::erase_if(p.asks, [&](const Ask& a) { return now >= a.at + kAskLife; });
  for (BorrowedLease& b : p.borrowed) {
    while (!b.spent.empty() && b.spent.front() + window <= now) b.spent.pop_front();
  }
  if (p.rule.Level()) {
    if (Planted(Fault::kLevelEndsByClock))
      std::erase_if(p.lent, [&](const LentLease& l) { return now >= l.ends; });
    return;
  }
  const Micros wait = Planted(Fault::kLenderForgetsWindow) ? Micros(0) : window;
  std::erase_if(p.lent, [&](const LentLease& l) { return now >= l.ends + wait; });
  std::erase_if(p.borrowed,
                [&](const BorrowedLease& b) { return now >= b.ends && !Planted(Fault::kLeaseIgnoresPause); });
}

std::uint32_t Budgets::OwnFree(const Purse& p, Micros now) const {
  const std::uint32_t usable = Usable(p, now);
  const auto gone = static_cast<std::uint32_t>(p.spent.size()) + LentOut(p);
  return usable > gone ? usable - gone : 0;
}

// Of a level: how many units may be held now.
std::uint32_t Budgets::Allowed(const Purse& p, Micros now) const {
  const std::uint32_t usable = Usable(p, now), lent = LentOut(p);
  std::uint32_t allowed = usable > lent ? usable - lent : 0;
  for (const BorrowedLease& b : p.borrowed) allowed += !b.returning && now < b.ends ? b.units : 0;
  return allowed;
}

bool Budgets::Spend(Micros now, const std::string& budget) {
  Purse* p = Find(now, budget);
  if (p == nullptr) return false;
  p->used_at = now;
  if (!Planted(Fault::kLeaseIgnoresPause)) Expire(*p, now);
  if (p->demand.size() < 2 * static_cast<std::size_t>(p->rule.units) + 16) p->demand.push_back(now);
  if (p->rule.Level()) {
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

void Budgets::Release(const std::string& budget) {
  const auto at = purses_.find(budget);
  if (at != purses_.end() && at->second.held > 0) --at->second.held;
}

std::uint32_t Budgets::Available(Micros now, const std::string& budget) {
  Purse* p = Find(now, budget);
  if (p == nullptr) return 0;
  Expire(*p, now);
  if (p->rule.Level()) {
    const std::uint32_t allowed = Allowed(*p, now);
    return allowed > p->held ? allowed - p->held : 0;
  }
  std::uint32_t free = OwnFree(*p, now);
  for (const BorrowedLease& b : p->borrowed) free += b.units - static_cast<std::uint32_t>(b.spent.size());
  return free;
}

std::uint32_t Budgets::Excess(Micros now, const std::string& budget) {
  Purse* p = Find(now, budget);
  if (p == nullptr || !p->rule.Level()) return 0;
  Expire(*p, now);
  const std::uint32_t allowed = Allowed(*p, now);
  return p->held > allowed ? p->held - allowed : 0;
}

// Units that this relay uses, or would: what it asked of the budget lately.
std::uint32_t Budgets::Demand(Purse& p, Micros now) const {
  const Micros memory = std::max(kDemandMemory, p.rule.window);
  while (!p.demand.empty() && p.demand.front() + memory <= now) p.demand.pop_front();
  const auto asked = static_cast<std::uint32_t>(p.demand.size());
  return p.rule.Level() ? p.held + asked : asked;
}

std::uint32_t Budgets::Lendable(Purse& p, Micros now) const {
  const std::uint32_t most = p.share - p.reserve, lent = LentOut(p);
  if (lent >= most || Usable(p, now) < p.share) return 0;
  std::uint32_t free = 0;
  if (p.rule.Level()) {
    const std::uint32_t allowed = p.share > lent ? p.share - lent : 0;
    free = allowed > p.held ? allowed - p.held : 0;
  } else {
    free = OwnFree(p, now);
  }
  const std::uint32_t demand = Demand(p, now);
  const std::uint32_t keep = demand > 0 ? demand / 4 + 1 : 0;
  return std::min(most - lent, free > keep ? free - keep : 0);
}

std::vector<Budgets::Wanted> Budgets::Tick(Micros now) {
  std::vector<Wanted> out;
  for (auto it = purses_.begin(); it != purses_.end();) {
    auto& [name, p] = *it;
    Expire(p, now);
    const bool by_rule = name.find(':') != std::string::npos;
    if (by_rule && p.lent.empty() && p.borrowed.empty() && p.spent.empty() && p.held == 0 && p.asks.empty() &&
        now >= p.used_at + kPurseLife) {
      it = purses_.erase(it);
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
        if (p.rule.Level() && p.held + b.units <= Allowed(p, now) + (now < b.ends ? 0 : b.units))
          b.returning = true;
        continue;
      }
      const bool asked =
          std::any_of(p.asks.begin(), p.asks.end(), [&](const Ask& a) { return a.renews == b.id; });
      if (asked || now < b.ends - kLease / 2) continue;
      out.push_back({{++last_ask_, name, b.units, b.id}, b.lender});
    }
    std::uint32_t coming = 0;
    std::size_t out_now = 0;
    for (const Ask& a : p.asks) {
      coming += a.renews == 0 ? a.units : 0;
      out_now += a.renews == 0 ? 1 : 0;
    }
    if (p.asked_at.count() > 0 && now < p.asked_at + kAskPause) continue;
    // A peer is asked for about what a place owns: more it rarely has.
    for (; wanted > have + coming && out_now < kMostAsks; ++out_now) {
      const std::uint32_t units = std::min(wanted - have - coming, std::max<std::uint32_t>(1, p.share));
      p.asked_at = now;
      coming += units;
      out.push_back({{++last_ask_, name, units, 0}, std::nullopt});
    }
  }
  return out;
}

void Budgets::Asked(Micros now, Slot lender, const LeaseAsk& ask) {
  const auto at = purses_.find(ask.budget);
  if (at == purses_.end()) return;
  ++counts_.asked;
  at->second.asks.push_back({ask.nonce, lender, ask.units, now, ask.renews});
  // So much less lies idle there.
  if (const auto idle = at->second.idle_elsewhere.find(lender); idle != at->second.idle_elsewhere.end()) {
    idle->second.first -= std::min(idle->second.first, ask.units);
  }
}

LeaseGrant Budgets::OnAsk(Micros now, Slot from, const Life& borrower, const LeaseAsk& ask) {
  LeaseGrant grant{ask.nonce, 0, ask.budget, 0, kLease, borrower};
  Purse* p = Find(now, ask.budget);
  if (p == nullptr) return grant;
  Expire(*p, now);
  const auto granted = [&](const LentLease& l) {
    grant.lease = l.id;
    grant.units = l.units;
    return grant;
  };
  for (const LentLease& l : p->lent) {  // The same ask again: the same answer.
    if (l.borrower == from && l.life.id == borrower.id && l.nonce == ask.nonce) return granted(l);
  }
  if (ask.renews != 0) {
    for (LentLease& l : p->lent) {
      if (l.id != ask.renews || l.borrower != from || l.life.id != borrower.id) continue;
      // Not if this relay needs its units, or the lease is over and only its window still runs.
      const std::uint32_t demand = Demand(*p, now);
      if (now >= l.ends || (demand > 0 && demand + demand / 4 + 1 + LentOut(*p) > Usable(*p, now))) break;
      l.ends = now + AtLeast(kLease);
      l.nonce = ask.nonce;
      ++counts_.renewed;
      return granted(l);
    }
    ++counts_.refused;
    return grant;
  }
  const std::uint32_t units = std::min(ask.units, Lendable(*p, now));
  if (units == 0) {
    ++counts_.refused;
    return grant;
  }
  p->used_at = now;
  p->lent.push_back({random_.Next() | 1U, ask.nonce, from, borrower, units, now + AtLeast(kLease)});
  counts_.lent += units;
  return granted(p->lent.back());
}

void Budgets::OnGrant(Micros now, Slot from, const Life& lender, const Life& self, const LeaseGrant& grant) {
  const auto at = purses_.find(grant.budget);
  if (at == purses_.end() || grant.borrower.id != self.id) return;
  Purse& p = at->second;
  const auto ask = std::find_if(p.asks.begin(), p.asks.end(),
                                [&](const Ask& a) { return a.nonce == grant.nonce && a.lender == from; });
  const auto known = std::find_if(p.borrowed.begin(), p.borrowed.end(), [&](const BorrowedLease& b) {
    return b.id == grant.lease && b.lender == from;
  });
  if (ask == p.asks.end()) {
    // Too late to be of use, or said twice. A level's lender would wait for ever: it gets the units back at
    // once.
    ++counts_.late_grants;
    if (p.rule.Level() && grant.units > 0 && known == p.borrowed.end()) {
      p.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    }
    return;
  }
  const Ask asked = *ask;
  if (!Planted(Fault::kGrantTakenTwice)) p.asks.erase(ask);
  if (grant.units == 0) {
    if (Planted(Fault::kGrantTakenTwice))
      std::erase_if(p.asks, [&](const Ask& a) { return a.nonce == grant.nonce; });
    p.idle_elsewhere.erase(from);
    return;
  }
  // From the ask on, for the lender's clock ran no earlier than that.
  const Micros from_when = Planted(Fault::kLeaseCountsFromGrant) ? now : asked.at;
  const Micros ends = from_when + AtMost(std::min(grant.length, kLease));
  ++counts_.granted;
  if (known != p.borrowed.end() && !Planted(Fault::kGrantTakenTwice)) {
    known->ends = std::max(known->ends, ends);
    return;
  }
  if (asked.renews != 0) {
    // The lease that it renews is over here. A level's units are still to be given back.
    if (p.rule.Level()) p.borrowed.push_back({grant.lease, from, lender, grant.units, now, {}, true});
    return;
  }
  counts_.borrowed += grant.units;
  p.borrowed.push_back({grant.lease, from, lender, grant.units, ends, {}, false});
}

std::vector<LeaseReturn> Budgets::Returns(Slot lender) {
  std::vector<LeaseReturn> out;
  for (auto& [name, p] : purses_) {
    for (const BorrowedLease& b : p.borrowed) {
      if (b.returning && b.lender == lender) out.push_back({b.id, b.lender_life, name, b.units});
    }
  }
  return out;
}

std::optional<LeaseSettled> Budgets::OnReturn(Micros now, Slot from, const Life& self, const LeaseReturn& r) {
  // A return to a former run is as good: the run that holds the place now counts the lease as lent, if it
  // counts it.
  (void)self;
  const auto at = purses_.find(r.budget);
  if (at != purses_.end() && at->second.rule.Level()) {
    std::erase_if(at->second.lent, [&](const LentLease& l) { return l.id == r.lease && l.borrower == from; });
    at->second.used_at = now;
  }
  ++counts_.returned;
  return LeaseSettled{r.lease, r.budget, r.units, {}};
}

void Budgets::OnSettled(Slot from, const LeaseSettled& settled) {
  const auto at = purses_.find(settled.budget);
  if (at == purses_.end()) return;
  std::erase_if(at->second.borrowed, [&](const BorrowedLease& b) {
    return b.returning && b.id == settled.lease && b.lender == from;
  });
}

Held Budgets::HeldOf(Slot lender, const Life& lender_life) {
  Held held;
  held.lender = lender_life;
  held.covers = last_ask_;
  for (auto& [name, p] : purses_) {
    if (!p.rule.Level()) continue;
    // What is still on its way is not taken any more: the statement must hold for ever.
    std::erase_if(p.asks, [&](const Ask& a) { return a.lender == lender; });
    for (const BorrowedLease& b : p.borrowed) {
      if (b.lender == lender) held.items.push_back({name, b.id, b.units});
    }
  }
  return held;
}

void Budgets::OnHeld(Micros now, Slot from, const Life& borrower, const Life& self, const Held& held) {
  if (held.lender.id != self.id) return;
  for (auto& [name, p] : purses_) {
    if (!p.rule.Level()) continue;
    std::erase_if(p.lent, [&](const LentLease& l) {
      return l.borrower == from && l.life.id == borrower.id && l.nonce <= held.covers &&
             std::none_of(held.items.begin(), held.items.end(),
                          [&](const Held::Item& i) { return i.lease == l.id; });
    });
  }
  for (const Held::Item& item : held.items) {
    Purse* p = Find(now, item.budget);
    if (p == nullptr || !p->rule.Level()) continue;
    const bool known =
        std::any_of(p->lent.begin(), p->lent.end(), [&](const LentLease& l) { return l.id == item.lease; });
    if (!known) p->lent.push_back({item.lease, 0, from, borrower, item.units, now});
  }
  reconciled_.insert(from);
}

void Budgets::OnSuperseded(Slot peer, const Life& former) {
  for (auto& [name, p] : purses_) {
    p.idle_elsewhere.erase(peer);
    if (!p.rule.Level()) continue;
    std::erase_if(p.lent, [&](const LentLease& l) { return l.borrower == peer && l.life.id == former.id; });
  }
}

void Budgets::Follow(const std::vector<Peer>& peers) { settings_.peers = peers; }

std::vector<Idle> Budgets::IdleNow(Micros now) {
  std::vector<Idle> out;
  for (auto& [name, p] : purses_) {
    Expire(p, now);
    if (const std::uint32_t units = Lendable(p, now); units > 0) out.push_back({name, units});
  }
  return out;
}

void Budgets::NoteIdle(Micros now, Slot peer, const std::vector<Idle>& idle) {
  for (const Idle& i : idle) {
    if (const auto at = purses_.find(i.budget); at != purses_.end())
      at->second.idle_elsewhere[peer] = {i.units, now};
  }
}

std::optional<Slot> Budgets::LenderFor(Micros now, const std::string& budget,
                                       const std::vector<Slot>& alive) {
  if (alive.empty()) return std::nullopt;
  const auto at = purses_.find(budget);
  if (at == purses_.end()) return std::nullopt;
  Purse& p = at->second;
  std::uint64_t total = 0;
  std::vector<std::pair<Slot, std::uint32_t>> known;
  for (const auto& [slot, note] : p.idle_elsewhere) {
    if (now >= note.second + kIdleNews || note.first == 0) continue;
    if (std::find(alive.begin(), alive.end(), slot) == alive.end()) continue;
    known.emplace_back(slot, note.first);
    total += note.first;
  }
  if (total == 0) return alive[random_.Below(alive.size())];
  std::uint64_t at_unit = random_.Next() % total;
  for (const auto& [slot, units] : known) {
    if (at_unit < units) return slot;
    at_unit -= units;
  }
  return known.back().first;
}

std::vector<Budgets::View> Budgets::Views(Micros now) {
  std::vector<View> out;
  for (auto& [name, p] : purses_) {
    Expire(p, now);
    View v{name,
           p.rule.units,
           p.share,
           Available(now, name),
           0,
           LentOut(p),
           0,
           Excess(now, name),
           !p.rule.Level() || Reconciled()};
    v.spent = p.rule.Level() ? p.held : static_cast<std::uint32_t>(p.spent.size());
    for (const BorrowedLease& b : p.borrowed) {
      v.borrowed += b.units;
      if (!p.rule.Level()) v.spent += static_cast<std::uint32_t>(b.spent.size());
    }
    out.push_back(std::move(v));
  }
  return out;
}

std::vector<Budgets::Lease> Budgets::Lent(Micros now) const {
  std::vector<Lease> out;
  for (const auto& [name, p] : purses_) {
    for (const LentLease& l : p.lent) out.push_back({name, l.borrower, l.units, l.ends, now >= l.ends});
  }
  return out;
}

std::vector<Budgets::Lease> Budgets::Borrowed(Micros now) const {
  std::vector<Lease> out;
  for (const auto& [name, p] : purses_) {
    for (const BorrowedLease& b : p.borrowed) out.push_back({name, b.lender, b.units, b.ends, now >= b.ends});
  }
  return out;
}

}  // namespace stoatrun::fleet
