#include "fleet/membership.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace stoatrun::fleet {
namespace {

constexpr unsigned kMaxHealthScore = 8;         // The bound on Lifeguard's multiplier.
constexpr std::size_t kMaxIndirectHelpers = 3;  // Asked to ping a member that doesn't acknowledge.
constexpr int kAckTimeoutDivisor = 3;           // Of a period: helpers are asked after that.
constexpr int kPingTimeoutFactor = 3;           // Times the ack timeout: the member is suspected after that.
constexpr unsigned kGossipFactor = 3;  // Times log2 of the fleet's size: how often an update is sent.
// Suspicion timeout in periods, times log10 of the fleet's size; multiplied by kUnconfirmedFactor while no
// other member confirms the suspicion.
constexpr double kSuspicionPeriods = 3.0;
constexpr double kUnconfirmedFactor = 3.0;
constexpr std::size_t kMaxFormerIncarnations = 16;  // Kept per member.
// After this many generation raises by superseded incarnations, two processes are taken to be running under
// one name. Delayed updates can report the raises of an incarnation after its end, but an incarnation raises
// its generation only once or twice, whereas two concurrent processes raise theirs in turn indefinitely.
constexpr unsigned kDuplicateRaiseThreshold = 4;
constexpr int kPauseThresholdTicks = 4;  // A longer gap means that the process was paused, not just busy.

// True if `candidate` is a later run than `known`, not the same one.
bool IsLaterRun(const Incarnation& candidate, const Incarnation& known) {
  return candidate.id != known.id && candidate > known;
}

bool IsAliveOrSuspect(const Membership::Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

}  // namespace

Membership::Membership(const Settings& settings, Incarnation self, std::uint64_t seed, Micros now)
    : settings_(settings), self_(self), next_ping_(now), last_tick_(now), random_(seed) {
  SetPeers(settings.peers, now);
  QueueGossip(settings.self);
}

void Membership::SetPeers(const std::vector<Peer>& peers, Micros now) {
  settings_.peers = peers;
  std::vector<Member> members;
  for (const Peer& peer : peers) {
    const Member* known = Find(peer.member_id);
    if (known != nullptr && known->name == peer.name) {
      members.push_back(*known);
      continue;
    }
    Member added;
    added.member_id = peer.member_id;
    added.name = peer.name;
    added.since = now;
    members.push_back(added);
    EraseStateOf(peer.member_id);
  }
  std::sort(members.begin(), members.end(),
            [](const Member& a, const Member& b) { return a.member_id < b.member_id; });
  members_ = std::move(members);
  std::erase_if(pending_gossip_, [&](const auto& pending) {
    return pending.first != settings_.self && Find(pending.first) == nullptr;
  });
  std::erase_if(suspected_until_, [&](const auto& suspect) { return Find(suspect.first) == nullptr; });
  std::erase_if(pending_pings_, [&](const auto& pending) { return Find(pending.second.target) == nullptr; });
  ping_order_.clear();
  next_in_order_ = 0;
}

void Membership::EraseStateOf(MemberId member_id) {
  superseded_incarnations_.erase(member_id);
  returned_incarnations_.erase(member_id);
  pending_gossip_.erase(member_id);
  suspected_until_.erase(member_id);
}

// ---- lookups ----

const Membership::Member* Membership::Find(MemberId member_id) const {
  const auto at =
      std::lower_bound(members_.begin(), members_.end(), member_id,
                       [](const Member& member, MemberId sought) { return member.member_id < sought; });
  return at != members_.end() && at->member_id == member_id ? &*at : nullptr;
}

Membership::Member* Membership::FindMutable(MemberId member_id) {
  return const_cast<Member*>(std::as_const(*this).Find(member_id));
}

bool Membership::IsCurrent(MemberId member_id, const Incarnation& incarnation) const {
  const Member* member = Find(member_id);
  return member != nullptr && member->incarnation.id == incarnation.id && member->incarnation.generation != 0;
}

std::size_t Membership::Alive() const {
  return static_cast<std::size_t>(std::count_if(members_.begin(), members_.end(), IsAliveOrSuspect));
}

std::optional<MemberId> Membership::RandomAliveMember() {
  std::vector<MemberId> alive;
  for (const Member& member : members_) {
    if (IsAliveOrSuspect(member)) alive.push_back(member.member_id);
  }
  if (alive.empty()) return std::nullopt;
  return alive[random_.Below(alive.size())];
}

// ---- member states ----

void Membership::SetState(Member& member, MemberState state, std::uint32_t refutations, Micros now) {
  if (member.state != state) member.since = now;
  member.state = state;
  member.refutations = refutations;
  if (state != MemberState::kSuspect) suspected_until_.erase(member.member_id);
  QueueGossip(member.member_id);
}

void Membership::WorsenHealth(unsigned amount) {
  health_score_ = std::min(health_score_ + amount, kMaxHealthScore);
}

// As in Lifeguard: shrinks with the logarithm of the confirmations, and is longer while this relay itself is
// slow.
Micros Membership::SuspicionTimeout(unsigned confirmations) const {
  const double fleet_size = static_cast<double>(members_.size()) + 1;
  const double min_periods = kSuspicionPeriods * std::max(1.0, std::log10(fleet_size));
  const double max_periods = kUnconfirmedFactor * min_periods;
  const double confirmed =
      std::log2(1.0 + confirmations) / std::log2(1.0 + static_cast<double>(kMaxIndirectHelpers));
  const double periods = std::max(min_periods, max_periods - (max_periods - min_periods) * confirmed);
  return Micros(static_cast<std::int64_t>(static_cast<double>(settings_.period.count()) * periods *
                                          (1 + health_score_)));
}

Membership::Change Membership::OnUpdate(Micros now, const MemberUpdate& update) {
  if (!update.incarnation) return {};
  if (update.member_id == settings_.self) {
    OnSelfUpdate(update);
    return {};
  }
  Member* member = FindMutable(update.member_id);
  if (member == nullptr) return {};
  if (update.incarnation.id == member->incarnation.id) return OnCurrentIncarnation(*member, update, now);
  if (IsLaterRun(update.incarnation, member->incarnation)) return OnNewIncarnation(*member, update, now);
  return {};
}

void Membership::OnSelfUpdate(const MemberUpdate& update) {
  if (update.incarnation.id != self_.id) {
    OnOtherSelfIncarnation(update.incarnation);
    return;
  }
  // Refutes the suspicion: only a higher refutation number overrides it.
  if (update.state == MemberState::kAlive || update.refutations < refutations_) return;
  refutations_ = update.refutations + 1;
  WorsenHealth(1);
  ++counts_.refutations;
  QueueGossip(settings_.self);
}

// Handles an update about another run under this relay's name. A former run can't keep raising its
// generation, so one that does is still running.
void Membership::OnOtherSelfIncarnation(const Incarnation& other) {
  const auto [known, fresh] = other_self_incarnations_.try_emplace(other.id, other.generation);
  if (!fresh && other.generation > known->second) {
    known->second = other.generation;
    if (++other_self_raises_ == kDuplicateRaiseThreshold) {
      has_duplicate_ = true;
      ++counts_.duplicates;
    }
  }
  if (other_self_incarnations_.size() > kMaxFormerIncarnations) {
    other_self_incarnations_.erase(other_self_incarnations_.begin());
  }
  if (!IsLaterRun(other, self_)) return;
  self_.generation = other.generation + 1;
  ++counts_.generation_raises;
  QueueGossip(settings_.self);
}

Membership::Change Membership::OnCurrentIncarnation(Member& member, const MemberUpdate& update, Micros now) {
  member.incarnation.generation = std::max(member.incarnation.generation, update.incarnation.generation);
  if (update.refutations < member.refutations) return {};
  if (update.refutations == member.refutations && update.state <= member.state) {
    // Another member confirms the suspicion, which shortens the timeout.
    if (update.state == MemberState::kSuspect && member.state == MemberState::kSuspect) {
      auto& until = suspected_until_[member.member_id];
      until = std::min(until, member.since + SuspicionTimeout(1));
    }
    return {};
  }
  if (update.state == MemberState::kSuspect) {
    suspected_until_[member.member_id] = now + SuspicionTimeout(0);
    ++counts_.suspicions;
  }
  SetState(member, update.state, update.refutations, now);
  return {false, {}, update.state == MemberState::kLeft};
}

Membership::Change Membership::OnNewIncarnation(Member& member, const MemberUpdate& update, Micros now) {
  auto& former = superseded_incarnations_[update.member_id];
  const auto known = former.find(update.incarnation.id);
  const bool returned = known != former.end() && update.incarnation.generation > known->second;
  if (returned && ++returned_incarnations_[update.member_id] == kDuplicateRaiseThreshold) {
    member.duplicate = true;
    ++counts_.duplicates;
  }
  Change change;
  if (member.incarnation) {
    former[member.incarnation.id] = member.incarnation.generation;
    if (former.size() > kMaxFormerIncarnations) former.erase(former.begin());
    change = {true, member.incarnation, false};
  }
  member.incarnation = update.incarnation;
  ++member.incarnations_seen;
  member.last_ack_at.reset();
  std::erase_if(pending_pings_,
                [&](const auto& pending) { return pending.second.target == update.member_id; });
  if (update.state == MemberState::kSuspect) suspected_until_[member.member_id] = now + SuspicionTimeout(0);
  SetState(member, update.state, update.refutations, now);
  member.since = now;
  return change;
}

// ---- failure detection ----

std::vector<Membership::OutgoingPing> Membership::Tick(Micros now) {
  DetectPause(now);
  const Micros ack_timeout = settings_.period / kAckTimeoutDivisor * static_cast<int>(1 + health_score_);
  std::vector<std::uint64_t> expired;
  for (const auto& [nonce, pending] : pending_pings_) {
    if (now >= pending.at + kPingTimeoutFactor * ack_timeout) expired.push_back(nonce);
  }
  std::vector<OutgoingPing> out;
  SendIndirectPings(now, ack_timeout, out);
  ExpirePings(expired, now);
  ExpireSuspicions(now);
  SendNextPing(now, out);
  return out;
}

void Membership::DetectPause(Micros now) {
  const Micros since_last = now - std::exchange(last_tick_, now);
  if (since_last <= settings_.tick * kPauseThresholdTicks) return;
  // This process was paused. Pings that went unacknowledged meanwhile don't count against their targets, and
  // suspicion timeouts are extended by the length of the pause.
  std::erase_if(pending_pings_, [](const auto& pending) { return !pending.second.on_behalf; });
  for (auto& [member_id, until] : suspected_until_) until += since_last;
  WorsenHealth(2);
  ++counts_.pauses;
}

void Membership::SendIndirectPings(Micros now, Micros ack_timeout, std::vector<OutgoingPing>& out) {
  for (auto& [nonce, pending] : pending_pings_) {
    if (pending.indirect_sent || pending.on_behalf || now < pending.at + ack_timeout) continue;
    pending.indirect_sent = true;
    std::vector<MemberId> helpers;
    for (const Member& member : members_) {
      if (member.state == MemberState::kAlive && member.member_id != pending.target) {
        helpers.push_back(member.member_id);
      }
    }
    random_.Shuffle(helpers);
    if (helpers.size() > kMaxIndirectHelpers) helpers.resize(kMaxIndirectHelpers);
    for (const MemberId helper : helpers) out.push_back({helper, Ping{nonce, pending.target}});
    counts_.indirect_pings += helpers.size();
  }
}

void Membership::ExpirePings(const std::vector<std::uint64_t>& expired, Micros now) {
  for (const std::uint64_t nonce : expired) {
    const PendingPing pending = pending_pings_[nonce];
    pending_pings_.erase(nonce);
    if (pending.on_behalf) continue;
    ++counts_.unacknowledged;
    WorsenHealth(1);
    Member* member = FindMutable(pending.target);
    if (member == nullptr || member->state != MemberState::kAlive) continue;
    ++counts_.suspicions;
    SetState(*member, MemberState::kSuspect, member->refutations, now);
    suspected_until_[pending.target] = now + SuspicionTimeout(0);
  }
}

void Membership::ExpireSuspicions(Micros now) {
  for (auto it = suspected_until_.begin(); it != suspected_until_.end();) {
    const auto [member_id, until] = *it;
    ++it;  // SetState erases the entry.
    Member* member = FindMutable(member_id);
    if (member == nullptr || now < until) continue;
    ++counts_.declared_dead;
    SetState(*member, MemberState::kDead, member->refutations, now);
  }
}

// Pings members round-robin in an order that is reshuffled each round, which bounds the time until a failure
// is first detected (SWIM, section 4.3).
void Membership::SendNextPing(Micros now, std::vector<OutgoingPing>& out) {
  if (now < next_ping_ || members_.empty()) return;
  // Jitter keeps relays that started together from pinging at the same times.
  next_ping_ = now + Micros(static_cast<std::int64_t>(static_cast<double>(settings_.period.count()) *
                                                      (0.75 + 0.5 * random_.Unit())));
  if (next_in_order_ >= ping_order_.size()) {
    ping_order_.clear();
    for (const Member& member : members_) ping_order_.push_back(member.member_id);
    random_.Shuffle(ping_order_);
    next_in_order_ = 0;
  }
  const MemberId target = ping_order_[next_in_order_++];
  const std::uint64_t nonce = random_.Next() | 1U;
  pending_pings_[nonce] = {target, now, false, std::nullopt};
  ++counts_.pings;
  out.push_back({target, Ping{nonce, std::nullopt}});
}

std::optional<Membership::OutgoingPing> Membership::OnPingRequest(MemberId from, const Ping& ping) {
  if (!ping.target || *ping.target == settings_.self || Find(*ping.target) == nullptr) return std::nullopt;
  const std::uint64_t nonce = random_.Next() | 1U;
  pending_pings_[nonce] = {*ping.target, last_tick_, true, OutgoingAck{from, ping.nonce}};
  return OutgoingPing{*ping.target, Ping{nonce, std::nullopt}};
}

std::optional<Membership::OutgoingAck> Membership::OnAck(Micros now, MemberId from, std::uint64_t nonce) {
  const auto it = pending_pings_.find(nonce);
  if (it == pending_pings_.end()) return std::nullopt;
  const PendingPing pending = it->second;
  // Acknowledgements are accepted from the target and, once indirect pings were sent, from helpers.
  if (from != pending.target && !pending.indirect_sent) return std::nullopt;
  pending_pings_.erase(it);
  if (pending.on_behalf) return pending.on_behalf;
  if (health_score_ > 0) --health_score_;
  if (Member* member = FindMutable(pending.target)) member->last_ack_at = std::min(pending.at, now);
  return std::nullopt;
}

// ---- dissemination ----

void Membership::QueueGossip(MemberId member_id) {
  const double fleet_size = static_cast<double>(members_.size()) + 2;
  pending_gossip_[member_id] = kGossipFactor * static_cast<unsigned>(std::ceil(std::log2(fleet_size)));
}

std::optional<MemberUpdate> Membership::UpdateAbout(MemberId member_id) const {
  if (member_id == settings_.self) {
    return MemberUpdate{settings_.self, self_, refutations_, MemberState::kAlive};
  }
  const Member* member = Find(member_id);
  if (member == nullptr || !member->incarnation) return std::nullopt;
  return MemberUpdate{member_id, member->incarnation, member->refutations, member->state};
}

MemberUpdate Membership::LeaveUpdate() const {
  return {settings_.self, self_, refutations_, MemberState::kLeft};
}

std::vector<MemberUpdate> Membership::UpdatesFor(MemberId receiver, std::size_t max_bytes) {
  std::vector<MemberUpdate> out;
  const auto add = [&](const MemberUpdate& update) {
    const std::size_t size = SizeOf(update);
    if (size > max_bytes) return false;
    max_bytes -= size;
    out.push_back(update);
    return true;
  };
  // The update about the receiver itself, so that it can refute it or learn of a former incarnation.
  if (const auto update = UpdateAbout(receiver); update && update->state != MemberState::kAlive) add(*update);
  std::vector<std::pair<unsigned, MemberId>> by_urgency;
  by_urgency.reserve(pending_gossip_.size());
  for (const auto& [member_id, times_left] : pending_gossip_) by_urgency.emplace_back(times_left, member_id);
  std::sort(by_urgency.rbegin(), by_urgency.rend());
  for (const auto& [times_left, member_id] : by_urgency) {
    const auto update = UpdateAbout(member_id);
    if (!update || member_id == receiver) continue;
    if (!add(*update)) return out;
    if (--pending_gossip_[member_id] == 0) pending_gossip_.erase(member_id);
  }
  // One further member in rotation, even if its update was sent often enough, so that a relay that missed the
  // update eventually receives it.
  if (!members_.empty()) {
    const MemberId repeated = members_[next_repeated_++ % members_.size()].member_id;
    const auto update = UpdateAbout(repeated);
    if (update && repeated != receiver) add(*update);
  }
  return out;
}

}  // namespace stoatrun::fleet
