// Resumption of connections that were open before this process started. The endpoint that holds such a
// connection is fixed, so the balancer is not involved, and it may not be in the endpoint list yet.
#ifndef STOATRUN_PROXY_SESSION_RESUMPTION_H_
#define STOATRUN_PROXY_SESSION_RESUMPTION_H_

#include <string_view>

#include "base/event_loop.h"
#include "proxy/session.h"
#include "proxy/upstream.h"

namespace stoatrun {

// Makes attempts to resume pending sessions at a fixed interval. Used by the event loop's thread only.
class SessionResumption {
 public:
  // All references must outlive the object.
  SessionResumption(EventLoop& loop, Upstream& upstream) : loop_(loop), upstream_(upstream) {}

  // Starts to resume `session` at the endpoint with the id `endpoint`.
  void Begin(Session& session, std::string_view endpoint);
  // Schedules another attempt after one that ended with `end`. Returns false if the request has failed: the
  // endpoint answered with an error, or the resumption window is over.
  bool ScheduleRetry(Session& session, AttemptEnd end);
  // Makes the scheduled attempt when the session's timer has expired. Returns false if the request has failed
  // because the resumption window is over.
  bool RetryNow(Session& session);

 private:
  // Opens an attempt, or schedules the next lookup if the endpoint is not listed.
  void StartAttempt(Session& session);

  EventLoop& loop_;
  Upstream& upstream_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_SESSION_RESUMPTION_H_
