#include "fleet/message.h"

namespace stoatrun::fleet {
namespace {

// On the wire a number takes at most ten bytes and its tag one or two; small ones take less.
std::size_t Number(std::uint64_t n) {
  std::size_t size = 2;
  while (n >= 0x80) {
    n >>= 7U;
    ++size;
  }
  return size + 1;
}
std::size_t Time(const std::optional<Micros>& t) {
  return t ? Number(static_cast<std::uint64_t>(t->count()) + 1) : 0;
}
std::size_t Text(const std::string& s) { return s.size() + 3; }
constexpr std::size_t kIncarnation = 21;  // Two numbers of the longest form, in a message of their own.
constexpr std::size_t kPart = 4;          // Tag and length of a nested message.

template <typename T>
std::size_t All(const std::vector<T>& parts) {
  std::size_t size = 0;
  for (const T& p : parts) size += SizeOf(p);
  return size;
}

}  // namespace

std::size_t SizeOf(const LeaseRequest& a) {
  return kPart + Number(a.nonce) + Text(a.quota) + Number(a.units) + Number(a.renews);
}
std::size_t SizeOf(const LeaseGrant& g) {
  return kPart + Number(g.nonce) + Number(g.lease) + Text(g.quota) + Number(g.units) + 8 + kIncarnation;
}
std::size_t SizeOf(const LeaseReturn& r) {
  return kPart + Number(r.lease) + kIncarnation + Text(r.quota) + Number(r.units);
}
std::size_t SizeOf(const LeaseReturnAck& s) {
  return kPart + Number(s.lease) + Text(s.quota) + Number(s.units) + kIncarnation;
}
std::size_t SizeOf(const HeldLeases& h) {
  std::size_t size = kPart + kIncarnation + Number(h.covers);
  for (const HeldLeases::Item& i : h.items) size += kPart + Text(i.quota) + Number(i.lease) + Number(i.units);
  return size;
}

std::size_t SizeOf(const MemberUpdate& m) {
  return kPart + Number(m.member_id) + kIncarnation + Number(m.refutations) + 2;
}
std::size_t SizeOf(const ConnectionCountsRow& r) {
  const ConnectionCounts& t = r.counts;
  return kPart + Text(r.group) + Number(r.class_index) + Number(t.accepted) + Number(t.served) +
         Number(t.rejected) + Number(t.failed) + Number(t.open);
}
std::size_t SizeOf(const CountsUpdate& c) {
  return kPart + Number(c.member_id) + kIncarnation + Number(c.version) + Number(c.part) + Number(c.parts) +
         Time(c.age) + 2 + All(c.rows);
}
std::size_t SizeOf(const CountsDigest& h) {
  return kPart - 2 + Number(h.member_id) + 5 + Number(h.version) + Time(h.age) + 2;
}
std::size_t SizeOf(const Evidence& e) {
  return kPart + Number(e.author) + kIncarnation + Text(e.endpoint) +
         Number(static_cast<std::uint64_t>(e.endpoint_start)) + 2 + Number(e.observations) +
         Number(e.version) + Time(e.age) + Time(e.valid);
}
std::size_t SizeOf(const UnreportedSends& s) { return kPart + Text(s.endpoint) + Number(s.count); }
std::size_t SizeOf(const IdleUnits& i) { return kPart + Text(i.quota) + Number(i.units); }

std::size_t SizeOf(const MemberListPage& p) {
  std::size_t size = kPart + Number(p.from) + Number(p.next) + 2 + Text(p.basis);
  for (const auto& [member_id, incarnation] : p.incarnations)
    size += kPart + Number(member_id) + kIncarnation;
  return size;
}

std::size_t SizeOf(const Datagram& d) {
  // Envelope with checksum, schema and fleet, then the header.
  std::size_t size = 12 + Text(d.name) + Number(d.from) + kIncarnation + Number(d.refutations) +
                     Number(d.seq) + Number(d.fleet_size) + 5 + Number(d.echo_seq) +
                     Number(static_cast<std::uint64_t>(d.echo_held.count()));
  if (d.ping) size += kPart + Number(d.ping->nonce) + Number(d.ping->target.value_or(0));
  if (d.ack) size += Number(*d.ack);
  size += All(d.member_updates) + All(d.counts_updates) + All(d.digests) + All(d.evidence) +
          All(d.unreported_sends) + All(d.lease_requests) + All(d.grants) + All(d.returns) +
          All(d.return_acks) + All(d.idle_units);
  if (d.held_leases) size += SizeOf(*d.held_leases);
  if (d.member_list_from) size += Number(*d.member_list_from + 1);
  if (d.member_list) size += SizeOf(*d.member_list);
  return size + 2;
}

}  // namespace stoatrun::fleet
