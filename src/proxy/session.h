// A session: one client's request for a connection and, once an endpoint has accepted it, the connection
// itself.
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
#include "proxy/endpoint_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Called when a session's timer expires.
class SessionTimeoutHandler {
 public:
  virtual ~SessionTimeoutHandler() = default;
  // The timer of this session has expired.
  virtual void OnSessionTimeout(SlotId session) = 0;
};

// The states of a session and all transitions between them:
//
//   kPending ------> kEstablished ------> kHalfClosed
//       |  Establish      |    HalfClose       |
//       +-----------------+--------------------+----> erased (SessionTable::Erase)
//
// kPending: the client waits for the answer to its request; attempts are made one after the other.
// kEstablished: an endpoint has accepted the request, and bytes are forwarded both ways.
// kHalfClosed: the client has ended its sending; the endpoint's last bytes are still forwarded.
//
// The timer's meaning depends on the state. kPending: the next attempt to resume. kEstablished: the endpoint
// must answer by then. kHalfClosed: the endpoint must end by then.
class Session {
 public:
  // See above.
  enum class State : std::uint8_t { kPending, kEstablished, kHalfClosed };

  // Made by SessionTable only. `handler` must outlive the session.
  Session(SlotId slot, TimerQueue& timers, SessionTimeoutHandler& handler, std::string_view client_id)
      : id(slot),
        connection_id(client_id),
        timer(timers, [&handler, slot] { handler.OnSessionTimeout(slot); }) {}

  // The state; two of the values have a question of their own.
  State CurrentState() const { return state_; }
  // Whether the client still waits for its answer.
  bool IsPending() const { return state_ == State::kPending; }
  // Whether both sides may send.
  bool IsEstablished() const { return state_ == State::kEstablished; }
  // Whether the client asked for the endpoint that already has its connection.
  bool IsResumed() const { return !resume_endpoint.empty(); }

  // kPending -> kEstablished: the endpoint accepted the request at `now`.
  void Establish(Micros now) {
    assert(state_ == State::kPending);
    state_ = State::kEstablished;
    outcome = FleetClient::ConnectionOutcome::kServed;
    answered_at = now;
    timer.Cancel();
  }

  // kEstablished -> kHalfClosed: the client ended its sending; the endpoint has until `deadline`.
  void HalfClose(Micros deadline) {
    assert(state_ == State::kEstablished);
    state_ = State::kHalfClosed;
    timer.Set(deadline);
  }

  const SlotId id;
  const std::string connection_id;  // As the client named its connection.
  SlotId client;                    // In Downstream.
  SlotId attempt;                   // In Upstream; none while no attempt is open.
  Timer timer;

  // The request. The views are valid while the session is pending.
  ConnectRequest request;
  std::string_view before_timeout, after_timeout;  // The request line around its timeout.
  std::string_view group;                          // The tenant to which usage and quotas are booked.
  std::string resume_endpoint;  // The id of the endpoint that already has the connection; empty: none.
  Micros resume_until{0};       // When attempts to resume end.

  EndpointIndex endpoint = 0;       // Of the last attempt.
  std::uint32_t attempt_count = 0;  // Those to resume are not counted.

  // Of an established session.
  Micros unanswered_since{0};  // When the oldest unanswered line of the client was forwarded; 0: none.
  Micros answered_at{0};       // When the last answer reached the client, or the session was established.
  AttemptEnd announced_end = AttemptEnd::kBroken;  // What the endpoint's last line said of its end.

  UsageHandle usage;
  FleetClient::ConnectionHandle fleet_connection;
  // As it would be counted if the session ended now.
  FleetClient::ConnectionOutcome outcome = FleetClient::ConnectionOutcome::kFailed;

 private:
  State state_ = State::kPending;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_H_
