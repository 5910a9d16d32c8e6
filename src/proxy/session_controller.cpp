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

// A client's timeout counts from its sending: its request line took a while to arrive, and the answer takes
// as long to get there.
constexpr Micros kTransit = milliseconds(4);
// After one side has ended, the other has a second to end likewise.
constexpr Micros kHalfClosedTimeout = milliseconds(800);
// When units of a quota become free is not known: soon, as other connections end.
constexpr Micros kQuotaRetryAfter = std::chrono::seconds(1);

constexpr std::string_view kErrorLine = "ERR\r\n", kMoveLine = "MOVE\r\n";

}  // namespace

// ---- clients and their requests ----

std::size_t SessionController::ClassIndex(std::string_view name) const {
  const auto& names = parts_.site.class_names;
  return static_cast<std::size_t>(std::find(names.begin(), names.end(), name) - names.begin());
}

ClassCounters* SessionController::CountersOfClass(std::size_t class_index) {
  auto& classes = parts_.counters.classes;
  return class_index < classes.size() ? &classes[class_index] : nullptr;
}

std::optional<OpenRequestError> SessionController::Validate(const OpenRequest& request) {
  ClassCounters* counters = CountersOfClass(ClassIndex(request.class_name));
  if (counters == nullptr) return OpenRequestError::kUnknownClass;
  // Ids are new for every connection. Endpoints could not tell two open connections with one id apart.
  if (parts_.sessions.HasConnectionId(request.id)) {
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
  parts_.fleet.CountRejected(class_index, request.tenant);
}

Session& SessionController::AddSession(SlotId client, const OpenRequest& request) {
  Session& session = parts_.sessions.Add(request.id, *this);
  session.client = client;
  session.before_timeout = request.before_timeout;
  session.after_timeout = request.after_timeout;
  session.group = request.tenant;
  session.request.class_index = ClassIndex(request.class_name);
  const Micros timeout = Micros(milliseconds(request.timeout_ms)) - kTransit;
  session.request.deadline = Now() + std::max(Micros(0), timeout);
  session.request.load = request.load;
  session.request.is_reconnect = request.is_reconnect;
  if (parts_.site.affinity_by_group && !request.affinity_group.empty()) {
    session.request.affinity_group = HashName(request.affinity_group);
  }
  return session;
}

SlotId SessionController::OnOpen(SlotId client, const OpenRequest& request) {
  Session& session = AddSession(client, request);
  const SlotId session_id = session.id;
  parts_.fleet.BeginConnection(session);
  const bool within_quota = parts_.fleet.TryReserveQuota(session);
  if (!request.resume_endpoint.empty()) {
    // A quota limits new connections, not those that were open before this process started.
    ++parts_.counters.resumed;
    parts_.resumption.Begin(session, request.resume_endpoint);
    return session_id;
  }
  ++parts_.counters.connect_requests;
  if (within_quota) {
    parts_.balancer.HandleEvent(ToRequestArrived(session_id, session.request));
  } else {
    Reject(session_id, std::min(kQuotaRetryAfter, parts_.site.balancer.max_retry_after));
  }
  return session_id;
}

void SessionController::OnClientBytes(SlotId session_id) {
  Session* session = parts_.sessions.Find(session_id);
  // What a client sends before its answer waits in its bounded buffer.
  if (session != nullptr && !session->IsPending()) parts_.forwarder.ForwardToEndpoint(*session);
}

void SessionController::OnClientWritable(SlotId session_id) { parts_.forwarder.OnClientWritable(session_id); }

void SessionController::OnClientEnd(SlotId session_id, ConnectionEnd end) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr || session->CurrentState() == Session::State::kHalfClosed) return;
  ++parts_.counters.client_disconnects;
  if (session->IsPending()) {
    EndPending(*session, end);
    return;
  }
  parts_.forwarder.ForwardToEndpoint(*session);
  if (end == ConnectionEnd::kReset) {
    ResetEstablished(*session);
    return;
  }
  if (TcpConnection* attempt = parts_.upstream.Find(session->attempt)) attempt->Finish();
  parts_.sessions.EndUsage(*session);  // The client is done, whatever its endpoint may still send.
  session->HalfClose(Now() + kHalfClosedTimeout);
  parts_.balancer.HandleEvent(ToClientDisconnected(session_id));
}

void SessionController::EndPending(Session& session, ConnectionEnd end) {
  const SlotId session_id = session.id;
  const bool had_attempt = static_cast<bool>(session.attempt);
  const bool resumed = session.IsResumed();
  const EndpointIndex endpoint = session.endpoint;
  parts_.upstream.Close(std::exchange(session.attempt, {}));
  // A client that has only ended its sending may still wait for its answer.
  if (end == ConnectionEnd::kFinished) {
    parts_.downstream.End(session.client, kErrorLine);
  } else {
    parts_.downstream.Reset(session.client);
  }
  parts_.sessions.Erase(session);
  if (resumed) return;  // The balancer doesn't know of it.
  parts_.balancer.HandleEvent(ToClientDisconnected(session_id));
  if (had_attempt) {
    parts_.balancer.HandleEvent(
        ToAttemptEnded(session_id, endpoint, AttemptEnd::kAbandoned, RequestState::kFinished, {}));
  }
}

void SessionController::ResetEstablished(Session& session) {
  const SlotId session_id = session.id;
  parts_.upstream.Reset(session.attempt);
  parts_.downstream.Reset(session.client);
  parts_.balancer.HandleEvent(ToClientDisconnected(session_id));
  if (Session* remaining = parts_.sessions.Find(session_id)) {
    EndEstablished(*remaining, AttemptEnd::kAbandoned, {});
  }
}

// ---- the balancer's actions ----

void SessionController::OpenAttempt(SlotId session_id, EndpointIndex endpoint, Micros timeout) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr || !session->IsPending() || session->attempt) {
    parts_.balancer.HandleEvent(
        ToAttemptEnded(session_id, endpoint, AttemptEnd::kNotConnected, RequestState::kFinished, {}));
    return;
  }
  if (const auto refusal = parts_.fleet.TryAcquireAttempt(*session, endpoint)) {
    ++parts_.counters.attempts_denied_by_quota;
    parts_.balancer.HandleEvent(ToAttemptEnded(session_id, endpoint, *refusal, RequestState::kOpen, {}));
    return;
  }
  session->endpoint = endpoint;
  ++session->attempt_count;
  const AttemptRequest request{session->before_timeout, session->after_timeout, true,
                               std::min(timeout, session->request.deadline - Now())};
  session->attempt = parts_.upstream.Open(session_id, endpoint, request);
  LogLine(Level::kDebug, "attempt")
      .Field("number", session->attempt_count)
      .Field("session", session_id.ToUint64())
      .Field("endpoint", parts_.upstream.Endpoints().IdOf(endpoint));
}

void SessionController::CancelAttempt(SlotId session_id, std::uint32_t attempt_number) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr || !session->IsPending() || !session->attempt ||
      attempt_number + 1 != session->attempt_count) {
    return;
  }
  parts_.upstream.Close(std::exchange(session->attempt, {}));
  parts_.balancer.HandleEvent(
      ToAttemptEnded(session_id, session->endpoint, AttemptEnd::kAbandoned, RequestState::kOpen, {}));
}

void SessionController::Reject(SlotId session_id, Micros retry_after) {
  ++parts_.counters.rejected;
  std::string line = "BUSY";
  if (retry_after.count() > 0) line += ' ' + std::to_string((retry_after.count() + 999) / 1000);
  LogLine(Level::kDebug, "reject").Field("session", session_id.ToUint64()).Field("line", line);
  Answer(session_id, line + "\r\n", FleetClient::ConnectionOutcome::kRejected);
}

void SessionController::Fail(SlotId session_id) {
  ++parts_.counters.failed;
  Answer(session_id, kErrorLine, FleetClient::ConnectionOutcome::kFailed);
}

void SessionController::Answer(SlotId session_id, std::string_view line,
                               FleetClient::ConnectionOutcome outcome) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr || !session->IsPending()) return;
  if (session->attempt) {
    parts_.upstream.Close(std::exchange(session->attempt, {}));
    parts_.balancer.HandleEvent(
        ToAttemptEnded(session_id, session->endpoint, AttemptEnd::kAbandoned, RequestState::kFinished, {}));
    session = parts_.sessions.Find(session_id);
    if (session == nullptr) return;
  }
  if (ClassCounters* counters = CountersOfClass(session->request.class_index)) {
    ++(outcome == FleetClient::ConnectionOutcome::kRejected ? counters->rejected : counters->aborted);
  }
  parts_.downstream.End(session->client, line);
  session->outcome = outcome;
  parts_.sessions.Erase(*session);
}

void SessionController::Migrate(SlotId session_id) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr || !session->IsEstablished()) return;
  ++parts_.counters.migrated;
  EndEstablished(*session, AttemptEnd::kAbandoned, kMoveLine);
}

void SessionController::MigrateIdle(std::size_t count) {
  if (count == 0) return;
  for (const std::uint64_t id : drain::SelectForMigration(parts_.sessions.MigrationCandidates(), count)) {
    Migrate(SlotId::FromUint64(id));
  }
}

void SessionController::Probe(EndpointIndex endpoint) {
  if (parts_.fleet.TryAcquireProbe()) {
    parts_.upstream.Probe(endpoint);
  } else {
    // An answer without a report: the balancer learns nothing, and may probe again.
    parts_.balancer.HandleEvent(ToProbeCompleted(endpoint, true, {}));
  }
}

void SessionController::WatchEndpoints() { parts_.discovery.Watch(); }

// ---- attempts and probes ----

// The client's end may still be unread in its socket, when the attempt connects in the same turn of the loop.
void SessionController::OnAttemptConnected(SlotId session_id) {
  const Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  if (TcpConnection* client = parts_.downstream.Find(session->client)) client->ReadNow();
}

void SessionController::OnAttemptSent(SlotId session_id) {
  const Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  if (ClassCounters* counters = CountersOfClass(session->request.class_index)) ++counters->forwards;
}

void SessionController::OnAttemptEstablished(SlotId session_id, std::string_view line) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  ++parts_.counters.established;
  if (ClassCounters* counters = CountersOfClass(session->request.class_index)) ++counters->succeeded;
  session->Establish(Now());
  parts_.fleet.OnAttemptEnded(session->endpoint, AttemptEnd::kServed);
  parts_.sessions.BeginUsage(*session);
  parts_.downstream.Establish(session->client, line);
  parts_.balancer.HandleEvent(session->IsResumed()
                                  ? ToConnectionResumed(session_id, session->request, session->endpoint)
                                  : ToAttemptEstablished(session_id, session->endpoint));
  session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  parts_.forwarder.ForwardToEndpoint(*session);
  parts_.forwarder.ForwardToClient(session_id, Forwarder::Extent::kCompleteLines);
}

void SessionController::OnAttemptEnded(SlotId session_id, AttemptEnd end, std::string_view line) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  session->attempt = {};
  const EndpointIndex endpoint = session->endpoint;
  LogLine(Level::kDebug, "attempt ended")
      .Field("number", session->attempt_count)
      .Field("session", session_id.ToUint64())
      .Field("endpoint", parts_.upstream.Endpoints().IdOf(endpoint))
      .Field("how", static_cast<int>(end));
  if (session->IsResumed()) {
    if (!parts_.resumption.RetryAfter(*session, end)) {
      Answer(session_id, kErrorLine, FleetClient::ConnectionOutcome::kFailed);
    }
    return;
  }
  parts_.fleet.OnAttemptEnded(endpoint, end);
  const bool finished = end == AttemptEnd::kServed;  // The endpoint's answer goes to the client as it is.
  if (finished) Answer(session_id, line, FleetClient::ConnectionOutcome::kFailed);
  const std::string_view report = SplitFirstWord(StripLineEnd(line)).rest;
  parts_.balancer.HandleEvent(ToAttemptEnded(
      session_id, endpoint, end, finished ? RequestState::kFinished : RequestState::kOpen, report));
}

void SessionController::OnAttemptBytes(SlotId session_id) {
  parts_.forwarder.ForwardToClient(session_id, Forwarder::Extent::kCompleteLines);
}

void SessionController::OnAttemptWritable(SlotId session_id) {
  parts_.forwarder.OnEndpointWritable(session_id);
}

void SessionController::OnAttemptFinished(SlotId session_id, ConnectionEnd end) {
  parts_.forwarder.ForwardToClient(session_id, Forwarder::Extent::kEverything);
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  AttemptEnd attempt_end = session->announced_end;
  if (attempt_end == AttemptEnd::kServed) ++parts_.counters.served;
  if (attempt_end == AttemptEnd::kMigrated) ++parts_.counters.migrated_by_endpoint;
  const bool client_left = session->CurrentState() == Session::State::kHalfClosed;
  if (attempt_end == AttemptEnd::kBroken && client_left) attempt_end = AttemptEnd::kAbandoned;
  if (attempt_end == AttemptEnd::kBroken) {
    ++parts_.counters.attempts_connection_lost;
    LogLine(Level::kDebug, "connection lost")
        .Field("endpoint", parts_.upstream.Endpoints().IdOf(session->endpoint));
    if (end == ConnectionEnd::kReset) parts_.downstream.Reset(session->client);
  }
  EndEstablished(*session, attempt_end, {});
}

void SessionController::OnProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report) {
  LogLine(Level::kDebug, "probe")
      .Field("endpoint", parts_.upstream.Endpoints().IdOf(endpoint))
      .Flag("ok", succeeded)
      .Field("report", report);
  parts_.balancer.HandleEvent(ToProbeCompleted(endpoint, succeeded, report));
}

// ---- ends ----

void SessionController::EndEstablished(Session& session, AttemptEnd end, std::string_view last_line) {
  const SlotId session_id = session.id;
  const EndpointIndex endpoint = session.endpoint;
  parts_.downstream.End(session.client, last_line);
  parts_.upstream.Close(session.attempt);
  parts_.sessions.Erase(session);
  parts_.balancer.HandleEvent(ToAttemptEnded(session_id, endpoint, end, RequestState::kFinished, {}));
}

void SessionController::OnSessionTimeout(SlotId session_id) {
  Session* session = parts_.sessions.Find(session_id);
  if (session == nullptr) return;
  switch (session->CurrentState()) {
    case Session::State::kPending:
      if (!parts_.resumption.RetryNow(*session)) {
        Answer(session_id, kErrorLine, FleetClient::ConnectionOutcome::kFailed);
      }
      return;
    case Session::State::kHalfClosed:
      EndEstablished(*session, AttemptEnd::kAbandoned, {});
      return;
    case Session::State::kEstablished:
      // A machine that vanished sends nothing, and its connections would stay open for ever.
      ++parts_.counters.silent_endpoints;
      LogLine(Level::kInfo, "endpoint silent, client migrated")
          .Field("endpoint", parts_.upstream.Endpoints().IdOf(session->endpoint));
      EndEstablished(*session, AttemptEnd::kBroken, kMoveLine);
      return;
  }
}

}  // namespace stoatrun
