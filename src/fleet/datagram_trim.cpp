#include "fleet/datagram_trim.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace stoatrun::fleet {
namespace {

template <typename Part>
void DropUntilFits(std::vector<Part>& parts, std::size_t& size) {
  while (size > kMaxDatagramBytes && !parts.empty()) {
    size -= SizeOf(parts.back());
    parts.pop_back();
  }
}

template <typename Part>
void DropUntilFits(std::optional<Part>& part, std::size_t& size) {
  if (size <= kMaxDatagramBytes || !part) return;
  size -= SizeOf(*part);
  part.reset();
}

}  // namespace

bool TrimToSize(Datagram& datagram) {
  std::size_t size = SizeOf(datagram);
  if (size <= kMaxDatagramBytes) return false;
  DropUntilFits(datagram.idle_units, size);
  DropUntilFits(datagram.unreported_sends, size);
  DropUntilFits(datagram.counts_updates, size);
  DropUntilFits(datagram.member_list, size);  // Requested again after a timeout.
  DropUntilFits(datagram.evidence, size);
  DropUntilFits(datagram.digests, size);
  DropUntilFits(datagram.lease_requests, size);
  DropUntilFits(datagram.returns, size);
  DropUntilFits(datagram.member_updates, size);
  // Dropped as a whole: an absent item means that the lease is not held.
  DropUntilFits(datagram.held_leases, size);
  DropUntilFits(datagram.return_acks, size);
  DropUntilFits(datagram.grants, size);
  return true;
}

}  // namespace stoatrun::fleet
