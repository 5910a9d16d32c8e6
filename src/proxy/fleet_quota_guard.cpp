#include "proxy/fleet_quota_guard.h"

#include <chrono>

#include "proxy/balancer_mapping.h"

namespace stoatrun {
namespace {

// As the balancer's own tick, at which it acts on hints.
constexpr Micros kPollInterval = std::chrono::milliseconds(250);

// What an attempt's end shows of its endpoint; nullopt: nothing.
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
  // Without a retry the balancer gives its final answer.
  if (session.attempt_count > 0 && !client_->TryAcquireRetry()) return AttemptEnd::kQuotaExhausted;
  // An endpoint that warms up and that the other proxies have filled meanwhile counts as having rejected the
  // request.
  const auto started = started_at_.find(endpoint);
  const bool warming_up = started != started_at_.end() && IsWarmingUp(started->second);
  const std::string& id = endpoints_.IdOf(endpoint);
  if (warming_up && !client_->TryAcquireSlowStartSend(id)) return AttemptEnd::kRejected;
  client_->OnRequestSent(id);
  return std::nullopt;
}

bool FleetQuotaGuard::TryAcquireProbe() { return client_ == nullptr || client_->TryAcquireProbe(); }

// ---- endpoints ----

bool FleetQuotaGuard::IsWarmingUp(Micros started_at) const { return loop_.Now() < started_at + slow_start_; }

void FleetQuotaGuard::OnAttemptEnded(EndpointIndex endpoint, AttemptEnd end) {
  const auto condition = ToCondition(end);
  if (client_ != nullptr && condition) client_->OnEndpointObserved(endpoints_.IdOf(endpoint), *condition);
}

void FleetQuotaGuard::OnEndpointUpdate(const EndpointUpdate& update) {
  if (client_ == nullptr) return;
  ApplyUpdate(update);
  std::erase_if(started_at_, [&](const auto& entry) {
    return !ready_started_ms_.contains(endpoints_.IdOf(entry.first)) || !IsWarmingUp(entry.second);
  });
  std::vector<FleetClient::ListedEndpoint> listed;
  listed.reserve(ready_started_ms_.size());
  for (const auto& [id, started_unix_ms] : ready_started_ms_) listed.push_back({id, started_unix_ms});
  client_->OnEndpointsListed(listed);
}

void FleetQuotaGuard::ApplyUpdate(const EndpointUpdate& update) {
  if (update.complete) ready_started_ms_.clear();
  for (const Endpoint& endpoint : update.entries) {
    if (endpoint.state != EndpointState::kReady) {
      ready_started_ms_.erase(endpoint.id);
      continue;
    }
    ready_started_ms_[endpoint.id] = endpoint.started_unix_ms;
    const Micros started_at = loop_.clock.FromUnixMs(endpoint.started_unix_ms);
    if (started_at.count() > 0) started_at_[*endpoints_.Find(endpoint.id)] = started_at;
  }
}

// ---- polling ----

void FleetQuotaGuard::Poll() {
  PollHints();
  MigrateExcess();
  poll_timer_.Set(loop_.Now() + kPollInterval);
}

void FleetQuotaGuard::PollHints() {
  std::vector<std::string> warming_up;
  for (const auto& [endpoint, started_at] : started_at_) {
    if (IsWarmingUp(started_at)) warming_up.push_back(endpoints_.IdOf(endpoint));
  }
  for (const FleetClient::EndpointHint& hint : client_->TakeHints(warming_up)) {
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
