// The proxy's view of the rest of its fleet: what it reports to the other relays, and the fleet-wide quotas
// from which it acquires. A proxy without a fleet has no client and acts on its own knowledge alone.
#ifndef STOATRUN_BASE_FLEET_CLIENT_H_
#define STOATRUN_BASE_FLEET_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun {

// Implemented by the fleet's member on the event loop's thread; no call blocks or throws.
class FleetClient {
 public:
  // How a client's connection ended, for the fleet's connection counts.
  enum class ConnectionOutcome { kServed, kRejected, kFailed };
  // What an attempt showed of an endpoint.
  enum class EndpointCondition { kHealthy, kFailing, kOverloaded };

  // Names one counted connection; kept by whoever holds the connection.
  struct ConnectionHandle {
    std::uint32_t row = 0;
    bool open = false;
    std::uint32_t quota = 0;  // Index of the quota it reserves, plus one; 0: none.
  };

  // More connections are reserved under a quota than are allowed now.
  struct ExcessReservation {
    std::uint32_t quota = 0;      // As in ConnectionHandle.
    std::size_t connections = 0;  // To be migrated away.
  };

  // An endpoint that may be used.
  struct ListedEndpoint {
    std::string id;
    std::int64_t started_unix_ms = 0;  // When its process started; 0: long ago.
  };

  // What the other relays know of an endpoint, for the balancer.
  struct EndpointHint {
    std::string endpoint;
    double unreported_in_flight = 0;  // Connections that others sent there and no load report may show yet.
    double slow_start_tokens = -1;    // May be sent there now while it warms up; negative: not known.
    bool eject = false;               // Others found it failing, and nothing observed here disproves it.
    bool operator==(const EndpointHint&) const = default;
  };

  virtual ~FleetClient() = default;

  // Counts an incoming connection. Each handle is ended exactly once.
  virtual ConnectionHandle BeginConnection(std::size_t class_index, std::string_view group) = 0;
  // Ends the count and releases what the handle reserves.
  virtual void EndConnection(ConnectionHandle& handle, ConnectionOutcome outcome) = 0;
  // Reserves a unit of the group's connection quota until EndConnection. False: the quota is exhausted.
  virtual bool TryReserveQuota(ConnectionHandle& handle, std::string_view group) = 0;
  // The quotas over which this proxy holds more than is allowed now.
  virtual std::vector<ExcessReservation> ExcessReservations() = 0;

  // Acquires one unit of the fleet's rate quota for retries; true where no such quota is configured.
  virtual bool TryAcquireRetry() = 0;
  // The same for health checks.
  virtual bool TryAcquireProbe() = 0;
  // The same for requests to an endpoint that is warming up; each such endpoint has a quota of its own.
  virtual bool TryAcquireSlowStartSend(std::string_view endpoint) = 0;

  // A request was sent to the endpoint.
  virtual void OnRequestSent(std::string_view endpoint) = 0;
  // An attempt or a health check showed the endpoint's condition.
  virtual void OnEndpointObserved(std::string_view endpoint, EndpointCondition condition) = 0;
  // All endpoints that may be used now, after each update of the list.
  virtual void OnEndpointsListed(const std::vector<ListedEndpoint>& endpoints) = 0;

  // The hints that changed since the last call. `warming_up`: endpoints that started recently.
  virtual std::vector<EndpointHint> TakeHints(const std::vector<std::string>& warming_up) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_FLEET_CLIENT_H_
