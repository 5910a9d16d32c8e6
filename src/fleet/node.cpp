#include "fleet/node.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/datagram_trim.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;

// Maximum bytes per part of a datagram. Urgent parts are added first; counts fill the rest of an answer.
constexpr std::size_t kMemberUpdateBytes = 200, kEvidenceBytes = 220, kDigestBytes = 420,
                      kCountsUpdateBytes = 820, kMemberListBytes = 800, kFresherDigestBytes = 300;
constexpr std::size_t kMaxUnreportedSendsGossiped = 12, kMaxIdleUnitsGossiped = 8, kMaxLeaseReturnsSent = 8;
constexpr std::size_t kLeaseRequestBytes = 64;     // Excluding the quota's name.
constexpr std::size_t kMaxLeaveNotifications = 5;  // Enough for gossip to reach the other members.
// A denied acquisition triggers lease requests at most this often.
constexpr Micros kMinLeaseRequestInterval = milliseconds(50);

// One tick in fleets of up to 16 relays. In larger ones the interval grows with the logarithm of the fleet's
// size, so that the traffic of a single relay does not grow with the fleet.
Micros GossipInterval(Micros tick, std::size_t peers) {
  const double excess_doublings = std::max(0.0, std::log2(static_cast<double>(peers + 1) / 16.0));
  return Micros(static_cast<std::int64_t>(static_cast<double>(tick.count()) * (1 + excess_doublings)));
}

std::size_t BytesLeft(const Datagram& datagram, std::size_t limit) {
  const std::size_t size = SizeOf(datagram);
  return size >= kMaxDatagramBytes ? 0 : std::min(limit, kMaxDatagramBytes - size);
}

template <typename Part>
void AppendWhileFits(const std::vector<Part>& parts, std::vector<Part>& out, std::size_t& size) {
  for (const Part& part : parts) {
    if (size + SizeOf(part) > kMaxDatagramBytes) break;
    size += SizeOf(part);
    out.push_back(part);
  }
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
      outliers_(settings),
      reported_at_(now) {
  // Registers this incarnation before any datagram arrives, so that incarnations of this member that peers
  // report later are taken for previous ones.
  totals_.SetLocal(now, incarnation, ++report_version_, {});
}

void Node::SetPeers(const std::vector<Peer>& peers, Micros now) {
  settings_.peers = peers;
  members_.SetPeers(peers, now);
  quotas_.SetPeers(peers);
  totals_.SetPeers(peers);
  links_.SetPeers(peers);
  sends_.SetPeers(peers);
}

std::vector<MemberId> Node::AliveMembers() const {
  std::vector<MemberId> alive;
  for (const Membership::Member& member : members_.Members()) {
    if (member.state == MemberState::kAlive) alive.push_back(member.member_id);
  }
  return alive;
}

// ---- sending ----

Datagram& Node::DatagramTo(Micros now, MemberId receiver, Outbox& out) {
  const auto existing =
      std::find_if(out.begin(), out.end(), [&](const Outgoing& outgoing) { return outgoing.to == receiver; });
  if (existing != out.end()) return existing->datagram;
  Datagram datagram;
  datagram.from = settings_.self;
  datagram.name = name_;
  datagram.incarnation = members_.SelfIncarnation();
  datagram.refutations = members_.SelfRefutations();
  datagram.fleet_size = settings_.fleet_size;
  links_.Stamp(now, receiver, datagram);
  ++counts_.out;
  out.push_back({receiver, std::move(datagram)});
  return out.back().datagram;
}

Datagram& Node::GossipDatagramTo(Micros now, MemberId receiver, Outbox& out) {
  Datagram& datagram = DatagramTo(now, receiver, out);
  if (datagram.member_updates.empty()) {
    datagram.member_updates = members_.UpdatesFor(receiver, kMemberUpdateBytes);
  }
  return datagram;
}

void Node::TrimAll(Outbox& out) {
  for (Outgoing& outgoing : out) counts_.oversized += TrimToSize(outgoing.datagram) ? 1 : 0;
}

// ---- connection counts ----

void Node::ReportCounts(Micros now) {
  const bool changed = local_connections_.Changes() != reported_changes_;
  if (changed && now < reported_at_ + FleetCounts::ReportInterval(members_.Members().size() + 1)) return;
  if (changed) {
    ++report_version_;
    reported_at_ = now;
    reported_changes_ = local_connections_.Changes();
  }
  // An unchanged report is still current, so its time is updated.
  totals_.SetLocal(now, members_.SelfIncarnation(), report_version_, local_connections_.Rows());
}

ConnectionTotals Node::Sum(Micros now, std::optional<std::uint32_t> class_index,
                           std::optional<std::string_view> group) {
  // Uses the own counts as of now. A change raises the version, so that two different states never have the
  // same version.
  if (local_connections_.Changes() != reported_changes_) {
    reported_changes_ = local_connections_.Changes();
    ++report_version_;
  }
  totals_.SetLocal(now, members_.SelfIncarnation(), report_version_, local_connections_.Rows());
  return totals_.Sum(now, class_index, group);
}

// ---- quotas ----

bool Node::TryAcquire(Micros now, const std::string& quota, Outbox& out) {
  if (quotas_.TryAcquire(now, quota)) return true;
  if (now >= leases_requested_at_ + kMinLeaseRequestInterval) {
    RequestLeases(now, out);
    TrimAll(out);
  }
  return false;
}

void Node::RequestLeases(Micros now, Outbox& out) {
  leases_requested_at_ = now;
  const std::vector<MemberId> alive = AliveMembers();
  for (const QuotaLeases::DueRequest& due : quotas_.Tick(now)) {
    const auto lender = due.lender ? due.lender : quotas_.ChooseLender(now, due.request.quota, alive);
    if (!lender) continue;
    Datagram& datagram = DatagramTo(now, *lender, out);
    if (SizeOf(datagram) + kLeaseRequestBytes + due.request.quota.size() > kMaxDatagramBytes) continue;
    datagram.lease_requests.push_back(due.request);
    quotas_.OnRequestSent(now, *lender, due.request);
  }
}

void Node::SendLeaseReturns(Micros now, Outbox& out) {
  for (const Membership::Member& member : members_.Members()) {
    if (!member.incarnation || member.state == MemberState::kLeft) continue;
    std::vector<LeaseReturn> returns = quotas_.PendingReturns(member.member_id);
    if (returns.empty()) continue;
    if (returns.size() > kMaxLeaseReturnsSent) returns.resize(kMaxLeaseReturnsSent);
    Datagram& datagram = DatagramTo(now, member.member_id, out);
    datagram.returns.insert(datagram.returns.end(), returns.begin(), returns.end());
  }
}

// Asks the borrower which leases it holds if a concurrency lease has ended by this relay's clock and was not
// returned: the borrower may have lost it.
void Node::RequestHeldLeases(Micros now, Outbox& out) {
  for (const QuotaLeases::Lease& lease : quotas_.LentLeases(now)) {
    if (lease.ended) DatagramTo(now, lease.peer, out).wants_held_leases = true;
  }
}

// ---- periodic work ----

void Node::Tick(Micros now, Outbox& out) {
  ReportCounts(now);
  SendPings(now, out);
  RequestLeases(now, out);
  SendLeaseReturns(now, out);
  RequestHeldLeases(now, out);
  if (now >= next_gossip_) Gossip(now, out);
  TrimAll(out);
}

void Node::SendPings(Micros now, Outbox& out) {
  for (const Membership::OutgoingPing& outgoing : members_.Tick(now)) {
    Datagram& datagram = GossipDatagramTo(now, outgoing.to, out);
    // A datagram carries one ping, so a second ping to the same peer in a turn is not sent. A dropped
    // indirect ping is covered by the other helpers, a dropped direct ping by the indirect pings that follow
    // it.
    if (!datagram.ping) datagram.ping = outgoing.ping;
  }
}

void Node::Gossip(Micros now, Outbox& out) {
  const std::vector<Membership::Member>& members = members_.Members();
  next_gossip_ = now + GossipInterval(settings_.tick, members.size());
  auto receiver = members_.RandomAliveMember();
  if (!receiver && !members.empty()) receiver = members[random_.Below(members.size())].member_id;
  if (!receiver) return;
  Datagram& datagram = GossipDatagramTo(now, *receiver, out);
  datagram.periodic = true;
  datagram.member_list_from = totals_.MemberListWanted(now, *receiver);
  datagram.evidence = outliers_.EvidenceToGossip(now, members_.SelfIncarnation(),
                                                 BytesLeft(datagram, kEvidenceBytes), members.size() + 1);
  datagram.digests = totals_.Digests(now, BytesLeft(datagram, kDigestBytes));
  AddLocalSends(now, datagram);
  AddIdleUnits(now, datagram);
  datagram.wants_held_leases = datagram.wants_held_leases || quotas_.NeedsHeldLeasesFrom(*receiver);
}

void Node::AddLocalSends(Micros now, Datagram& datagram) const {
  for (const UnreportedSends& part : sends_.LocalSends(now)) {
    if (datagram.unreported_sends.size() < kMaxUnreportedSendsGossiped &&
        SizeOf(part) <= BytesLeft(datagram, kMaxDatagramBytes)) {
      datagram.unreported_sends.push_back(part);
    }
  }
}

void Node::AddIdleUnits(Micros now, Datagram& datagram) {
  std::vector<IdleUnits> idle = quotas_.LendableUnits(now);
  random_.Shuffle(idle);
  for (const IdleUnits& part : idle) {
    if (datagram.idle_units.size() < kMaxIdleUnitsGossiped &&
        SizeOf(part) <= BytesLeft(datagram, kMaxDatagramBytes)) {
      datagram.idle_units.push_back(part);
    }
  }
}

// ---- receiving ----

bool Node::IsFromPeer(const Datagram& datagram) const {
  const Membership::Member* member = members_.Find(datagram.from);
  return member != nullptr && member->name == datagram.name && datagram.from != settings_.self &&
         datagram.incarnation;
}

void Node::OnDatagram(Micros now, const Datagram& datagram, Outbox& out) {
  if (IsFromPeer(datagram)) {
    OnPeerDatagram(now, datagram, out);
  } else {
    ++counts_.unknown_senders;
  }
  TrimAll(out);
}

// Dispatches each part to the module that owns it. The order matters: it determines the contents of the
// answer.
void Node::OnPeerDatagram(Micros now, const Datagram& datagram, Outbox& out) {
  ++counts_.in;
  OnMemberUpdate(now, {datagram.from, datagram.incarnation, datagram.refutations, MemberState::kAlive});
  if (!members_.IsCurrent(datagram.from, datagram.incarnation)) {
    // Either a superseded incarnation, or a new one with too low a generation, which raises its generation
    // when it receives this answer.
    ++counts_.superseded_senders;
    const Membership::Member* present = members_.Find(datagram.from);
    DatagramTo(now, datagram.from, out)
        .member_updates.push_back(
            {datagram.from, present->incarnation, present->refutations, present->state});
    return;
  }
  const PeerLinks::ReceivedHeader header = links_.OnReceived(now, datagram, members_.SelfIncarnation());
  if (header.new_incarnation) sends_.ErasePeer(datagram.from);
  if (datagram.fleet_size != settings_.fleet_size) ++counts_.fleet_size_mismatches;
  for (const MemberUpdate& update : datagram.member_updates) OnMemberUpdate(now, update);
  OnPing(now, datagram, out);
  OnCounts(now, datagram, header.transit);
  OnMemberList(now, datagram, out);
  for (const Evidence& evidence : datagram.evidence) outliers_.OnEvidence(now, evidence, header.transit);
  // A delayed datagram must not overwrite the report of a newer one.
  if (header.newest && datagram.periodic) {
    sends_.OnPeerReport(now, datagram.from, datagram.unreported_sends);
    quotas_.OnIdleUnits(now, datagram.from, datagram.idle_units);
  }
  OnLeases(now, datagram, out);
  if (!datagram.digests.empty()) AnswerDigests(now, datagram, out);
}

void Node::OnMemberUpdate(Micros now, const MemberUpdate& update) {
  const Membership::Change change = members_.OnUpdate(now, update);
  if (change.left) totals_.OnIncarnationEnded(now, update.member_id, update.incarnation);
  if (!change.superseded) {
    if (members_.IsCurrent(update.member_id, update.incarnation) && update.state != MemberState::kLeft) {
      totals_.OnIncarnation(now, update.member_id, update.incarnation);
    }
    return;
  }
  quotas_.OnIncarnationSuperseded(update.member_id, change.former);
  outliers_.OnIncarnationEnded(update.member_id, change.former);
  totals_.OnIncarnationEnded(now, update.member_id, change.former, update.incarnation);
  totals_.OnIncarnation(now, update.member_id, update.incarnation);
}

void Node::OnPing(Micros now, const Datagram& datagram, Outbox& out) {
  if (datagram.ping) {
    if (const auto forwarded = members_.OnPingRequest(datagram.from, *datagram.ping)) {
      Datagram& indirect = DatagramTo(now, forwarded->to, out);
      if (!indirect.ping) indirect.ping = forwarded->ping;
    } else if (!datagram.ping->target || *datagram.ping->target == settings_.self) {
      GossipDatagramTo(now, datagram.from, out).ack = datagram.ping->nonce;
    }
  }
  if (datagram.ack) {
    if (const auto forwarded = members_.OnAck(now, datagram.from, *datagram.ack)) {
      DatagramTo(now, forwarded->to, out).ack = forwarded->nonce;
    }
  }
}

void Node::OnCounts(Micros now, const Datagram& datagram, std::optional<Micros> transit) {
  for (const CountsUpdate& update : datagram.counts_updates) totals_.OnUpdate(now, update, transit);
  for (const CountsDigest& digest : datagram.digests) totals_.OnDigest(now, digest, transit);
}

void Node::OnMemberList(Micros now, const Datagram& datagram, Outbox& out) {
  if (datagram.member_list_from) {
    DatagramTo(now, datagram.from, out).member_list =
        totals_.MemberList(*datagram.member_list_from, kMemberListBytes);
  }
  if (!datagram.member_list) return;
  if (const auto next = totals_.OnMemberList(now, datagram.from, *datagram.member_list)) {
    DatagramTo(now, datagram.from, out).member_list_from = next;
  }
}

void Node::OnLeases(Micros now, const Datagram& datagram, Outbox& out) {
  const MemberId from = datagram.from;
  const Incarnation& self = members_.SelfIncarnation();
  for (const LeaseRequest& request : datagram.lease_requests) {
    DatagramTo(now, from, out).grants.push_back(quotas_.OnRequest(now, from, datagram.incarnation, request));
  }
  for (const LeaseGrant& grant : datagram.grants) {
    quotas_.OnGrant(now, from, datagram.incarnation, self, grant);
  }
  for (const LeaseReturn& lease_return : datagram.returns) {
    DatagramTo(now, from, out).return_acks.push_back(quotas_.OnReturn(now, from, lease_return));
  }
  for (const LeaseReturnAck& ack : datagram.return_acks) quotas_.OnReturnAck(from, ack);
  if (datagram.wants_held_leases) {
    DatagramTo(now, from, out).held_leases = quotas_.ReportHeldLeases(from, datagram.incarnation);
  }
  if (datagram.held_leases) {
    quotas_.OnHeldLeases(now, from, datagram.incarnation, self, *datagram.held_leases);
  }
}

// Sends the counts that the peer lacks. Requests the counts that this relay lacks only in response to a
// gossip round, never in response to an answer, so that two relays don't answer each other endlessly.
void Node::AnswerDigests(Micros now, const Datagram& datagram, Outbox& out) {
  std::vector<CountsDigest> lacking, fresher;
  if (datagram.periodic) lacking = totals_.DigestsToRequest(now, datagram.digests);
  const std::vector<CountsUpdate> missing = totals_.MissingUpdates(now, datagram.digests, kCountsUpdateBytes);
  if (datagram.periodic) fresher = totals_.TighterDigests(now, datagram.digests, kFresherDigestBytes);
  if (lacking.empty() && missing.empty() && fresher.empty()) return;
  Datagram& answer = DatagramTo(now, datagram.from, out);
  std::size_t size = SizeOf(answer);
  AppendWhileFits(missing, answer.counts_updates, size);
  AppendWhileFits(lacking, answer.digests, size);
  AppendWhileFits(fresher, answer.digests, size);
}

void Node::Leave(Micros now, Outbox& out) {
  std::vector<MemberId> alive = AliveMembers();
  random_.Shuffle(alive);
  if (alive.size() > kMaxLeaveNotifications) alive.resize(kMaxLeaveNotifications);
  Sum(now);  // Updates the own counts, so that the last report is final.
  const std::vector<CountsDigest> knows_nothing{{settings_.self, 0, 0, std::nullopt, false}};
  for (const MemberId member_id : alive) {
    Datagram& datagram = DatagramTo(now, member_id, out);
    datagram.member_updates.push_back(members_.LeaveUpdate());
    datagram.counts_updates = totals_.MissingUpdates(now, knows_nothing, kCountsUpdateBytes);
  }
  TrimAll(out);
}

}  // namespace stoatrun::fleet
