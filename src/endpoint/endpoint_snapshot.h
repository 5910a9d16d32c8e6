// The complete endpoint list of a process with its freshness, and its encoding for another process of the
// same relay: EndpointSnapshot of proto/endpoint_snapshot.proto behind its XXH3 checksum. No I/O.
#ifndef STOATRUN_ENDPOINT_ENDPOINT_SNAPSHOT_H_
#define STOATRUN_ENDPOINT_ENDPOINT_SNAPSHOT_H_

#include <string>
#include <string_view>

#include "base/clock.h"
#include "base/error.h"
#include "endpoint/endpoint_update.h"
#include "endpoint/list_freshness.h"

namespace stoatrun {

// The list of one process.
struct EndpointSnapshot {
  Micros written_at{0};
  std::string discovery;    // The address of the service that sent the list, as configured.
  Micros service_since{0};  // When the process began to use its present service, which may be another one.
  EndpointUpdate list;      // Complete.
  ListFreshness freshness;
};

// Whose snapshots a process may use. Those of another relay, or from before the machine's last start, say
// nothing about its own list.
struct SnapshotOrigin {
  std::string relay;
  std::string boot_id;
};

// A snapshot can't be used. The message tells the operator why.
class SnapshotError : public Error {
 public:
  explicit SnapshotError(const std::string& message) : Error(ErrorCode::kMalformedInput, message) {}
};

// Encodes `snapshot`.
std::string EncodeSnapshot(const EndpointSnapshot& snapshot, const SnapshotOrigin& origin);
// Decodes a snapshot. Throws SnapshotError if `bytes` are damaged or not of `origin`, or if a time lies after
// `now`.
EndpointSnapshot DecodeSnapshot(std::string_view bytes, const SnapshotOrigin& origin, Micros now);

}  // namespace stoatrun

#endif  // STOATRUN_ENDPOINT_ENDPOINT_SNAPSHOT_H_
