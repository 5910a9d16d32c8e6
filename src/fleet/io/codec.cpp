#include "fleet/io/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>

#include "fleet.pb.h"

namespace stoatrun::fleet {
namespace {

constexpr std::string_view kMagic = "SF";
constexpr std::size_t kHead = 2 + 1 + 8;
// No list in a datagram of 1,200 bytes is longer; a bound for what a forged one could make us keep.
constexpr int kMostItems = 1200;
constexpr std::uint64_t kMostUs = 400ULL * 24 * 3600 * 1'000'000;  // Longer times are nonsense.

std::uint64_t Sum(std::string_view bytes, const std::string& fleet) {
  return XXH64(bytes.data(), bytes.size(), XXH64(fleet.data(), fleet.size(), kSchema));
}

void Put(const Incarnation& incarnation, wire::Incarnation* out) {
  out->set_generation(incarnation.generation);
  out->set_id(incarnation.id);
}
Incarnation Get(const wire::Incarnation& incarnation) { return {incarnation.generation(), incarnation.id()}; }

std::uint64_t Us(Micros t) { return static_cast<std::uint64_t>(std::max<std::int64_t>(0, t.count())); }
std::uint64_t AgeUs(const std::optional<Micros>& age) { return age ? Us(*age) + 1 : 0; }
Micros Time(std::uint64_t us) { return Micros(static_cast<std::int64_t>(std::min(us, kMostUs))); }
// An age so long that it is nonsense bounds nothing.
std::optional<Micros> Age(std::uint64_t us) {
  return us == 0 || us > kMostUs ? std::nullopt : std::optional(Micros(static_cast<std::int64_t>(us - 1)));
}

}  // namespace

std::string Encode(const Datagram& d, const std::string& fleet) {
  wire::Datagram w;
  w.set_from(d.from);
  w.set_name(d.name);
  Put(d.incarnation, w.mutable_incarnation());
  w.set_refutations(d.refutations);
  w.set_seq(d.seq);
  w.set_fleet_size(d.fleet_size);
  if (d.echo_run != 0) {
    w.set_echo_run(d.echo_run);
    w.set_echo_seq(d.echo_seq);
    w.set_echo_held_us(Us(d.echo_held));
  }
  if (d.ping) {
    w.mutable_ping()->set_nonce(d.ping->nonce);
    if (d.ping->target) w.mutable_ping()->set_target(*d.ping->target + 1);
  }
  if (d.ack) w.set_ack(*d.ack);
  for (const MemberUpdate& m : d.member_updates) {
    auto* out = w.add_member_updates();
    out->set_member_id(m.member_id);
    Put(m.incarnation, out->mutable_incarnation());
    out->set_refutations(m.refutations);
    out->set_state(static_cast<std::uint32_t>(m.state));
  }
  for (const CountsUpdate& c : d.counts_updates) {
    auto* out = w.add_counts_updates();
    out->set_member_id(c.member_id);
    Put(c.incarnation, out->mutable_incarnation());
    out->set_version(c.version);
    out->set_part(c.part);
    out->set_parts(c.parts);
    out->set_age_us(AgeUs(c.age));
    out->set_ended(c.ended);
    for (const ConnectionCountsRow& r : c.rows) {
      auto* row = out->add_rows();
      row->set_group(r.group);
      row->set_class_index(r.class_index);
      row->set_accepted(r.counts.accepted);
      row->set_served(r.counts.served);
      row->set_rejected(r.counts.rejected);
      row->set_failed(r.counts.failed);
      row->set_open(r.counts.open);
    }
  }
  for (const CountsDigest& h : d.digests) {
    auto* out = w.add_digests();
    out->set_member_id(h.member_id);
    out->set_run(h.run);
    out->set_version(h.version);
    out->set_age_us(AgeUs(h.age));
    out->set_ended(h.ended);
  }
  w.set_periodic(d.periodic);
  if (d.member_list_from) w.set_member_list_from(*d.member_list_from + 1);
  if (d.member_list) {
    auto* page = w.mutable_member_list();
    page->set_from(d.member_list->from);
    page->set_next(d.member_list->next);
    page->set_complete(d.member_list->complete);
    page->set_basis(d.member_list->basis);
    for (const auto& [member_id, incarnation] : d.member_list->incarnations) {
      auto* run = page->add_runs();
      run->set_member_id(member_id);
      Put(incarnation, run->mutable_incarnation());
    }
  }
  for (const Evidence& e : d.evidence) {
    auto* out = w.add_evidence();
    out->set_author(e.author);
    Put(e.incarnation, out->mutable_incarnation());
    out->set_endpoint(e.endpoint);
    out->set_endpoint_start(e.endpoint_start);
    out->set_verdict(static_cast<std::uint32_t>(e.verdict));
    out->set_observations(e.observations);
    out->set_version(e.version);
    out->set_age_us(AgeUs(e.age));
    out->set_valid_us(Us(e.valid));
  }
  for (const UnreportedSends& s : d.unreported_sends) {
    auto* out = w.add_unreported_sends();
    out->set_endpoint(s.endpoint);
    out->set_count(s.count);
  }
  for (const LeaseRequest& a : d.lease_requests) {
    auto* out = w.add_lease_requests();
    out->set_nonce(a.nonce);
    out->set_quota(a.quota);
    out->set_units(a.units);
    out->set_renews(a.renews);
  }
  for (const LeaseGrant& g : d.grants) {
    auto* out = w.add_grants();
    out->set_nonce(g.nonce);
    out->set_lease(g.lease);
    out->set_quota(g.quota);
    out->set_units(g.units);
    out->set_length_us(Us(g.length));
    Put(g.borrower, out->mutable_borrower());
  }
  for (const LeaseReturn& r : d.returns) {
    auto* out = w.add_returns();
    out->set_lease(r.lease);
    Put(r.lender, out->mutable_lender());
    out->set_quota(r.quota);
    out->set_units(r.units);
  }
  for (const LeaseReturnAck& s : d.return_acks) {
    auto* out = w.add_return_acks();
    out->set_lease(s.lease);
    out->set_quota(s.quota);
    out->set_units(s.units);
    Put(s.borrower, out->mutable_borrower());
  }
  if (d.held_leases) {
    Put(d.held_leases->lender, w.mutable_held_leases()->mutable_lender());
    w.mutable_held_leases()->set_covers(d.held_leases->covers);
    for (const HeldLeases::Item& i : d.held_leases->items) {
      auto* out = w.mutable_held_leases()->add_items();
      out->set_quota(i.quota);
      out->set_lease(i.lease);
      out->set_units(i.units);
    }
  }
  w.set_wants_held_leases(d.wants_held_leases);
  for (const IdleUnits& i : d.idle_units) {
    auto* out = w.add_idle_units();
    out->set_quota(i.quota);
    out->set_units(i.units);
  }
  std::string bytes(kHead, '\0');
  w.AppendToString(&bytes);
  const std::uint64_t sum = Sum(std::string_view(bytes).substr(kHead), fleet);
  std::copy(kMagic.begin(), kMagic.end(), bytes.begin());
  bytes[2] = static_cast<char>(kSchema);
  for (std::size_t k = 0; k < 8; ++k) bytes[3 + k] = static_cast<char>(sum >> (8 * k));
  return bytes;
}

std::variant<Datagram, DecodeError> Decode(std::string_view bytes, const std::string& fleet) {
  if (bytes.size() < kHead || !bytes.starts_with(kMagic)) return DecodeError::kNotOurs;
  if (static_cast<std::uint8_t>(bytes[2]) != kSchema) return DecodeError::kSchema;
  std::uint64_t sum = 0;
  for (std::size_t k = 0; k < 8; ++k)
    sum |= std::uint64_t{static_cast<unsigned char>(bytes[3 + k])} << (8 * k);
  const std::string_view body = bytes.substr(kHead);
  if (sum != Sum(body, fleet)) return DecodeError::kChecksum;
  wire::Datagram w;
  if (!w.ParseFromArray(body.data(), static_cast<int>(body.size()))) return DecodeError::kMalformed;
  for (const int n : {w.member_updates_size(), w.counts_updates_size(), w.digests_size(), w.evidence_size(),
                      w.unreported_sends_size(), w.lease_requests_size(), w.grants_size(), w.returns_size(),
                      w.return_acks_size(), w.idle_units_size(), w.member_list().runs_size()}) {
    if (n > kMostItems) return DecodeError::kMalformed;
  }
  Datagram d;
  d.from = w.from();
  d.name = w.name();
  d.incarnation = Get(w.incarnation());
  d.refutations = w.refutations();
  d.seq = w.seq();
  d.fleet_size = w.fleet_size();
  d.echo_run = w.echo_run();
  d.echo_seq = w.echo_seq();
  d.echo_held = Time(w.echo_held_us());
  if (w.has_ping()) {
    d.ping = Ping{w.ping().nonce(), std::nullopt};
    if (w.ping().target() > 0) d.ping->target = w.ping().target() - 1;
  }
  if (w.ack() != 0) d.ack = w.ack();
  for (const auto& m : w.member_updates()) {
    if (m.state() > static_cast<std::uint32_t>(MemberState::kLeft)) return DecodeError::kMalformed;
    d.member_updates.push_back(
        {m.member_id(), Get(m.incarnation()), m.refutations(), static_cast<MemberState>(m.state())});
  }
  for (const auto& c : w.counts_updates()) {
    CountsUpdate update{c.member_id(), Get(c.incarnation()), c.version(), c.part(),
                        c.parts(),     Age(c.age_us()),      c.ended(),   {}};
    for (const auto& r : c.rows()) {
      const ConnectionCounts t{r.accepted(), r.served(), r.rejected(), r.failed(), r.open()};
      // No relay reports what does not balance.
      if (!t.Balanced()) return DecodeError::kMalformed;
      update.rows.push_back({r.group(), r.class_index(), t});
    }
    d.counts_updates.push_back(std::move(update));
  }
  for (const auto& h : w.digests())
    d.digests.push_back({h.member_id(), h.run(), h.version(), Age(h.age_us()), h.ended()});
  d.periodic = w.periodic();
  if (w.member_list_from() > 0) d.member_list_from = w.member_list_from() - 1;
  if (w.has_member_list()) {
    d.member_list = MemberListPage{w.member_list().from(),
                                   w.member_list().next(),
                                   w.member_list().complete(),
                                   w.member_list().basis(),
                                   {}};
    for (const auto& run : w.member_list().runs())
      d.member_list->incarnations.emplace_back(run.member_id(), Get(run.incarnation()));
  }
  for (const auto& e : w.evidence()) {
    if (e.verdict() > static_cast<std::uint32_t>(HealthVerdict::kHealthy)) return DecodeError::kMalformed;
    d.evidence.push_back({e.author(), Get(e.incarnation()), e.endpoint(), e.endpoint_start(),
                          static_cast<HealthVerdict>(e.verdict()), e.observations(), e.version(),
                          Age(e.age_us()), Time(e.valid_us())});
  }
  for (const auto& s : w.unreported_sends()) d.unreported_sends.push_back({s.endpoint(), s.count()});
  for (const auto& a : w.lease_requests())
    d.lease_requests.push_back({a.nonce(), a.quota(), a.units(), a.renews()});
  for (const auto& g : w.grants()) {
    d.grants.push_back({g.nonce(), g.lease(), g.quota(), g.units(), Time(g.length_us()), Get(g.borrower())});
  }
  for (const auto& r : w.returns()) d.returns.push_back({r.lease(), Get(r.lender()), r.quota(), r.units()});
  for (const auto& s : w.return_acks())
    d.return_acks.push_back({s.lease(), s.quota(), s.units(), Get(s.borrower())});
  if (w.has_held_leases()) {
    d.held_leases = HeldLeases{Get(w.held_leases().lender()), w.held_leases().covers(), {}};
    for (const auto& i : w.held_leases().items())
      d.held_leases->items.push_back({i.quota(), i.lease(), i.units()});
  }
  d.wants_held_leases = w.wants_held_leases();
  for (const auto& i : w.idle_units()) d.idle_units.push_back({i.quota(), i.units()});
  return d;
}

}  // namespace stoatrun::fleet
