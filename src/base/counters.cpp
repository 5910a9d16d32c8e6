#include "base/counters.h"

namespace stoatrun {

// This is the only place that maps counters to their names in the log, which docs/ON-CALL.md documents.
void AddFields(LogLine& record, const Counters& counters) {
  record.Field("accepted", counters.accepted)
      .Field("accept_failed", counters.accept_failed)
      .Field("pings", counters.pings)
      .Field("malformed", counters.malformed)
      .Field("evicted", counters.evicted)
      .Field("rejected_no_descriptors", counters.rejected_for_capacity)
      .Field("requests", counters.connect_requests)
      .Field("resumed", counters.resumed)
      .Field("client_disconnects", counters.client_disconnects)
      .Field("established", counters.established)
      .Field("rejected", counters.rejected)
      .Field("failed", counters.failed)
      .Field("migrated", counters.migrated)
      .Field("attempts", counters.attempts)
      .Field("attempts_not_connected", counters.attempts_not_connected)
      .Field("attempts_connection_lost", counters.attempts_connection_lost)
      .Field("attempts_timed_out", counters.attempts_timed_out)
      .Field("attempts_rejected", counters.attempts_rejected)
      .Field("attempts_failed", counters.attempts_failed)
      .Field("attempts_denied_by_overdue_list", counters.attempts_denied_by_overdue_list)
      .Field("attempts_too_late", counters.attempts_too_late)
      .Field("served", counters.served)
      .Field("endpoint_migrated", counters.migrated_by_endpoint)
      .Field("silent_endpoints", counters.silent_endpoints)
      .Field("probes", counters.probes)
      .Field("probes_failed", counters.probes_failed)
      .Field("drain_calls", counters.drain_calls)
      .Field("activations", counters.activations)
      .Field("drain_migrations", counters.drain_migrations)
      .Field("endpoint_updates", counters.endpoint_updates)
      .Field("watch_calls", counters.watch_calls)
      .Field("watch_failures", counters.watch_failures)
      .Field("reloads", counters.reloads)
      .Field("reloads_failed", counters.reloads_failed);
}

}  // namespace stoatrun
