// The upstream side: connections to endpoints. Each attempt uses a new connection, which carries one client's
// request line to an endpoint and, once the endpoint has accepted it, the session's bytes. A probe requests
// an endpoint's load report; its connection is kept for the next probe.
//
// Used by the event loop's thread only. Results are reported to UpstreamEvents from the event loop, never
// from within the call that started the attempt or probe.
#ifndef STOATRUN_PROXY_UPSTREAM_H_
#define STOATRUN_PROXY_UPSTREAM_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>

#include "base/counters.h"
#include "base/event_loop.h"
#include "base/linger_schedule.h"
#include "base/slot_map.h"
#include "base/tcp_connection.h"
#include "endpoint/endpoint_update.h"
#include "proxy/endpoint_table.h"

namespace stoatrun {

// How an attempt ended: one value for each row of the protocol's outcome table, and for attempts that were
// not sent: kQuotaExhausted, as a fleet-wide quota was exhausted, kListOverdue, as the endpoint may be
// draining without the proxy's knowledge, and kTooLate, as the time in which the request may be written was
// over. Logs contain the numeric value, so the order must not change.
enum class AttemptEnd : std::uint8_t {
  kServed,
  kMigrated,  // The endpoint answered MOVE: the client is to reconnect.
  kError,
  kRejected,
  kNotConnected,  // The request line was not written completely, so the request has not run.
  kBroken,        // The connection was lost after the request line was written.
  kTimedOut,
  kAbandoned,  // Cancelled by the proxy.
  kQuotaExhausted,
  kListOverdue,
  kTooLate
};

// The request that an attempt sends. The views must stay valid until the attempt has connected.
struct AttemptRequest {
  std::string_view before_timeout, after_timeout;  // The request line before and after its timeout.
  bool sends_timeout = true;                       // Whether the remaining time is written between the two.
  Micros timeout{0};                               // Of the whole attempt, including its connect.
  Micros send_before = Micros::max();              // Nothing is written at this time or later.
  bool may_be_draining = false;                    // Whether the endpoint need not be ready.
};

// Receives the results of attempts and probes. `owner` is the id that was passed to Open.
class UpstreamEvents {
 public:
  virtual ~UpstreamEvents() = default;
  // The request, or a remaining part of it, is about to be written. This is the owner's last opportunity to
  // close the attempt before that.
  virtual void OnBeforeRequestWrite(SlotId /*owner*/) {}
  // The last byte of the request line was written to the socket. From now on the endpoint may run the
  // request.
  virtual void OnAttemptSent(SlotId /*owner*/) {}
  // The endpoint accepted the request. `line` is its answer, including the line end.
  virtual void OnAttemptEstablished(SlotId owner, std::string_view line) = 0;
  // The attempt ended before it was established, and its id is no longer valid. `line` is the endpoint's
  // answer, including the line end; empty if there was none.
  virtual void OnAttemptEnded(SlotId owner, AttemptEnd end, std::string_view line) = 0;
  // An established attempt has received bytes.
  virtual void OnAttemptBytes(SlotId owner) = 0;
  // The endpoint closed or reset the connection of an established attempt.
  virtual void OnAttemptFinished(SlotId owner, ConnectionEnd end) = 0;
  // All queued output of an established attempt has been written.
  virtual void OnAttemptWritable(SlotId owner) = 0;
  // A probe ended. `report`: the metrics in the endpoint's answer; empty if it gave no answer.
  virtual void OnProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report) = 0;
};

// Owns the endpoint table and all connections to endpoints.
class Upstream : public TcpConnectionHandler {
 public:
  // Time limits, in microseconds.
  struct Timeouts {
    Micros connect{250'000};
    Micros idle_timeout{10'000'000};  // After which endpoints close idle connections.
  };

  // All references must outlive the object.
  Upstream(EventLoop& loop, UpstreamEvents& events, Counters& counters, const Timeouts& timeouts);

  // All endpoints of the updates applied so far.
  const EndpointTable& Endpoints() const { return endpoints_; }
  // Applies an update of the endpoint list.
  void ApplyUpdate(const EndpointUpdate& update);
  // Whether so many endpoints have been listed that EraseRemovedEndpoints is due.
  bool IsSweepDue() const { return endpoints_.IsSweepDue(); }
  // Erases the endpoints that are gone, except those in `used` and those with a connection.
  void EraseRemovedEndpoints(std::unordered_set<EndpointIndex> used);

  // Starts an attempt and returns its id.
  SlotId Open(SlotId owner, EndpointIndex endpoint, const AttemptRequest& request);
  // Closes an attempt, established or not, and reports no further events of it. No effect if it has ended.
  void Close(SlotId attempt);
  // The same as Close, with a TCP reset.
  void Reset(SlotId attempt);
  // The same as Close, but the endpoint is sent all that was written to it, and the end (FIN) after it. What
  // it still sends is discarded. The connection lingers until the endpoint has closed too, or as
  // LingerSchedule allows.
  void Finish(SlotId attempt);
  // The number of connections that linger after Finish.
  std::size_t LingeringCount() const { return lingering_.size(); }
  // Closes the one that has lingered longest.
  void CloseOldestLingering();
  // Whether an endpoint has not been sent everything on a lingering connection.
  bool HasUnsentOutput();
  // The attempt's connection; null if it has ended or lingers.
  TcpConnection* Find(SlotId attempt);

  // Requests the endpoint's load report.
  void Probe(EndpointIndex endpoint);

  void OnConnected(SlotId id) override;
  void OnData(SlotId id) override;
  void OnEnd(SlotId id, ConnectionEnd end) override;
  void OnBeforeFlush(SlotId id) override;
  void OnWritable(SlotId id) override;

 private:
  enum class Kind : std::uint8_t { kAttempt, kProbe };
  // Attempts: kPending -> kEstablished when the endpoint accepts the request, -> kLingering by Finish.
  // Probes: kPending <-> kIdle, which is the state between two probes. The connection may end in any state.
  enum class State : std::uint8_t { kPending, kEstablished, kLingering, kIdle };
  struct Connection {
    Connection(SlotId slot, Upstream& upstream, EndpointIndex endpoint_index, Kind connection_kind)
        : id(slot),
          endpoint(endpoint_index),
          kind(connection_kind),
          tcp(upstream.loop_, upstream, slot),
          timer(upstream.loop_.timers, [&upstream, slot] { upstream.OnTimeout(slot); }) {}
    bool IsProbe() const { return kind == Kind::kProbe; }
    bool IsUnsentAttempt() const { return !IsProbe() && state == State::kPending && !sent; }
    SlotId id, owner;
    EndpointIndex endpoint;
    Kind kind;
    State state = State::kPending;
    TcpConnection tcp;
    Timer timer;
    AttemptRequest request;
    Micros deadline{0};
    bool sent = false;      // The whole request line, or the probe's line, was written to the socket.
    bool reused = false;    // An idle probe connection that is used again.
    LingerSchedule linger;  // Valid in kLingering.
    std::list<SlotId>::iterator position{};  // In lingering_, if it lingers.
  };
  // Runs StopSending for a draining endpoint in the next turn, when the balancer knows of the drain too.
  struct DrainTimer {
    DrainTimer(SlotId slot, Upstream& upstream, EndpointIndex endpoint)
        : timer(upstream.loop_.timers, [&upstream, slot, endpoint] {
            upstream.drain_timers_.Erase(slot);
            upstream.StopSending(endpoint);
          }) {}
    Timer timer;
  };
  struct EndpointConnections {
    SlotId idle_probe_connection;
    bool has_drain_timer = false;
  };

  void Connect(Connection& connection);
  // Why the attempt's request must not be written at `now`; nullopt if it may be.
  std::optional<AttemptEnd> WriteObstacle(const Connection& attempt, Micros now) const;
  // Checks whether the attempt's request, or the rest of it, may be written now, and ends the attempt if not.
  // Since the decision to send it time has passed, in which the connection came up, the socket became
  // writable, or the process did not run. Must be called immediately before each write.
  bool MayWriteRequest(SlotId id);
  // Writes the request, if it may be written. The attempt may have ended afterwards.
  void SendRequest(SlotId id);
  void OnSent(Connection& connection);
  void OnTimeout(SlotId id);
  // Closes a lingering connection, unless its schedule has another check.
  void CheckLingering(Connection& connection);
  void EndAttempt(Connection& attempt, AttemptEnd end, std::string_view line);
  void CountAttemptEnd(AttemptEnd end);
  void FailProbe(Connection& probe, std::string_view report);
  void CompleteProbe(Connection& probe, std::string_view report);
  void ReportProbe(EndpointIndex endpoint, bool succeeded, std::string_view report);
  void KeepOrCloseProbe(Connection& probe);
  void RetryProbeOnNewConnection(Connection& probe);
  void ReadAttempt(Connection& attempt);
  void ReadProbe(Connection& probe);
  // Ends all unsent attempts and probes to the endpoint and closes its idle probe connections, unless it is
  // ready again.
  void StopSending(EndpointIndex endpoint);
  std::size_t IdleProbeConnectionCount() const;

  EventLoop& loop_;
  UpstreamEvents& events_;
  Counters& counters_;
  const Timeouts timeouts_;
  EndpointTable endpoints_;
  std::unordered_map<EndpointIndex, EndpointConnections> per_endpoint_;
  SlotMap<Connection> connections_;
  SlotMap<DrainTimer> drain_timers_;
  std::list<SlotId> lingering_;  // Oldest first.
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_UPSTREAM_H_
