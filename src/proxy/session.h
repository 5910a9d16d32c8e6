// A session: a client's request for a connection and, once an endpoint has accepted the request, the
// forwarded connection between the two.
#ifndef STOATRUN_PROXY_SESSION_H_
#define STOATRUN_PROXY_SESSION_H_

#include <cassert>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "base/slot_map.h"
#include "base/usage_meter.h"
#include "proxy/balancer_mapping.h"
#include "proxy/downstream.h"
#include "proxy/endpoint_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Receives the expirations of session timers.
class SessionTimeoutHandler {
 public:
  virtual ~SessionTimeoutHandler() = default;
  // The timer of `session` has expired.
  virtual void OnSessionTimeout(SlotId session) = 0;
};

// How an established session ends.
struct SessionEnd {
  AttemptEnd end = AttemptEnd::kAbandoned;  // As reported to the balancer.
  std::string_view last_line;               // Sent to the client at the end: a literal; empty: none.
  EndMode client_end = EndMode::kFinish;    // How the client's connection ends.
};

// The line that tells a client to connect again.
inline constexpr std::string_view kMoveLine = "MOVE\r\n";
// The end of a session whose client the proxy migrates.
inline constexpr SessionEnd kMigrationEnd{AttemptEnd::kAbandoned, kMoveLine};

// A closing session forwards no line in part: if one side has sent only a part, the rest of it is awaited.
enum class LineBoundary : std::uint8_t { kNotAwaited, kAwaited, kReached };

// The states of a session and all transitions between them:
//
//   kPending ------> kEstablished ------> kHalfClosed
//       |  Establish      |    HalfClose       |
//       |                 +---------+----------+
//       |                           | BeginClosing
//       |                           v
//       |                        kClosing
//       +---------------------------+----> erased (SessionTable::Erase)
//
// kPending: the client waits for the answer to its request; attempts are made one at a time.
// kEstablished: an endpoint has accepted the request, and bytes are forwarded in both directions.
// kHalfClosed: the client has finished sending (FIN); the endpoint's remaining bytes are still forwarded.
// kClosing: the session is about to end; what either side had sent before is still forwarded.
//
// The timer depends on the state. kPending: start of the next resumption attempt. kEstablished: deadline for
// the endpoint's answer to the client's line. kHalfClosed: deadline for the endpoint's next bytes or its
// end. kClosing: when to look again whether all has been
// forwarded.
class Session {
 public:
  // The states in the diagram above.
  enum class State : std::uint8_t { kPending, kEstablished, kHalfClosed, kClosing };

  // Called by SessionTable only. `handler` must outlive the session.
  Session(SlotId slot, TimerQueue& timers, SessionTimeoutHandler& handler, std::string_view client_id)
      : id(slot),
        connection_id(client_id),
        timer(timers, [&handler, slot] { handler.OnSessionTimeout(slot); }) {}

  // The present state.
  State CurrentState() const { return state_; }
  // Whether the client still waits for the answer to its request.
  bool IsPending() const { return state_ == State::kPending; }
  // Whether both sides may send lines.
  bool IsEstablished() const { return state_ == State::kEstablished; }
  // Whether the endpoint may send lines: also to a client that has finished sending.
  bool IsOpen() const { return state_ == State::kEstablished || state_ == State::kHalfClosed; }
  // Whether the client asked to resume a connection at the endpoint that already has it.
  bool IsResumed() const { return !resume_endpoint.empty(); }

  // Whether the session is closing and waits for the rest of incomplete lines: only if MOVE follows.
  bool AwaitsLineEnds() const { return !closing.last_line.empty(); }

  // kPending -> kEstablished: the endpoint accepted the request at `now`.
  void Establish(Micros now) {
    assert(state_ == State::kPending);
    state_ = State::kEstablished;
    outcome = FleetClient::ConnectionOutcome::kServed;
    answered_at = now;
    timer.Cancel();
  }

  // kEstablished -> kHalfClosed: the client finished sending; the endpoint must send something or close by
  // `deadline`.
  void HalfClose(Micros deadline) {
    assert(state_ == State::kEstablished);
    state_ = State::kHalfClosed;
    timer.Set(deadline);
  }

  // kEstablished or kHalfClosed -> kClosing: the session ends as `end` says, by `deadline` at the latest.
  void BeginClosing(const SessionEnd& end, Micros deadline) {
    assert(state_ == State::kEstablished || state_ == State::kHalfClosed);
    state_ = State::kClosing;
    closing = end;
    closing_deadline = deadline;
    timer.Set(deadline);
  }
  // Records that `size` bytes were forwarded at `now`, in either direction.
  void RecordForwarded(std::size_t size, Micros now) {
    if (state_ != State::kClosing) return;
    closing_bytes += size;
    last_forwarded_at = now;
  }

  const SlotId id;
  const std::string connection_id;  // The connection id of the client's request.
  SlotId client;                    // The client's connection in Downstream.
  SlotId attempt;                   // The attempt in Upstream; unset while none is open.
  Timer timer;
  bool holds_id = false;      // The connection id is in SentRequestIds by this session's request.
  bool request_sent = false;  // The last byte of the request line was written to an endpoint.

  // The request. The views are valid while the session is pending.
  ConnectRequest request;
  std::string_view before_timeout, after_timeout;  // The request line before and after the timeout.
  std::string_view group;                          // The tenant that usage and quotas are charged to.
  std::string resume_endpoint;  // The id of the endpoint that already has the connection; empty: none.
  Micros resume_until{0};       // No resumption attempt is started from this time on.

  EndpointIndex endpoint = 0;       // The endpoint of the last attempt.
  std::uint32_t attempt_count = 0;  // Resumption attempts are not counted.

  // Used once the session is established.
  Micros unanswered_since{0};  // When the oldest unanswered line of the client was forwarded; 0: none.
  Micros answered_at{0};       // When the last answer reached the client, or the session was established.
  AttemptEnd announced_end = AttemptEnd::kBroken;  // The end that the endpoint's last line announced.
  bool client_is_within_line = false;  // The endpoint has been sent only a part of the client's last line.

  std::size_t unsent_to_endpoint = 0;  // In kHalfClosed: when its timer was set.

  // Used in kClosing.
  SessionEnd closing;
  Micros closing_deadline{0};
  std::size_t closing_bytes = 0;    // Forwarded in this state, in both directions.
  Micros last_forwarded_at{0};      // Of these, the last; 0: none.
  bool is_forwarding_rest = false;  // Forwarder::ForwardRest is running for this session.
  // Whether the rest of an incomplete line is awaited, by direction.
  LineBoundary to_endpoint = LineBoundary::kNotAwaited, to_client = LineBoundary::kNotAwaited;

  UsageHandle usage;
  FleetClient::ConnectionHandle fleet_connection;
  // The outcome that is counted if the session ends now.
  FleetClient::ConnectionOutcome outcome = FleetClient::ConnectionOutcome::kFailed;

 private:
  State state_ = State::kPending;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_H_
