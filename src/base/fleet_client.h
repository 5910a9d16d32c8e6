// The proxy's interface to its fleet: what it reports to the other relays, and the fleet-wide quotas from
// which it acquires units. Without a fleet, a proxy has no fleet client and uses only its own observations.
#ifndef STOATRUN_BASE_FLEET_CLIENT_H_
#define STOATRUN_BASE_FLEET_CLIENT_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace stoatrun {

// Implemented by the fleet member. Called on the event loop's thread; no function blocks or throws.
class FleetClient {
 public:
  // How a client's connection ended, for the fleet's connection counts.
  enum class ConnectionOutcome { kServed, kRejected, kFailed };
  // The condition of an endpoint, as observed by an attempt or a health check.
  enum class EndpointCondition { kHealthy, kFailing, kOverloaded };

  // Identifies a counted connection; kept by the owner of the connection.
  struct ConnectionHandle {
    std::uint32_t row = 0;
    bool open = false;
    std::uint32_t quota = 0;  // Index of the quota in which it holds a reservation, plus one; 0: none.
  };

  // A quota in which this proxy holds more reservations than it is currently allowed.
  struct ExcessReservation {
    std::uint32_t quota = 0;      // As in ConnectionHandle.
    std::size_t connections = 0;  // Number of connections to migrate to other relays.
  };

  // An endpoint that accepts new requests.
  struct ListedEndpoint {
    std::string id;
    std::int64_t started_unix_ms = 0;  // When its process started; 0: long ago.
  };

  // What the other relays report about an endpoint, for the balancer.
  struct EndpointHint {
    std::string endpoint;
    double unreported_in_flight = 0;  // Sent by other relays, possibly not in a load report yet.
    double slow_start_tokens = -1;    // Requests allowed now during slow start; negative: unknown.
    bool eject = false;               // Other relays see it failing; no local observation contradicts.
    bool operator==(const EndpointHint&) const = default;
  };

  virtual ~FleetClient() = default;

  // Counts an incoming connection. Each handle must be ended exactly once.
  virtual ConnectionHandle BeginConnection(std::size_t class_index, std::string_view group) = 0;
  // Stops counting the connection and releases its reservation.
  virtual void EndConnection(ConnectionHandle& handle, ConnectionOutcome outcome) = 0;
  // Reserves a unit of the group's connection quota until EndConnection. Returns false if none is left.
  virtual bool TryReserveQuota(ConnectionHandle& handle, std::string_view group) = 0;
  // The quotas that this proxy currently exceeds.
  virtual std::vector<ExcessReservation> ExcessReservations() = 0;

  // Acquires one unit of the fleet's rate quota for retries. Returns true if no such quota is configured.
  virtual bool TryAcquireRetry() = 0;
  // The same for health checks.
  virtual bool TryAcquireProbe() = 0;
  // The same for requests to an endpoint in slow start; each such endpoint has a separate quota.
  virtual bool TryAcquireSlowStartSend(std::string_view endpoint) = 0;

  // Called when a request was sent to the endpoint.
  virtual void OnRequestSent(std::string_view endpoint) = 0;
  // Called when an attempt or a health check has observed the endpoint's condition.
  virtual void OnEndpointObserved(std::string_view endpoint, EndpointCondition condition) = 0;
  // Called after each update of the endpoint list, with all endpoints that accept new requests.
  virtual void OnEndpointsListed(const std::vector<ListedEndpoint>& endpoints) = 0;

  // Returns the hints that have changed since the last call. `in_slow_start`: the endpoints in slow start.
  virtual std::vector<EndpointHint> TakeHints(const std::vector<std::string>& in_slow_start) = 0;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_FLEET_CLIENT_H_
