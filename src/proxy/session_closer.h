// Ends sessions past their first answer: forwards what either side has sent before, then closes both
// connections.
//
// Used by the event loop's thread only.
#ifndef STOATRUN_PROXY_SESSION_CLOSER_H_
#define STOATRUN_PROXY_SESSION_CLOSER_H_

#include "base/event_loop.h"
#include "base/slot_map.h"
#include "proxy/balancer_driver.h"
#include "proxy/downstream.h"
#include "proxy/forwarder.h"
#include "proxy/session.h"
#include "proxy/session_table.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Any method may erase any session, see session_table.h.
class SessionCloser {
 public:
  // All references must outlive the object.
  SessionCloser(EventLoop& loop, SessionTable& sessions, Downstream& downstream, Upstream& upstream,
                BalancerDriver& balancer, Forwarder& forwarder);

  // Ends an open session as `end` says: at once, unless a side does not take what the other one has sent, or
  // has sent only a part of a line. The session is kClosing meanwhile, for a limited time.
  void Close(Session& session, const SessionEnd& end);
  // Goes on with a closing session after an event of one of its connections. No effect on other sessions.
  void Continue(SlotId session_id);
  // Ends a session at once, without forwarding anything more.
  void Finish(Session& session, const SessionEnd& end);
  // The timer of a half-closed session has expired: migrates the client, unless one side still takes what it
  // is sent.
  void OnHalfClosedTimeout(Session& session);
  // For the end of a graceful shutdown: ends all closing sessions at once, and migrates those that are
  // half-closed.
  void FinishAll();
  // Whether a connection of an ended session still holds data for its endpoint.
  bool HasUnsentOutput() { return upstream_.HasUnsentOutput(); }

 private:
  EventLoop& loop_;
  SessionTable& sessions_;
  Downstream& downstream_;
  Upstream& upstream_;
  BalancerDriver& balancer_;
  Forwarder& forwarder_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_CLOSER_H_
