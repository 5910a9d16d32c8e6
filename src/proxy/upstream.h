// The upstream side: connections to endpoints. An attempt is a connection of its own, which carries one
// client's request line to an endpoint and, once the endpoint has accepted it, the session's bytes. A probe
// asks an endpoint for its load report; its connection is kept for the next probe.
//
// Used by the event loop's thread only. Results are reported to UpstreamEvents from the loop, never from
// within the call that started the attempt or probe.
#ifndef STOATRUN_PROXY_UPSTREAM_H_
#define STOATRUN_PROXY_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"
#include "proxy/endpoint_table.h"

namespace stoatrun {

// How an attempt ended: one value for each row of the protocol's outcome table, and one for an attempt that
// was never started because a quota of the whole fleet was exhausted. Logged by number: the order must not
// change.
enum class AttemptEnd : std::uint8_t {
  kServed,
  kMigrated,  // The endpoint sent the client away with MOVE.
  kError,
  kRejected,
  kNotConnected,  // Nothing has run: the request line was not written completely.
  kBroken,
  kTimedOut,
  kAbandoned,  // By this side.
  kQuotaExhausted
};

// What an attempt sends. The views must stay valid until the attempt has connected.
struct AttemptRequest {
  std::string_view before_timeout, after_timeout;  // The request line around its timeout.
  bool sends_timeout = true;                       // Whether the remaining time is written between them.
  Micros timeout{0};                               // For the whole attempt.
};

// Receives the results of attempts and probes. `owner` is the id that was passed to Open.
class UpstreamEvents {
 public:
  virtual ~UpstreamEvents() = default;
  // The connection is up and nothing is sent yet: the last moment at which the owner can close the attempt
  // with nothing sent.
  virtual void OnAttemptConnected(SlotId /*owner*/) {}
  // The last byte of the request line is with the socket: from here on the endpoint may run the request.
  virtual void OnAttemptSent(SlotId /*owner*/) {}
  // The endpoint accepted the request. `line` is its answer, with line end.
  virtual void OnAttemptEstablished(SlotId owner, std::string_view line) = 0;
  // The attempt ended before it was established, and its id is no longer valid. `line` is the endpoint's
  // answer, with line end; empty if there was none.
  virtual void OnAttemptEnded(SlotId owner, AttemptEnd end, std::string_view line) = 0;
  // An established attempt has input.
  virtual void OnAttemptBytes(SlotId owner) = 0;
  // The endpoint ended an established attempt.
  virtual void OnAttemptFinished(SlotId owner, ConnectionEnd end) = 0;
  // All output of an established attempt is written.
  virtual void OnAttemptWritable(SlotId owner) = 0;
  // A probe ended. `report`: the metrics in the endpoint's answer, if it answered in time.
  virtual void OnProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report) = 0;
};

// Owns the endpoint table and all connections to endpoints.
class Upstream : public TcpConnectionHandler {
 public:
  // Time limits, in microseconds.
  struct Timeouts {
    Micros connect{250'000};
    Micros idle_timeout{10'000'000};  // Endpoints close idle connections after it.
    Micros stop_sending{250'000};     // After a drain was announced nothing may be sent to the endpoint.
  };

  // All references must outlive the object.
  Upstream(EventLoop& loop, UpstreamEvents& events, Counters& counters, const Timeouts& timeouts);

  // The endpoints, as updated so far.
  const EndpointTable& Endpoints() const { return endpoints_; }
  // Takes over an update of the endpoint list.
  void ApplyUpdate(const EndpointUpdate& update);

  // Starts an attempt and returns its id.
  SlotId Open(SlotId owner, EndpointIndex endpoint, const AttemptRequest& request);
  // Closes an attempt, established or not; reports nothing further of it. No effect if it has ended.
  void Close(SlotId attempt);
  // Likewise, with a TCP reset.
  void Reset(SlotId attempt);
  // The attempt's connection; null if it has ended.
  TcpConnection* Find(SlotId attempt);

  // Asks the endpoint for its load report.
  void Probe(EndpointIndex endpoint);

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnWritable(SlotId id) override;

 private:
  enum class Kind : std::uint8_t { kAttempt, kProbe };
  // kPending -> kEstablished (an attempt that the endpoint accepted), or kPending <-> kIdle (a probe's
  // connection between two probes). Any state ends with the connection.
  enum class State : std::uint8_t { kPending, kEstablished, kIdle };
  struct Connection {
    Connection(SlotId slot, Upstream& upstream, EndpointIndex target, Kind of_kind)
        : id(slot),
          endpoint(target),
          kind(of_kind),
          tcp(upstream.loop_, upstream, slot),
          timer(upstream.loop_.timers, [&upstream, slot] { upstream.OnTimeout(slot); }) {}
    bool IsProbe() const { return kind == Kind::kProbe; }
    SlotId id, owner;
    EndpointIndex endpoint;
    Kind kind;
    State state = State::kPending;
    TcpConnection tcp;
    Timer timer;
    AttemptRequest request;
    Micros give_up_at{0};
    bool sent = false;    // The last byte of the request line is with the socket.
    bool reused = false;  // A probe's connection that was idle before.
  };
  // Ends what is still unsent to a draining endpoint when its grace time is over.
  struct DrainTimer {
    DrainTimer(SlotId slot, Upstream& upstream, EndpointIndex endpoint)
        : timer(upstream.loop_.timers, [&upstream, slot, endpoint] {
            upstream.drain_timers_.Erase(slot);
            upstream.StopSending(endpoint);
          }) {}
    Timer timer;
  };
  struct EndpointConnections {
    SlotId idle_probe;
    bool has_drain_timer = false;
  };

  void Connect(Connection& connection);
  void SendRequest(Connection& attempt);
  void OnSent(Connection& connection);
  void OnTimeout(SlotId id);
  void EndAttempt(Connection& attempt, AttemptEnd end, std::string_view line);
  void CountAttemptEnd(AttemptEnd end);
  void FailProbe(Connection& probe, std::string_view report);
  void CompleteProbe(Connection& probe, std::string_view report);
  void ReportProbe(EndpointIndex endpoint, bool succeeded, std::string_view report);
  void KeepOrCloseProbe(Connection& probe);
  void RestartProbe(Connection& probe);
  void ReadAttempt(Connection& attempt);
  void ReadProbe(Connection& probe);
  void StopSending(EndpointIndex endpoint);
  std::size_t IdleProbeCount() const;

  EventLoop& loop_;
  UpstreamEvents& events_;
  Counters& counters_;
  const Timeouts timeouts_;
  EndpointTable endpoints_;
  std::vector<EndpointConnections> per_endpoint_;  // By EndpointIndex.
  SlotMap<Connection> connections_;
  SlotMap<DrainTimer> drain_timers_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_UPSTREAM_H_
