#include "endpoint/endpoint_snapshot.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <cstring>

#include "endpoint_snapshot.pb.h"

namespace stoatrun {
namespace {

// Before the checksum, so that a file of zeros has none that fits.
constexpr std::uint64_t kChecksumSeed = 0x53544f4154525553;
using Checksum = std::array<char, sizeof(std::uint64_t)>;

// Both processes run on one machine, so the byte order is the machine's.
Checksum ChecksumOf(std::string_view payload) {
  const std::uint64_t hash = XXH3_64bits_withSeed(payload.data(), payload.size(), kChecksumSeed);
  Checksum bytes{};
  std::memcpy(bytes.data(), &hash, sizeof hash);
  return bytes;
}

void AddEndpoint(const Endpoint& endpoint, endpoint::wire::EndpointSnapshot& wire) {
  endpoint::wire::Endpoint& entry = *wire.add_endpoints();
  entry.set_id(endpoint.id);
  entry.set_address(endpoint.address);
  entry.set_locality(endpoint.locality);
  entry.set_draining(endpoint.state == EndpointState::kDraining);
  entry.set_cell(endpoint.cell);
  entry.set_size(endpoint.size);
  entry.set_started_unix_ms(endpoint.started_unix_ms);
}

Endpoint ToEndpoint(const endpoint::wire::Endpoint& entry) {
  return {.id = entry.id(),
          .address = entry.address(),
          .locality = entry.locality(),
          .state = entry.draining() ? EndpointState::kDraining : EndpointState::kReady,
          .cell = entry.cell(),
          .size = entry.size(),
          .started_unix_ms = entry.started_unix_ms()};
}

std::string_view CheckedPayload(std::string_view bytes) {
  if (bytes.size() < sizeof(Checksum)) throw SnapshotError("cut short");
  const std::string_view payload = bytes.substr(sizeof(Checksum));
  const Checksum expected = ChecksumOf(payload);
  if (!std::equal(expected.begin(), expected.end(), bytes.begin())) throw SnapshotError("damaged");
  return payload;
}

void CheckOrigin(const endpoint::wire::EndpointSnapshot& wire, const SnapshotOrigin& origin) {
  if (wire.relay() != origin.relay) throw SnapshotError("of another relay");
  if (wire.boot_id() != origin.boot_id) throw SnapshotError("from before the machine's last start");
}

}  // namespace

std::string EncodeSnapshot(const EndpointSnapshot& snapshot, const SnapshotOrigin& origin) {
  endpoint::wire::EndpointSnapshot wire;
  wire.set_relay(origin.relay);
  wire.set_boot_id(origin.boot_id);
  wire.set_written_at_us(snapshot.written_at.count());
  wire.set_discovery(snapshot.discovery);
  wire.set_service_since_us(snapshot.service_since.count());
  wire.set_revision(snapshot.list.revision);
  for (const Endpoint& endpoint : snapshot.list.entries) AddEndpoint(endpoint, wire);
  wire.set_current_at_us(snapshot.freshness.current_at.count());
  wire.set_watch_fell_silent(snapshot.freshness.watch_fell_silent);
  if (const auto deadline = snapshot.freshness.reload_deadline) {
    wire.set_reload_deadline_us(deadline->count());
  }
  const std::string payload = wire.SerializeAsString();
  const Checksum checksum = ChecksumOf(payload);
  return std::string(checksum.begin(), checksum.end()) + payload;
}

EndpointSnapshot DecodeSnapshot(std::string_view bytes, const SnapshotOrigin& origin, Micros now) {
  const std::string_view payload = CheckedPayload(bytes);
  endpoint::wire::EndpointSnapshot wire;
  if (!wire.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
    throw SnapshotError("not a list of endpoints");
  }
  CheckOrigin(wire, origin);
  EndpointSnapshot snapshot;
  snapshot.written_at = Micros(wire.written_at_us());
  snapshot.discovery = wire.discovery();
  snapshot.service_since = Micros(wire.service_since_us());
  snapshot.list.revision = wire.revision();
  snapshot.list.complete = true;
  if (static_cast<std::size_t>(wire.endpoints_size()) > kMaxEndpoints) throw SnapshotError("too long");
  for (const auto& entry : wire.endpoints()) snapshot.list.entries.push_back(ToEndpoint(entry));
  snapshot.freshness = {Micros(wire.current_at_us()), wire.watch_fell_silent(), {}};
  if (wire.has_reload_deadline_us()) snapshot.freshness.reload_deadline = Micros(wire.reload_deadline_us());
  if (std::max(snapshot.written_at, snapshot.freshness.current_at) > now) {
    throw SnapshotError("from a time that has not come");
  }
  return snapshot;
}

}  // namespace stoatrun
