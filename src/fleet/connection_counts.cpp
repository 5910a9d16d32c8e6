#include "fleet/connection_counts.h"

#include <algorithm>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

constexpr Micros kReportPausePerRelay = std::chrono::milliseconds(150);
constexpr Micros kMinReportPause = std::chrono::seconds(1);
constexpr std::size_t kMaxParts = 64;  // Of one report; bounds what a forged one makes this relay keep.

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
  return std::max(kMinReportPause, kReportPausePerRelay * static_cast<int>(relays));
}

Micros FleetCounts::StaleAfter() const {
  return std::max(settings_.stale_after, ReportInterval(members_.size()) * 5 / 2);
}

// ---- reports in ----

CountsRecord& FleetCounts::Expect(Micros now, MemberId member_id, MemberCounts& member,
                                  const Incarnation& incarnation) const {
  const auto [at, fresh] = member.incarnations.try_emplace(incarnation.id);
  CountsRecord& record = at->second;
  record.incarnation = std::max(record.incarnation, incarnation);
  // Whatever peers report of this relay itself is of its former incarnations.
  if (fresh && member_id == settings_.self) record.End(now);
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
  // The own present counts are exact.
  return update.member_id != settings_.self || known->second.ended;
}

void FleetCounts::ApplyBounds(Micros now, const MemberCounts& member, CountsRecord& record,
                              const CountsUpdate& update, std::optional<Micros> age) {
  if (update.ended && member.IsFollowed(record)) {
    record.End(now);
    record.TightenGap(update.age);
  }
  record.TightenAge(now, age);
  record.CloseGap(now);
}

void FleetCounts::OnUpdate(Micros now, const CountsUpdate& update, std::optional<Micros> transit) {
  const auto found = members_.find(update.member_id);
  if (found == members_.end() || !IsAcceptable(found->second, update)) return;
  MemberCounts& member = found->second;
  if (IsInjected(Fault::kCountWithoutIncarnation)) {
    std::erase_if(member.incarnations,
                  [&](const auto& known) { return known.first != update.incarnation.id; });
  }
  CountsRecord& record = Expect(now, update.member_id, member, update.incarnation);
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
  const bool replaces = update.version > record.version;
  if (replaces && !record.AddPart(now, update, age)) return;
  ApplyBounds(now, member, record, update, age);
  if (replaces) member.MergeOldest();
}

void FleetCounts::OnDigest(Micros now, const CountsDigest& digest, std::optional<Micros> transit) {
  const auto member = members_.find(digest.member_id);
  if (member == members_.end() || digest.run == 0) return;
  CountsRecord* record = member->second.Find(digest.run);
  // An incarnation that is not known here is learnt of with its counts, or in a member list.
  if (record == nullptr || record->version != digest.version) return;
  if (digest.member_id == settings_.self && !record->ended) return;
  if (digest.ended) {
    if (!member->second.IsFollowed(*record)) return;
    record->End(now);
    record->TightenGap(digest.age);
    return;
  }
  record->TightenAge(now,
                     IsInjected(Fault::kAgeWithoutTransit) ? digest.age : SumOfBounds(digest.age, transit));
  record->CloseGap(now);
}

// ---- incarnations ----

void FleetCounts::OnIncarnation(Micros now, MemberId member_id, const Incarnation& incarnation) {
  const auto member = members_.find(member_id);
  if (member == members_.end() || member_id == settings_.self) return;
  if (!member->second.incarnations.contains(incarnation.id) && member->second.Covers(incarnation)) return;
  CountsRecord& record = Expect(now, member_id, member->second, incarnation);
  // Before it raised its generation it may have been taken for the predecessor of an incarnation that it
  // follows, and so for one that has ended.
  record.ended = false;
  record.gap.reset();
}

void FleetCounts::OnIncarnationEnded(Micros now, MemberId member_id, const Incarnation& incarnation,
                                     const Incarnation& present) {
  const auto found = members_.find(member_id);
  if (found == members_.end() || !incarnation) return;
  MemberCounts& member = found->second;
  // Nothing is known of the new incarnation yet except that it began after the former one's last report.
  const auto former = member.incarnations.find(incarnation.id);
  if (present && former != member.incarnations.end() && !member.incarnations.contains(present.id)) {
    CountsRecord fresh;
    fresh.incarnation = present;
    fresh.age = former->second.AgeBound(now);
    fresh.age_at = now;
    member.incarnations[present.id] = fresh;
  }
  if (!member.incarnations.contains(incarnation.id) && member.Covers(incarnation)) return;
  Expect(now, member_id, member, incarnation).End(now);
}

MemberListPage FleetCounts::MemberList(MemberId from, std::size_t max_bytes) const {
  MemberListPage page;
  page.from = from;
  page.next = settings_.fleet_size;
  page.complete = IsComplete();
  page.basis = member_list_sync_.BasisBitmap();
  for (auto at = members_.lower_bound(from); at != members_.end(); ++at) {
    const std::size_t before = page.incarnations.size();
    for (const auto& [id, record] : at->second.incarnations) {
      page.incarnations.push_back({at->first, record.incarnation});
    }
    if (SizeOf(page) > max_bytes && before > 0) {
      page.incarnations.resize(before);
      page.next = at->first;
      break;
    }
  }
  return page;
}

std::optional<MemberId> FleetCounts::OnMemberList(Micros now, MemberId peer, const MemberListPage& page) {
  for (const auto& [member_id, incarnation] : page.incarnations) {
    const auto member = members_.find(member_id);
    if (member == members_.end() || !incarnation) continue;
    // Until its reports come nothing else is known of it.
    if (member->second.incarnations.contains(incarnation.id) || !member->second.Covers(incarnation)) {
      Expect(now, member_id, member->second, incarnation);
    }
  }
  return member_list_sync_.OnPage(now, peer, page, settings_);
}

// ---- sums ----

ConnectionTotals FleetCounts::Sum(Micros now, std::optional<std::uint32_t> class_index,
                                  std::optional<std::string_view> group) const {
  IntervalSum sum(settings_, now, StaleAfter(), {class_index, group});
  if (!IsComplete() && !settings_.peers.empty()) sum.AddIncomplete();
  for (const auto& [member_id, member] : members_) {
    if (member.incarnations.empty()) {
      sum.AddUnheard();
      continue;
    }
    if (member.merged.ended) sum.Add(member.merged, true);
    Incarnation last;
    for (const auto& [id, record] : member.incarnations) last = std::max(last, record.incarnation);
    for (const auto& [id, record] : member.incarnations) sum.Add(record, record.incarnation.id != last.id);
  }
  return sum.Totals();
}

std::vector<FleetCounts::IncarnationCounts> FleetCounts::CountsByIncarnation(Micros now) const {
  std::vector<IncarnationCounts> out;
  for (const auto& [member_id, member] : members_) {
    for (const auto& [id, record] : member.incarnations) {
      IncarnationCounts part{
          member_id, record.incarnation, record.version, record.ReportedAge(now), record.ended, {}};
      for (const ConnectionCountsRow& row : record.rows) AddTo(part.sum, row.counts);
      out.push_back(part);
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
