// One relay's part in the fleet: the modules of its shared state, and the dispatcher between them and
// datagrams.
//
// Deterministic: time, randomness and datagrams in, datagrams out. It reads no clock and opens no socket, so
// that the simulator runs the very code that the relay runs. Not thread-safe. A node sends at most one
// datagram to each peer in a turn, of at most kMaxDatagramBytes; beyond 16 relays the pause between gossip
// rounds grows with the logarithm of the fleet, so that one relay's traffic is bounded.
#ifndef STOATRUN_FLEET_NODE_H_
#define STOATRUN_FLEET_NODE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"
#include "fleet/connection_counts.h"
#include "fleet/membership.h"
#include "fleet/message.h"
#include "fleet/outlier_consensus.h"
#include "fleet/peer_links.h"
#include "fleet/quota_leases.h"
#include "fleet/send_tracker.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// A relay as a member of its fleet.
class Node {
 public:
  // Counters of datagrams, since the start.
  struct Counts {
    std::uint64_t in = 0, out = 0;
    std::uint64_t unknown_senders = 0;        // Of senders that the operator file doesn't name.
    std::uint64_t superseded_senders = 0;     // Of incarnations that were superseded.
    std::uint64_t fleet_size_mismatches = 0;  // Of senders with another size of the fleet.
    std::uint64_t oversized = 0;              // Sent after parts were dropped.
  };

  // `name`: as the peers' operator files have it. `incarnation`: this run's; its generation may be raised
  // later, its id stays.
  Node(const Settings& settings, std::string name, Incarnation incarnation, std::uint64_t seed, Micros now);

  // Does what is due; called each `settings.tick`. Appends the datagrams to be sent to `out`.
  void Tick(Micros now, Outbox& out);
  // Handles a datagram whose sender's address was checked, and appends the answers to `out`.
  void OnDatagram(Micros now, const Datagram& datagram, Outbox& out);
  // Graceful shutdown: notifies a few peers.
  void Leave(Micros now, Outbox& out);
  // Follows a changed operator file: peers added or removed.
  void SetPeers(const std::vector<Peer>& peers, Micros now);

  // Acquires one unit of a quota. `now` must be read in the turn in which the unit is used. If it fails,
  // lease requests may be appended to `out`.
  bool TryAcquire(Micros now, const std::string& quota, Outbox& out);
  // Releases one unit of a concurrency quota.
  void Release(const std::string& quota) { quotas_.Release(quota); }
  // The fleet's quotas as this relay sees them.
  QuotaLeases& Quotas() { return quotas_; }

  // This relay's own connections, which its callers begin and end.
  LocalConnectionCounts& LocalConnections() { return local_connections_; }
  // False: the own counts don't balance, which is a defect of the program.
  bool IsBalanced() const { return local_connections_.IsBalanced(); }
  // The fleet's connections as intervals, over all classes and groups or those named.
  ConnectionTotals Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
                       std::optional<std::string_view> group = std::nullopt);
  // All relays' counts as this relay knows them.
  FleetCounts& Totals() { return totals_; }

  // Outlier detection over the fleet's endpoints.
  OutlierConsensus& Outliers() { return outliers_; }
  // This relay sent a request to `endpoint`.
  void OnRequestSent(Micros now, const std::string& endpoint) { sends_.OnRequestSent(now, endpoint); }
  // Requests that other relays sent to `endpoint` and its load reports may not show yet; nothing: unknown.
  std::optional<double> UnreportedInFlight(Micros now, const std::string& endpoint) const {
    return sends_.UnreportedInFlight(now, endpoint, members_.Alive());
  }

  // The fleet's members as this relay sees them.
  Membership& Members() { return members_; }
  // The settings in force.
  const Settings& GetSettings() const { return settings_; }
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }
  // Peers whose operator file states another size of the fleet: shares don't add up until that is corrected.
  std::vector<FleetSizeMismatch> FleetSizeMismatches() const {
    return links_.FleetSizeMismatches(settings_.fleet_size);
  }

 private:
  // This turn's datagram to a member; made if there is none yet.
  Datagram& To(Micros now, MemberId receiver, Outbox& out);
  // The same, with member updates piggybacked, where the datagram goes out regularly.
  Datagram& GossipTo(Micros now, MemberId receiver, Outbox& out);
  void TrimAll(Outbox& out);

  // Parts of Tick, one module each.
  void ReportCounts(Micros now);
  void SendPings(Micros now, Outbox& out);
  void RequestLeases(Micros now, Outbox& out);
  void SendLeaseReturns(Micros now, Outbox& out);
  void RequestHeldLeases(Micros now, Outbox& out);
  void Gossip(Micros now, Outbox& out);
  void AddLocalSends(Micros now, Datagram& datagram) const;
  void AddIdleUnits(Micros now, Datagram& datagram);

  // Parts of OnDatagram, one module each.
  bool IsFromPeer(const Datagram& datagram) const;
  void OnPeerDatagram(Micros now, const Datagram& datagram, Outbox& out);
  void OnMemberUpdate(Micros now, const MemberUpdate& update);
  void OnPing(Micros now, const Datagram& datagram, Outbox& out);
  void OnCounts(Micros now, const Datagram& datagram, std::optional<Micros> transit);
  void OnMemberList(Micros now, const Datagram& datagram, Outbox& out);
  void OnLeases(Micros now, const Datagram& datagram, Outbox& out);
  void AnswerDigests(Micros now, const Datagram& datagram, Outbox& out);

  std::vector<MemberId> AliveMembers() const;

  Settings settings_;
  std::string name_;
  Random random_;
  Membership members_;
  QuotaLeases quotas_;
  LocalConnectionCounts local_connections_;
  FleetCounts totals_;
  OutlierConsensus outliers_;
  PeerLinks links_;
  SendTracker sends_;
  // The version of the own counts, and the state of the local counts that it reports.
  std::uint64_t report_version_ = 0, reported_changes_ = 0;
  Micros reported_at_{0}, next_gossip_{0}, leases_requested_at_{0};
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_NODE_H_
