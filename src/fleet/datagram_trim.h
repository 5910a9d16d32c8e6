// Keeps datagrams within the size limit.
#ifndef STOATRUN_FLEET_DATAGRAM_TRIM_H_
#define STOATRUN_FLEET_DATAGRAM_TRIM_H_

#include "fleet/message.h"

namespace stoatrun::fleet {

// Drops parts of a datagram that exceeds kMaxDatagramBytes until it fits. Parts that are resent soonest in
// any case go first, acknowledgements of lease returns and lease grants last. Returns true if the datagram
// was too large.
bool TrimToSize(Datagram& datagram);

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_DATAGRAM_TRIM_H_
