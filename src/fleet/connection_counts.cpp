#include "fleet/connection_counts.h"

#include <algorithm>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

constexpr Micros kReportIntervalPerRelay = std::chrono::milliseconds(150);
constexpr Micros kMinReportInterval = std::chrono::seconds(1);
constexpr std::size_t kMaxParts = 64;  // Per report; bounds the memory that a forged report can occupy.

}  // namespace

FleetCounts::FleetCounts(const Settings& settings, std::uint64_t seed)
    : settings_(settings), random_(seed), member_list_sync_(settings.self) {
  members_[settings.self];
  SetPeers(settings.peers);
}

void FleetCounts::SetPeers(const std::vector<Peer>& peers) {
  settings_.peers = peers;
  for (const Peer& peer : peers) members_[peer.member_id];
  std::erase_if(members_, [&](const auto& member) {
    return member.first != settings_.self && std::none_of(peers.begin(), peers.end(), [&](const Peer& peer) {
             return peer.member_id == member.first;
           });
  });
}

Micros FleetCounts::ReportInterval(std::size_t relays) {
  return std::max(kMinReportInterval, kReportIntervalPerRelay * static_cast<int>(relays));
}

Micros FleetCounts::StaleAfter() const {
  return std::max(settings_.stale_after, ReportInterval(members_.size()) * 5 / 2);
}

// ---- incoming reports ----

CountsRecord& FleetCounts::FindOrCreateRecord(Micros now, MemberId member_id, MemberCounts& member,
                                              const Incarnation& incarnation) const {
  const auto [it, created] = member.incarnations.try_emplace(incarnation.id);
  CountsRecord& record = it->second;
  record.incarnation = std::max(record.incarnation, incarnation);
  // What peers report about this relay itself concerns its previous incarnations.
  if (created && member_id == settings_.self) record.MarkEnded(now);
  return record;
}

void FleetCounts::SetLocal(Micros now, const Incarnation& incarnation, std::uint64_t version,
                           const std::vector<ConnectionCountsRow>& rows) {
  CountsRecord& record = members_[settings_.self].incarnations[incarnation.id];
  record.incarnation = incarnation;
  record.version = version;
  record.rows = rows;
  record.age = Micros(0);
  record.age_at = now;
}

bool FleetCounts::IsAcceptable(const MemberCounts& member, const CountsUpdate& update) const {
  if (!update.incarnation || update.parts == 0 || update.parts > kMaxParts || update.part >= update.parts) {
    return false;
  }
  const auto known = member.incarnations.find(update.incarnation.id);
  if (known == member.incarnations.end()) return update.incarnation.generation > member.merged_generation;
  // This relay's current counts are exact and are never replaced by a report.
  return update.member_id != settings_.self || known->second.ended;
}

void FleetCounts::ApplyBounds(Micros now, const MemberCounts& member, CountsRecord& record,
                              const CountsUpdate& update, std::optional<Micros> age) {
  if (update.ended && member.HasSuccessor(record)) {
    record.MarkEnded(now);
    record.TightenGap(update.age);
  }
  record.TightenAge(now, age);
  record.BoundGapByAge(now);
}

void FleetCounts::OnUpdate(Micros now, const CountsUpdate& update, std::optional<Micros> transit) {
  const auto found = members_.find(update.member_id);
  if (found == members_.end() || !IsAcceptable(found->second, update)) return;
  MemberCounts& member = found->second;
  if (IsInjected(Fault::kCountWithoutIncarnation)) {
    std::erase_if(member.incarnations,
                  [&](const auto& known) { return known.first != update.incarnation.id; });
  }
  CountsRecord& record = FindOrCreateRecord(now, update.member_id, member, update.incarnation);
  std::optional<Micros> age;
  if (!update.ended) {
    age = IsInjected(Fault::kAgeWithoutTransit) ? update.age : SumOfBounds(update.age, transit);
  }
  if (update.version < record.version) {
    if (IsInjected(Fault::kCountAddedTwice)) {
      record.rows.insert(record.rows.end(), update.rows.begin(), update.rows.end());
    }
    return;
  }
  const bool is_newer = update.version > record.version;
  if (is_newer && !record.AddPart(now, update, age)) return;
  ApplyBounds(now, member, record, update, age);
  if (is_newer) member.MergeOldest();
}

void FleetCounts::OnDigest(Micros now, const CountsDigest& digest, std::optional<Micros> transit) {
  const auto member = members_.find(digest.member_id);
  if (member == members_.end() || digest.run == 0) return;
  CountsRecord* record = member->second.Find(digest.run);
  // An unknown incarnation is added by its counts update or by a member list, not by a digest.
  if (record == nullptr || record->version != digest.version) return;
  if (digest.member_id == settings_.self && !record->ended) return;
  if (digest.ended) {
    if (!member->second.HasSuccessor(*record)) return;
    record->MarkEnded(now);
    record->TightenGap(digest.age);
    return;
  }
  record->TightenAge(now,
                     IsInjected(Fault::kAgeWithoutTransit) ? digest.age : SumOfBounds(digest.age, transit));
  record->BoundGapByAge(now);
}

// ---- incarnations ----

void FleetCounts::OnIncarnation(Micros now, MemberId member_id, const Incarnation& incarnation) {
  const auto member = members_.find(member_id);
  if (member == members_.end() || member_id == settings_.self) return;
  if (!member->second.incarnations.contains(incarnation.id) && member->second.IsKnownOrMerged(incarnation)) {
    return;
  }
  CountsRecord& record = FindOrCreateRecord(now, member_id, member->second, incarnation);
  // Before this incarnation raised its generation, it may have been mistaken for the predecessor of the
  // incarnation that it actually follows, and marked as ended.
  record.ended = false;
  record.gap.reset();
}

void FleetCounts::OnIncarnationEnded(Micros now, MemberId member_id, const Incarnation& incarnation,
                                     const Incarnation& present) {
  const auto found = members_.find(member_id);
  if (found == members_.end() || !incarnation) return;
  MemberCounts& member = found->second;
  // All that is known about the new incarnation so far is that it started after the last report of the
  // previous one.
  const auto previous = member.incarnations.find(incarnation.id);
  if (present && previous != member.incarnations.end() && !member.incarnations.contains(present.id)) {
    CountsRecord record;
    record.incarnation = present;
    record.age = previous->second.AgeBound(now);
    record.age_at = now;
    member.incarnations[present.id] = record;
  }
  if (!member.incarnations.contains(incarnation.id) && member.IsKnownOrMerged(incarnation)) return;
  FindOrCreateRecord(now, member_id, member, incarnation).MarkEnded(now);
}

MemberListPage FleetCounts::MemberList(MemberId from, std::size_t max_bytes) const {
  MemberListPage page;
  page.from = from;
  page.next = settings_.fleet_size;
  page.complete = IsComplete();
  page.basis = member_list_sync_.BasisBitmap();
  for (auto it = members_.lower_bound(from); it != members_.end(); ++it) {
    const std::size_t before = page.incarnations.size();
    for (const auto& [id, record] : it->second.incarnations) {
      page.incarnations.push_back({it->first, record.incarnation});
    }
    if (SizeOf(page) > max_bytes && before > 0) {
      page.incarnations.resize(before);
      page.next = it->first;
      break;
    }
  }
  return page;
}

std::optional<MemberId> FleetCounts::OnMemberList(Micros now, MemberId peer, const MemberListPage& page) {
  for (const auto& [member_id, incarnation] : page.incarnations) {
    const auto member = members_.find(member_id);
    if (member == members_.end() || !incarnation) continue;
    // Creates an empty record; nothing else is known until the first report arrives.
    if (member->second.incarnations.contains(incarnation.id) ||
        !member->second.IsKnownOrMerged(incarnation)) {
      FindOrCreateRecord(now, member_id, member->second, incarnation);
    }
  }
  return member_list_sync_.OnPage(now, peer, page, settings_);
}

// ---- sums ----

ConnectionTotals FleetCounts::Sum(Micros now, std::optional<std::uint32_t> class_index,
                                  std::optional<std::string_view> group) const {
  IntervalSum sum(settings_, now, StaleAfter(), {class_index, group});
  if (!IsComplete() && !settings_.peers.empty()) sum.MarkIncomplete();
  for (const auto& [member_id, member] : members_) {
    if (member.incarnations.empty()) {
      sum.AddUnreportedMember();
      continue;
    }
    if (member.merged.ended) sum.Add(member.merged, true);
    Incarnation latest;
    for (const auto& [id, record] : member.incarnations) latest = std::max(latest, record.incarnation);
    for (const auto& [id, record] : member.incarnations) sum.Add(record, record.incarnation.id != latest.id);
  }
  return sum.Totals();
}

std::vector<FleetCounts::IncarnationCounts> FleetCounts::CountsByIncarnation(Micros now) const {
  std::vector<IncarnationCounts> out;
  for (const auto& [member_id, member] : members_) {
    for (const auto& [id, record] : member.incarnations) {
      IncarnationCounts counts{
          member_id, record.incarnation, record.version, record.ReportedAge(now), record.ended, {}};
      for (const ConnectionCountsRow& row : record.rows) AddTo(counts.sum, row.counts);
      out.push_back(counts);
    }
  }
  return out;
}

std::vector<FleetCounts::Key> FleetCounts::Keys() const {
  std::vector<Key> keys;
  for (const auto& [member_id, member] : members_) {
    for (const auto& [id, record] : member.incarnations) {
      for (const ConnectionCountsRow& row : record.rows) keys.push_back({row.class_index, row.group});
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

}  // namespace stoatrun::fleet
