#include "proxy/balancer_mapping.h"

#include <algorithm>

#include "config/site_settings.h"
#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

balancer::RequestId ToRequestId(SlotId session) { return balancer::RequestId(session.ToUint64()); }
balancer::EndpointId ToEndpointId(EndpointIndex endpoint) { return balancer::EndpointId(endpoint); }

balancer::Outcome ToOutcome(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kServed:
      return balancer::Outcome::kServed;
    case AttemptEnd::kError:
      return balancer::Outcome::kError;
    case AttemptEnd::kRejected:
      return balancer::Outcome::kRejected;
    case AttemptEnd::kNotConnected:
      return balancer::Outcome::kNotConnected;
    case AttemptEnd::kBroken:
      return balancer::Outcome::kConnectionLost;
    case AttemptEnd::kTimedOut:
      return balancer::Outcome::kTimedOut;
    case AttemptEnd::kMigrated:
    case AttemptEnd::kAbandoned:
      return balancer::Outcome::kCancelled;
    case AttemptEnd::kQuotaExhausted:
    case AttemptEnd::kListOverdue:
    case AttemptEnd::kTooLate:
      return balancer::Outcome::kNotSent;
  }
  return balancer::Outcome::kUnknown;
}

// Returns nullopt if `text` contains no metrics.
std::optional<balancer::LoadReport> ToLoadReport(std::string_view text) {
  std::optional<balancer::LoadReport> report;
  ForEachMetric(text, [&](std::string_view name, double value) {
    if (!report) report.emplace();
    SetField(*report, ReportFieldOf(name), value);
  });
  return report;
}

balancer::RequestArrived MakeRequestArrived(SlotId session, const ConnectRequest& request) {
  balancer::RequestArrived event;
  event.id = ToRequestId(session);
  event.class_id = balancer::ClassId(static_cast<std::uint32_t>(request.class_index));
  event.deadline = request.deadline;
  event.load_hint = request.load;
  event.is_reconnect = request.is_reconnect;
  event.affinity_group = request.affinity_group;
  return event;
}

// Zones are only compared. One that the settings do not name is known by its hash, so that no list of them
// grows.
balancer::ZoneId ToZoneId(const std::string& locality, const std::vector<std::string>& zone_names) {
  const auto it = std::find(zone_names.begin(), zone_names.end(), locality);
  if (it != zone_names.end()) return balancer::ZoneId(static_cast<std::uint32_t>(it - zone_names.begin()));
  constexpr std::uint32_t kUnnamed = std::uint32_t{1} << 31U;
  return balancer::ZoneId(kUnnamed | static_cast<std::uint32_t>(HashName(locality)));
}

balancer::EndpointState ToEndpointState(EndpointState state) {
  switch (state) {
    case EndpointState::kReady:
      return balancer::EndpointState::kReady;
    case EndpointState::kDraining:
      return balancer::EndpointState::kDraining;
    case EndpointState::kGone:
      break;
  }
  return balancer::EndpointState::kRemoved;
}

balancer::EndpointUpdate::Kind ToUpdateKind(const EndpointUpdate& update, EndpointSource source) {
  if (source == EndpointSource::kCached) return balancer::EndpointUpdate::Kind::kCached;
  return update.complete ? balancer::EndpointUpdate::Kind::kFull : balancer::EndpointUpdate::Kind::kChanges;
}

}  // namespace

SlotId ToSessionId(balancer::RequestId id) { return SlotId::FromUint64(static_cast<std::uint64_t>(id)); }

EndpointIndex ToEndpointIndex(balancer::EndpointId id) { return static_cast<EndpointIndex>(id); }

balancer::Event ToRequestArrived(SlotId session, const ConnectRequest& request) {
  return MakeRequestArrived(session, request);
}

balancer::Event ToConnectionResumed(SlotId session, const ConnectRequest& request, EndpointIndex endpoint) {
  return balancer::ConnectionResumed{MakeRequestArrived(session, request), ToEndpointId(endpoint)};
}

balancer::Event ToAttemptEstablished(SlotId session, EndpointIndex endpoint) {
  return balancer::AttemptEstablished{ToRequestId(session), ToEndpointId(endpoint)};
}

balancer::Event ToAttemptEnded(SlotId session, EndpointIndex endpoint, AttemptEnd end, RequestState state,
                               std::string_view report) {
  return balancer::AttemptEnded{ToRequestId(session), ToEndpointId(endpoint), ToOutcome(end),
                                state == RequestState::kFinished, ToLoadReport(report)};
}

balancer::Event ToLoadReported(SlotId session, double load) {
  return balancer::LoadReported{ToRequestId(session), load};
}

balancer::Event ToMessageLatencyReported(EndpointIndex endpoint, Micros latency) {
  return balancer::MessageLatencyReported{ToEndpointId(endpoint), latency};
}

balancer::Event ToProbeCompleted(EndpointIndex endpoint, bool succeeded, std::string_view report) {
  return balancer::ProbeCompleted{ToEndpointId(endpoint), succeeded, ToLoadReport(report)};
}

balancer::Event ToClientDisconnected(SlotId session) {
  return balancer::ClientDisconnected{ToRequestId(session)};
}

balancer::Event ToFleetHint(EndpointIndex endpoint, double unreported_in_flight, double slow_start_tokens,
                            bool eject) {
  return balancer::FleetHint{ToEndpointId(endpoint), unreported_in_flight, slow_start_tokens, eject};
}

balancer::Event ToEndpointUpdateFailed() {
  return balancer::EndpointUpdate{balancer::EndpointUpdate::Kind::kFailed, {}};
}

balancer::Event ToEndpointUpdate(const EndpointUpdate& update, EndpointSource source,
                                 const EndpointTable& table, const Clock& clock,
                                 const std::vector<std::string>& zone_names) {
  balancer::EndpointUpdate event;
  event.kind = ToUpdateKind(update, source);
  for (const Endpoint& endpoint : update.entries) {
    balancer::Endpoint entry;
    const auto index = table.Find(endpoint.id);
    if (!index) continue;
    entry.id = ToEndpointId(*index);
    entry.zone = ToZoneId(endpoint.locality, zone_names);
    entry.cell = balancer::CellId(endpoint.cell);
    entry.state = ToEndpointState(endpoint.state);
    entry.size = endpoint.size;
    entry.started_at = clock.FromUnixMs(endpoint.started_unix_ms);
    entry.name_hash = HashName(endpoint.id);
    event.entries.push_back(entry);
  }
  return event;
}

}  // namespace stoatrun
