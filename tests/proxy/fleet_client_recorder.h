// A FleetClient with scripted answers that records what the proxy reports to it.
#ifndef STOATRUN_TESTS_PROXY_FLEET_CLIENT_RECORDER_H_
#define STOATRUN_TESTS_PROXY_FLEET_CLIENT_RECORDER_H_

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "base/fleet_client.h"

namespace stoatrun {

class FleetClientRecorder : public FleetClient {
 public:
  ConnectionHandle BeginConnection(std::size_t /*class_index*/, std::string_view group) override {
    ++begun;
    groups.emplace_back(group);
    return {0, true, 0};
  }
  void EndConnection(ConnectionHandle& handle, ConnectionOutcome outcome) override {
    CHECK(handle.open);  // Each connection is ended exactly once.
    handle.open = false;
    ++outcomes[outcome];
    reserved -= handle.quota != 0 ? 1 : 0;
  }
  bool TryReserveQuota(ConnectionHandle& handle, std::string_view /*group*/) override {
    if (reserved >= quota) return false;
    ++reserved;
    handle.quota = 1;
    return true;
  }
  std::vector<ExcessReservation> ExcessReservations() override {
    if (reserved <= quota) return {};
    return {{1, static_cast<std::size_t>(reserved - quota)}};
  }
  bool TryAcquireRetry() override { return retries-- > 0; }
  bool TryAcquireProbe() override { return probes-- > 0; }
  bool TryAcquireSlowStartSend(std::string_view /*endpoint*/) override { return slow_start_sends-- > 0; }
  void OnRequestSent(std::string_view endpoint) override { ++sent[std::string(endpoint)]; }
  void OnEndpointObserved(std::string_view endpoint, EndpointCondition condition) override {
    observed.emplace_back(endpoint, condition);
  }
  void OnEndpointsListed(const std::vector<ListedEndpoint>& endpoints) override { listed = endpoints.size(); }
  std::vector<EndpointHint> TakeHints(const std::vector<std::string>& /*warming_up*/) override {
    return std::exchange(hints, {});
  }

  int begun = 0, reserved = 0, quota = 100, retries = 100, probes = 1000, slow_start_sends = 100;
  std::size_t listed = 0;
  std::vector<std::string> groups;
  std::map<ConnectionOutcome, int> outcomes;
  std::map<std::string, int> sent;
  std::vector<std::pair<std::string, EndpointCondition>> observed;
  std::vector<EndpointHint> hints;
};

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_PROXY_FLEET_CLIENT_RECORDER_H_
