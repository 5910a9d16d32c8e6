#include "fleet/peer_links.h"

#include <algorithm>

namespace stoatrun::fleet {
namespace {

constexpr std::size_t kMaxSentRecorded = 64;  // An echo of an older datagram gives no useful bound.

}  // namespace

void PeerLinks::Stamp(Micros now, MemberId receiver, Datagram& datagram) {
  Link& link = links_[receiver];
  datagram.seq = ++link.last_sent_seq;
  if (link.peer_incarnation) {
    datagram.echo_run = ShortIncarnationId(link.peer_incarnation);
    datagram.echo_seq = link.last_received_seq;
    datagram.echo_held = now - link.last_received_at;
  }
  link.sent.push_back({datagram.seq, now});
  if (link.sent.size() > kMaxSentRecorded) link.sent.pop_front();
}

std::optional<Micros> PeerLinks::TransitBound(Micros now, const Link& link, const Datagram& datagram,
                                              const Incarnation& self) {
  if (datagram.echo_run != ShortIncarnationId(self)) return std::nullopt;
  const auto sent = std::find_if(link.sent.begin(), link.sent.end(),
                                 [&](const SentDatagram& own) { return own.seq == datagram.echo_seq; });
  if (sent == link.sent.end()) return std::nullopt;
  // Either clock may be the faster one.
  return std::max(Micros(0), UpperBoundWithDrift(now - sent->at) - LowerBoundWithDrift(datagram.echo_held));
}

PeerLinks::ReceivedHeader PeerLinks::OnReceived(Micros now, const Datagram& datagram,
                                                const Incarnation& self) {
  Link& link = links_[datagram.from];
  ReceivedHeader header;
  header.new_incarnation = link.peer_incarnation.id != datagram.incarnation.id;
  if (header.new_incarnation) {
    link.peer_incarnation = datagram.incarnation;
    link.last_received_seq = 0;
  }
  header.transit = TransitBound(now, link, datagram, self);
  if (datagram.seq > link.last_received_seq) {
    link.last_received_seq = datagram.seq;
    link.last_received_at = now;
    link.fleet_size = datagram.fleet_size;
  }
  header.newest = datagram.seq == link.last_received_seq;
  return header;
}

void PeerLinks::SetPeers(const std::vector<Peer>& peers) {
  std::erase_if(links_, [&](const auto& link) {
    return std::none_of(peers.begin(), peers.end(),
                        [&](const Peer& peer) { return peer.member_id == link.first; });
  });
}

std::vector<FleetSizeMismatch> PeerLinks::FleetSizeMismatches(std::uint32_t fleet_size) const {
  std::vector<FleetSizeMismatch> out;
  for (const auto& [member_id, link] : links_) {
    if (link.fleet_size != 0 && link.fleet_size != fleet_size) out.push_back({member_id, link.fleet_size});
  }
  return out;
}

}  // namespace stoatrun::fleet
