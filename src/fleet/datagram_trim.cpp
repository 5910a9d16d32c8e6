#include "fleet/datagram_trim.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace stoatrun::fleet {
namespace {

template <typename Part>
void Shed(std::vector<Part>& parts, std::size_t& size) {
  while (size > kMaxDatagramBytes && !parts.empty()) {
    size -= SizeOf(parts.back());
    parts.pop_back();
  }
}

template <typename Part>
void Shed(std::optional<Part>& part, std::size_t& size) {
  if (size <= kMaxDatagramBytes || !part) return;
  size -= SizeOf(*part);
  part.reset();
}

}  // namespace

bool TrimToSize(Datagram& datagram) {
  std::size_t size = SizeOf(datagram);
  if (size <= kMaxDatagramBytes) return false;
  Shed(datagram.idle_units, size);
  Shed(datagram.unreported_sends, size);
  Shed(datagram.counts_updates, size);
  Shed(datagram.member_list, size);  // It is asked for again.
  Shed(datagram.evidence, size);
  Shed(datagram.digests, size);
  Shed(datagram.lease_requests, size);
  Shed(datagram.returns, size);
  Shed(datagram.member_updates, size);
  Shed(datagram.held_leases, size);  // As a whole: half a statement would say that the rest is not held.
  Shed(datagram.return_acks, size);
  Shed(datagram.grants, size);
  return true;
}

}  // namespace stoatrun::fleet
