#include "proxy/session_controller.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "base/log.h"
#include "proxy/balancer_mapping.h"
#include "proxy/drain_schedule.h"
#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

using std::chrono::milliseconds;

// A client's timeout starts when it sends its request line. This allowance covers the transit of the line and
// of the answer.
constexpr Micros kTransitAllowance = milliseconds(4);
// It is not known when quota becomes available, but it is likely to be soon, as other connections end.
constexpr Micros kQuotaRetryAfter = std::chrono::seconds(1);

constexpr std::string_view kErrorLine = "ERR\r\n";

}  // namespace

// ---- client requests ----

std::size_t SessionController::ClassIndex(std::string_view name) const {
  const auto& names = deps_.site.class_names;
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

ClassCounters* SessionController::CountersOfClass(std::size_t class_index) {
  auto& classes = deps_.counters.classes;
  return class_index < classes.size() ? &classes[class_index] : nullptr;
}

std::optional<OpenRequestError> SessionController::Validate(const OpenRequest& request) {
  ClassCounters* counters = CountersOfClass(ClassIndex(request.class_name));
  if (counters == nullptr) return OpenRequestError::kUnknownClass;
  // Clients use a new id for every connection. Endpoints could not distinguish two open connections with the
  // same id, and a request that comes again after its client has left would run twice.
  if (deps_.sessions.HasConnectionId(request.id)) {
    ++counters->aborted;
    return OpenRequestError::kDuplicateId;
  }
  return std::nullopt;
}

void SessionController::OnRejectedForCapacity(const OpenRequest& request) {
  const std::size_t class_index = ClassIndex(request.class_name);
  ClassCounters* counters = CountersOfClass(class_index);
  if (counters == nullptr) return;
  ++counters->rejected;
  deps_.fleet.CountRejected(class_index, request.tenant);
}

Session& SessionController::AddSession(SlotId client, const OpenRequest& request) {
  Session& session = deps_.sessions.Add(request.id, *this);
  session.client = client;
  session.before_timeout = request.before_timeout;
  session.after_timeout = request.after_timeout;
  session.group = request.tenant;
  session.request.class_index = ClassIndex(request.class_name);
  const Micros timeout = Micros(milliseconds(request.timeout_ms)) - kTransitAllowance;
  session.request.deadline = Now() + std::max(Micros(0), timeout);
  session.request.load = request.load;
  session.request.is_reconnect = request.is_reconnect;
  if (deps_.site.affinity_by_group && !request.affinity_group.empty()) {
    session.request.affinity_group = HashName(request.affinity_group);
  }
  return session;
}

SlotId SessionController::OnOpen(SlotId client, const OpenRequest& request) {
  Session& session = AddSession(client, request);
  const SlotId session_id = session.id;
  deps_.fleet.BeginConnection(session);
  const bool within_quota = deps_.fleet.TryReserveQuota(session);
  if (!request.resume_endpoint.empty()) {
    // A quota limits new connections only; those that were open before this process started are exempt.
    ++deps_.counters.resumed;
    deps_.resumption.Begin(session, request.resume_endpoint);
    return session_id;
  }
  ++deps_.counters.connect_requests;
  if (within_quota) {
    deps_.balancer.HandleEvent(ToRequestArrived(session_id, session.request));
  } else {
    Reject(session_id, std::min(kQuotaRetryAfter, deps_.site.balancer.max_retry_after));
  }
  return session_id;
}

void SessionController::OnClientBytes(SlotId session_id) {
  Session* session = deps_.sessions.Find(session_id);
  // Bytes that a client sends before its request is answered stay in its bounded input buffer.
  if (session != nullptr && !session->IsPending()) deps_.forwarder.ForwardToEndpoint(*session);
  deps_.closer.Continue(session_id);
}

void SessionController::OnClientWritable(SlotId session_id) {
  deps_.forwarder.OnClientWritable(session_id);
  deps_.closer.Continue(session_id);
}

void SessionController::OnClientEnd(SlotId session_id, ConnectionEnd end) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  const bool is_first_end = session->IsPending() || session->IsEstablished();
  if (is_first_end) ++deps_.counters.client_disconnects;
  if (session->IsPending()) {
    EndPending(*session, end);
    return;
  }
  deps_.forwarder.ForwardToEndpoint(*session);
  if (end == ConnectionEnd::kReset) {
    ResetEstablished(*session);
    return;
  }
  if (!is_first_end) {
    deps_.closer.Continue(session_id);
    return;
  }
  if (TcpConnection* attempt = deps_.upstream.Find(session->attempt)) {
    attempt->Finish();
    session->unsent_to_endpoint = attempt->UnsentBytes();
  }
  deps_.sessions.EndUsage(*session);  // Usage ends with the client's FIN.
  session->HalfClose(Now() + Forwarder::kAnswerTimeout);
  deps_.balancer.HandleEvent(ToClientDisconnected(session_id));
}

void SessionController::EndPending(Session& session, ConnectionEnd end) {
  const SlotId session_id = session.id;
  const bool had_attempt = static_cast<bool>(session.attempt);
  const bool resumed = session.IsResumed();
  const EndpointIndex endpoint = session.endpoint;
  LogLine(Level::kDebug, "client left").Field("session", session_id.ToUint64()).Flag("attempt", had_attempt);
  deps_.upstream.Close(std::exchange(session.attempt, {}));
  // A client that has only finished sending (FIN) may still read the answer.
  if (end == ConnectionEnd::kFinished) {
    deps_.downstream.End(session.client, kErrorLine);
  } else {
    deps_.downstream.Reset(session.client);
  }
  deps_.sessions.Erase(session);
  if (resumed) return;  // The balancer has not been told of it.
  deps_.balancer.HandleEvent(ToClientDisconnected(session_id));
  if (had_attempt) {
    deps_.balancer.HandleEvent(
        ToAttemptEnded(session_id, endpoint, AttemptEnd::kAbandoned, RequestState::kFinished, {}));
  }
}

void SessionController::ResetEstablished(Session& session) {
  const SlotId session_id = session.id;
  deps_.upstream.Reset(session.attempt);
  deps_.downstream.Reset(session.client);
  if (session.IsEstablished()) deps_.balancer.HandleEvent(ToClientDisconnected(session_id));
  if (Session* remaining = deps_.sessions.Find(session_id)) deps_.closer.Finish(*remaining, {});
}

// ---- the balancer's actions ----

void SessionController::OpenAttempt(SlotId session_id, EndpointIndex endpoint, const AttemptLimits& limits) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr || !session->IsPending() || session->attempt) {
    deps_.balancer.HandleEvent(
        ToAttemptEnded(session_id, endpoint, AttemptEnd::kNotConnected, RequestState::kFinished, {}));
    return;
  }
  if (deps_.discovery.IsListOverdue()) {
    ++deps_.counters.attempts_denied_by_overdue_list;
    deps_.balancer.HandleEvent(
        ToAttemptEnded(session_id, endpoint, AttemptEnd::kListOverdue, RequestState::kOpen, {}));
    return;
  }
  if (const auto refusal = deps_.fleet.TryAcquireAttempt(*session, endpoint)) {
    ++deps_.counters.attempts_denied_by_quota;
    deps_.balancer.HandleEvent(ToAttemptEnded(session_id, endpoint, *refusal, RequestState::kOpen, {}));
    return;
  }
  const Micros send_before = limits.send_before.value_or(Micros::max());
  if (deps_.loop.clock.Current() >= send_before) {
    ++deps_.counters.attempts_too_late;
    deps_.balancer.HandleEvent(
        ToAttemptEnded(session_id, endpoint, AttemptEnd::kTooLate, RequestState::kOpen, {}));
    return;
  }
  session->endpoint = endpoint;
  ++session->attempt_count;
  const AttemptRequest request{session->before_timeout, session->after_timeout, true,
                               std::min(limits.timeout, session->request.deadline - Now()), send_before};
  session->attempt = deps_.upstream.Open(session_id, endpoint, request);
  LogLine(Level::kDebug, "attempt")
      .Field("number", session->attempt_count)
      .Field("session", session_id.ToUint64())
      .Field("endpoint", deps_.upstream.Endpoints().IdOf(endpoint));
}

void SessionController::CancelAttempt(SlotId session_id, std::uint32_t attempt_number) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr || !session->IsPending() || !session->attempt ||
      attempt_number + 1 != session->attempt_count) {
    return;
  }
  deps_.upstream.Close(std::exchange(session->attempt, {}));
  deps_.balancer.HandleEvent(
      ToAttemptEnded(session_id, session->endpoint, AttemptEnd::kAbandoned, RequestState::kOpen, {}));
}

void SessionController::Reject(SlotId session_id, Micros retry_after) {
  ++deps_.counters.rejected;
  std::string line = "BUSY";
  if (retry_after.count() > 0) line += ' ' + std::to_string((retry_after.count() + 999) / 1000);
  LogLine(Level::kDebug, "reject").Field("session", session_id.ToUint64()).Field("line", line);
  Answer(session_id, line + "\r\n", FleetClient::ConnectionOutcome::kRejected);
}

void SessionController::Fail(SlotId session_id) {
  ++deps_.counters.failed;
  LogLine(Level::kDebug, "fail").Field("session", session_id.ToUint64());
  Answer(session_id, kErrorLine, FleetClient::ConnectionOutcome::kFailed);
}

void SessionController::Answer(SlotId session_id, std::string_view line,
                               FleetClient::ConnectionOutcome outcome) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr || !session->IsPending()) return;
  if (session->attempt) {
    deps_.upstream.Close(std::exchange(session->attempt, {}));
    deps_.balancer.HandleEvent(
        ToAttemptEnded(session_id, session->endpoint, AttemptEnd::kAbandoned, RequestState::kFinished, {}));
    session = deps_.sessions.Find(session_id);
    if (session == nullptr) return;
  }
  if (ClassCounters* counters = CountersOfClass(session->request.class_index)) {
    ++(outcome == FleetClient::ConnectionOutcome::kRejected ? counters->rejected : counters->aborted);
  }
  deps_.downstream.End(session->client, line);
  session->outcome = outcome;
  deps_.sessions.Erase(*session);
}

void SessionController::Migrate(SlotId session_id) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr || !session->IsOpen()) return;
  ++deps_.counters.migrated;
  deps_.closer.Close(*session, kMigrationEnd);
}

void SessionController::MigrateIdle(std::size_t count) {
  if (count == 0) return;
  for (const std::uint64_t id : drain::SelectForMigration(deps_.sessions.MigrationCandidates(), count)) {
    Migrate(SlotId::FromUint64(id));
  }
}

void SessionController::Probe(EndpointIndex endpoint) {
  if (deps_.fleet.TryAcquireProbe()) {
    deps_.upstream.Probe(endpoint);
  } else {
    // Reports a successful probe without a load report: it changes nothing in the balancer, which may probe
    // again.
    deps_.balancer.HandleEvent(ToProbeCompleted(endpoint, true, {}));
  }
}

void SessionController::WatchEndpoints() { deps_.discovery.Watch(); }

// ---- attempts and probes ----

// The list may have become overdue since the decision, and the client's FIN or reset may still be unread if
// it arrived in the same turn of the event loop. Reading it now ends the attempt before anything more is
// written.
void SessionController::OnBeforeRequestWrite(SlotId session_id) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  if (!session->IsResumed() && deps_.discovery.IsListOverdue()) {
    ++deps_.counters.attempts_denied_by_overdue_list;
    deps_.upstream.Close(std::exchange(session->attempt, {}));
    deps_.balancer.HandleEvent(
        ToAttemptEnded(session_id, session->endpoint, AttemptEnd::kListOverdue, RequestState::kOpen, {}));
    return;
  }
  // All of it, as the end lies behind everything that the client has sent.
  if (TcpConnection* client = deps_.downstream.Find(session->client)) client->ReadUntilEmpty();
  session = deps_.sessions.Find(session_id);
  if (session == nullptr || deps_.sessions.ClaimConnectionId(*session)) return;
  LogLine(Level::kInfo, "request sent before, client rejected").Field("session", session_id.ToUint64());
  EndPending(*session, ConnectionEnd::kFinished);
}

void SessionController::OnAttemptSent(SlotId session_id) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  session->request_sent = true;
  if (ClassCounters* counters = CountersOfClass(session->request.class_index)) ++counters->forwards;
}

void SessionController::OnAttemptEstablished(SlotId session_id, std::string_view line) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  ++deps_.counters.established;
  if (ClassCounters* counters = CountersOfClass(session->request.class_index)) ++counters->succeeded;
  session->Establish(Now());
  deps_.fleet.OnAttemptEnded(session->endpoint, AttemptEnd::kServed);
  deps_.sessions.BeginUsage(*session);
  deps_.downstream.Establish(session->client, line);
  deps_.balancer.HandleEvent(session->IsResumed()
                                 ? ToConnectionResumed(session_id, session->request, session->endpoint)
                                 : ToAttemptEstablished(session_id, session->endpoint));
  session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  deps_.forwarder.ForwardToEndpoint(*session);
  deps_.forwarder.ForwardToClient(session_id, Forwarder::Extent::kCompleteLines);
}

void SessionController::OnAttemptEnded(SlotId session_id, AttemptEnd end, std::string_view line) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  session->attempt = {};
  const EndpointIndex endpoint = session->endpoint;
  LogLine(Level::kDebug, "attempt ended")
      .Field("number", session->attempt_count)
      .Field("session", session_id.ToUint64())
      .Field("endpoint", deps_.upstream.Endpoints().IdOf(endpoint))
      .Field("how", static_cast<int>(end));
  if (session->IsResumed()) {
    if (!deps_.resumption.ScheduleRetry(*session, end)) {
      Answer(session_id, kErrorLine, FleetClient::ConnectionOutcome::kFailed);
    }
    return;
  }
  deps_.fleet.OnAttemptEnded(endpoint, end);
  const bool finished = end == AttemptEnd::kServed;  // The endpoint's answer is forwarded unchanged.
  if (finished) Answer(session_id, line, FleetClient::ConnectionOutcome::kFailed);
  const std::string_view report = SplitFirstWord(StripLineEnd(line)).rest;
  deps_.balancer.HandleEvent(ToAttemptEnded(
      session_id, endpoint, end, finished ? RequestState::kFinished : RequestState::kOpen, report));
}

void SessionController::OnAttemptBytes(SlotId session_id) {
  deps_.forwarder.ForwardToClient(session_id, Forwarder::Extent::kCompleteLines);
  deps_.closer.Continue(session_id);
}

void SessionController::OnAttemptWritable(SlotId session_id) {
  deps_.forwarder.OnEndpointWritable(session_id);
  deps_.closer.Continue(session_id);
}

void SessionController::OnAttemptFinished(SlotId session_id, ConnectionEnd end) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  // MOVE can't follow a part of a line.
  const bool will_migrate = session->AwaitsLineEnds();
  deps_.forwarder.ForwardToClient(
      session_id, will_migrate ? Forwarder::Extent::kCompleteLines : Forwarder::Extent::kEverything);
  session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  AttemptEnd attempt_end = session->announced_end;
  if (attempt_end == AttemptEnd::kServed) ++deps_.counters.served;
  if (attempt_end == AttemptEnd::kMigrated) ++deps_.counters.migrated_by_endpoint;
  if (session->CurrentState() == Session::State::kClosing) {
    // The endpoint has told the client of its end before the proxy could.
    if (attempt_end != AttemptEnd::kBroken) session->closing = {attempt_end, {}, EndMode::kFinish};
    deps_.closer.Continue(session_id);
    return;
  }
  const bool client_left = session->CurrentState() == Session::State::kHalfClosed;
  if (attempt_end == AttemptEnd::kBroken && client_left) attempt_end = AttemptEnd::kAbandoned;
  EndMode client_end = EndMode::kFinish;
  if (attempt_end == AttemptEnd::kBroken) {
    ++deps_.counters.attempts_connection_lost;
    LogLine(Level::kDebug, "connection lost")
        .Field("endpoint", deps_.upstream.Endpoints().IdOf(session->endpoint));
    if (end == ConnectionEnd::kReset) client_end = EndMode::kReset;
  }
  deps_.closer.Close(*session, {attempt_end, {}, client_end});
}

void SessionController::OnProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report) {
  LogLine(Level::kDebug, "probe")
      .Field("endpoint", deps_.upstream.Endpoints().IdOf(endpoint))
      .Flag("ok", succeeded)
      .Field("report", report);
  deps_.balancer.HandleEvent(ToProbeCompleted(endpoint, succeeded, report));
}

// ---- timeouts ----

void SessionController::OnSessionTimeout(SlotId session_id) {
  Session* session = deps_.sessions.Find(session_id);
  if (session == nullptr) return;
  switch (session->CurrentState()) {
    case Session::State::kPending:
      if (!deps_.resumption.RetryNow(*session)) {
        Answer(session_id, kErrorLine, FleetClient::ConnectionOutcome::kFailed);
      }
      return;
    case Session::State::kHalfClosed:
      deps_.closer.OnHalfClosedTimeout(*session);
      return;
    case Session::State::kClosing:
      deps_.closer.Continue(session_id);
      return;
    case Session::State::kEstablished:
      // The connections of a machine that has crashed or lost its network stay open without any event.
      ++deps_.counters.silent_endpoints;
      LogLine(Level::kInfo, "endpoint silent, client migrated")
          .Field("endpoint", deps_.upstream.Endpoints().IdOf(session->endpoint));
      deps_.closer.Close(*session, {AttemptEnd::kBroken, kMoveLine});
      return;
  }
}

}  // namespace stoatrun
