#include "fleet/io/codec.h"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "fleet.pb.h"

namespace stoatrun::fleet {
namespace {

constexpr std::string_view kMagic = "SF";
constexpr std::size_t kSchemaOffset = 2, kChecksumOffset = 3, kChecksumBytes = 8;
constexpr std::size_t kEnvelopeBytes = kChecksumOffset + kChecksumBytes;
// No list in a datagram of kMaxDatagramBytes (1,200) is longer; limits the memory that a forged datagram can
// take.
constexpr int kMaxListItems = 1200;
// 400 days; longer times are implausible.
constexpr std::uint64_t kMaxTimeUs = 400ULL * 24 * 3600 * 1'000'000;

std::uint64_t Checksum(std::string_view body, const std::string& fleet) {
  return XXH64(body.data(), body.size(), XXH64(fleet.data(), fleet.size(), kSchemaVersion));
}

// ---- fields ----

void Put(const Incarnation& incarnation, wire::Incarnation* out) {
  out->set_generation(incarnation.generation);
  out->set_id(incarnation.id);
}

Incarnation Get(const wire::Incarnation& incarnation) { return {incarnation.generation(), incarnation.id()}; }

std::uint64_t ToUs(Micros time) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, time.count()));
}

// An age is encoded as its upper bound plus one; 0: no bound is known.
std::uint64_t ToAgeUs(const std::optional<Micros>& age) { return age ? ToUs(*age) + 1 : 0; }

Micros FromUs(std::uint64_t us) { return Micros(static_cast<std::int64_t>(std::min(us, kMaxTimeUs))); }

// An implausible age is treated as unknown.
std::optional<Micros> FromAgeUs(std::uint64_t us) {
  return us == 0 || us > kMaxTimeUs ? std::nullopt : std::optional(Micros(static_cast<std::int64_t>(us - 1)));
}

// ---- encoding of the parts ----

void PutHeader(const Datagram& datagram, wire::Datagram* out) {
  out->set_from(datagram.from);
  out->set_name(datagram.name);
  Put(datagram.incarnation, out->mutable_incarnation());
  out->set_refutations(datagram.refutations);
  out->set_seq(datagram.seq);
  out->set_fleet_size(datagram.fleet_size);
  if (datagram.echo_run == 0) return;
  out->set_echo_run(datagram.echo_run);
  out->set_echo_seq(datagram.echo_seq);
  out->set_echo_held_us(ToUs(datagram.echo_held));
}

void Put(const Ping& ping, wire::Ping* out) {
  out->set_nonce(ping.nonce);
  if (ping.target) out->set_target(*ping.target + 1);
}

void Put(const MemberUpdate& update, wire::MemberUpdate* out) {
  out->set_member_id(update.member_id);
  Put(update.incarnation, out->mutable_incarnation());
  out->set_refutations(update.refutations);
  out->set_state(static_cast<std::uint32_t>(update.state));
}

void Put(const ConnectionCountsRow& row, wire::ConnectionCountsRow* out) {
  out->set_group(row.group);
  out->set_class_index(row.class_index);
  out->set_accepted(row.counts.accepted);
  out->set_served(row.counts.served);
  out->set_rejected(row.counts.rejected);
  out->set_failed(row.counts.failed);
  out->set_open(row.counts.open);
}

void Put(const CountsUpdate& update, wire::CountsUpdate* out) {
  out->set_member_id(update.member_id);
  Put(update.incarnation, out->mutable_incarnation());
  out->set_version(update.version);
  out->set_part(update.part);
  out->set_parts(update.parts);
  out->set_age_us(ToAgeUs(update.age));
  out->set_ended(update.ended);
  for (const ConnectionCountsRow& row : update.rows) Put(row, out->add_rows());
}

void Put(const CountsDigest& digest, wire::CountsDigest* out) {
  out->set_member_id(digest.member_id);
  out->set_run(digest.run);
  out->set_version(digest.version);
  out->set_age_us(ToAgeUs(digest.age));
  out->set_ended(digest.ended);
}

void Put(const MemberListPage& page, wire::MemberListPage* out) {
  out->set_from(page.from);
  out->set_next(page.next);
  out->set_complete(page.complete);
  out->set_basis(page.basis);
  for (const MemberIncarnation& known : page.incarnations) {
    wire::MemberListPage::Run* run = out->add_runs();
    run->set_member_id(known.member_id);
    Put(known.incarnation, run->mutable_incarnation());
  }
}

void Put(const Evidence& evidence, wire::Evidence* out) {
  out->set_author(evidence.author);
  Put(evidence.incarnation, out->mutable_incarnation());
  out->set_endpoint(evidence.endpoint);
  out->set_endpoint_start(evidence.endpoint_start);
  out->set_verdict(static_cast<std::uint32_t>(evidence.verdict));
  out->set_observations(evidence.observations);
  out->set_version(evidence.version);
  out->set_age_us(ToAgeUs(evidence.age));
  out->set_valid_us(ToUs(evidence.valid));
}

void Put(const UnreportedSends& sends, wire::UnreportedSends* out) {
  out->set_endpoint(sends.endpoint);
  out->set_count(sends.count);
}

void Put(const LeaseRequest& request, wire::LeaseRequest* out) {
  out->set_nonce(request.nonce);
  out->set_quota(request.quota);
  out->set_units(request.units);
  out->set_renews(request.renews);
}

void Put(const LeaseGrant& grant, wire::LeaseGrant* out) {
  out->set_nonce(grant.nonce);
  out->set_lease(grant.lease);
  out->set_quota(grant.quota);
  out->set_units(grant.units);
  out->set_length_us(ToUs(grant.length));
  Put(grant.borrower, out->mutable_borrower());
}

void Put(const LeaseReturn& lease_return, wire::LeaseReturn* out) {
  out->set_lease(lease_return.lease);
  Put(lease_return.lender, out->mutable_lender());
  out->set_quota(lease_return.quota);
  out->set_units(lease_return.units);
}

void Put(const LeaseReturnAck& ack, wire::LeaseReturnAck* out) {
  out->set_lease(ack.lease);
  out->set_quota(ack.quota);
  out->set_units(ack.units);
  Put(ack.borrower, out->mutable_borrower());
}

void Put(const HeldLeases& held, wire::HeldLeases* out) {
  Put(held.lender, out->mutable_lender());
  out->set_covers(held.covers);
  for (const HeldLeases::Item& item : held.items) {
    wire::HeldLeases::Item* out_item = out->add_items();
    out_item->set_quota(item.quota);
    out_item->set_lease(item.lease);
    out_item->set_units(item.units);
  }
}

void Put(const IdleUnits& idle, wire::IdleUnits* out) {
  out->set_quota(idle.quota);
  out->set_units(idle.units);
}

template <typename Part, typename WirePart>
void PutAll(const std::vector<Part>& parts, google::protobuf::RepeatedPtrField<WirePart>* out) {
  for (const Part& part : parts) Put(part, out->Add());
}

wire::Datagram ToWire(const Datagram& datagram) {
  wire::Datagram out;
  PutHeader(datagram, &out);
  if (datagram.ping) Put(*datagram.ping, out.mutable_ping());
  if (datagram.ack) out.set_ack(*datagram.ack);
  PutAll(datagram.member_updates, out.mutable_member_updates());
  PutAll(datagram.counts_updates, out.mutable_counts_updates());
  PutAll(datagram.digests, out.mutable_digests());
  out.set_periodic(datagram.periodic);
  if (datagram.member_list_from) out.set_member_list_from(*datagram.member_list_from + 1);
  if (datagram.member_list) Put(*datagram.member_list, out.mutable_member_list());
  PutAll(datagram.evidence, out.mutable_evidence());
  PutAll(datagram.unreported_sends, out.mutable_unreported_sends());
  PutAll(datagram.lease_requests, out.mutable_lease_requests());
  PutAll(datagram.grants, out.mutable_grants());
  PutAll(datagram.returns, out.mutable_returns());
  PutAll(datagram.return_acks, out.mutable_return_acks());
  if (datagram.held_leases) Put(*datagram.held_leases, out.mutable_held_leases());
  out.set_wants_held_leases(datagram.wants_held_leases);
  PutAll(datagram.idle_units, out.mutable_idle_units());
  return out;
}

// ---- decoding of the parts; false: malformed ----

bool Get(const wire::Ping& ping, Ping* out) {
  out->nonce = ping.nonce();
  if (ping.target() > 0) out->target = ping.target() - 1;
  return true;
}

bool Get(const wire::MemberUpdate& update, MemberUpdate* out) {
  if (update.state() > static_cast<std::uint32_t>(MemberState::kLeft)) return false;
  *out = {update.member_id(), Get(update.incarnation()), update.refutations(),
          static_cast<MemberState>(update.state())};
  return true;
}

bool Get(const wire::ConnectionCountsRow& row, ConnectionCountsRow* out) {
  *out = {row.group(),
          row.class_index(),
          {row.accepted(), row.served(), row.rejected(), row.failed(), row.open()}};
  return out->counts.IsBalanced();  // Relays report balanced counts only.
}

bool Get(const wire::CountsUpdate& update, CountsUpdate* out) {
  *out = {update.member_id(), Get(update.incarnation()),  update.version(), update.part(),
          update.parts(),     FromAgeUs(update.age_us()), update.ended(),   {}};
  for (const wire::ConnectionCountsRow& row : update.rows()) {
    if (!Get(row, &out->rows.emplace_back())) return false;
  }
  return true;
}

bool Get(const wire::CountsDigest& digest, CountsDigest* out) {
  *out = {digest.member_id(), digest.run(), digest.version(), FromAgeUs(digest.age_us()), digest.ended()};
  return true;
}

bool Get(const wire::MemberListPage& page, MemberListPage* out) {
  if (page.runs_size() > kMaxListItems) return false;
  *out = {page.from(), page.next(), page.complete(), page.basis(), {}};
  for (const wire::MemberListPage::Run& run : page.runs()) {
    out->incarnations.push_back({run.member_id(), Get(run.incarnation())});
  }
  return true;
}

bool Get(const wire::Evidence& evidence, Evidence* out) {
  if (evidence.verdict() > static_cast<std::uint32_t>(HealthVerdict::kHealthy)) return false;
  *out = {evidence.author(),
          Get(evidence.incarnation()),
          evidence.endpoint(),
          evidence.endpoint_start(),
          static_cast<HealthVerdict>(evidence.verdict()),
          evidence.observations(),
          evidence.version(),
          FromAgeUs(evidence.age_us()),
          FromUs(evidence.valid_us())};
  return true;
}

bool Get(const wire::UnreportedSends& sends, UnreportedSends* out) {
  *out = {sends.endpoint(), sends.count()};
  return true;
}

bool Get(const wire::LeaseRequest& request, LeaseRequest* out) {
  *out = {request.nonce(), request.quota(), request.units(), request.renews()};
  return true;
}

bool Get(const wire::LeaseGrant& grant, LeaseGrant* out) {
  *out = {grant.nonce(),        grant.lease(), grant.quota(), grant.units(), FromUs(grant.length_us()),
          Get(grant.borrower())};
  return true;
}

bool Get(const wire::LeaseReturn& lease_return, LeaseReturn* out) {
  *out = {lease_return.lease(), Get(lease_return.lender()), lease_return.quota(), lease_return.units()};
  return true;
}

bool Get(const wire::LeaseReturnAck& ack, LeaseReturnAck* out) {
  *out = {ack.lease(), ack.quota(), ack.units(), Get(ack.borrower())};
  return true;
}

bool Get(const wire::HeldLeases& held, HeldLeases* out) {
  *out = {Get(held.lender()), held.covers(), {}};
  for (const wire::HeldLeases::Item& item : held.items()) {
    out->items.push_back({item.quota(), item.lease(), item.units()});
  }
  return true;
}

bool Get(const wire::IdleUnits& idle, IdleUnits* out) {
  *out = {idle.quota(), idle.units()};
  return true;
}

template <typename WirePart, typename Part>
bool GetAll(const google::protobuf::RepeatedPtrField<WirePart>& parts, std::vector<Part>* out) {
  if (parts.size() > kMaxListItems) return false;
  return std::all_of(parts.begin(), parts.end(),
                     [&](const WirePart& part) { return Get(part, &out->emplace_back()); });
}

template <typename WirePart, typename Part>
bool GetOptional(bool present, const WirePart& part, std::optional<Part>* out) {
  return !present || Get(part, &out->emplace());
}

void GetHeader(const wire::Datagram& datagram, Datagram* out) {
  out->from = datagram.from();
  out->name = datagram.name();
  out->incarnation = Get(datagram.incarnation());
  out->refutations = datagram.refutations();
  out->seq = datagram.seq();
  out->fleet_size = datagram.fleet_size();
  out->echo_run = datagram.echo_run();
  out->echo_seq = datagram.echo_seq();
  out->echo_held = FromUs(datagram.echo_held_us());
}

std::optional<Datagram> FromWire(const wire::Datagram& datagram) {
  Datagram out;
  GetHeader(datagram, &out);
  if (datagram.ack() != 0) out.ack = datagram.ack();
  out.periodic = datagram.periodic();
  if (datagram.member_list_from() > 0) out.member_list_from = datagram.member_list_from() - 1;
  out.wants_held_leases = datagram.wants_held_leases();
  const bool well_formed =
      GetOptional(datagram.has_ping(), datagram.ping(), &out.ping) &&
      GetAll(datagram.member_updates(), &out.member_updates) &&
      GetAll(datagram.counts_updates(), &out.counts_updates) && GetAll(datagram.digests(), &out.digests) &&
      GetOptional(datagram.has_member_list(), datagram.member_list(), &out.member_list) &&
      GetAll(datagram.evidence(), &out.evidence) &&
      GetAll(datagram.unreported_sends(), &out.unreported_sends) &&
      GetAll(datagram.lease_requests(), &out.lease_requests) && GetAll(datagram.grants(), &out.grants) &&
      GetAll(datagram.returns(), &out.returns) && GetAll(datagram.return_acks(), &out.return_acks) &&
      GetOptional(datagram.has_held_leases(), datagram.held_leases(), &out.held_leases) &&
      GetAll(datagram.idle_units(), &out.idle_units);
  return well_formed ? std::optional(std::move(out)) : std::nullopt;
}

std::uint64_t ReadChecksum(std::string_view bytes) {
  std::uint64_t checksum = 0;
  for (std::size_t k = 0; k < kChecksumBytes; ++k) {
    checksum |= std::uint64_t{static_cast<unsigned char>(bytes[kChecksumOffset + k])} << (8 * k);
  }
  return checksum;
}

}  // namespace

std::string Encode(const Datagram& datagram, const std::string& fleet) {
  std::string bytes(kEnvelopeBytes, '\0');
  ToWire(datagram).AppendToString(&bytes);
  const std::uint64_t checksum = Checksum(std::string_view(bytes).substr(kEnvelopeBytes), fleet);
  std::copy(kMagic.begin(), kMagic.end(), bytes.begin());
  bytes[kSchemaOffset] = static_cast<char>(kSchemaVersion);
  for (std::size_t k = 0; k < kChecksumBytes; ++k) {
    bytes[kChecksumOffset + k] = static_cast<char>(checksum >> (8 * k));
  }
  return bytes;
}

std::variant<Datagram, DecodeError> Decode(std::string_view bytes, const std::string& fleet) {
  if (bytes.size() < kEnvelopeBytes || !bytes.starts_with(kMagic)) return DecodeError::kUnknownProtocol;
  const auto schema_version = static_cast<std::uint8_t>(bytes[kSchemaOffset]);
  if (schema_version != kSchemaVersion) return DecodeError::kUnsupportedSchema;
  const std::string_view body = bytes.substr(kEnvelopeBytes);
  if (ReadChecksum(bytes) != Checksum(body, fleet)) return DecodeError::kBadChecksum;
  wire::Datagram parsed;
  if (!parsed.ParseFromArray(body.data(), static_cast<int>(body.size()))) return DecodeError::kMalformed;
  std::optional<Datagram> datagram = FromWire(parsed);
  if (!datagram) return DecodeError::kMalformed;
  return *std::move(datagram);
}

}  // namespace stoatrun::fleet
