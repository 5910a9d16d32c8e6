// Keeps datagrams within their size limit.
#ifndef STOATRUN_FLEET_DATAGRAM_TRIM_H_
#define STOATRUN_FLEET_DATAGRAM_TRIM_H_

#include "fleet/message.h"

namespace stoatrun::fleet {

// Drops parts of a datagram that exceeds kMaxDatagramBytes, those first that are soonest repeated anyhow;
// leases and their grants go last. Returns true if the datagram was too large.
bool TrimToSize(Datagram& datagram);

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_DATAGRAM_TRIM_H_
