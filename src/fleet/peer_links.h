// Per-peer datagram bookkeeping: sequence numbers, echoes, and the transit time that they bound.
//
// Each datagram echoes the sequence number of the newest datagram that its sender has received from the
// receiver, and the time since its arrival. The datagram was therefore sent after the echoed one had arrived.
// The time since the receiver sent the echoed datagram, less the time for which the peer held it, bounds the
// transit time without a common clock.
#ifndef STOATRUN_FLEET_PEER_LINKS_H_
#define STOATRUN_FLEET_PEER_LINKS_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// A peer whose operator file states another fleet size.
struct FleetSizeMismatch {
  MemberId member_id = 0;
  std::uint32_t fleet_size = 0;
};

// Tracks the datagrams exchanged with each peer. Used on the thread of the Node that owns it.
class PeerLinks {
 public:
  // Derived from the header of a received datagram.
  struct ReceivedHeader {
    std::optional<Micros> transit;  // Upper bound on the transit time; nullopt: unknown.
    bool newest = false;            // No newer datagram of this incarnation has arrived.
    bool new_incarnation = false;   // The first datagram of this incarnation.
  };

  // Sets the sequence number and the echo of a datagram that is about to be sent to `receiver`.
  void Stamp(Micros now, MemberId receiver, Datagram& datagram);
  // Records a received datagram. `self`: this relay's incarnation, to which the echo must refer.
  ReceivedHeader OnReceived(Micros now, const Datagram& datagram, const Incarnation& self);
  // Discards the state of peers that are no longer in the operator file.
  void SetPeers(const std::vector<Peer>& peers);
  // Peers that stated a fleet size other than `fleet_size`, ordered by id.
  std::vector<FleetSizeMismatch> FleetSizeMismatches(std::uint32_t fleet_size) const;

 private:
  struct SentDatagram {
    std::uint64_t seq = 0;
    Micros at{0};
  };
  struct Link {
    std::uint64_t last_sent_seq = 0;
    std::deque<SentDatagram> sent;  // The most recent ones.
    Incarnation peer_incarnation;
    std::uint64_t last_received_seq = 0;
    Micros last_received_at{0};
    std::uint32_t fleet_size = 0;  // 0: not stated yet.
  };

  static std::optional<Micros> TransitBound(Micros now, const Link& link, const Datagram& datagram,
                                            const Incarnation& self);

  std::map<MemberId, Link> links_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_PEER_LINKS_H_
