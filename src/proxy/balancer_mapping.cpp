#include "proxy/balancer_mapping.h"

#include <algorithm>

#include "proxy/line_protocol.h"

namespace stoatrun {
namespace {

balancer::RequestId RequestOf(SlotId request) { return balancer::RequestId(request.ToUint64()); }
SlotId SlotOf(balancer::RequestId id) { return SlotId::FromUint64(static_cast<std::uint64_t>(id)); }
balancer::EndpointId ServerOf(EndpointIndex host) { return balancer::EndpointId(host); }
EndpointIndex HostOf(balancer::EndpointId id) { return static_cast<EndpointIndex>(id); }

balancer::Outcome OutcomeOf(AttemptEnd end) {
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
    case AttemptEnd::kSentAway:
    case AttemptEnd::kAbandoned:
      return balancer::Outcome::kCancelled;
    case AttemptEnd::kHeldBack:
      return balancer::Outcome::kNotSent;
  }
  return balancer::Outcome::kUnknown;
}

std::optional<balancer::LoadReport> ReportOf(std::string_view text) {
  std::optional<balancer::LoadReport> report;
  EachFigure(text, [&](std::string_view name, double value) {
    if (!report) report.emplace();
    SetField(*report, ReportFieldOf(name), value);
  });
  return report;
}

balancer::RequestArrived RequestArrivedOf(SlotId request, const ConnectRequest& opening) {
  balancer::RequestArrived e;
  e.id = RequestOf(request);
  e.class_id = balancer::ClassId(static_cast<std::uint32_t>(opening.class_index));
  e.deadline = opening.deadline;
  e.load_hint = opening.load;
  e.is_reconnect = opening.again;
  e.affinity_group = opening.group;
  return e;
}

balancer::ZoneId ZoneOf(const std::string& locality, std::vector<std::string>& zones) {
  auto it = std::find(zones.begin(), zones.end(), locality);
  if (it == zones.end()) it = zones.insert(zones.end(), locality);
  return balancer::ZoneId(static_cast<std::uint32_t>(it - zones.begin()));
}

struct Visitor {
  ActionHandler& handler;
  void operator()(const balancer::SendAttempt& a) const {
    handler.OpenAttempt(SlotOf(a.id), HostOf(a.endpoint), a.timeout);
  }
  void operator()(const balancer::CancelAttempt& a) const { handler.AbandonAttempt(SlotOf(a.id), a.attempt); }
  void operator()(const balancer::RejectRequest& a) const { handler.Reject(SlotOf(a.id), a.retry_after); }
  void operator()(const balancer::FailRequest& a) const { handler.Fail(SlotOf(a.id)); }
  void operator()(const balancer::MigrateConnection& a) const { handler.Move(SlotOf(a.id)); }
  void operator()(const balancer::ProbeEndpoint& a) const { handler.Probe(HostOf(a.endpoint)); }
  void operator()(const balancer::StartTimer& a) const { handler.WakeIn(a.delay); }
  void operator()(const balancer::WatchEndpoints& /*a*/) const { handler.Watch(); }
};

}  // namespace

void Dispatch(const balancer::Action& action, ActionHandler& handler) {
  std::visit(Visitor{handler}, action);
}

balancer::Event Arrived(SlotId request, const ConnectRequest& opening) {
  return RequestArrivedOf(request, opening);
}

balancer::Event Resumed(SlotId request, const ConnectRequest& opening, EndpointIndex host) {
  return balancer::ConnectionResumed{RequestArrivedOf(request, opening), ServerOf(host)};
}

balancer::Event AttemptIsUp(SlotId request, EndpointIndex host) {
  return balancer::AttemptEstablished{RequestOf(request), ServerOf(host)};
}

balancer::Event AttemptEnded(SlotId request, EndpointIndex host, AttemptEnd end, bool finished,
                             std::string_view report) {
  return balancer::AttemptEnded{RequestOf(request), ServerOf(host), OutcomeOf(end), finished,
                                ReportOf(report)};
}

balancer::Event LoadIs(SlotId request, double load) {
  return balancer::LoadReported{RequestOf(request), load};
}

balancer::Event MessageTook(EndpointIndex host, Micros delay) {
  return balancer::MessageLatencyReported{ServerOf(host), delay};
}

balancer::Event Probed(EndpointIndex host, bool ok, std::string_view report) {
  return balancer::ProbeCompleted{ServerOf(host), ok, ReportOf(report)};
}

balancer::Event Left(SlotId request) { return balancer::ClientDisconnected{RequestOf(request)}; }

balancer::Event PeersSay(EndpointIndex host, double unseen, double cold, bool avoid) {
  return balancer::FleetHint{ServerOf(host), unseen, cold, avoid};
}

balancer::Event ListFailed() { return balancer::EndpointUpdate{balancer::EndpointUpdate::Kind::kFailed, {}}; }

balancer::Event ListOf(const EndpointUpdate& list, ListSource source,
                       const std::function<EndpointIndex(const std::string&)>& number_of, const Clock& clock,
                       std::vector<std::string>& zones) {
  balancer::EndpointUpdate out;
  out.kind = source == ListSource::kKnown ? balancer::EndpointUpdate::Kind::kCached
             : list.complete              ? balancer::EndpointUpdate::Kind::kFull
                                          : balancer::EndpointUpdate::Kind::kChanges;
  for (const Endpoint& e : list.entries) {
    balancer::Endpoint s;
    s.id = ServerOf(number_of(e.id));
    s.zone = ZoneOf(e.locality, zones);
    s.cell = balancer::CellId(e.cell);
    s.state = e.state == EndpointState::kReady      ? balancer::EndpointState::kReady
              : e.state == EndpointState::kDraining ? balancer::EndpointState::kDraining
                                                    : balancer::EndpointState::kGone;
    s.size = e.size;
    s.started_at = clock.FromUnixMs(e.started_unix_ms);
    s.name_hash = HashName(e.id);
    out.entries.push_back(s);
  }
  return out;
}

}  // namespace stoatrun
