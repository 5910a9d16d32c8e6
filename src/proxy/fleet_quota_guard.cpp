#include "proxy/fleet_quota_guard.h"

#include <chrono>

#include "proxy/balancer_mapping.h"

namespace stoatrun {
namespace {

// The same as the balancer's tick, at which it applies hints.
constexpr Micros kPollInterval = std::chrono::milliseconds(250);

// The endpoint's condition as shown by the end of an attempt; nullopt: the end gives no evidence of it.
std::optional<FleetClient::EndpointCondition> ToCondition(AttemptEnd end) {
  switch (end) {
    case AttemptEnd::kServed:
    case AttemptEnd::kMigrated:
      return FleetClient::EndpointCondition::kHealthy;
    case AttemptEnd::kRejected:
      return FleetClient::EndpointCondition::kOverloaded;
    case AttemptEnd::kError:
    case AttemptEnd::kNotConnected:
    case AttemptEnd::kBroken:
    case AttemptEnd::kTimedOut:
      return FleetClient::EndpointCondition::kFailing;
    case AttemptEnd::kAbandoned:
    case AttemptEnd::kQuotaExhausted:
    case AttemptEnd::kListOverdue:
    case AttemptEnd::kTooLate:
      break;
  }
  return std::nullopt;
}

}  // namespace

FleetQuotaGuard::FleetQuotaGuard(EventLoop& loop, FleetClient* client, Micros slow_start,
                                 const EndpointTable& endpoints, SessionTable& sessions,
                                 BalancerDriver& balancer, ActionHandler& actions)
    : loop_(loop),
      client_(client),
      slow_start_(slow_start),
      endpoints_(endpoints),
      sessions_(sessions),
      balancer_(balancer),
      actions_(actions),
      poll_timer_(loop.timers, [this] { Poll(); }) {}

void FleetQuotaGuard::Start() {
  if (client_ != nullptr) Poll();
}

// ---- quotas ----

void FleetQuotaGuard::BeginConnection(Session& session) {
  if (client_ == nullptr) return;
  session.fleet_connection = client_->BeginConnection(session.request.class_index, session.group);
}

void FleetQuotaGuard::CountRejected(std::size_t class_index, std::string_view group) {
  if (client_ == nullptr) return;
  FleetClient::ConnectionHandle connection = client_->BeginConnection(class_index, group);
  client_->EndConnection(connection, FleetClient::ConnectionOutcome::kRejected);
}

bool FleetQuotaGuard::TryReserveQuota(Session& session) {
  return client_ == nullptr || client_->TryReserveQuota(session.fleet_connection, session.group);
}

std::optional<AttemptEnd> FleetQuotaGuard::TryAcquireAttempt(const Session& session, EndpointIndex endpoint) {
  if (client_ == nullptr) return std::nullopt;
  // The balancer answers a retry that the quota denies with its final answer.
  if (session.attempt_count > 0 && !client_->TryAcquireRetry()) return AttemptEnd::kQuotaExhausted;
  // If the other proxies have used up the capacity of an endpoint in slow start, the balancer is told that
  // the endpoint rejected the request.
  const auto started = slow_start_began_at_.find(endpoint);
  const bool in_slow_start = started != slow_start_began_at_.end() && IsInSlowStart(started->second);
  const std::string& id = endpoints_.IdOf(endpoint);
  if (in_slow_start && !client_->TryAcquireSlowStartSend(id)) return AttemptEnd::kRejected;
  client_->OnRequestSent(id);
  return std::nullopt;
}

bool FleetQuotaGuard::TryAcquireProbe() { return client_ == nullptr || client_->TryAcquireProbe(); }

// ---- endpoints ----

bool FleetQuotaGuard::IsInSlowStart(Micros started_at) const {
  return loop_.Now() < started_at + slow_start_;
}

void FleetQuotaGuard::OnAttemptEnded(EndpointIndex endpoint, AttemptEnd end) {
  const auto condition = ToCondition(end);
  if (client_ != nullptr && condition) client_->OnEndpointObserved(endpoints_.IdOf(endpoint), *condition);
}

void FleetQuotaGuard::OnEndpointUpdate(const EndpointUpdate& update) {
  if (client_ == nullptr) return;
  ApplyUpdate(update);
  std::erase_if(slow_start_began_at_, [&](const auto& entry) {
    return !ready_endpoints_.contains(endpoints_.IdOf(entry.first)) || !IsInSlowStart(entry.second);
  });
  std::vector<FleetClient::ListedEndpoint> listed;
  listed.reserve(ready_endpoints_.size());
  for (const auto& [id, started_unix_ms] : ready_endpoints_) listed.push_back({id, started_unix_ms});
  client_->OnEndpointsListed(listed);
}

void FleetQuotaGuard::ApplyUpdate(const EndpointUpdate& update) {
  if (update.complete) ready_endpoints_.clear();
  for (const Endpoint& endpoint : update.entries) {
    if (endpoint.state != EndpointState::kReady) {
      ready_endpoints_.erase(endpoint.id);
      continue;
    }
    const auto index = endpoints_.Find(endpoint.id);
    if (!index) continue;
    ready_endpoints_[endpoint.id] = endpoint.started_unix_ms;
    const Micros started_at = loop_.clock.FromUnixMs(endpoint.started_unix_ms);
    if (started_at.count() > 0) slow_start_began_at_[*index] = started_at;
  }
}

// ---- polling ----

void FleetQuotaGuard::Poll() {
  PollHints();
  MigrateExcess();
  poll_timer_.Set(loop_.Now() + kPollInterval);
}

void FleetQuotaGuard::PollHints() {
  std::vector<std::string> in_slow_start;
  for (const auto& [endpoint, started_at] : slow_start_began_at_) {
    if (IsInSlowStart(started_at)) in_slow_start.push_back(endpoints_.IdOf(endpoint));
  }
  for (const FleetClient::EndpointHint& hint : client_->TakeHints(in_slow_start)) {
    const auto endpoint = endpoints_.Find(hint.endpoint);
    if (!endpoint) continue;
    balancer_.HandleEvent(
        ToFleetHint(*endpoint, hint.unreported_in_flight, hint.slow_start_tokens, hint.eject));
  }
}

void FleetQuotaGuard::MigrateExcess() {
  for (const FleetClient::ExcessReservation& excess : client_->ExcessReservations()) {
    for (const SlotId session : sessions_.EstablishedUnderQuota(excess.quota, excess.connections)) {
      actions_.Migrate(session);
    }
  }
}

}  // namespace stoatrun
