// Implements FleetClient, the proxy's interface to its fleet, on this relay's node and gossip transport.
#ifndef STOATRUN_FLEET_IO_FLEET_MEMBER_H_
#define STOATRUN_FLEET_IO_FLEET_MEMBER_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/hint_builder.h"
#include "fleet/io/gossip_transport.h"

namespace stoatrun::fleet {

// Used on the event loop's thread; `loop` and `transport` outlive it.
class FleetMember : public FleetClient {
 public:
  // `quota_groups`: the groups whose connections count against a fleet-wide quota.
  FleetMember(EventLoop& loop, GossipTransport& transport, std::vector<std::string> quota_groups);

  ConnectionHandle BeginConnection(std::size_t class_index, std::string_view group) override;
  void EndConnection(ConnectionHandle& handle, ConnectionOutcome outcome) override;
  bool TryReserveQuota(ConnectionHandle& handle, std::string_view group) override;
  std::vector<ExcessReservation> ExcessReservations() override;
  bool TryAcquireRetry() override;
  bool TryAcquireProbe() override;
  bool TryAcquireSlowStartSend(std::string_view endpoint) override;
  void OnRequestSent(std::string_view endpoint) override;
  void OnEndpointObserved(std::string_view endpoint, EndpointCondition condition) override;
  void OnEndpointsListed(const std::vector<ListedEndpoint>& endpoints) override;
  std::vector<EndpointHint> TakeHints(const std::vector<std::string>& warming_up) override;

 private:
  // Acquires one unit of the quota `name`; true if the operator file defines no such quota.
  bool TryAcquire(const std::string& name);

  EventLoop& loop_;
  GossipTransport& transport_;
  HintBuilder hint_builder_;
  std::vector<std::string> quota_groups_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_IO_FLEET_MEMBER_H_
