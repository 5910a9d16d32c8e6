#include "net/counters.h"

namespace stoatrun {

std::ostream& operator<<(std::ostream& out, const Counters& c) {
  return out << "counters accepted=" << c.accepted << " accept_failed=" << c.accept_failed
             << " pings=" << c.pings << " malformed=" << c.malformed << " crowded_out=" << c.crowded_out
             << " no_room=" << c.no_room << " authorisations=" << c.authorisations << " resumed=" << c.resumed
             << " client_left=" << c.client_left << " up=" << c.up << " declined=" << c.declined
             << " failed=" << c.failed << " moved=" << c.moved << " legs=" << c.legs
             << " legs_not_connected=" << c.legs_not_connected << " legs_cut=" << c.legs_cut
             << " legs_timed_out=" << c.legs_timed_out << " legs_turned_away=" << c.legs_turned_away
             << " legs_error=" << c.legs_error << " served=" << c.served << " host_moved=" << c.host_moved
             << " silent=" << c.silent << " probes=" << c.probes << " probes_failed=" << c.probes_failed
             << " lists=" << c.lists << " watches_failed=" << c.watches_failed << " reloads=" << c.reloads
             << " reloads_failed=" << c.reloads_failed;
}

}  // namespace stoatrun
