// The anti-entropy exchange of FleetCounts: digests, and what either side lacks.
#include <algorithm>
#include <iterator>
#include <utility>

#include "fleet/connection_counts.h"

namespace stoatrun::fleet {
namespace {

// A bound on an age is worth its bytes if it is tighter by so much.
constexpr Micros kMinTightening = std::chrono::seconds(2);
constexpr std::size_t kMaxPartBytes = 800;

// Rows in as many parts as it takes for each to fit a datagram; at least one.
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

// Appends the parts of a report that fit `max_bytes`, and takes them off it. The first part changes with the
// time, so that all get their turn; what is left out goes when it is asked for again.
void AppendParts(const CountsUpdate& header, const std::vector<ConnectionCountsRow>& rows, Micros now,
                 std::size_t& max_bytes, std::vector<CountsUpdate>& out) {
  const auto parts = SplitRows(rows, SizeOf(header));
  const std::size_t first =
      parts.size() > 1 ? static_cast<std::size_t>(now.count() / 1000) % parts.size() : 0;
  for (std::size_t k = 0; k < parts.size(); ++k) {
    const std::size_t at = (first + k) % parts.size();
    CountsUpdate part = header;
    part.part = static_cast<std::uint32_t>(at);
    part.parts = static_cast<std::uint32_t>(parts.size());
    part.rows = parts[at];
    const std::size_t size = SizeOf(part);
    if (size > max_bytes) break;
    max_bytes -= size;
    out.push_back(std::move(part));
  }
}

bool Has(const std::vector<CountsDigest>& digests, MemberId member_id, const CountsRecord& record) {
  const std::uint32_t run = ShortIncarnationId(record.incarnation);
  return std::any_of(digests.begin(), digests.end(), [&](const CountsDigest& digest) {
    return digest.member_id == member_id && digest.run == run && digest.version >= record.version;
  });
}

// Adds a member to `seen`. Returns false if it was there before.
bool FirstSeen(std::vector<MemberId>& seen, MemberId member_id) {
  if (std::find(seen.begin(), seen.end(), member_id) != seen.end()) return false;
  seen.push_back(member_id);
  return true;
}

}  // namespace

std::vector<CountsDigest> FleetCounts::DigestsOf(Micros now, MemberId member_id, const MemberCounts& member) {
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
    const std::vector<CountsDigest> digests = DigestsOf(now, member_id, member);
    std::size_t size = 0;
    for (const CountsDigest& digest : digests) size += SizeOf(digest);
    if (size > max_bytes) return false;
    max_bytes -= size;
    out.insert(out.end(), digests.begin(), digests.end());
    return true;
  };
  const auto own = members_.find(settings_.self);
  if (own == members_.end() || !add(own->first, own->second)) return out;
  // In turn from a member drawn at random, so that all come up equally often.
  auto at = members_.begin();
  std::advance(at, static_cast<std::ptrdiff_t>(random_.Below(members_.size())));
  for (std::size_t k = 0; k < members_.size(); ++k) {
    if (at->first != settings_.self && !add(at->first, at->second)) return out;
    if (++at == members_.end()) at = members_.begin();
  }
  return out;
}

std::vector<CountsUpdate> FleetCounts::MissingUpdates(Micros now, const std::vector<CountsDigest>& theirs,
                                                      std::size_t max_bytes) const {
  std::vector<CountsUpdate> out;
  std::vector<MemberId> done;
  for (const CountsDigest& digest : theirs) {
    if (!FirstSeen(done, digest.member_id)) continue;
    const auto member = members_.find(digest.member_id);
    if (member == members_.end()) continue;
    for (const auto& [id, record] : member->second.incarnations) {
      if (record.version == 0 || Has(theirs, digest.member_id, record)) continue;
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
    // Incarnations that were merged here would be asked for again and again.
    const bool lacks =
        known == nullptr ? member->second.merged_generation == 0 : known->version < digest.version;
    const bool is_own = digest.member_id == settings_.self && known != nullptr && !known->ended;
    if (!lacks || is_own || !FirstSeen(requested, digest.member_id)) continue;
    const std::vector<CountsDigest> digests = DigestsOf(now, digest.member_id, member->second);
    out.insert(out.end(), digests.begin(), digests.end());
  }
  return out;
}

std::vector<CountsDigest> FleetCounts::TighterDigests(Micros now, const std::vector<CountsDigest>& theirs,
                                                      std::size_t max_bytes) const {
  std::vector<CountsDigest> out;
  for (const CountsDigest& digest : theirs) {
    const auto member = members_.find(digest.member_id);
    // Of a member with several incarnations all digests are sent, or none.
    if (member == members_.end() || member->second.incarnations.size() != 1) continue;
    const CountsRecord& record = member->second.incarnations.begin()->second;
    const auto age = record.AgeBound(now);
    const bool same_report =
        ShortIncarnationId(record.incarnation) == digest.run && record.version == digest.version;
    if (!same_report || record.ended || !age) continue;
    if (digest.age && *digest.age <= *age + kMinTightening) continue;
    const CountsDigest fresher{digest.member_id, digest.run, record.version, age, false};
    if (SizeOf(fresher) > max_bytes) break;
    max_bytes -= SizeOf(fresher);
    out.push_back(fresher);
  }
  return out;
}

}  // namespace stoatrun::fleet
