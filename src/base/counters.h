// Event counters of the proxy, logged on SIGUSR1 and at exit. The class counters are also served by the
// management server at `/v1/metrics`.
//
// Not thread-safe: only the event loop's thread accesses them.
#ifndef STOATRUN_BASE_COUNTERS_H_
#define STOATRUN_BASE_COUNTERS_H_

#include <cstdint>
#include <vector>

#include "base/log.h"

namespace stoatrun {

// Results of the connect requests of one request class, as reported by the management server.
struct ClassCounters {
  std::uint64_t succeeded = 0;  // UP was sent to the client.
  std::uint64_t rejected = 0;   // BUSY was sent; the client may safely retry.
  std::uint64_t aborted = 0;    // Any other final response was sent.
  std::uint64_t forwards = 0;   // Attempts whose first line was written completely to an endpoint.
};

// Counters of the whole proxy since it started. Some have other names in the log, see counters.cpp.
struct Counters {
  // Client connections.
  std::uint64_t accepted = 0;
  std::uint64_t accept_failed = 0;
  std::uint64_t pings = 0;
  std::uint64_t malformed = 0;  // First lines that are not a valid request.
  std::uint64_t evicted = 0;    // Closed before a request, to free capacity for newer connections.
  std::uint64_t rejected_for_capacity = 0;  // Requests rejected because no file descriptor was available.

  // Requests and established client connections.
  std::uint64_t connect_requests = 0;    // New requests passed to the balancer.
  std::uint64_t resumed = 0;             // Requests that resume a connection after a proxy restart.
  std::uint64_t client_disconnects = 0;  // Clients that disconnected, before or after the response.
  std::uint64_t established = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t migrated = 0;  // Migrated to another endpoint by the proxy.

  // Attempts to forward a request to an endpoint.
  std::uint64_t attempts = 0;
  std::uint64_t attempts_not_connected = 0;
  std::uint64_t attempts_connection_lost = 0;
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t attempts_rejected = 0;
  std::uint64_t attempts_failed = 0;
  std::uint64_t attempts_denied_by_quota = 0;  // Not sent: a fleet-wide rate quota was exhausted.
  // Not sent: the endpoint list may lack changes that the platform assumes the proxy to know.
  std::uint64_t attempts_denied_by_overdue_list = 0;
  // Not sent, or not completely: the time in which the request may be written was over.
  std::uint64_t attempts_too_late = 0;

  // Ends of established connections.
  std::uint64_t served = 0;
  std::uint64_t migrated_by_endpoint = 0;
  std::uint64_t silent_endpoints = 0;  // The endpoint stopped responding.

  // Health checks and discovery.
  std::uint64_t probes = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t endpoint_updates = 0;
  std::uint64_t watch_calls = 0;
  std::uint64_t watch_failures = 0;

  // Operations.
  std::uint64_t reloads = 0;
  std::uint64_t reloads_failed = 0;
  std::uint64_t drain_calls = 0;
  std::uint64_t activations = 0;
  std::uint64_t drain_migrations = 0;

  std::vector<ClassCounters> classes;  // In the order of the configured classes.
};

// Appends one field per counter to `record`, under the names that operators search for.
void AddFields(LogLine& record, const Counters& counters);

}  // namespace stoatrun

#endif  // STOATRUN_BASE_COUNTERS_H_
