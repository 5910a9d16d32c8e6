#include "net/terms.h"

#include <algorithm>

#include "net/line.h"

namespace stoatrun {
namespace {

namespace ah = arrowhatch;

ah::RequestId RequestOf(SlotId request) { return ah::RequestId(request.Packed()); }
SlotId SlotOf(ah::RequestId id) { return SlotId::Unpack(static_cast<std::uint64_t>(id)); }
ah::ServerId ServerOf(HostNumber host) { return ah::ServerId(host); }
HostNumber HostOf(ah::ServerId id) { return static_cast<HostNumber>(id); }

ah::Outcome OutcomeOf(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kServed:
      return ah::Outcome::kServed;
    case AttemptEnd::kError:
      return ah::Outcome::kError;
    case AttemptEnd::kTurnedAway:
      return ah::Outcome::kTurnedAway;
    case AttemptEnd::kNotConnected:
      return ah::Outcome::kNotConnected;
    case AttemptEnd::kBroken:
      return ah::Outcome::kCut;
    case AttemptEnd::kTimedOut:
      return ah::Outcome::kTimedOut;
    case AttemptEnd::kSentAway:
    case AttemptEnd::kAbandoned:
      return ah::Outcome::kCancelled;
    case AttemptEnd::kHeldBack:
      return ah::Outcome::kNotSent;
  }
  return ah::Outcome::kUnknown;
}

std::optional<ah::LoadReport> ReportOf(std::string_view text) {
  std::optional<ah::LoadReport> report;
  EachFigure(text, [&](std::string_view name, double value) {
    if (!report) report.emplace();
    ah::settings::SetField(*report, ah::settings::ReportFieldOf(name), value);
  });
  return report;
}

ah::RequestArrived RequestArrivedOf(SlotId request, const Opening& opening) {
  ah::RequestArrived e;
  e.id = RequestOf(request);
  e.class_id = ah::ClassId(static_cast<std::uint32_t>(opening.class_index));
  e.deadline = opening.deadline;
  e.load_hint = opening.load;
  e.came_back = opening.again;
  e.group = opening.group;
  return e;
}

ah::ZoneId ZoneOf(const std::string& locality, std::vector<std::string>& zones) {
  auto it = std::find(zones.begin(), zones.end(), locality);
  if (it == zones.end()) it = zones.insert(zones.end(), locality);
  return ah::ZoneId(static_cast<std::uint32_t>(it - zones.begin()));
}

struct Visitor {
  Orders& orders;
  void operator()(const ah::SendAttempt& a) const {
    orders.OpenAttempt(SlotOf(a.id), HostOf(a.server), a.timeout);
  }
  void operator()(const ah::CancelAttempt& a) const { orders.AbandonAttempt(SlotOf(a.id), a.attempt); }
  void operator()(const ah::RefuseRequest& a) const { orders.Reject(SlotOf(a.id), a.come_back); }
  void operator()(const ah::FailRequest& a) const { orders.Fail(SlotOf(a.id)); }
  void operator()(const ah::MoveClient& a) const { orders.Move(SlotOf(a.id)); }
  void operator()(const ah::ProbeServer& a) const { orders.Probe(HostOf(a.server)); }
  void operator()(const ah::StartTimer& a) const { orders.WakeIn(a.delay); }
  void operator()(const ah::WatchServers& /*a*/) const { orders.Watch(); }
};

}  // namespace

void CarryOut(const ah::Action& action, Orders& orders) { std::visit(Visitor{orders}, action); }

ah::Event Arrived(SlotId request, const Opening& opening) { return RequestArrivedOf(request, opening); }

ah::Event Resumed(SlotId request, const Opening& opening, HostNumber host) {
  return ah::ConnectionResumed{RequestArrivedOf(request, opening), ServerOf(host)};
}

ah::Event AttemptIsUp(SlotId request, HostNumber host) {
  return ah::AttemptEstablished{RequestOf(request), ServerOf(host)};
}

ah::Event AttemptEnded(SlotId request, HostNumber host, AttemptEnd end, bool finished,
                       std::string_view report) {
  return ah::AttemptEnded{RequestOf(request), ServerOf(host), OutcomeOf(end), finished, ReportOf(report)};
}

ah::Event LoadIs(SlotId request, double load) { return ah::LoadTold{RequestOf(request), load}; }

ah::Event MessageTook(HostNumber host, Micros delay) { return ah::DelayTold{ServerOf(host), delay}; }

ah::Event Probed(HostNumber host, bool ok, std::string_view report) {
  return ah::ProbeAnswered{ServerOf(host), ok, ReportOf(report)};
}

ah::Event Left(SlotId request) { return ah::ClientLeft{RequestOf(request)}; }

ah::Event PeersSay(HostNumber host, double unseen, double cold, bool avoid) {
  return ah::PeersTold{ServerOf(host), unseen, cold, avoid};
}

ah::Event ListFailed() { return ah::ServerList{ah::ServerList::Kind::kFailed, {}}; }

ah::Event ListOf(const HostList& list, ListSource source,
                 const std::function<HostNumber(const std::string&)>& number_of, const Clock& clock,
                 std::vector<std::string>& zones) {
  ah::ServerList out;
  out.kind = source == ListSource::kKnown ? ah::ServerList::Kind::kCached
             : list.complete              ? ah::ServerList::Kind::kFull
                                          : ah::ServerList::Kind::kChanges;
  for (const HostEntry& e : list.entries) {
    ah::ServerEntry s;
    s.id = ServerOf(number_of(e.id));
    s.zone = ZoneOf(e.locality, zones);
    s.cell = ah::CellId(e.cell);
    s.state = e.phase == HostPhase::kReady      ? ah::ServerState::kReady
              : e.phase == HostPhase::kDraining ? ah::ServerState::kDraining
                                                : ah::ServerState::kGone;
    s.size = e.size;
    s.started = clock.FromUnixMs(e.up_since_ms);
    s.name = ah::settings::NumberOf(e.id);
    out.entries.push_back(s);
  }
  return out;
}

}  // namespace stoatrun
