#include "proxy/session_resumption.h"

#include <chrono>

namespace stoatrun {
namespace {

constexpr Micros kResumeFor = std::chrono::seconds(35);  // Clients give up after 40 s.
// Between two attempts, or two looks for an endpoint that is not listed yet: it often is within that time.
constexpr Micros kRetryInterval = std::chrono::milliseconds(250);
constexpr Micros kAttemptTimeout = std::chrono::seconds(10);  // The endpoint may be slow, and three fit in.

}  // namespace

void SessionResumption::Begin(Session& session, std::string_view endpoint) {
  session.resume_endpoint = endpoint;
  session.resume_until = loop_.Now() + kResumeFor;
  Try(session);
}

bool SessionResumption::RetryAfter(Session& session, AttemptEnd end) {
  if (end == AttemptEnd::kError || loop_.Now() >= session.resume_until) return false;
  session.timer.Set(loop_.Now() + kRetryInterval);
  return true;
}

bool SessionResumption::RetryNow(Session& session) {
  if (loop_.Now() >= session.resume_until) return false;
  Try(session);
  return true;
}

void SessionResumption::Try(Session& session) {
  const auto endpoint = upstream_.Endpoints().Find(session.resume_endpoint);
  if (!endpoint) {
    session.timer.Set(loop_.Now() + kRetryInterval);
    return;
  }
  session.endpoint = *endpoint;
  const bool sends_timeout = !session.after_timeout.empty() || session.request.deadline > loop_.Now();
  const AttemptRequest request{session.before_timeout, session.after_timeout, sends_timeout, kAttemptTimeout};
  session.attempt = upstream_.Open(session.id, *endpoint, request);
}

}  // namespace stoatrun
