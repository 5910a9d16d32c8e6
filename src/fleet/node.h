// One relay as a member of its fleet: owns the modules of the shared state and dispatches datagrams to them.
//
// Deterministic: takes time, randomness and datagrams as inputs and returns datagrams. It reads no clock and
// opens no socket, so that the simulator runs the same code as the relay. Not thread-safe. In each turn a
// node sends at most one datagram to each peer, of at most kMaxDatagramBytes. In fleets of more than 16
// relays the interval between gossip rounds grows with the logarithm of the fleet's size, which bounds each
// relay's traffic.
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

// The shared state of the fleet at one relay, and the protocol that maintains it.
class Node {
 public:
  // Datagram counters since the start.
  struct Counts {
    std::uint64_t in = 0, out = 0;
    std::uint64_t unknown_senders = 0;        // Received from senders not in the operator file.
    std::uint64_t superseded_senders = 0;     // Received from superseded incarnations.
    std::uint64_t fleet_size_mismatches = 0;  // Received from senders that state another fleet size.
    std::uint64_t oversized = 0;              // Too large; sent without some of their parts.
  };

  // `name`: this relay's name in its peers' operator files. `incarnation`: of this run; its generation may be
  // raised later, its id never changes.
  Node(const Settings& settings, std::string name, Incarnation incarnation, std::uint64_t seed, Micros now);

  // Runs the periodic work; called every `settings.tick`. Appends the datagrams to send to `out`.
  void Tick(Micros now, Outbox& out);
  // Handles a datagram and appends the answers to `out`. The caller has verified the sender's address.
  void OnDatagram(Micros now, const Datagram& datagram, Outbox& out);
  // Graceful shutdown: notifies a few peers, which pass it on by gossip.
  void Leave(Micros now, Outbox& out);
  // Replaces the peers after a change of the operator file.
  void SetPeers(const std::vector<Peer>& peers, Micros now);

  // Acquires one unit of a quota. `now` must be read in the turn in which the unit is used. On failure, lease
  // requests may be appended to `out`.
  bool TryAcquire(Micros now, const std::string& quota, Outbox& out);
  // Releases one unit of a concurrency quota.
  void Release(const std::string& quota) { quotas_.Release(quota); }
  // The fleet's quotas, from this relay's view.
  QuotaLeases& Quotas() { return quotas_; }

  // Counters of this relay's own connections, updated by the caller.
  LocalConnectionCounts& LocalConnections() { return local_connections_; }
  // False if this relay's own counts don't balance, which indicates a bug.
  bool IsBalanced() const { return local_connections_.IsBalanced(); }
  // The fleet's connection counts as intervals, over all classes and groups or only the given ones.
  ConnectionTotals Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
                       std::optional<std::string_view> group = std::nullopt);
  // The counts of all relays, from this relay's view.
  FleetCounts& Totals() { return totals_; }

  // Outlier detection over the fleet's endpoints.
  OutlierConsensus& Outliers() { return outliers_; }
  // Records that this relay sent a request to `endpoint`.
  void OnRequestSent(Micros now, const std::string& endpoint) { sends_.OnRequestSent(now, endpoint); }
  // Estimated requests from other relays to `endpoint` that its load reports may not include yet; nullopt:
  // unknown.
  std::optional<double> UnreportedInFlight(Micros now, const std::string& endpoint) const {
    return sends_.UnreportedInFlight(now, endpoint, members_.Alive());
  }

  // The fleet's members, from this relay's view.
  Membership& Members() { return members_; }
  // The current settings.
  const Settings& GetSettings() const { return settings_; }
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }
  // Peers whose operator file states another fleet size: until that is corrected, the members' shares don't
  // add up to the quotas.
  std::vector<FleetSizeMismatch> FleetSizeMismatches() const {
    return links_.FleetSizeMismatches(settings_.fleet_size);
  }

 private:
  // Returns this turn's datagram to a member, creating it if `out` holds none.
  Datagram& DatagramTo(Micros now, MemberId receiver, Outbox& out);
  // The same with piggybacked member updates, for datagrams that are sent regularly.
  Datagram& GossipDatagramTo(Micros now, MemberId receiver, Outbox& out);
  void TrimAll(Outbox& out);

  // Steps of Tick.
  void ReportCounts(Micros now);
  void SendPings(Micros now, Outbox& out);
  void RequestLeases(Micros now, Outbox& out);
  void SendLeaseReturns(Micros now, Outbox& out);
  void RequestHeldLeases(Micros now, Outbox& out);
  void Gossip(Micros now, Outbox& out);
  void AddLocalSends(Micros now, Datagram& datagram) const;
  void AddIdleUnits(Micros now, Datagram& datagram);

  // Steps of OnDatagram.
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
  // The version of this relay's own counts, and LocalConnectionCounts::Changes() at that version.
  std::uint64_t report_version_ = 0, reported_changes_ = 0;
  Micros reported_at_{0}, next_gossip_{0}, leases_requested_at_{0};
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_NODE_H_
