// The fleet's socket: one UDP socket on the event loop, the node behind it, and its log lines and counters.
//
// A datagram counts as a peer's only if it came from the address that the operator file gives for that peer.
// What can't be sent now is dropped: everything that relays send each other is repeated. Not thread-safe: the
// event loop's thread owns it.
#ifndef STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_
#define STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_

#include <ev.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "base/event_loop.h"
#include "base/log.h"
#include "base/tcp_connection.h"
#include "fleet/io/codec.h"
#include "fleet/node.h"

namespace stoatrun::fleet {

// What the transport is made of.
struct GossipTransportSetup {
  Settings settings;
  std::string name;  // This relay's.
  Address listen;
  std::string listen_text;
  std::map<MemberId, Address> addresses;  // Of the peers.
  std::uint64_t seed = 0;
  std::int64_t start_unix_ms = 0;  // Unix time of the start: the incarnation's generation.
};

// Datagrams and bytes since the start.
struct GossipTransportCounts {
  std::uint64_t received = 0, sent = 0, bytes_in = 0, bytes_out = 0, unknown_protocol = 0,
                unsupported_schema = 0, bad_checksum = 0, malformed = 0, wrong_address = 0, send_failed = 0;
  // Datagrams that were not decoded.
  std::uint64_t Undecodable() const {
    return unknown_protocol + unsupported_schema + bad_checksum + malformed;
  }
};

// Sends and receives the node's datagrams. `loop` outlives it.
class GossipTransport {
 public:
  GossipTransport(EventLoop& loop, const GossipTransportSetup& setup);
  ~GossipTransport();
  GossipTransport(const GossipTransport&) = delete;
  GossipTransport& operator=(const GossipTransport&) = delete;

  // Binds the socket and starts the ticks. Throws std::system_error if the address is not available.
  void Start();
  // Graceful shutdown: notifies a few peers and closes the socket.
  void Leave();
  // Follows a changed operator file: peers and their addresses.
  void SetPeers(const std::vector<Peer>& peers, const std::map<MemberId, Address>& addresses);

  // Acquires one unit of a quota. Reads the clock, so that a process that was stopped in the middle of a turn
  // finds its lease ended.
  bool TryAcquire(const std::string& quota);
  // The node behind the socket.
  Node& LocalNode() { return node_; }
  // The same, for reading.
  const Node& LocalNode() const { return node_; }
  // This relay's name.
  const std::string& Name() const { return setup_.name; }
  // Counters since the start.
  const GossipTransportCounts& Counts() const { return counts_; }
  // Adds the counters to a log line.
  void AddFields(LogLine& record) const;
  // The port that the socket is bound to; 0 if there is none.
  int Port() const;

 private:
  // What was logged last of a member, so that each change is logged once.
  struct LoggedMember {
    MemberState state = MemberState::kDead;
    bool duplicate = false;
  };

  static void OnReadable(struct ev_loop* loop, ev_io* watcher, int events);
  void ReadAvailable();
  void OnBytes(std::string_view bytes, const Address& from);
  void CountDecodeError(DecodeError error);
  void Send(const Outbox& out);
  void Tick();
  void LogChanges();
  static void LogMemberState(const Membership::Member& member, LoggedMember& logged);

  EventLoop& loop_;
  GossipTransportSetup setup_;
  Node node_;
  ev_io io_{};
  int fd_ = -1;
  Timer tick_;
  GossipTransportCounts counts_;
  std::map<MemberId, LoggedMember> logged_members_;
  bool logged_duplicate_ = false, logged_unbalanced_ = false;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_
