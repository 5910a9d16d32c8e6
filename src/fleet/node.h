// One relay's part in the fleet: all that it knows of the others and all that it tells them, in one place.
// Time, randomness and datagrams in; datagrams out. It reads no clock and opens no socket.
#ifndef STOATRUN_FLEET_NODE_H_
#define STOATRUN_FLEET_NODE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "fleet/connection_counts.h"
#include "fleet/membership.h"
#include "fleet/message.h"
#include "fleet/outlier_consensus.h"
#include "fleet/quota_leases.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

class Node {
 public:
  struct Counts {
    std::uint64_t in = 0, out = 0, strangers = 0, former_runs = 0, other_size = 0, oversized = 0;
  };

  // `name`: as the peers' files have it. `incarnation`: this run's; its generation may be raised later, its
  // id stays.
  Node(const Settings& settings, std::string name, Incarnation incarnation, std::uint64_t seed, Micros now);

  // Call it quota_templates `settings.tick`, and whenever `Urgent`.
  void Tick(Micros now, Outbox& out);
  void OnDatagram(Micros now, const Datagram& d, Outbox& out);
  // An orderly end: tells a few.
  void Leave(Micros now, Outbox& out);
  void Follow(const std::vector<Peer>& peers, Micros now);

  // QuotaLeases. `now` is to be read in the turn in which the unit is used. What is rejected here may make
  // requests go out.
  bool TryAcquire(Micros now, const std::string& quota, Outbox& out);
  void Release(const std::string& quota) { quotas_.Release(quota); }
  QuotaLeases& Quotas() { return quotas_; }

  // Connections of this relay.
  LocalConnectionCounts& LocalConnections() { return local_connections_; }
  // False: the accounts don't balance, which is an error of the program.
  bool Balanced() const { return local_connections_.IsBalanced(); }
  FleetCounts::Total Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
                         std::optional<std::string_view> group = std::nullopt);
  FleetCounts& Totals() { return totals_; }

  // Outliers.
  OutlierConsensus& Outliers() { return outliers_; }
  void OnRequestSent(Micros now, const std::string& endpoint);
  // What the others have sent to a endpoint and its reports may not show: by what those heard lately tell,
  // accepted as a sample of all. Nothing: nobody was heard lately.
  std::optional<double> UnreportedInFlight(Micros now, const std::string& endpoint) const;

  Membership& Members() { return members_; }
  const Settings& Setup() const { return settings_; }
  const Counts& GetCounts() const { return counts_; }
  // Peers whose file states another size of the fleet: shares don't fit together until that is mended.
  std::vector<std::pair<MemberId, std::uint32_t>> OtherSizes() const;

 private:
  struct Link {
    std::uint64_t sent_seq = 0;
    std::deque<std::pair<std::uint64_t, Micros>> sent_at;  // The last ones.
    Incarnation heard_incarnation;
    std::uint64_t heard_seq = 0;
    Micros heard_at{0};
    std::uint32_t fleet_size = 0;
    std::map<std::string, std::uint32_t> sent;  // Its unseen sends, as it told them last.
    Micros sent_told_at{0};
    bool sent_told = false;
  };

  // With update of members, where the datagram is one that goes out anyhow; leases alone carry none.
  Datagram& To(Micros now, MemberId to, Outbox& out, bool update = false);
  void Turn(Micros now, Outbox& out);
  void Take(Micros now, const Datagram& d, Outbox& out);
  std::optional<Micros> Transit(Micros now, const Link& link, const Datagram& d) const;
  void RequestLeases(Micros now, Outbox& out);
  void Report(Micros now);
  // Takes parts out of what became too large; all of them are told again by themselves.
  void TrimToSize(Outbox& out);
  std::vector<MemberId> AliveMembers() const;

  Settings settings_;
  std::string name_;
  Random random_;
  Membership members_;
  QuotaLeases quotas_;
  LocalConnectionCounts local_connections_;
  FleetCounts totals_;
  OutlierConsensus outliers_;
  std::map<MemberId, Link> links_;
  std::deque<std::pair<Micros, std::string>> sends_;
  std::uint64_t report_ = 0, reported_changes_ = 0;
  Micros reported_at_{0}, next_gossip_{0}, requested_at_{0};
  bool reported_ = false;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_NODE_H_
