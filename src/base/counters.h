// Event counters of the proxy. They are written to the log on SIGUSR1 and at exit; the class counters are
// also served by the management endpoint `/v1/metrics`.
//
// Plain integers: they belong to the event loop's thread.
#ifndef STOATRUN_BASE_COUNTERS_H_
#define STOATRUN_BASE_COUNTERS_H_

#include <cstdint>
#include <vector>

#include "base/log.h"

namespace stoatrun {

// Results of the connect requests of one request class, as the management endpoint reports them.
struct ClassCounters {
  std::uint64_t succeeded = 0;  // UP was sent to the client.
  std::uint64_t rejected = 0;   // BUSY was sent: the client may safely retry.
  std::uint64_t aborted = 0;    // Any other final answer was sent.
  std::uint64_t forwards = 0;   // Attempts whose first line was written completely to a host.
};

// Counters of the whole proxy since its start. Their names in the log differ, see counters.cpp.
struct Counters {
  // Client connections.
  std::uint64_t accepted = 0;
  std::uint64_t accept_failed = 0;
  std::uint64_t pings = 0;
  std::uint64_t malformed = 0;              // First lines that are no valid request.
  std::uint64_t evicted = 0;                // Closed before a request to make room for newer connections.
  std::uint64_t rejected_for_capacity = 0;  // Requests rejected for want of descriptors.

  // Requests and connections that clients hold.
  std::uint64_t connect_requests = 0;    // New requests handed to the balancer.
  std::uint64_t resumed = 0;             // Requests that resume a connection after a restart of the proxy.
  std::uint64_t client_disconnects = 0;  // Clients that left before their answer or closed their connection.
  std::uint64_t established = 0;
  std::uint64_t rejected = 0;
  std::uint64_t failed = 0;
  std::uint64_t migrated = 0;  // Moved to another host by the proxy.

  // Attempts to forward a request to a host.
  std::uint64_t attempts = 0;
  std::uint64_t attempts_not_connected = 0;
  std::uint64_t attempts_connection_lost = 0;
  std::uint64_t attempts_timed_out = 0;
  std::uint64_t attempts_rejected = 0;
  std::uint64_t attempts_failed = 0;
  std::uint64_t attempts_denied_by_quota = 0;  // Not sent: a rate quota of the fleet was exhausted.

  // Ends of established connections.
  std::uint64_t served = 0;
  std::uint64_t migrated_by_endpoint = 0;
  std::uint64_t silent_endpoints = 0;  // The host stopped answering.

  // Health checks and discovery.
  std::uint64_t probes = 0;
  std::uint64_t probes_failed = 0;
  std::uint64_t endpoint_updates = 0;
  std::uint64_t watch_failures = 0;

  // Operations.
  std::uint64_t reloads = 0;
  std::uint64_t reloads_failed = 0;
  std::uint64_t drain_calls = 0;
  std::uint64_t activations = 0;
  std::uint64_t drain_migrations = 0;

  std::vector<ClassCounters> classes;  // In the order of the settings' classes.
};

// Appends one field per counter to `record`, under the names that on-call staff search for.
void AddFields(LogLine& record, const Counters& counters);

}  // namespace stoatrun

#endif  // STOATRUN_BASE_COUNTERS_H_
