#include "fleet/io/fleet_member.h"

#include <algorithm>
#include <utility>

namespace stoatrun::fleet {
namespace {

LocalConnectionCounts::Outcome ToCountedOutcome(FleetClient::ConnectionOutcome outcome) {
  switch (outcome) {
    case FleetClient::ConnectionOutcome::kServed:
      return LocalConnectionCounts::Outcome::kServed;
    case FleetClient::ConnectionOutcome::kRejected:
      return LocalConnectionCounts::Outcome::kRejected;
    case FleetClient::ConnectionOutcome::kFailed:
      break;
  }
  return LocalConnectionCounts::Outcome::kFailed;
}

HealthVerdict ToVerdict(FleetClient::EndpointCondition condition) {
  switch (condition) {
    case FleetClient::EndpointCondition::kHealthy:
      return HealthVerdict::kHealthy;
    case FleetClient::EndpointCondition::kOverloaded:
      return HealthVerdict::kOverloaded;
    case FleetClient::EndpointCondition::kFailing:
      break;
  }
  return HealthVerdict::kFailing;
}

}  // namespace

FleetMember::FleetMember(EventLoop& loop, GossipTransport& transport, std::vector<std::string> quota_groups)
    : loop_(loop),
      transport_(transport),
      hint_builder_(transport.LocalNode()),
      quota_groups_(std::move(quota_groups)) {}

bool FleetMember::TryAcquire(const std::string& name) {
  return !transport_.LocalNode().Quotas().HasQuota(name) || transport_.TryAcquire(name);
}

FleetClient::ConnectionHandle FleetMember::BeginConnection(std::size_t class_index, std::string_view group) {
  const LocalConnectionCounts::Handle counted =
      transport_.LocalNode().LocalConnections().Begin(static_cast<std::uint32_t>(class_index), group);
  return {counted.row, counted.open, 0};
}

void FleetMember::EndConnection(ConnectionHandle& handle, ConnectionOutcome outcome) {
  LocalConnectionCounts::Handle counted{handle.row, handle.open};
  transport_.LocalNode().LocalConnections().End(counted, ToCountedOutcome(outcome));
  handle.open = false;
  if (handle.quota != 0) {
    transport_.LocalNode().Release(HintBuilder::ConnectionQuota(quota_groups_[handle.quota - 1]));
  }
  handle.quota = 0;
}

bool FleetMember::TryReserveQuota(ConnectionHandle& handle, std::string_view group) {
  const auto found = std::find(quota_groups_.begin(), quota_groups_.end(), group);
  if (found == quota_groups_.end()) return true;
  if (!transport_.TryAcquire(HintBuilder::ConnectionQuota(group))) return false;
  handle.quota = static_cast<std::uint32_t>(found - quota_groups_.begin()) + 1;
  return true;
}

std::vector<FleetClient::ExcessReservation> FleetMember::ExcessReservations() {
  std::vector<ExcessReservation> result;
  for (std::size_t k = 0; k < quota_groups_.size(); ++k) {
    const std::uint32_t excess =
        transport_.LocalNode().Quotas().Excess(loop_.Now(), HintBuilder::ConnectionQuota(quota_groups_[k]));
    if (excess > 0) result.push_back({static_cast<std::uint32_t>(k) + 1, excess});
  }
  return result;
}

bool FleetMember::TryAcquireRetry() { return TryAcquire("attempts"); }

bool FleetMember::TryAcquireProbe() { return TryAcquire("probes"); }

bool FleetMember::TryAcquireSlowStartSend(std::string_view endpoint) {
  return TryAcquire(HintBuilder::SlowStartQuota(endpoint));
}

void FleetMember::OnRequestSent(std::string_view endpoint) {
  transport_.LocalNode().OnRequestSent(loop_.Now(), std::string(endpoint));
}

void FleetMember::OnEndpointObserved(std::string_view endpoint, EndpointCondition condition) {
  transport_.LocalNode().Outliers().Observe(loop_.Now(), std::string(endpoint), ToVerdict(condition));
}

void FleetMember::OnEndpointsListed(const std::vector<ListedEndpoint>& endpoints) {
  hint_builder_.SetEndpoints(endpoints);
}

std::vector<FleetClient::EndpointHint> FleetMember::TakeHints(const std::vector<std::string>& warming_up) {
  return hint_builder_.TakeHints(loop_.Now(), warming_up);
}

}  // namespace stoatrun::fleet
