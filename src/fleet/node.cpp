#include "fleet/node.h"

#include <algorithm>
#include <cmath>

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMostSentAt = 64;
constexpr Micros kUnreportedFor =
    milliseconds(1500);                           // So long a send may be missing in a endpoint's reports.
constexpr Micros kSentNews = milliseconds(1500);  // What a peer told of its sends is of use so long.
constexpr std::size_t kMostSends = 4096;
// Shares of a datagram. What is urgent goes first; counts fill the rest of an ack.
constexpr std::size_t kRoomMembers = 200, kRoomEvidence = 220, kRoomHave = 420, kRoomCounts = 820,
                      kRoomRoster = 800, kRoomFresher = 300;
constexpr std::size_t kMostSentTold = 12, kMostIdleTold = 8, kMostReturns = 8;
constexpr std::size_t kTellLeave = 5;
constexpr Micros kRequestInterval =
    milliseconds(50);  // What is rejected makes requests go out, but not quota_templates time.

// Up to 16 relays quota_templates tick; beyond that pauses grow with the logarithm, so that what one relay
// sends does not grow with the fleet.
Micros GossipPause(Micros tick, std::size_t peers) {
  const double beyond = std::max(0.0, std::log2(static_cast<double>(peers + 1) / 16.0));
  return Micros(static_cast<std::int64_t>(static_cast<double>(tick.count()) * (1 + beyond)));
}

}  // namespace

Node::Node(const Settings& settings, std::string name, Incarnation incarnation, std::uint64_t seed,
           Micros now)
    : settings_(settings),
      name_(std::move(name)),
      random_(seed),
      members_(settings, incarnation, random_.Next(), now),
      quotas_(settings, random_.Next(), now),
      totals_(settings, random_.Next()),
      outliers_(settings) {
  // From the first moment this run is known here: what is told of its place later is of former ones.
  totals_.SetLocal(now, incarnation, ++report_, {});
  reported_ = true;
  reported_at_ = now;
}

void Node::Follow(const std::vector<Peer>& peers, Micros now) {
  settings_.peers = peers;
  members_.Follow(peers, now);
  quotas_.Follow(peers);
  totals_.Follow(peers);
  std::erase_if(links_, [&](const auto& l) { return members_.Find(l.first) == nullptr; });
}

std::vector<MemberId> Node::AliveMembers() const {
  std::vector<MemberId> alive;
  for (const auto& m : members_.Members()) {
    if (m.state == MemberState::kAlive) alive.push_back(m.member_id);
  }
  return alive;
}

// A datagram under way to `to`: the one of this turn, if there is one.
Datagram& Node::To(Micros now, MemberId to, Outbox& out, bool update) {
  const auto with_updates = [&](Datagram& d) -> Datagram& {
    if (update && d.member_updates.empty()) d.member_updates = members_.UpdatesFor(to, kRoomMembers);
    return d;
  };
  for (Outgoing& o : out) {
    if (o.to == to) return with_updates(o.datagram);
  }
  Link& link = links_[to];
  Datagram d;
  d.from = settings_.self;
  d.name = name_;
  d.incarnation = members_.SelfIncarnation();
  d.refutations = members_.SelfRefutations();
  d.seq = ++link.sent_seq;
  d.fleet_size = settings_.fleet_size;
  if (link.heard_incarnation) {
    d.echo_run = ShortIncarnationId(link.heard_incarnation);
    d.echo_seq = link.heard_seq;
    d.echo_held = now - link.heard_at;
  }
  link.sent_at.emplace_back(d.seq, now);
  if (link.sent_at.size() > kMostSentAt) link.sent_at.pop_front();
  ++counts_.out;
  out.push_back({to, std::move(d)});
  return with_updates(out.back().datagram);
}

// The datagram left its sender after ours, which it names, had come there, and was held there for the time
// that it tells. All else of the time since ours went out may have been its way.
std::optional<Micros> Node::Transit(Micros now, const Link& link, const Datagram& d) const {
  if (d.echo_run != ShortIncarnationId(members_.SelfIncarnation())) return std::nullopt;
  for (const auto& [seq, at] : link.sent_at) {
    // Either clock may be the fast one.
    if (seq == d.echo_seq) return std::max(Micros(0), AtLeast(now - at) - AtMost(d.echo_held));
  }
  return std::nullopt;
}

void Node::Report(Micros now) {
  if (reported_ && local_connections_.Changes() == reported_changes_) {  // Still true: it is as of now.
    totals_.SetLocal(now, members_.SelfIncarnation(), report_, local_connections_.Rows());
    return;
  }
  if (reported_ && now < reported_at_ + FleetCounts::ReportPause(members_.Members().size() + 1)) return;
  reported_ = true;
  reported_at_ = now;
  reported_changes_ = local_connections_.Changes();
  totals_.SetLocal(now, members_.SelfIncarnation(), ++report_, local_connections_.Rows());
}

FleetCounts::Total Node::Sum(Micros now, std::optional<std::uint32_t> class_index,
                             std::optional<std::string_view> group) {
  // Our own part is what it is now. The version rises, so that nobody takes two states for one.
  if (!reported_ || local_connections_.Changes() != reported_changes_) {
    reported_ = true;
    reported_changes_ = local_connections_.Changes();
    ++report_;
  }
  totals_.SetLocal(now, members_.SelfIncarnation(), report_, local_connections_.Rows());
  return totals_.Sum(now, class_index, group);
}

void Node::OnRequestSent(Micros now, const std::string& endpoint) {
  sends_.emplace_back(now, endpoint);
  while (sends_.size() > kMostSends || (!sends_.empty() && sends_.front().first + kUnreportedFor <= now))
    sends_.pop_front();
}

std::optional<double> Node::UnreportedInFlight(Micros now, const std::string& endpoint) const {
  double told = 0;
  std::size_t relays = 0;
  for (const auto& [member_id, link] : links_) {
    if (!link.sent_told || now >= link.sent_told_at + kSentNews) continue;
    ++relays;
    const auto at = link.sent.find(endpoint);
    if (at != link.sent.end()) told += at->second;
  }
  if (relays == 0) return std::nullopt;
  return told * static_cast<double>(std::max<std::size_t>(members_.Alive(), relays)) /
         static_cast<double>(relays);
}

bool Node::TryAcquire(Micros now, const std::string& quota, Outbox& out) {
  if (quotas_.TryAcquire(now, quota)) return true;
  if (now >= requested_at_ + kRequestInterval) {
    RequestLeases(now, out);
    TrimToSize(out);
  }
  return false;
}

void Node::RequestLeases(Micros now, Outbox& out) {
  requested_at_ = now;
  const std::vector<MemberId> alive = AliveMembers();
  for (const QuotaLeases::DueRequest& w : quotas_.Tick(now)) {
    const auto lender = w.lender ? w.lender : quotas_.LenderFor(now, w.request.quota, alive);
    if (!lender) continue;
    Datagram& d = To(now, *lender, out);
    if (SizeOf(d) + 64 + w.request.quota.size() > kMaxDatagramBytes) continue;
    d.lease_requests.push_back(w.request);
    quotas_.OnRequestSent(now, *lender, w.request);
  }
}

void Node::Tick(Micros now, Outbox& out) {
  Turn(now, out);
  TrimToSize(out);
}

void Node::OnDatagram(Micros now, const Datagram& d, Outbox& out) {
  Take(now, d, out);
  TrimToSize(out);
}

void Node::Turn(Micros now, Outbox& out) {
  Report(now);
  for (const auto& [member_id, ping] : members_.Tick(now)) {
    Datagram& d = To(now, member_id, out, true);
    // Two pings for one peer in a turn: the one that is for somebody else waits for its next chance.
    if (!d.ping) d.ping = ping;
  }
  RequestLeases(now, out);
  for (const auto& m : members_.Members()) {
    if (!m.incarnation || m.state == MemberState::kLeft) continue;
    const std::vector<LeaseReturn> returns = quotas_.Returns(m.member_id);
    if (returns.empty()) continue;
    Datagram& d = To(now, m.member_id, out);
    for (std::size_t k = 0; k < returns.size() && k < kMostReturns; ++k) d.returns.push_back(returns[k]);
  }
  for (const QuotaLeases::Lease& l :
       quotas_.Lent(now)) {  // A level's lease that ended and was not given back.
    if (!l.ended) continue;
    To(now, l.other, out).wants_held_leases = true;
  }
  if (now < next_gossip_) return;
  next_gossip_ = now + GossipPause(settings_.tick, members_.Members().size());
  auto to = members_.AnyAlive();
  if (!to && !members_.Members().empty())
    to = members_.Members()[random_.Below(members_.Members().size())].member_id;
  if (!to) return;
  Datagram& d = To(now, *to, out, true);
  d.periodic = true;
  d.member_list_from = totals_.MemberListWanted(now, *to);
  const auto left = [&](std::size_t most) {
    const std::size_t size = SizeOf(d);
    return size >= kMaxDatagramBytes ? 0 : std::min(most, kMaxDatagramBytes - size);
  };
  d.evidence = outliers_.EvidenceToGossip(now, members_.SelfIncarnation(), left(kRoomEvidence),
                                          members_.Members().size() + 1);
  d.digests = totals_.Have(now, left(kRoomHave));
  std::map<std::string, std::uint32_t> sent;
  for (const auto& [at, endpoint] : sends_) {
    if (now < at + kUnreportedFor) ++sent[endpoint];
  }
  for (const auto& [endpoint, count] : sent) {
    const UnreportedSends part{endpoint, count};
    if (d.unreported_sends.size() < kMostSentTold && SizeOf(part) <= left(kMaxDatagramBytes))
      d.unreported_sends.push_back(part);
  }
  std::vector<IdleUnits> idle = quotas_.IdleUnitsNow(now);
  random_.Shuffle(idle);
  for (const IdleUnits& part : idle) {
    if (d.idle_units.size() < kMostIdleTold && SizeOf(part) <= left(kMaxDatagramBytes))
      d.idle_units.push_back(part);
  }
  d.wants_held_leases = d.wants_held_leases || quotas_.NeedsHeldFrom(*to);
}

void Node::Take(Micros now, const Datagram& d, Outbox& out) {
  const Membership::Member* m = members_.Find(d.from);
  if (m == nullptr || m->name != d.name || d.from == settings_.self || !d.incarnation) {
    ++counts_.strangers;
    return;
  }
  ++counts_.in;
  const auto hear = [&](const MemberUpdate& update) {
    const Membership::Change change = members_.OnUpdate(now, update);
    if (change.left) totals_.OnIncarnationEnded(now, update.member_id, update.incarnation);
    if (!change.superseded) {
      if (members_.Present(update.member_id, update.incarnation) && update.state != MemberState::kLeft)
        totals_.Heard(now, update.member_id, update.incarnation);
      return;
    }
    quotas_.OnIncarnationSuperseded(update.member_id, change.former);
    outliers_.OnIncarnationEnded(update.member_id, change.former);
    totals_.OnIncarnationEnded(now, update.member_id, change.former, update.incarnation);
    totals_.Heard(now, update.member_id, update.incarnation);
  };
  hear({d.from, d.incarnation, d.refutations, MemberState::kAlive});
  if (!members_.Present(d.from, d.incarnation)) {
    // Of a run that is ended, or of one that does not know that it came after another: told, it raises
    // itself.
    ++counts_.former_runs;
    To(now, d.from, out).member_updates.push_back({d.from, m->incarnation, m->refutations, m->state});
    return;
  }
  Link& link = links_[d.from];
  if (link.heard_incarnation.id != d.incarnation.id) {
    link.heard_incarnation = d.incarnation;
    link.heard_seq = 0;
    link.sent_told = false;
  }
  const auto transit = Transit(now, link, d);
  if (d.seq > link.heard_seq) {
    link.heard_seq = d.seq;
    link.heard_at = now;
    link.fleet_size = d.fleet_size;
  }
  if (d.fleet_size != settings_.fleet_size) ++counts_.other_size;
  for (const MemberUpdate& update : d.member_updates) hear(update);
  if (d.ping) {
    if (const auto pass = members_.OnPingRequest(d.from, *d.ping)) {
      Datagram& on = To(now, pass->first, out);
      if (!on.ping) on.ping = pass->second;
    } else if (!d.ping->target || *d.ping->target == settings_.self) {
      To(now, d.from, out, true).ack = d.ping->nonce;
    }
  }
  if (d.ack) {
    if (const auto for_other = members_.OnAck(now, d.from, *d.ack)) {
      To(now, for_other->first, out).ack = for_other->second;
    }
  }
  for (const CountsUpdate& c : d.counts_updates) totals_.OnUpdate(now, c, transit);
  for (const CountsDigest& h : d.digests) totals_.OnDigest(now, h, transit);
  if (d.member_list_from)
    To(now, d.from, out).member_list = totals_.MemberList(*d.member_list_from, kRoomRoster);
  if (d.member_list) {
    if (const auto next = totals_.OnMemberList(now, d.from, *d.member_list))
      To(now, d.from, out).member_list_from = next;
  }
  for (const Evidence& e : d.evidence) outliers_.OnEvidence(now, e, transit);
  // An older datagram that came late must not undo what a newer one told.
  if (d.seq == link.heard_seq && d.periodic) {
    link.sent.clear();
    for (const UnreportedSends& s : d.unreported_sends) link.sent[s.endpoint] = s.count;
    link.sent_told_at = now;
    link.sent_told = true;
    quotas_.OnIdleUnits(now, d.from, d.idle_units);
  }
  for (const LeaseRequest& a : d.lease_requests) {
    To(now, d.from, out).grants.push_back(quotas_.OnRequest(now, d.from, d.incarnation, a));
  }
  for (const LeaseGrant& g : d.grants)
    quotas_.OnGrant(now, d.from, d.incarnation, members_.SelfIncarnation(), g);
  for (const LeaseReturn& r : d.returns) {
    if (const auto settled = quotas_.OnReturn(now, d.from, members_.SelfIncarnation(), r)) {
      To(now, d.from, out).return_acks.push_back(*settled);
    }
  }
  for (const LeaseReturnAck& s : d.return_acks) quotas_.OnReturnAck(d.from, s);
  if (d.wants_held_leases) To(now, d.from, out).held_leases = quotas_.HeldFrom(d.from, d.incarnation);
  if (d.held_leases)
    quotas_.OnHeldLeases(now, d.from, d.incarnation, members_.SelfIncarnation(), *d.held_leases);
  if (!d.digests.empty()) {
    // Only to a digest, never to an ack that requests: two relays must not ack quota_templates other for
    // ever.
    const auto lacking = d.periodic ? totals_.Lacking(now, d.digests) : std::vector<CountsDigest>();
    const auto missing = totals_.Missing(now, d.digests, kRoomCounts);
    const auto fresher =
        d.periodic ? totals_.Fresher(now, d.digests, kRoomFresher) : std::vector<CountsDigest>();
    if (!lacking.empty() || !missing.empty() || !fresher.empty()) {
      Datagram& ack = To(now, d.from, out);
      std::size_t size = SizeOf(ack);
      for (const CountsUpdate& c : missing) {
        if (size + SizeOf(c) > kMaxDatagramBytes) break;
        size += SizeOf(c);
        ack.counts_updates.push_back(c);
      }
      for (const auto* list : {&lacking, &fresher}) {
        for (const CountsDigest& h : *list) {
          if (size + SizeOf(h) > kMaxDatagramBytes) break;
          size += SizeOf(h);
          ack.digests.push_back(h);
        }
      }
    }
  }
}

void Node::Leave(Micros now, Outbox& out) {
  std::vector<MemberId> alive = AliveMembers();
  random_.Shuffle(alive);
  if (alive.size() > kTellLeave) alive.resize(kTellLeave);
  Sum(now);  // The last report is the final one.
  const std::vector<CountsDigest> nothing{{settings_.self, 0, 0, std::nullopt, false}};
  for (const MemberId member_id : alive) {
    Datagram& d = To(now, member_id, out);
    d.member_updates.push_back(members_.Leave());
    d.counts_updates = totals_.Missing(now, nothing, kRoomCounts);
  }
  TrimToSize(out);
}

void Node::TrimToSize(Outbox& out) {
  for (Outgoing& o : out) {
    Datagram& d = o.datagram;
    std::size_t size = SizeOf(d);
    if (size <= kMaxDatagramBytes) continue;
    ++counts_.oversized;
    const auto shed = [&](auto& parts) {
      while (size > kMaxDatagramBytes && !parts.empty()) {
        size -= SizeOf(parts.back());
        parts.pop_back();
      }
    };
    shed(d.idle_units);
    shed(d.unreported_sends);
    shed(d.counts_updates);
    if (size > kMaxDatagramBytes && d.member_list) {  // It is asked for again.
      size -= SizeOf(*d.member_list);
      d.member_list.reset();
    }
    shed(d.evidence);
    shed(d.digests);
    shed(d.lease_requests);
    shed(d.returns);
    shed(d.member_updates);
    if (size > kMaxDatagramBytes && d.held_leases) {
      // Half a statement would say that the rest is not held.
      size -= SizeOf(*d.held_leases);
      d.held_leases.reset();
    }
    shed(d.return_acks);
    shed(d.grants);
  }
}

std::vector<std::pair<MemberId, std::uint32_t>> Node::OtherSizes() const {
  std::vector<std::pair<MemberId, std::uint32_t>> out;
  for (const auto& [member_id, link] : links_) {
    if (link.fleet_size != 0 && link.fleet_size != settings_.fleet_size)
      out.emplace_back(member_id, link.fleet_size);
  }
  return out;
}

}  // namespace stoatrun::fleet
