// Per-peer datagram bookkeeping: sequence numbers, echoes, and the transit time that they bound.
//
// Each datagram names the newest datagram of the receiver's that its sender has, and how long it has had it.
// So the receiver knows that the datagram left after its own had arrived: the time since it sent that one,
// less the time it was held, bounds the transit time without a common clock.
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

// A peer whose operator file states another size of the fleet.
struct FleetSizeMismatch {
  MemberId member_id = 0;
  std::uint32_t fleet_size = 0;
};

// The datagrams exchanged with each peer. Used on the thread of the Node that owns it.
class PeerLinks {
 public:
  // What the header of a received datagram shows.
  struct Receipt {
    std::optional<Micros> transit;  // Upper bound on the time under way; nothing: unknown.
    bool newest = false;            // No newer datagram of this incarnation has arrived.
    bool new_incarnation = false;   // The first datagram of this incarnation.
  };

  // Numbers a datagram that is about to be sent and adds the echo of what came from `receiver`.
  void Stamp(Micros now, MemberId receiver, Datagram& datagram);
  // Takes note of a received datagram. `self`: this relay's incarnation, to which an echo must refer.
  Receipt OnReceived(Micros now, const Datagram& datagram, const Incarnation& self);
  // Drops what is kept of peers that the operator file no longer names.
  void SetPeers(const std::vector<Peer>& peers);
  // Peers that stated another size of the fleet than `fleet_size`, by id.
  std::vector<FleetSizeMismatch> FleetSizeMismatches(std::uint32_t fleet_size) const;

 private:
  struct SentDatagram {
    std::uint64_t seq = 0;
    Micros at{0};
  };
  struct Link {
    std::uint64_t last_seq = 0;
    std::deque<SentDatagram> sent;  // The last ones.
    Incarnation heard_incarnation;
    std::uint64_t heard_seq = 0;
    Micros heard_at{0};
    std::uint32_t fleet_size = 0;  // 0: not stated yet.
  };

  static std::optional<Micros> TransitBound(Micros now, const Link& link, const Datagram& datagram,
                                            const Incarnation& self);

  std::map<MemberId, Link> links_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_PEER_LINKS_H_
