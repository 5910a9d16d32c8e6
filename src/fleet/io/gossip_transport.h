// The fleet's socket: one UDP socket on the loop, the node behind it, and its log lines and counters.
//
// A datagram counts as a peer's only if it came from the address that the operator file gives for it. What
// can't be sent now is dropped: everything that relays tell quota_templates other is told again.
#ifndef STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_
#define STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_

#include <ev.h>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "base/log.h"
#include "base/tcp_connection.h"
#include "fleet/io/codec.h"
#include "fleet/node.h"

namespace stoatrun::fleet {

struct GossipTransportSetup {
  Settings settings;
  std::string name;
  Address listen;
  std::string listen_text;
  std::map<MemberId, Address> addresses;  // Of the peers.
  std::uint64_t seed = 0;
  std::int64_t wall_ms = 0;  // Unix time of the start: the incarnation's generation.
};

struct GossipTransportCounts {
  std::uint64_t received = 0, sent = 0, bytes_in = 0, bytes_out = 0, not_ours = 0, other_schema = 0,
                damaged = 0, malformed = 0, wrong_address = 0, send_failed = 0;
};

class GossipTransport {
 public:
  GossipTransport(EventLoop& loop, const GossipTransportSetup& setup);
  ~GossipTransport();
  GossipTransport(const GossipTransport&) = delete;
  GossipTransport& operator=(const GossipTransport&) = delete;

  void Start();  // Throws std::system_error if the address can't be had.
  void Leave();  // An orderly end: tells a few, and closes.
  void Follow(const std::vector<Peer>& peers, const std::map<MemberId, Address>& addresses);

  // Takes one unit of a quota. The clock is read here, so that a process that was stopped in the middle of a
  // turn finds its lease ended.
  bool TryAcquire(const std::string& quota);
  Node& LocalNode() { return node_; }
  const Node& LocalNode() const { return node_; }
  const std::string& Name() const { return setup_.name; }
  const GossipTransportCounts& Counts() const { return counts_; }
  void AddFields(LogLine& record) const;
  int Port() const;

 private:
  static void OnReadable(struct ev_loop* loop, ev_io* w, int events);
  void Read();
  void Send(const Outbox& out);
  void Tick();
  void LogChanges();

  EventLoop& loop_;
  GossipTransportSetup setup_;
  Node node_;
  ev_io io_{};
  int fd_ = -1;
  Timer tick_;
  GossipTransportCounts counts_;
  std::map<MemberId, MemberState> logged_;  // As it was logged last.
  bool logged_duplicate_ = false, logged_unbalanced_ = false;
  std::map<MemberId, bool> logged_peer_duplicate_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_GOSSIP_TRANSPORT_H_
