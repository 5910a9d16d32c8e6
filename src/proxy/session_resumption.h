// Resumption of connections that were open before this process started. Such a connection belongs to its
// endpoint: the balancer has nothing to decide, and the endpoint may not be listed yet.
#ifndef STOATRUN_PROXY_SESSION_RESUMPTION_H_
#define STOATRUN_PROXY_SESSION_RESUMPTION_H_

#include <string_view>

#include "base/event_loop.h"
#include "proxy/session.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Makes the attempts to resume pending sessions, with pauses between them. Used by the event loop's thread
// only.
class SessionResumption {
 public:
  // All references must outlive the object.
  SessionResumption(EventLoop& loop, Upstream& upstream) : loop_(loop), upstream_(upstream) {}

  // Begins to resume `session` at the endpoint with the id `endpoint`.
  void Begin(Session& session, std::string_view endpoint);
  // The session's attempt ended so. True: another attempt is made later; false: the request has failed.
  bool RetryAfter(Session& session, AttemptEnd end);
  // The session's timer expired. False: the request has failed.
  bool RetryNow(Session& session);

 private:
  void Try(Session& session);

  EventLoop& loop_;
  Upstream& upstream_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_RESUMPTION_H_
