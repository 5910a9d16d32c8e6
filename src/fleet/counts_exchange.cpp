// The anti-entropy exchange of FleetCounts: digests, and the reports that are missing on either side.
#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/connection_counts.h"

namespace stoatrun::fleet {
namespace {

// Improvement from which a tighter bound on an age justifies its bytes in a datagram.
constexpr Micros kMinAgeImprovement = std::chrono::seconds(2);
constexpr std::size_t kMaxPartBytes = 800;

// Splits rows into parts that each fit a datagram. Returns at least one part.
std::vector<std::vector<ConnectionCountsRow>> SplitRows(const std::vector<ConnectionCountsRow>& rows,
                                                        std::size_t header_bytes) {
  std::vector<std::vector<ConnectionCountsRow>> parts(1);
  std::size_t size = header_bytes;
  for (const ConnectionCountsRow& row : rows) {
    if (size + SizeOf(row) > kMaxPartBytes && !parts.back().empty()) {
      parts.emplace_back();
      size = header_bytes;
    }
    parts.back().push_back(row);
    size += SizeOf(row);
  }
  return parts;
}

// Appends the parts of a report that fit `max_bytes` and subtracts their size from it. The part to start with
// rotates with time so that every part is sent eventually; omitted parts are sent on the next request.
void AppendParts(const CountsUpdate& header, const std::vector<ConnectionCountsRow>& rows, Micros now,
                 std::size_t& max_bytes, std::vector<CountsUpdate>& out) {
  const auto parts = SplitRows(rows, SizeOf(header));
  const std::size_t first =
      parts.size() > 1 ? static_cast<std::size_t>(now.count() / 1000) % parts.size() : 0;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    const std::size_t index = (first + k) % parts.size();
    CountsUpdate part = header;
    part.part = static_cast<std::uint32_t>(index);
    part.parts = static_cast<std::uint32_t>(parts.size());
    part.rows = parts[index];
    const std::size_t size = SizeOf(part);
    if (size > max_bytes) break;
    max_bytes -= size;
    out.push_back(std::move(part));
  }
}

// True if the digests list the record's version or a later one.
bool HasReport(const std::vector<CountsDigest>& digests, MemberId member_id, const CountsRecord& record) {
  const std::uint32_t run = ShortIncarnationId(record.incarnation);
  return std::any_of(digests.begin(), digests.end(), [&](const CountsDigest& digest) {
    return digest.member_id == member_id && digest.run == run && digest.version >= record.version;
  });
}

// Adds a member to `seen`. Returns false if it is already present.
bool InsertIfAbsent(std::vector<MemberId>& seen, MemberId member_id) {
  if (std::find(seen.begin(), seen.end(), member_id) != seen.end()) return false;
  seen.push_back(member_id);
  return true;
}

}  // namespace

std::vector<CountsDigest> FleetCounts::DigestsForMember(Micros now, MemberId member_id,
                                                        const MemberCounts& member) {
  std::vector<CountsDigest> out;
  for (const auto& [id, record] : member.incarnations) {
    out.push_back({member_id, ShortIncarnationId(record.incarnation), record.version, record.ReportedAge(now),
                   record.ended});
  }
  if (out.empty()) out.push_back({member_id, 0, 0, std::nullopt, false});
  return out;
}

std::vector<CountsDigest> FleetCounts::Digests(Micros now, std::size_t max_bytes) {
  std::vector<CountsDigest> out;
  const auto add = [&](MemberId member_id, const MemberCounts& member) {
    const std::vector<CountsDigest> digests = DigestsForMember(now, member_id, member);
    std::size_t size = 0;
    for (const CountsDigest& digest : digests) size += SizeOf(digest);
    if (size > max_bytes) return false;
    max_bytes -= size;
    out.insert(out.end(), digests.begin(), digests.end());
    return true;
  };
  const auto own = members_.find(settings_.self);
  if (own == members_.end() || !add(own->first, own->second)) return out;
  // Round-robin from a random member, so that all members are selected equally often.
  auto it = members_.begin();
  std::advance(it, static_cast<std::ptrdiff_t>(random_.Below(members_.size())));
  for (std::size_t k = 0; k < members_.size(); ++k) {
    if (it->first != settings_.self && !add(it->first, it->second)) return out;
    if (++it == members_.end()) it = members_.begin();
  }
  return out;
}

std::vector<CountsUpdate> FleetCounts::MissingUpdates(Micros now, const std::vector<CountsDigest>& theirs,
                                                      std::size_t max_bytes) const {
  std::vector<CountsUpdate> out;
  std::vector<MemberId> done;
  for (const CountsDigest& digest : theirs) {
    if (!InsertIfAbsent(done, digest.member_id)) continue;
    const auto member = members_.find(digest.member_id);
    if (member == members_.end()) continue;
    for (const auto& [id, record] : member->second.incarnations) {
      if (record.version == 0 || HasReport(theirs, digest.member_id, record)) continue;
      const CountsUpdate header{
          member->first, record.incarnation, record.version, 0, 1, record.ReportedAge(now), record.ended, {}};
      AppendParts(header, record.rows, now, max_bytes, out);
    }
  }
  return out;
}

std::vector<CountsDigest> FleetCounts::DigestsToRequest(Micros now,
                                                        const std::vector<CountsDigest>& theirs) const {
  std::vector<CountsDigest> out;
  std::vector<MemberId> requested;
  for (const CountsDigest& digest : theirs) {
    const auto member = members_.find(digest.member_id);
    if (member == members_.end() || digest.run == 0 || digest.version == 0) continue;
    const CountsRecord* known = member->second.Find(digest.run);
    // Incarnations that were merged here would be requested repeatedly.
    const bool is_missing =
        known == nullptr ? member->second.merged_generation == 0 : known->version < digest.version;
    const bool is_own = digest.member_id == settings_.self && known != nullptr && !known->ended;
    if (!is_missing || is_own || !InsertIfAbsent(requested, digest.member_id)) continue;
    const std::vector<CountsDigest> digests = DigestsForMember(now, digest.member_id, member->second);
    out.insert(out.end(), digests.begin(), digests.end());
  }
  return out;
}

std::vector<CountsDigest> FleetCounts::TighterDigests(Micros now, const std::vector<CountsDigest>& theirs,
                                                      std::size_t max_bytes) const {
  std::vector<CountsDigest> out;
  for (const CountsDigest& digest : theirs) {
    const auto member = members_.find(digest.member_id);
    // For a member with several incarnations, digests are sent for all of them or none.
    if (member == members_.end() || member->second.incarnations.size() != 1) continue;
    const CountsRecord& record = member->second.incarnations.begin()->second;
    const auto age = record.AgeBound(now);
    const bool same_report =
        ShortIncarnationId(record.incarnation) == digest.run && record.version == digest.version;
    if (!same_report || record.ended || !age) continue;
    if (digest.age && *digest.age <= *age + kMinAgeImprovement) continue;
    const CountsDigest tighter{digest.member_id, digest.run, record.version, age, false};
    if (SizeOf(tighter) > max_bytes) break;
    max_bytes -= SizeOf(tighter);
    out.push_back(tighter);
  }
  return out;
}

}  // namespace stoatrun::fleet
