// Requests sent to endpoints whose load reports may not include them yet: this relay's own, and those of the
// other relays, estimated from the relays that reported recently.
#ifndef STOATRUN_FLEET_SEND_TRACKER_H_
#define STOATRUN_FLEET_SEND_TRACKER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// Used on the thread of the Node that owns it. Memory is bounded: at most 4,096 own requests are recorded.
class SendTracker {
 public:
  // Records that this relay sent a request to `endpoint`.
  void OnRequestSent(Micros now, const std::string& endpoint);
  // Returns this relay's recent requests by endpoint, for a gossip datagram.
  std::vector<UnreportedSends> LocalSends(Micros now) const;

  // Replaces the previous report of `peer`.
  void OnPeerReport(Micros now, MemberId peer, const std::vector<UnreportedSends>& sends);
  // Discards the report of a peer that restarted.
  void ErasePeer(MemberId peer);
  // Discards the reports of peers that are no longer in the operator file.
  void SetPeers(const std::vector<Peer>& peers);

  // Estimates the unreported requests of all other relays to `endpoint`, taking the recent reports as a
  // sample of the `alive_peers`. Returns nullopt if no peer reported recently.
  std::optional<double> UnreportedInFlight(Micros now, const std::string& endpoint,
                                           std::size_t alive_peers) const;

 private:
  struct Send {
    Micros at{0};
    std::string endpoint;
  };
  struct PeerReport {
    std::map<std::string, std::uint32_t> sends;  // By endpoint.
    Micros at{0};
  };

  std::deque<Send> sends_;
  std::map<MemberId, PeerReport> peer_reports_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_SEND_TRACKER_H_
