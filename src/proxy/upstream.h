// The upstream side: the hosts by number, attempts (each with a connection of its own) and probes.
#ifndef STOATRUN_PROXY_UPSTREAM_H_
#define STOATRUN_PROXY_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"

namespace stoatrun {

using EndpointIndex = std::uint32_t;

// How an attempt ended before it was up: one name for each row of the protocol's outcome table, and one for
// an attempt that was never begun, as a budget of the whole fleet did not allow it.
enum class AttemptEnd {
  kServed,
  kSentAway,
  kError,
  kRejected,
  kNotConnected,
  kBroken,
  kTimedOut,
  kAbandoned,
  kHeldBack
};

struct AttemptWork {
  std::string_view before_wait, after_wait;  // Of the client's line, which outlives the attempt's set-up.
  bool tells_wait = true;
  Micros wait{0};
};

class UpstreamEvents {
 public:
  virtual ~UpstreamEvents() = default;
  // An attempt is named by the number its opener gave. `line` is what the host said, with its end; empty
  // where it said nothing.
  virtual void OnAttemptUp(SlotId owner, std::string_view line) = 0;
  // The connection is up and nothing is sent yet: the last moment in which the opener may close the attempt.
  virtual void OnAttemptConnected(SlotId /*owner*/) {}
  // The first line's last byte is with the socket: the attempt counts at its host from here on.
  virtual void OnAttemptSent(SlotId /*owner*/) {}
  virtual void OnAttemptEnd(SlotId owner, AttemptEnd end, std::string_view line) = 0;
  // Of an attempt that is up.
  virtual void OnAttemptBytes(SlotId owner) = 0;
  virtual void OnAttemptFinished(SlotId owner, ConnectionEnd end) = 0;
  virtual void OnAttemptWritable(SlotId owner) = 0;
  virtual void OnProbe(EndpointIndex host, bool ok, std::string_view report) = 0;
};

class Upstream : public TcpConnectionHandler {
 public:
  struct Times {
    Micros connect{250'000};
    Micros idle_close{10'000'000};
    Micros stop_sending{250'000};
  };

  Upstream(EventLoop& loop, UpstreamEvents& events, Counters& counters, const Times& times);

  // The number of a host, the same for one id for ever.
  EndpointIndex NumberOf(const std::string& id);
  std::optional<EndpointIndex> Known(const std::string& id) const;
  const std::string& IdOf(EndpointIndex host) const { return hosts_[host].id; }
  void TakeList(const EndpointUpdate& list);
  std::size_t Listed() const;  // Hosts in the list now, ready or draining.

  // Starts an attempt. Its end is told later, never from within this call.
  SlotId Open(SlotId owner, EndpointIndex host, const AttemptWork& work);
  void Close(SlotId attempt);  // Abandons it, or ends it once up. Nothing more is told.
  void Reset(SlotId attempt);
  TcpConnection* Find(SlotId attempt);
  void Probe(EndpointIndex host);

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnWritable(SlotId id) override;

 private:
  struct Host {
    std::string id;
    std::optional<Address> address;
    EndpointState state = EndpointState::kReady;
    SlotId idle_probe;
    bool watched_drain = false;
  };
  struct Link {  // An attempt or a probe's connection.
    Link(SlotId slot, Upstream& all, EndpointIndex to, bool is_probe)
        : id(slot),
          host(to),
          probe(is_probe),
          stream(all.loop_, all, slot),
          deadline(all.loop_.timers, [&all, slot] { all.Due(slot); }) {}
    SlotId id, owner;
    EndpointIndex host;
    bool probe;
    TcpConnection stream;
    Timer deadline;
    AttemptWork work;
    Micros give_up{0};
    bool sent = false;    // The first line's last byte is with the socket.
    bool reused = false;  // A probe's connection that was idle before.
    bool up = false;      // An attempt after UP; a probe's connection while it is idle.
  };

  void Start(Link& link);
  void Sent(Link& link);
  void Due(SlotId id);
  void EndAttempt(Link& attempt, AttemptEnd end, std::string_view line);
  void EndProbe(Link& link, bool ok, std::string_view report, bool keep);
  void ReadAttempt(Link& attempt);
  void ReadProbe(Link& link);
  void StopSending(EndpointIndex host);
  std::size_t Idle() const;  // Probes' connections that are kept.

  EventLoop& loop_;
  UpstreamEvents& events_;
  Counters& counters_;
  Times times_;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, EndpointIndex> numbers_;
  SlotMap<Link> links_;
  struct Drain {
    Drain(SlotId slot, Upstream& all, EndpointIndex to)
        : deadline(all.loop_.timers, [&all, slot, to] {
            all.drains_.Erase(slot);
            all.StopSending(to);
          }) {}
    Timer deadline;
  };
  SlotMap<Drain> drains_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_UPSTREAM_H_
