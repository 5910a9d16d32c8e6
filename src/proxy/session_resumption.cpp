#include "proxy/session_resumption.h"

#include <chrono>

namespace stoatrun {
namespace {

// Ends before clients give up, which they do after 40 s.
constexpr Micros kResumptionWindow = std::chrono::seconds(35);
// The interval between attempts, and between lookups of an endpoint that is not listed yet: endpoints are
// often listed within this time.
constexpr Micros kRetryInterval = std::chrono::milliseconds(250);
// Tolerates a slow endpoint, and leaves time for three attempts within the window.
constexpr Micros kAttemptTimeout = std::chrono::seconds(10);

}  // namespace

void SessionResumption::Begin(Session& session, std::string_view endpoint) {
  session.resume_endpoint = endpoint;
  session.resume_until = loop_.Now() + kResumptionWindow;
  StartAttempt(session);
}

bool SessionResumption::ScheduleRetry(Session& session, AttemptEnd end) {
  if (end == AttemptEnd::kError || loop_.Now() >= session.resume_until) return false;
  session.timer.Set(loop_.Now() + kRetryInterval);
  return true;
}

bool SessionResumption::RetryNow(Session& session) {
  if (loop_.Now() >= session.resume_until) return false;
  StartAttempt(session);
  return true;
}

void SessionResumption::StartAttempt(Session& session) {
  const auto endpoint = upstream_.Endpoints().Find(session.resume_endpoint);
  if (!endpoint) {
    session.timer.Set(loop_.Now() + kRetryInterval);
    return;
  }
  session.endpoint = *endpoint;
  const bool sends_timeout = !session.after_timeout.empty() || session.request.deadline > loop_.Now();
  AttemptRequest request{session.before_timeout, session.after_timeout, sends_timeout, kAttemptTimeout};
  request.may_be_draining = true;  // The endpoint holds the connection already.
  session.attempt = upstream_.Open(session.id, *endpoint, request);
}

}  // namespace stoatrun
