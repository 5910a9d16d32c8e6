// Requests in flight to endpoints whose load reports may not show them yet: this relay's own, and those of
// the other relays, estimated from what the recently heard ones report.
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

// Used on the thread of the Node that owns it. Bounded: at most 4,096 own sends are remembered.
class SendTracker {
 public:
  // This relay sent a request to `endpoint`.
  void OnRequestSent(Micros now, const std::string& endpoint);
  // This relay's recent sends, by endpoint, for a gossip datagram.
  std::vector<UnreportedSends> LocalSends(Micros now) const;

  // Replaces what `peer` reported before.
  void OnPeerReport(Micros now, MemberId peer, const std::vector<UnreportedSends>& sends);
  // The peer started anew or is no longer named: what it reported is void.
  void ErasePeer(MemberId peer);
  // Drops the reports of peers that the operator file no longer names.
  void SetPeers(const std::vector<Peer>& peers);

  // Estimates what all other relays sent to `endpoint`: the recent reports are taken as a sample of the
  // `alive_peers`. Nothing: no peer reported recently.
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
