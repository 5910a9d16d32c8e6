#include "fleet/message.h"

namespace stoatrun::fleet {
namespace {

constexpr std::size_t kIncarnationBytes = 21;  // A nested message of two fixed64 fields.
constexpr std::size_t kNestedHeaderBytes = 4;  // Tag and length of a nested message.
constexpr std::size_t kFixed32Bytes = 5;       // Including the tag.
constexpr std::size_t kFlagBytes = 2;          // Including the tag; the same for an enumerator.
constexpr std::size_t kEnvelopeBytes = 12;     // Magic, schema and checksum.

// Size of a varint of at most ten bytes with a tag of at most two.
std::size_t VarintBytes(std::uint64_t value) {
  std::size_t size = 2;
  while (value >= 0x80) {
    value >>= 7U;
    ++size;
  }
  return size + 1;
}
std::size_t DurationBytes(const std::optional<Micros>& time) {
  return time ? VarintBytes(static_cast<std::uint64_t>(time->count()) + 1) : 0;
}
std::size_t StringBytes(const std::string& text) { return text.size() + 3; }

template <typename T>
std::size_t TotalBytes(const std::vector<T>& parts) {
  std::size_t size = 0;
  for (const T& part : parts) size += SizeOf(part);
  return size;
}

}  // namespace

std::size_t SizeOf(const LeaseRequest& request) {
  return kNestedHeaderBytes + VarintBytes(request.nonce) + StringBytes(request.quota) +
         VarintBytes(request.units) + VarintBytes(request.renews);
}

std::size_t SizeOf(const LeaseGrant& grant) {
  constexpr std::size_t kLengthBytes = 8;  // At most kLeaseDuration.
  return kNestedHeaderBytes + VarintBytes(grant.nonce) + VarintBytes(grant.lease) + StringBytes(grant.quota) +
         VarintBytes(grant.units) + kLengthBytes + kIncarnationBytes;
}

std::size_t SizeOf(const LeaseReturn& lease_return) {
  return kNestedHeaderBytes + VarintBytes(lease_return.lease) + kIncarnationBytes +
         StringBytes(lease_return.quota) + VarintBytes(lease_return.units);
}

std::size_t SizeOf(const LeaseReturnAck& ack) {
  return kNestedHeaderBytes + VarintBytes(ack.lease) + StringBytes(ack.quota) + VarintBytes(ack.units) +
         kIncarnationBytes;
}

std::size_t SizeOf(const HeldLeases& held) {
  std::size_t size = kNestedHeaderBytes + kIncarnationBytes + VarintBytes(held.covers);
  for (const HeldLeases::Item& item : held.items) {
    size += kNestedHeaderBytes + StringBytes(item.quota) + VarintBytes(item.lease) + VarintBytes(item.units);
  }
  return size;
}

std::size_t SizeOf(const MemberUpdate& update) {
  return kNestedHeaderBytes + VarintBytes(update.member_id) + kIncarnationBytes +
         VarintBytes(update.refutations) + kFlagBytes;
}

std::size_t SizeOf(const ConnectionCountsRow& row) {
  const ConnectionCounts& counts = row.counts;
  return kNestedHeaderBytes + StringBytes(row.group) + VarintBytes(row.class_index) +
         VarintBytes(counts.accepted) + VarintBytes(counts.served) + VarintBytes(counts.rejected) +
         VarintBytes(counts.failed) + VarintBytes(counts.open);
}

std::size_t SizeOf(const CountsUpdate& update) {
  return kNestedHeaderBytes + VarintBytes(update.member_id) + kIncarnationBytes +
         VarintBytes(update.version) + VarintBytes(update.part) + VarintBytes(update.parts) +
         DurationBytes(update.age) + kFlagBytes + TotalBytes(update.rows);
}

std::size_t SizeOf(const CountsDigest& digest) {
  constexpr std::size_t kHeaderBytes = 2;  // A digest is short enough for a one-byte length.
  return kHeaderBytes + VarintBytes(digest.member_id) + kFixed32Bytes + VarintBytes(digest.version) +
         DurationBytes(digest.age) + kFlagBytes;
}

std::size_t SizeOf(const Evidence& evidence) {
  return kNestedHeaderBytes + VarintBytes(evidence.author) + kIncarnationBytes +
         StringBytes(evidence.endpoint) + VarintBytes(static_cast<std::uint64_t>(evidence.endpoint_start)) +
         kFlagBytes + VarintBytes(evidence.observations) + VarintBytes(evidence.version) +
         DurationBytes(evidence.age) + DurationBytes(evidence.valid);
}

std::size_t SizeOf(const UnreportedSends& sends) {
  return kNestedHeaderBytes + StringBytes(sends.endpoint) + VarintBytes(sends.count);
}

std::size_t SizeOf(const IdleUnits& idle) {
  return kNestedHeaderBytes + StringBytes(idle.quota) + VarintBytes(idle.units);
}

std::size_t SizeOf(const MemberListPage& page) {
  std::size_t size = kNestedHeaderBytes + VarintBytes(page.from) + VarintBytes(page.next) + kFlagBytes +
                     StringBytes(page.basis);
  for (const MemberIncarnation& run : page.incarnations) {
    size += kNestedHeaderBytes + VarintBytes(run.member_id) + kIncarnationBytes;
  }
  return size;
}

std::size_t SizeOf(const Datagram& datagram) {
  std::size_t size = kEnvelopeBytes + StringBytes(datagram.name) + VarintBytes(datagram.from) +
                     kIncarnationBytes + VarintBytes(datagram.refutations) + VarintBytes(datagram.seq) +
                     VarintBytes(datagram.fleet_size) + kFixed32Bytes + VarintBytes(datagram.echo_seq) +
                     VarintBytes(static_cast<std::uint64_t>(datagram.echo_held.count()));
  if (datagram.ping) {
    size += kNestedHeaderBytes + VarintBytes(datagram.ping->nonce) +
            VarintBytes(datagram.ping->target.value_or(0));
  }
  if (datagram.ack) size += VarintBytes(*datagram.ack);
  size += TotalBytes(datagram.member_updates) + TotalBytes(datagram.counts_updates) +
          TotalBytes(datagram.digests) + TotalBytes(datagram.evidence) +
          TotalBytes(datagram.unreported_sends) + TotalBytes(datagram.lease_requests) +
          TotalBytes(datagram.grants) + TotalBytes(datagram.returns) + TotalBytes(datagram.return_acks) +
          TotalBytes(datagram.idle_units);
  if (datagram.held_leases) size += SizeOf(*datagram.held_leases);
  if (datagram.member_list_from) size += VarintBytes(*datagram.member_list_from + 1);
  if (datagram.member_list) size += SizeOf(*datagram.member_list);
  return size + kFlagBytes;
}

}  // namespace stoatrun::fleet
