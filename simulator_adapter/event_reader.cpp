#include "simulator_adapter/event_reader.h"

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <string>

namespace stoatrun {
namespace {

using balancer::EndpointId;
using balancer::EndpointState;
using balancer::EndpointUpdate;
using balancer::Event;
using balancer::LoadReport;
using balancer::Micros;
using balancer::Outcome;
using balancer::RequestId;
using ReportFields = std::vector<ReportField>;

// The kinds of Notice that the balancer handles; others are ignored.
constexpr std::uint64_t kNoticeLoad = 1;
constexpr std::uint64_t kNoticeMessageLatency = 2;
constexpr double kMicrosPerMilli = 1000.0;

std::optional<LoadReport> ReadReport(MessageReader& message, const ReportFields& fields) {
  const json::element* values = message.Optional();
  const std::string path = message.FieldPath("feedback");
  if (values == nullptr) return std::nullopt;
  LoadReport report;
  std::size_t index = 0;
  for (const json::element value : json::AsArray(*values, path)) {
    const ReportField field = index < fields.size() ? fields[index] : ReportField::kOther;
    ++index;
    if (json::IsNull(value)) continue;
    SetField(report, field, json::AsNumber(value, path));
  }
  return report;
}

Outcome ParseOutcome(std::string_view ending) {
  struct OutcomeName {
    std::string_view ending;
    Outcome outcome;
  };
  static constexpr std::array<OutcomeName, 8> kOutcomes{{{"pass", Outcome::kServed},
                                                         {"fault", Outcome::kError},
                                                         {"no_room", Outcome::kRejected},
                                                         {"too_slow", Outcome::kTimedOut},
                                                         {"no_route", Outcome::kNotConnected},
                                                         {"cut", Outcome::kConnectionLost},
                                                         {"undone", Outcome::kCancelled},
                                                         {"stale_send", Outcome::kNotSent}}};
  for (const OutcomeName& name : kOutcomes) {
    if (name.ending == ending) return name.outcome;
  }
  return Outcome::kUnknown;  // The endpoint may have executed the request.
}

balancer::Endpoint ReadEndpoint(MessageReader& row) {
  static constexpr std::array kStates{EndpointState::kDraining, EndpointState::kReady,
                                      EndpointState::kRemoved};
  balancer::Endpoint endpoint;
  endpoint.id = EndpointId(row.Unsigned("server"));
  endpoint.zone = balancer::ZoneId(static_cast<std::uint32_t>(row.UnsignedOr("failureDomain", 0)));
  row.Optional();  // Skips the machine type, which is not used.
  endpoint.cell = balancer::CellId(row.UnsignedOr("bay", 0));
  const std::uint64_t state = row.Unsigned("stageState");
  if (state >= kStates.size()) json::Fail(row.FieldPath("stageState"), "expected 0 to 2");
  endpoint.state = kStates[state];
  if (const json::element* size = row.Optional()) {
    endpoint.size = json::AsNumber(*size, row.FieldPath("size"));
  }
  if (const json::element* started = row.Optional()) {
    endpoint.started_at = Micros(json::AsSigned(*started, row.FieldPath("startedAt")));
  }
  endpoint.name_hash = static_cast<std::uint64_t>(endpoint.id);
  return endpoint;
}

EndpointUpdate ReadEndpointUpdate(MessageReader& message) {
  static constexpr std::array kKinds{EndpointUpdate::Kind::kChanges, EndpointUpdate::Kind::kFull,
                                     EndpointUpdate::Kind::kCached, EndpointUpdate::Kind::kFailed};
  EndpointUpdate update;
  const std::uint64_t kind = message.Unsigned("form");
  if (kind >= kKinds.size()) json::Fail(message.FieldPath("form"), "expected 0 to 3");
  update.kind = kKinds[kind];
  message.UnsignedOr("generation", 0);
  const json::element* rows = message.Optional();
  if (rows == nullptr) {
    if (update.kind != EndpointUpdate::Kind::kFailed) json::Fail(message.FieldPath("rows"), "missing");
    return update;
  }
  for (const json::element value : json::AsArray(*rows, message.FieldPath("rows"))) {
    MessageReader row(value, message.FieldPath("rows"));
    update.entries.push_back(ReadEndpoint(row));
  }
  return update;
}

balancer::RequestArrived ReadRequest(MessageReader& message) {
  balancer::RequestArrived request;
  request.id = RequestId(message.Unsigned("xid"));
  request.class_id = balancer::ClassId(static_cast<std::uint32_t>(message.Unsigned("category")));
  message.UnsignedOr("owner", 0);
  if (const json::element* key = message.Optional()) json::AsText(*key, message.FieldPath("entity"));
  request.deadline = Micros(message.Signed("deadline"));
  if (const json::element* hint = message.Optional()) {
    request.load_hint = json::AsNumber(*hint, message.FieldPath("expected"));
  }
  if (const json::element* group = message.Optional()) {
    request.affinity_group = HashName(json::AsText(*group, message.FieldPath("group")));
  }
  message.BoolOr("againByClient", false);
  message.BoolOr("stray", false);
  request.is_reconnect = message.BoolOr("cameBack", false);
  return request;
}

balancer::ConnectionResumed ReadConnectionResumed(MessageReader& message) {
  balancer::ConnectionResumed resumed;
  resumed.request = ReadRequest(message);
  resumed.endpoint = EndpointId(message.Unsigned("server"));
  return resumed;
}

balancer::AttemptEstablished ReadAttemptEstablished(MessageReader& message) {
  balancer::AttemptEstablished established;
  established.id = RequestId(message.Unsigned("xid"));
  established.endpoint = EndpointId(message.Unsigned("server"));
  return established;
}

balancer::AttemptEnded ReadAttemptEnded(MessageReader& message, const ReportFields& fields) {
  balancer::AttemptEnded ended;
  ended.id = RequestId(message.Unsigned("xid"));
  message.UnsignedOr("timeTaken", 0);
  ended.outcome = ParseOutcome(message.Text("ending"));
  ended.request_finished = message.Bool("closed");
  message.UnsignedOr("copy", 0);
  ended.endpoint = EndpointId(message.Unsigned("server"));
  ended.report = ReadReport(message, fields);
  return ended;
}

std::optional<Event> ReadNotice(MessageReader& message) {
  const auto request = RequestId(message.Unsigned("xid"));
  message.UnsignedOr("copy", 0);
  const auto endpoint = EndpointId(message.Unsigned("server"));
  const std::uint64_t kind = message.Unsigned("what");
  const double value = message.Number("x");
  if (kind == kNoticeLoad) return balancer::LoadReported{request, value};
  if (kind == kNoticeMessageLatency) {
    return balancer::MessageLatencyReported{endpoint, Micros(std::llround(value * kMicrosPerMilli))};
  }
  return std::nullopt;
}

balancer::ProbeCompleted ReadProbeCompleted(MessageReader& message, const ReportFields& fields) {
  balancer::ProbeCompleted completed;
  completed.endpoint = EndpointId(message.Unsigned("server"));
  message.UnsignedOr("timeTaken", 0);
  completed.ok = message.Text("ending") == "pass";
  completed.report = ReadReport(message, fields);
  return completed;
}

}  // namespace

std::optional<Event> ReadEvent(std::string_view type, MessageReader& message,
                               const ReportFields& report_fields) {
  if (type == "Members") return ReadEndpointUpdate(message);
  if (type == "Incoming") return ReadRequest(message);
  if (type == "Resumed") return ReadConnectionResumed(message);
  if (type == "FirstByte") return ReadAttemptEstablished(message);
  if (type == "Result") return ReadAttemptEnded(message, report_fields);
  if (type == "Notice") return ReadNotice(message);
  if (type == "ProbeDone") return ReadProbeCompleted(message, report_fields);
  if (type == "Gone") return balancer::ClientDisconnected{RequestId(message.Unsigned("xid"))};
  if (type == "Due") {
    message.Unsigned("nonce");
    return balancer::TimerFired{};
  }
  if (type == "PeerData") return std::nullopt;  // Instances exchange no data.
  json::Fail(message.FieldPath("type"), "unknown message");
}

}  // namespace stoatrun
