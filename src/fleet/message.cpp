#include "fleet/message.h"

namespace stoatrun::fleet {
namespace {

constexpr std::size_t kIncarnationBytes = 21;  // Two fixed64 fields in a message of their own.
constexpr std::size_t kNestedHeaderBytes = 4;  // Tag and length of a nested message.
constexpr std::size_t kFixed32Bytes = 5;       // With its tag.
constexpr std::size_t kFlagBytes = 2;          // With its tag; an enumerator takes as much.
constexpr std::size_t kEnvelopeBytes = 12;     // Magic, schema and checksum.

// A varint of at most ten bytes, and its tag of one or two.
std::size_t VarintBytes(std::uint64_t value) {
  std::size_t size = 2;
  while (value >= 0x80) {
    value >>= 7U;
    ++size;
  }
  return size + 1;
}
std::size_t TimeBytes(const std::optional<Micros>& time) {
  return time ? VarintBytes(static_cast<std::uint64_t>(time->count()) + 1) : 0;
}
std::size_t TextBytes(const std::string& text) { return text.size() + 3; }

template <typename T>
std::size_t TotalBytes(const std::vector<T>& parts) {
  std::size_t size = 0;
  for (const T& part : parts) size += SizeOf(part);
  return size;
}

}  // namespace

std::size_t SizeOf(const LeaseRequest& request) {
  return kNestedHeaderBytes + VarintBytes(request.nonce) + TextBytes(request.quota) +
         VarintBytes(request.units) + VarintBytes(request.renews);
}

std::size_t SizeOf(const LeaseGrant& grant) {
  constexpr std::size_t kLengthBytes = 8;  // At most kLeaseDuration.
  return kNestedHeaderBytes + VarintBytes(grant.nonce) + VarintBytes(grant.lease) + TextBytes(grant.quota) +
         VarintBytes(grant.units) + kLengthBytes + kIncarnationBytes;
}

std::size_t SizeOf(const LeaseReturn& lease_return) {
  return kNestedHeaderBytes + VarintBytes(lease_return.lease) + kIncarnationBytes +
         TextBytes(lease_return.quota) + VarintBytes(lease_return.units);
}

std::size_t SizeOf(const LeaseReturnAck& ack) {
  return kNestedHeaderBytes + VarintBytes(ack.lease) + TextBytes(ack.quota) + VarintBytes(ack.units) +
         kIncarnationBytes;
}

std::size_t SizeOf(const HeldLeases& held) {
  std::size_t size = kNestedHeaderBytes + kIncarnationBytes + VarintBytes(held.covers);
  for (const HeldLeases::Item& item : held.items) {
    size += kNestedHeaderBytes + TextBytes(item.quota) + VarintBytes(item.lease) + VarintBytes(item.units);
  }
  return size;
}

std::size_t SizeOf(const MemberUpdate& update) {
  return kNestedHeaderBytes + VarintBytes(update.member_id) + kIncarnationBytes +
         VarintBytes(update.refutations) + kFlagBytes;
}

std::size_t SizeOf(const ConnectionCountsRow& row) {
  const ConnectionCounts& counts = row.counts;
  return kNestedHeaderBytes + TextBytes(row.group) + VarintBytes(row.class_index) +
         VarintBytes(counts.accepted) + VarintBytes(counts.served) + VarintBytes(counts.rejected) +
         VarintBytes(counts.failed) + VarintBytes(counts.open);
}

std::size_t SizeOf(const CountsUpdate& update) {
  return kNestedHeaderBytes + VarintBytes(update.member_id) + kIncarnationBytes +
         VarintBytes(update.version) + VarintBytes(update.part) + VarintBytes(update.parts) +
         TimeBytes(update.age) + kFlagBytes + TotalBytes(update.rows);
}

std::size_t SizeOf(const CountsDigest& digest) {
  constexpr std::size_t kHeaderBytes = 2;  // A digest is so short that its length takes one byte.
  return kHeaderBytes + VarintBytes(digest.member_id) + kFixed32Bytes + VarintBytes(digest.version) +
         TimeBytes(digest.age) + kFlagBytes;
}

std::size_t SizeOf(const Evidence& evidence) {
  return kNestedHeaderBytes + VarintBytes(evidence.author) + kIncarnationBytes +
         TextBytes(evidence.endpoint) + VarintBytes(static_cast<std::uint64_t>(evidence.endpoint_start)) +
         kFlagBytes + VarintBytes(evidence.observations) + VarintBytes(evidence.version) +
         TimeBytes(evidence.age) + TimeBytes(evidence.valid);
}

std::size_t SizeOf(const UnreportedSends& sends) {
  return kNestedHeaderBytes + TextBytes(sends.endpoint) + VarintBytes(sends.count);
}

std::size_t SizeOf(const IdleUnits& idle) {
  return kNestedHeaderBytes + TextBytes(idle.quota) + VarintBytes(idle.units);
}

std::size_t SizeOf(const MemberListPage& page) {
  std::size_t size = kNestedHeaderBytes + VarintBytes(page.from) + VarintBytes(page.next) + kFlagBytes +
                     TextBytes(page.basis);
  for (const MemberIncarnation& run : page.incarnations) {
    size += kNestedHeaderBytes + VarintBytes(run.member_id) + kIncarnationBytes;
  }
  return size;
}

std::size_t SizeOf(const Datagram& datagram) {
  std::size_t size = kEnvelopeBytes + TextBytes(datagram.name) + VarintBytes(datagram.from) +
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
