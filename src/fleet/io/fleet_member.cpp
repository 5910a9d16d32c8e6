#include "fleet/io/fleet_member.h"

#include <algorithm>
#include <utility>

namespace stoatrun::fleet {
namespace {

Accounts::End ToCountedEnd(FleetClient::ConnectionOutcome outcome) {
  switch (outcome) {
    case FleetClient::ConnectionOutcome::kServed:
      return Accounts::End::kServed;
    case FleetClient::ConnectionOutcome::kRejected:
      return Accounts::End::kRefused;
    case FleetClient::ConnectionOutcome::kFailed:
      break;
  }
  return Accounts::End::kFailed;
}

Verdict ToVerdict(FleetClient::EndpointCondition condition) {
  switch (condition) {
    case FleetClient::EndpointCondition::kHealthy:
      return Verdict::kFine;
    case FleetClient::EndpointCondition::kOverloaded:
      return Verdict::kFull;
    case FleetClient::EndpointCondition::kFailing:
      break;
  }
  return Verdict::kFailing;
}

}  // namespace

FleetMember::FleetMember(EventLoop& loop, GossipTransport& transport, std::vector<std::string> quota_groups)
    : loop_(loop),
      transport_(transport),
      hint_builder_(transport.LocalNode()),
      quota_groups_(std::move(quota_groups)) {}

bool FleetMember::TryAcquire(const std::string& name) {
  return !transport_.LocalNode().Purses().Knows(name) || transport_.Spend(name);
}

FleetClient::ConnectionHandle FleetMember::BeginConnection(std::size_t class_index, std::string_view group) {
  const Accounts::Ticket ticket =
      transport_.LocalNode().Own().Take(static_cast<std::uint32_t>(class_index), group);
  return {ticket.row, ticket.open, 0};
}

void FleetMember::EndConnection(ConnectionHandle& handle, ConnectionOutcome outcome) {
  Accounts::Ticket ticket{handle.row, handle.open};
  transport_.LocalNode().Own().Finish(ticket, ToCountedEnd(outcome));
  handle.open = false;
  if (handle.quota != 0) transport_.LocalNode().Release(HintBuilder::Quota(quota_groups_[handle.quota - 1]));
  handle.quota = 0;
}

bool FleetMember::TryReserveQuota(ConnectionHandle& handle, std::string_view group) {
  const auto found = std::find(quota_groups_.begin(), quota_groups_.end(), group);
  if (found == quota_groups_.end()) return true;
  if (!transport_.Spend(HintBuilder::Quota(group))) return false;
  handle.quota = static_cast<std::uint32_t>(found - quota_groups_.begin()) + 1;
  return true;
}

std::vector<FleetClient::ExcessReservation> FleetMember::ExcessReservations() {
  std::vector<ExcessReservation> result;
  for (std::size_t k = 0; k < quota_groups_.size(); ++k) {
    const std::uint32_t excess =
        transport_.LocalNode().Purses().Excess(loop_.Now(), HintBuilder::Quota(quota_groups_[k]));
    if (excess > 0) result.push_back({static_cast<std::uint32_t>(k) + 1, excess});
  }
  return result;
}

bool FleetMember::TryAcquireRetry() { return TryAcquire("attempts"); }

bool FleetMember::TryAcquireProbe() { return TryAcquire("probes"); }

bool FleetMember::TryAcquireSlowStartSend(std::string_view endpoint) {
  return TryAcquire(HintBuilder::Cold(endpoint));
}

void FleetMember::OnRequestSent(std::string_view endpoint) {
  transport_.LocalNode().NoteSent(loop_.Now(), std::string(endpoint));
}

void FleetMember::OnEndpointObserved(std::string_view endpoint, EndpointCondition condition) {
  transport_.LocalNode().Servers().Observe(loop_.Now(), std::string(endpoint), ToVerdict(condition));
}

void FleetMember::OnEndpointsListed(const std::vector<ListedEndpoint>& endpoints) {
  hint_builder_.Listed(endpoints);
}

std::vector<FleetClient::EndpointHint> FleetMember::TakeHints(const std::vector<std::string>& warming_up) {
  return hint_builder_.Advise(loop_.Now(), warming_up);
}

}  // namespace stoatrun::fleet
