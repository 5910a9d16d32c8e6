// The fleet's UDP transport: a socket on the event loop, the node that it serves, and its log lines and
// counters.
//
// A datagram is accepted only from the address that the operator file gives for its sender. A datagram that
// can't be sent at once is dropped: the protocol repeats everything that it sends. Not thread-safe; used on
// the event loop's thread.
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

// Parameters of a GossipTransport.
struct GossipTransportSetup {
  Settings settings;
  std::string name;  // This relay's, in the operator file.
  Address listen;
  std::string listen_text;                // The listen address as configured, for error messages.
  std::map<MemberId, Address> addresses;  // Of the peers.
  std::uint64_t seed = 0;                 // Of the node's random numbers and of the incarnation's id.
  std::int64_t start_unix_ms = 0;         // Time of the process start; the generation of its incarnation.
};

// Datagram and byte counters since the start.
struct GossipTransportCounts {
  std::uint64_t received = 0, sent = 0, bytes_in = 0, bytes_out = 0;
  // Received datagrams that could not be decoded, by DecodeError.
  std::uint64_t unknown_protocol = 0, unsupported_schema = 0, bad_checksum = 0, malformed = 0;
  std::uint64_t wrong_address = 0;  // Received from another address than the sender's.
  std::uint64_t send_failed = 0;
  // All received datagrams that could not be decoded.
  std::uint64_t Undecodable() const {
    return unknown_protocol + unsupported_schema + bad_checksum + malformed;
  }
};

// Sends and receives the node's datagrams. `loop` must outlive it.
class GossipTransport {
 public:
  GossipTransport(EventLoop& loop, const GossipTransportSetup& setup);
  ~GossipTransport();
  GossipTransport(const GossipTransport&) = delete;
  GossipTransport& operator=(const GossipTransport&) = delete;

  // Binds the socket and starts the periodic ticks. Throws std::system_error if the address is not available.
  void Start();
  // Graceful shutdown: notifies a few peers and closes the socket.
  void Leave();
  // Replaces the peers and their addresses after a change of the operator file.
  void SetPeers(const std::vector<Peer>& peers, const std::map<MemberId, Address>& addresses);

  // Acquires one unit of a quota. Reads the clock anew, so that a process that was suspended in the middle of
  // a turn does not use a lease that has ended meanwhile.
  bool TryAcquire(const std::string& quota);
  // This relay's node.
  Node& LocalNode() { return node_; }
  // This relay's node, read-only.
  const Node& LocalNode() const { return node_; }
  // This relay's name.
  const std::string& Name() const { return setup_.name; }
  // Counters since the start.
  const GossipTransportCounts& Counts() const { return counts_; }
  // Adds the counters to a log line.
  void AddFields(LogLine& record) const;
  // The bound port; 0 if the socket is not bound.
  int Port() const;

 private:
  // What was last logged about a member, so that each change is logged once.
  struct LoggedMember {
    MemberState state = MemberState::kDead;
    bool duplicate = false;
  };

  static void OnReadable(struct ev_loop* loop, ev_io* watcher, int events);
  void ReadAvailable();
  void HandleDatagram(std::string_view bytes, const Address& from);
  void CountDecodeError(DecodeError error);
  void Send(const Outbox& out);
  void Tick();
  void LogChanges();
  static void LogMemberState(const Membership::Member& member, LoggedMember& logged);

  EventLoop& loop_;
  GossipTransportSetup setup_;
  Node node_;
  ev_io read_watcher_{};
  int fd_ = -1;
  Timer tick_;
  GossipTransportCounts counts_;
  std::map<MemberId, LoggedMember> logged_members_;
  bool logged_duplicate_ = false, logged_unbalanced_ = false;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_
