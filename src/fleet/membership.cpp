#include "fleet/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stoatrun::fleet {
namespace {

constexpr unsigned kMaxHealthScore = 8;  // As Lifeguard bounds its multiplier.
constexpr int kHelpers = 3;              // OnPingRequest to ping at one who does not ack.
// A member answers within this part of a period, or others are asked.
constexpr int kAnswerPart = 3;
constexpr unsigned kTellFactor = 3;  // Times log2 of the fleet: how often a piece of update is passed on.
constexpr double kSuspicionPeriods = 3.0;  // Times log10 of the fleet; three times that while nobody agrees.
constexpr std::size_t kMostFormer = 16;    // Runs remembered for a name.
// A run that is ended can still be heard of with a generation that it rose to before its end, as often as it
// rose, which is once or twice. Two processes that run at once raise themselves in turn without end.
constexpr unsigned kDuplicateRaises = 4;
constexpr int kPausedTicks = 4;  // So many ticks late: the process was stopped, not merely busy.

// A run that is not `b` and comes after it.
bool After(const Incarnation& a, const Incarnation& b) { return a.id != b.id && a > b; }

}  // namespace

Membership::Membership(const Settings& settings, Incarnation self, std::uint64_t seed, Micros now)
    : settings_(settings), self_(self), next_ping_(now), last_tick_(now), random_(seed) {
  Follow(settings.peers, now);
  QueueGossip(settings.self);
}

void Membership::Follow(const std::vector<Peer>& peers, Micros now) {
  settings_.peers = peers;
  std::vector<Member> kept;
  for (const Peer& p : peers) {
    const Member* old = Find(p.member_id);
    if (old != nullptr && old->name == p.name) {
      kept.push_back(*old);
    } else {
      Member fresh;
      fresh.member_id = p.member_id;
      fresh.name = p.name;
      fresh.since = now;
      kept.push_back(fresh);
      former_.erase(p.member_id);
      returns_.erase(p.member_id);
      pending_gossip_.erase(p.member_id);
      suspected_until_.erase(p.member_id);
    }
  }
  std::sort(kept.begin(), kept.end(),
            [](const Member& a, const Member& b) { return a.member_id < b.member_id; });
  members_ = std::move(kept);
  std::erase_if(pending_gossip_,
                [&](const auto& r) { return r.first != settings_.self && Find(r.first) == nullptr; });
  std::erase_if(suspected_until_, [&](const auto& s) { return Find(s.first) == nullptr; });
  std::erase_if(pending_, [&](const auto& p) { return Find(p.second.target) == nullptr; });
  order_.clear();
  cursor_ = 0;
}

const Membership::Member* Membership::Find(MemberId member_id) const {
  const auto at = std::lower_bound(members_.begin(), members_.end(), member_id,
                                   [](const Member& m, MemberId s) { return m.member_id < s; });
  return at != members_.end() && at->member_id == member_id ? &*at : nullptr;
}

Membership::Member* Membership::Mutable(MemberId member_id) {
  return const_cast<Member*>(std::as_const(*this).Find(member_id));
}

bool Membership::Present(MemberId member_id, const Incarnation& incarnation) const {
  const Member* m = Find(member_id);
  return m != nullptr && m->incarnation.id == incarnation.id && m->incarnation.generation != 0;
}

std::size_t Membership::Alive() const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), [](const Member& m) {
    return m.state == MemberState::kAlive || m.state == MemberState::kSuspect;
  }));
}

std::optional<MemberId> Membership::AnyAlive(std::optional<MemberId> but) {
  std::vector<MemberId> alive;
  for (const Member& m : members_) {
    if ((m.state == MemberState::kAlive || m.state == MemberState::kSuspect) && m.member_id != but)
      alive.push_back(m.member_id);
  }
  if (alive.empty()) return std::nullopt;
  return alive[random_.Below(alive.size())];
}

void Membership::QueueGossip(MemberId member_id) {
  const double n = static_cast<double>(members_.size()) + 2;
  pending_gossip_[member_id] = kTellFactor * static_cast<unsigned>(std::ceil(std::log2(n)));
}

void Membership::SetState(Member& m, MemberState state, std::uint32_t refutations, Micros now) {
  if (m.state != state) m.since = now;
  m.state = state;
  m.refutations = refutations;
  if (state != MemberState::kSuspect) suspected_until_.erase(m.member_id);
  QueueGossip(m.member_id);
}

Micros Membership::SuspicionTime(unsigned confirmations) const {
  const double n = static_cast<double>(members_.size()) + 1;
  const double least = kSuspicionPeriods * std::max(1.0, std::log10(n));
  const double most = 3 * least;
  const double agreed = std::log2(1.0 + confirmations) / std::log2(1.0 + kHelpers);
  const double periods = std::max(least, most - (most - least) * agreed);
  return Micros(static_cast<std::int64_t>(static_cast<double>(settings_.period.count()) * periods *
                                          (1 + health_score_)));
}

MemberUpdate Membership::UpdateAbout(const Member& m) const {
  return {m.member_id, m.incarnation, m.refutations, m.state};
}
MemberUpdate Membership::SelfUpdate() const {
  return {settings_.self, self_, refutations_, MemberState::kAlive};
}

MemberUpdate Membership::Leave() { return {settings_.self, self_, refutations_, MemberState::kLeft}; }

Membership::Change Membership::OnUpdate(Micros now, const MemberUpdate& update) {
  if (!update.incarnation) return {};
  if (update.member_id == settings_.self) {
    if (update.incarnation.id == self_.id) {
      // Somebody took us for gone: a higher refutations is the one thing that overrules that.
      if (update.state != MemberState::kAlive && update.refutations >= refutations_) {
        refutations_ = update.refutations + 1;
        health_score_ = std::min(health_score_ + 1, kMaxHealthScore);
        ++counts_.refuted;
        QueueGossip(settings_.self);
      }
      return {};
    }
    // Another run of our own name. A former self can't raise its generation for ever; who does, runs now.
    const auto [rival, fresh] = rivals_.try_emplace(update.incarnation.id, update.incarnation.generation);
    if (!fresh && update.incarnation.generation > rival->second) {
      rival->second = update.incarnation.generation;
      if (++rival_raises_ == kDuplicateRaises) {
        has_duplicate_ = true;
        ++counts_.duplicate;
      }
    }
    if (rivals_.size() > kMostFormer) rivals_.erase(rivals_.begin());
    if (After(update.incarnation, self_)) {
      self_.generation = update.incarnation.generation + 1;
      ++counts_.raised;
      QueueGossip(settings_.self);
    }
    return {};
  }
  Member* m = Mutable(update.member_id);
  if (m == nullptr) return {};
  if (update.incarnation.id == m->incarnation.id) {
    m->incarnation.generation = std::max(m->incarnation.generation, update.incarnation.generation);
    if (update.refutations < m->refutations) return {};
    if (update.refutations == m->refutations && update.state <= m->state) {
      // Somebody else suspects it, too: the more agree, the sooner it is silent.
      if (update.state == MemberState::kSuspect && m->state == MemberState::kSuspect) {
        auto& until = suspected_until_[m->member_id];
        until = std::min(until, m->since + SuspicionTime(1));
      }
      return {};
    }
    if (update.state == MemberState::kSuspect) {
      suspected_until_[m->member_id] = now + SuspicionTime(0);
      ++counts_.suspicions;
    }
    SetState(*m, update.state, update.refutations, now);
    return {false, {}, update.state == MemberState::kLeft};
  }
  if (!After(update.incarnation, m->incarnation)) return {};
  auto& former = former_[update.member_id];
  if (const auto known = former.find(update.incarnation.id);
      known != former.end() && update.incarnation.generation > known->second) {
    if (++returns_[update.member_id] == kDuplicateRaises) {
      m->duplicate = true;
      ++counts_.duplicate;
    }
  }
  Change change;
  if (m->incarnation) {
    former[m->incarnation.id] = m->incarnation.generation;
    if (former.size() > kMostFormer) former.erase(former.begin());
    change = {true, m->incarnation, false};
  }
  m->incarnation = update.incarnation;
  ++m->incarnations;
  m->last_ack_at.reset();
  std::erase_if(pending_, [&](const auto& p) { return p.second.target == update.member_id; });
  if (update.state == MemberState::kSuspect) suspected_until_[m->member_id] = now + SuspicionTime(0);
  SetState(*m, update.state, update.refutations, now);
  m->since = now;
  return change;
}

std::vector<std::pair<MemberId, Ping>> Membership::StartPing(Micros now, MemberId member_id) {
  const std::uint64_t nonce = random_.Next() | 1U;
  pending_[nonce] = {member_id, now, false, std::nullopt};
  ++counts_.pings;
  return {{member_id, Ping{nonce, std::nullopt}}};
}

std::vector<std::pair<MemberId, Ping>> Membership::Tick(Micros now) {
  std::vector<std::pair<MemberId, Ping>> out;
  if (now - last_tick_ > settings_.tick * kPausedTicks) {
    // This process stood still. Nobody else did wrong, and its own suspicions get their time anew.
    const Micros lost = now - last_tick_;
    std::erase_if(pending_, [](const auto& p) { return !p.second.for_other; });
    for (auto& [member_id, until] : suspected_until_) until += lost;
    health_score_ = std::min(health_score_ + 2, kMaxHealthScore);
    ++counts_.pauses;
  }
  last_tick_ = now;
  const Micros wait = settings_.period / kAnswerPart * static_cast<int>(1 + health_score_);
  std::vector<std::uint64_t> ended;
  std::vector<std::pair<MemberId, std::uint64_t>> indirect;
  for (auto& [nonce, p] : pending_) {
    if (!p.indirect_sent && !p.for_other && now >= p.at + wait) {
      p.indirect_sent = true;
      indirect.emplace_back(p.target, nonce);
    }
    if (now >= p.at + 3 * wait) ended.push_back(nonce);
  }
  for (const auto& [target, nonce] : indirect) {
    std::vector<MemberId> helpers;
    for (const Member& m : members_) {
      if (m.state == MemberState::kAlive && m.member_id != target) helpers.push_back(m.member_id);
    }
    random_.Shuffle(helpers);
    if (helpers.size() > kHelpers) helpers.resize(kHelpers);
    for (const MemberId h : helpers) out.emplace_back(h, Ping{nonce, target});
    counts_.indirect += helpers.size();
  }
  for (const std::uint64_t nonce : ended) {
    const Pending p = pending_[nonce];
    pending_.erase(nonce);
    if (p.for_other) continue;
    ++counts_.unanswered;
    health_score_ = std::min(health_score_ + 1, kMaxHealthScore);
    Member* m = Mutable(p.target);
    if (m == nullptr || m->state != MemberState::kAlive) continue;
    ++counts_.suspicions;
    SetState(*m, MemberState::kSuspect, m->refutations, now);
    suspected_until_[p.target] = now + SuspicionTime(0);
  }
  for (auto it = suspected_until_.begin(); it != suspected_until_.end();) {
    const auto [member_id, until] = *it;
    ++it;
    Member* m = Mutable(member_id);
    if (m == nullptr || now < until) continue;
    ++counts_.deaths;
    SetState(*m, MemberState::kDead, m->refutations, now);
  }
  if (now >= next_ping_ && !members_.empty()) {
    // A little of chance in the pace: relays that started together must not ping in step.
    next_ping_ = now + Micros(static_cast<std::int64_t>(static_cast<double>(settings_.period.count()) *
                                                        (0.75 + 0.5 * random_.Unit())));
    if (cursor_ >= order_.size()) {
      order_.clear();
      for (const Member& m : members_) order_.push_back(m.member_id);
      random_.Shuffle(order_);
      cursor_ = 0;
    }
    for (auto& ping : StartPing(now, order_[cursor_++])) out.push_back(ping);
  }
  return out;
}

std::optional<std::pair<MemberId, Ping>> Membership::OnPingRequest(MemberId from, const Ping& ping) {
  if (!ping.target || *ping.target == settings_.self || Find(*ping.target) == nullptr) return std::nullopt;
  const std::uint64_t nonce = random_.Next() | 1U;
  pending_[nonce] = {*ping.target, last_tick_, true, std::pair(from, ping.nonce)};
  return std::pair(*ping.target, Ping{nonce, std::nullopt});
}

std::optional<std::pair<MemberId, std::uint64_t>> Membership::OnAck(Micros now, MemberId from,
                                                                    std::uint64_t nonce) {
  const auto it = pending_.find(nonce);
  if (it == pending_.end()) return std::nullopt;
  const Pending p = it->second;
  // Only the target itself, or a helper that was asked for it, may say so.
  if (from != p.target && !p.indirect_sent) return std::nullopt;
  pending_.erase(it);
  if (p.for_other) return p.for_other;
  if (health_score_ > 0) --health_score_;
  if (Member* m = Mutable(p.target)) m->last_ack_at = std::min(p.at, now);
  return std::nullopt;
}

std::vector<MemberUpdate> Membership::UpdatesFor(MemberId to, std::size_t room) {
  std::vector<MemberUpdate> out;
  const auto add = [&](const MemberUpdate& update) {
    const std::size_t size = SizeOf(update);
    if (size > room) return false;
    room -= size;
    out.push_back(update);
    return true;
  };
  const auto of = [&](MemberId member_id) -> std::optional<MemberUpdate> {
    if (member_id == settings_.self) return SelfUpdate();
    const Member* m = Find(member_id);
    return m != nullptr && m->incarnation ? std::optional(UpdateAbout(*m)) : std::nullopt;
  };
  // What is said of the receiver itself, so that it can disprove it, or learn of its former run.
  if (const Member* m = Find(to); m != nullptr && m->incarnation && m->state != MemberState::kAlive)
    add(UpdateAbout(*m));
  std::vector<std::pair<unsigned, MemberId>> most;
  most.reserve(pending_gossip_.size());
  for (const auto& [member_id, left] : pending_gossip_) most.emplace_back(left, member_id);
  std::sort(most.rbegin(), most.rend());
  for (const auto& [left, member_id] : most) {
    const auto update = of(member_id);
    if (!update || member_id == to) continue;
    if (!add(*update)) return out;
    if (--pending_gossip_[member_id] == 0) pending_gossip_.erase(member_id);
  }
  // Something that was told often enough, by turns: who missed it then learns it late, but does.
  if (!members_.empty()) {
    const Member& m = members_[filler_++ % members_.size()];
    if (m.incarnation && m.member_id != to) add(UpdateAbout(m));
  }
  return out;
}

}  // namespace stoatrun::fleet
