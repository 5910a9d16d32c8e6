#include "base/counters.h"

namespace stoatrun {

// The one place that maps counters to their names in the log, which are documented for operators and stay.
void AddFields(LogLine& record, const Counters& counters) {
  record.Field("accepted", counters.accepted)
      .Field("accept_failed", counters.accept_failed)
      .Field("pings", counters.pings)
      .Field("malformed", counters.malformed)
      .Field("crowded_out", counters.evicted)
      .Field("no_room", counters.rejected_for_capacity)
      .Field("authorisations", counters.connect_requests)
      .Field("resumed", counters.resumed)
      .Field("client_left", counters.client_disconnects)
      .Field("up", counters.established)
      .Field("declined", counters.rejected)
      .Field("failed", counters.failed)
      .Field("moved", counters.migrated)
      .Field("legs", counters.attempts)
      .Field("legs_not_connected", counters.attempts_not_connected)
      .Field("legs_cut", counters.attempts_connection_lost)
      .Field("legs_timed_out", counters.attempts_timed_out)
      .Field("legs_turned_away", counters.attempts_rejected)
      .Field("legs_error", counters.attempts_failed)
      .Field("served", counters.served)
      .Field("host_moved", counters.migrated_by_host)
      .Field("silent", counters.silent_hosts)
      .Field("probes", counters.probes)
      .Field("probes_failed", counters.probes_failed)
      .Field("drains_called", counters.drain_calls)
      .Field("activations", counters.activations)
      .Field("drain_moves", counters.drain_migrations)
      .Field("lists", counters.endpoint_updates)
      .Field("watches_failed", counters.watch_failures)
      .Field("reloads", counters.reloads)
      .Field("reloads_failed", counters.reloads_failed);
}

}  // namespace stoatrun
