#include "fleet/connection_counts.h"

#include <algorithm>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

// A report of the counts costs quota_templates relay of the fleet its bytes: the pause between two grows with
// the fleet.
constexpr Micros kReportPause = std::chrono::milliseconds(150);  // Times the relays.
constexpr Micros kLeastReport = std::chrono::seconds(1);
constexpr Micros kWorthTelling = std::chrono::seconds(2);  // Better by so much, a bound is worth its bytes.
constexpr Micros kMemberListTimeout = std::chrono::seconds(2);  // For a page; then somebody else is asked.

void AddTo(ConnectionCounts& sum, const ConnectionCounts& t) {
  sum.accepted += t.accepted;
  sum.served += t.served;
  sum.rejected += t.rejected;
  sum.failed += t.failed;
  sum.open += t.open;
}

std::uint64_t Plus(std::uint64_t a, std::uint64_t b) {
  return a > FleetCounts::kUnbounded - b ? FleetCounts::kUnbounded : a + b;
}

std::optional<Micros> Added(std::optional<Micros> a, std::optional<Micros> b) {
  return a && b ? std::optional(*a + *b) : std::nullopt;
}

}  // namespace

// ---- the accounts of one run ----

LocalConnectionCounts::Handle LocalConnectionCounts::Begin(std::uint32_t class_index,
                                                           std::string_view group) {
  auto at = index_.find(std::pair(class_index, std::string(group)));
  if (at == index_.end()) {
    if (rows_.size() >= kMostRows) {
      // One shared row a class, beyond the bound by the number of classes at the most.
      at = index_.find(std::pair(class_index, std::string(kOthers)));
      group = kOthers;
    }
    if (at == index_.end()) {
      at =
          index_.emplace(std::pair(class_index, std::string(group)), static_cast<std::uint32_t>(rows_.size()))
              .first;
      rows_.push_back({std::string(group), class_index, {}});
    }
  }
  ConnectionCounts& t = rows_[at->second].counts;
  ++t.accepted;
  ++t.open;
  ++taken_;
  ++changes_;
  return {at->second, true};
}

void LocalConnectionCounts::End(Handle& handle, Outcome outcome) {
  if (!handle.open || handle.row >= rows_.size() || rows_[handle.row].counts.open == 0) {
    ++breaches_;
    return;
  }
  handle.open = false;
  ConnectionCounts& t = rows_[handle.row].counts;
  --t.open;
  ++(outcome == Outcome::kServed ? t.served : outcome == Outcome::kRejected ? t.rejected : t.failed);
  ++finished_;
  ++changes_;
}

bool LocalConnectionCounts::IsBalanced() const {
  const ConnectionCounts sum = Sum();
  const bool rows = std::all_of(rows_.begin(), rows_.end(),
                                [](const ConnectionCountsRow& r) { return r.counts.Balanced(); });
  return rows && breaches_ == 0 && sum.accepted == taken_ &&
         sum.served + sum.rejected + sum.failed == finished_;
}

ConnectionCounts LocalConnectionCounts::Sum() const {
  ConnectionCounts sum;
  for (const ConnectionCountsRow& r : rows_) AddTo(sum, r.counts);
  return sum;
}

// ---- the fleet's ----

void FleetCounts::Interval::Add(std::uint64_t l, std::uint64_t h) {
  low = Plus(low, l);
  high = Plus(high, h);
}

FleetCounts::FleetCounts(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
  places_[settings.self];
  basis_.insert(settings.self);
  Follow(settings.peers);
}

void FleetCounts::Follow(const std::vector<Peer>& peers) {
  settings_.peers = peers;
  for (const Peer& p : peers) places_[p.member_id];
  std::erase_if(places_, [&](const auto& place) {
    return place.first != settings_.self && std::none_of(peers.begin(), peers.end(), [&](const Peer& p) {
             return p.member_id == place.first;
           });
  });
}

Micros FleetCounts::ReportPause(std::size_t relays) {
  return std::max(kLeastReport, kReportPause * static_cast<int>(relays));
}

Micros FleetCounts::Stale() const {
  return std::max(settings_.stale_after, ReportPause(places_.size()) * 5 / 2);
}

std::optional<Micros> FleetCounts::AgeOf(const Record& r, Micros now) const {
  if (!r.age) return std::nullopt;
  return *r.age + AtLeast(now - r.at);
}

void FleetCounts::Improve(Record& r, Micros now, std::optional<Micros> age) {
  const auto known = AgeOf(r, now);
  if (!age || (known && *known <= *age)) return;
  r.age = age;
  r.at = now;
}

// What the run may have done after its report took no longer than the report was old when the end was heard
// of.
void FleetCounts::CloseGap(Record& r, Micros now) {
  if (!r.ended) return;
  if (const auto age = AgeOf(r, now)) TakeGap(r, std::max(Micros(0), *age - AtMost(now - r.ended_at)));
}

void FleetCounts::TakeGap(Record& r, std::optional<Micros> gap) {
  if (gap) r.gap = r.gap ? std::min(*r.gap, *gap) : *gap;
}

// That a run is ended is believed only where the one that came after it is known: who says so may have
// accepted the order of the two for the wrong one.
bool FleetCounts::Followed(const Place& place, const Record& r) const {
  return std::any_of(place.incarnations.begin(), place.incarnations.end(),
                     [&](const auto& l) { return l.second.incarnation > r.incarnation; });
}

void FleetCounts::EndRecord(Record& r, Micros now) {
  if (r.ended) return;
  r.ended = true;
  r.ended_at = now;
  CloseGap(r, now);
}

FleetCounts::Record& FleetCounts::Expect(MemberId member_id, Place& place, const Incarnation& incarnation,
                                         Micros now) {
  const auto [at, fresh] = place.incarnations.try_emplace(incarnation.id);
  Record& r = at->second;
  r.incarnation = std::max(r.incarnation, incarnation);
  // Whatever is told of this relay's own place is of its former runs.
  if (fresh && member_id == settings_.self) EndRecord(r, now);
  return r;
}

void FleetCounts::SetLocal(Micros now, const Incarnation& incarnation, std::uint64_t version,
                           const std::vector<ConnectionCountsRow>& rows) {
  Record& r = places_[settings_.self].incarnations[incarnation.id];
  r.incarnation = incarnation;
  r.version = version;
  r.rows = rows;
  r.age = Micros(0);
  r.at = now;
}

void FleetCounts::OnUpdate(Micros now, const CountsUpdate& update, std::optional<Micros> transit) {
  const auto place = places_.find(update.member_id);
  if (place == places_.end() || !update.incarnation || update.parts == 0 || update.parts > kMostParts ||
      update.part >= update.parts) {
    return;
  }
  Place& p = place->second;
  const auto known = p.incarnations.find(update.incarnation.id);
  if (known == p.incarnations.end() && update.incarnation.generation <= p.folded_generation) return;
  if (update.member_id == settings_.self && known != p.incarnations.end() && !known->second.ended)
    return;  // Ours are exact.
  if (IsInjected(Fault::kCountWithoutIncarnation)) {
    std::erase_if(p.incarnations, [&](const auto& l) { return l.first != update.incarnation.id; });
  }
  Record& r = Expect(update.member_id, p, update.incarnation, now);
  const auto age = update.ended                            ? std::nullopt
                   : IsInjected(Fault::kAgeWithoutTransit) ? update.age
                                                           : Added(update.age, transit);
  if (update.version < r.version) {
    if (IsInjected(Fault::kCountAddedTwice))
      r.rows.insert(r.rows.end(), update.rows.begin(), update.rows.end());
    return;
  }
  if (update.version == r.version) {
    if (update.ended && Followed(p, r)) {
      EndRecord(r, now);
      TakeGap(r, update.age);
    }
    Improve(r, now, age);
    CloseGap(r, now);
    return;
  }
  if (update.version < r.coming) return;
  if (update.version > r.coming) {
    r.coming = update.version;
    r.parts.clear();
    r.parts_wanted = update.parts;
    r.coming_age = age;
    r.coming_at = now;
  }
  if (update.parts != r.parts_wanted) return;
  r.parts[update.part] = update.rows;
  if (r.parts.size() < r.parts_wanted) return;
  r.version = r.coming;
  r.rows.clear();
  for (auto& [k, rows] : r.parts) r.rows.insert(r.rows.end(), rows.begin(), rows.end());
  // The age of the part that came first holds for all: they are of one moment.
  r.age = r.coming_age;
  r.at = r.coming_at;
  r.coming = 0;
  r.parts.clear();
  r.gap.reset();
  if (update.ended && Followed(p, r)) {
    EndRecord(r, now);
    TakeGap(r, update.age);
  }
  Improve(r, now, age);
  CloseGap(r, now);
  if (p.incarnations.size() > kMaxIncarnations) {
    auto oldest = std::min_element(
        p.incarnations.begin(), p.incarnations.end(),
        [](const auto& a, const auto& b) { return a.second.incarnation < b.second.incarnation; });
    if (!oldest->second.ended) return;
    Merge(p.folded, oldest->second);
    p.folded_generation = std::max(p.folded_generation, oldest->second.incarnation.generation);
    p.incarnations.erase(oldest);
  }
}

void FleetCounts::Merge(Record& sum, const Record& r) {
  for (const ConnectionCountsRow& row : r.rows) {
    const auto at = std::find_if(sum.rows.begin(), sum.rows.end(), [&](const ConnectionCountsRow& s) {
      return s.class_index == row.class_index && s.group == row.group;
    });
    if (at == sum.rows.end()) {
      sum.rows.push_back(row);
    } else {
      AddTo(at->counts, row.counts);
    }
  }
  const bool first = !sum.ended;
  sum.ended = true;
  sum.version = 1;
  sum.gap = first ? r.gap : Added(sum.gap, r.gap);
}

FleetCounts::Record* FleetCounts::Named(Place& place, std::uint32_t run) {
  for (auto& [id, r] : place.incarnations) {
    if (ShortIncarnationId(r.incarnation) == run) return &r;
  }
  return nullptr;
}

void FleetCounts::OnDigest(Micros now, const CountsDigest& have, std::optional<Micros> transit) {
  const auto place = places_.find(have.member_id);
  if (place == places_.end() || have.run == 0) return;
  Record* r = Named(place->second, have.run);
  // A run that is not known here is told of with its counts, or in a member_list.
  if (r == nullptr || r->version != have.version || (have.member_id == settings_.self && !r->ended)) return;
  if (have.ended) {
    if (!Followed(place->second, *r)) return;
    EndRecord(*r, now);
    TakeGap(*r, have.age);
    return;
  }
  Improve(*r, now, IsInjected(Fault::kAgeWithoutTransit) ? have.age : Added(have.age, transit));
  CloseGap(*r, now);
}

bool FleetCounts::HoldsAll() const {
  return std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& p) { return basis_.contains(p.member_id); });
}

std::optional<MemberId> FleetCounts::MemberListWanted(Micros now, MemberId peer) {
  if (complete_ || (reading_ && now < reading_->requested_at + kMemberListTimeout)) return std::nullopt;
  reading_ = Reading{peer, 0, now, true, {}};
  return 0;
}

MemberListPage FleetCounts::MemberList(MemberId from, std::size_t room) const {
  MemberListPage page;
  page.from = from;
  page.complete = complete_;
  for (const MemberId s : basis_) {
    if (s / 8 >= page.basis.size()) page.basis.resize(s / 8 + 1, '\0');
    page.basis[s / 8] = static_cast<char>(page.basis[s / 8] | 1 << (s % 8));
  }
  page.next = settings_.fleet_size;
  for (auto at = places_.lower_bound(from); at != places_.end(); ++at) {
    const std::size_t before = page.incarnations.size();
    for (const auto& [id, r] : at->second.incarnations)
      page.incarnations.push_back({at->first, r.incarnation});
    if (SizeOf(page) > room && before > 0) {
      page.incarnations.resize(before);
      page.next = at->first;
      break;
    }
  }
  return page;
}

std::optional<MemberId> FleetCounts::OnMemberList(Micros now, MemberId peer, const MemberListPage& page) {
  for (const auto& [member_id, incarnation] : page.incarnations) {
    const auto place = places_.find(member_id);
    if (place == places_.end() || !incarnation) continue;
    // Until its reports come nothing is known of it.
    if (place->second.incarnations.contains(incarnation.id) ||
        incarnation.generation > place->second.folded_generation)
      Expect(member_id, place->second, incarnation, now);
  }
  if (!reading_ || reading_->peer != peer || reading_->next != page.from || page.next <= page.from)
    return std::nullopt;
  Reading& r = *reading_;
  std::set<MemberId> basis{peer};
  for (MemberId s = 0; s < page.basis.size() * 8; ++s) {
    if (static_cast<unsigned char>(page.basis[s / 8]) >> (s % 8) & 1U) basis.insert(s);
  }
  // What holds of all pages: the peer's knowledge only grows, so that is what it held at the first.
  if (page.from == 0) r.basis = basis;
  std::erase_if(r.basis, [&](MemberId s) { return !basis.contains(s); });
  r.complete = r.complete && page.complete;
  if (page.next < settings_.fleet_size) {
    r.next = page.next;
    r.requested_at = now;
    return page.next;
  }
  basis_.insert(r.basis.begin(), r.basis.end());
  complete_ = r.complete || HoldsAll();
  reading_.reset();
  return std::nullopt;
}

void FleetCounts::Heard(Micros now, MemberId member_id, const Incarnation& incarnation) {
  const auto place = places_.find(member_id);
  if (place == places_.end() || member_id == settings_.self) return;
  if (!place->second.incarnations.contains(incarnation.id) &&
      incarnation.generation <= place->second.folded_generation)
    return;
  Record& r = Expect(member_id, place->second, incarnation, now);
  // It was accepted for the former of a run that it came after, before it had raised itself above that.
  r.ended = false;
  r.gap.reset();
}

void FleetCounts::OnIncarnationEnded(Micros now, MemberId member_id, const Incarnation& incarnation,
                                     const Incarnation& present) {
  const auto place = places_.find(member_id);
  if (place == places_.end() || !incarnation) return;
  // Of the new run nothing was told yet, but that it began after the former's last report.
  if (const auto former = place->second.incarnations.find(incarnation.id);
      present && former != place->second.incarnations.end() &&
      !place->second.incarnations.contains(present.id)) {
    Record fresh;
    fresh.incarnation = present;
    fresh.age = AgeOf(former->second, now);
    fresh.at = now;
    place->second.incarnations[present.id] = fresh;
  }
  if (!place->second.incarnations.contains(incarnation.id) &&
      incarnation.generation <= place->second.folded_generation)
    return;
  if (!present) place->second.left = incarnation;
  EndRecord(Expect(member_id, place->second, incarnation, now), now);
}

std::vector<CountsDigest> FleetCounts::Have(Micros now, std::size_t room) {
  std::vector<CountsDigest> out;
  const auto add = [&](MemberId member_id, const Place& place) {
    std::vector<CountsDigest> of_place;
    std::size_t size = 0;
    for (const auto& [id, r] : place.incarnations) {
      of_place.push_back(
          {member_id, ShortIncarnationId(r.incarnation), r.version, ReportedAge(r, now), r.ended});
      size += SizeOf(of_place.back());
    }
    if (of_place.empty()) {
      of_place.push_back({member_id, 0, 0, std::nullopt, false});
      size += SizeOf(of_place.back());
    }
    if (size > room) return false;
    room -= size;
    out.insert(out.end(), of_place.begin(), of_place.end());
    return true;
  };
  const auto own = places_.find(settings_.self);
  if (own == places_.end() || !add(own->first, own->second)) return out;
  const std::size_t n = places_.size();
  // By turns from a place drawn at random, so that all come up equally often.
  auto at = places_.begin();
  std::advance(at, static_cast<std::ptrdiff_t>(random_.Below(n)));
  for (std::size_t k = 0; k < n; ++k) {
    if (at->first != settings_.self && !add(at->first, at->second)) return out;
    if (++at == places_.end()) at = places_.begin();
  }
  return out;
}

std::vector<CountsUpdate> FleetCounts::Missing(Micros now, const std::vector<CountsDigest>& theirs,
                                               std::size_t room) const {
  std::vector<CountsUpdate> out;
  std::vector<MemberId> done;
  for (const CountsDigest& h : theirs) {
    if (std::find(done.begin(), done.end(), h.member_id) != done.end()) continue;
    done.push_back(h.member_id);
    const auto place = places_.find(h.member_id);
    if (place == places_.end()) continue;
    for (const auto& [id, r] : place->second.incarnations) {
      const std::uint32_t run = ShortIncarnationId(r.incarnation);
      const std::uint64_t version = r.version;
      const bool has = std::any_of(theirs.begin(), theirs.end(), [&](const CountsDigest& t) {
        return t.member_id == h.member_id && t.run == run && t.version >= version;
      });
      if (has || r.version == 0) continue;
      CountsUpdate complete{place->first, r.incarnation, r.version, 0, 1, ReportedAge(r, now), r.ended, {}};
      const std::size_t bare = SizeOf(complete);
      std::vector<std::vector<ConnectionCountsRow>> parts(1);
      std::size_t size = bare;
      constexpr std::size_t kMostPart = 800;
      for (const ConnectionCountsRow& row : r.rows) {
        if (size + SizeOf(row) > kMostPart && !parts.back().empty()) {
          parts.emplace_back();
          size = bare;
        }
        parts.back().push_back(row);
        size += SizeOf(row);
      }
      // All parts in turn, as many as there is room for; the rest goes when it is asked for again.
      const std::size_t first =
          parts.size() > 1 ? static_cast<std::size_t>(now.count() / 1000) % parts.size() : 0;
      for (std::size_t k = 0; k < parts.size(); ++k) {
        const std::size_t at = (first + k) % parts.size();
        CountsUpdate part = complete;
        part.part = static_cast<std::uint32_t>(at);
        part.parts = static_cast<std::uint32_t>(parts.size());
        part.rows = parts[at];
        const std::size_t of_part = SizeOf(part);
        if (of_part > room) break;
        room -= of_part;
        out.push_back(std::move(part));
      }
    }
  }
  return out;
}

std::vector<CountsDigest> FleetCounts::Lacking(Micros now, const std::vector<CountsDigest>& theirs) {
  std::vector<CountsDigest> out;
  std::vector<MemberId> asked;
  for (const CountsDigest& t : theirs) {
    const auto place = places_.find(t.member_id);
    if (place == places_.end() || t.run == 0 || t.version == 0) continue;
    const Record* known = Named(place->second, t.run);
    // Runs that were folded here would be asked for again and again.
    const bool lacks = known == nullptr ? place->second.folded_generation == 0 : known->version < t.version;
    if (!lacks || (t.member_id == settings_.self && known != nullptr && !known->ended) ||
        std::find(asked.begin(), asked.end(), t.member_id) != asked.end()) {
      continue;
    }
    asked.push_back(t.member_id);
    if (place->second.incarnations.empty()) out.push_back({t.member_id, 0, 0, std::nullopt, false});
    for (const auto& [id, r] : place->second.incarnations)
      out.push_back(
          {t.member_id, ShortIncarnationId(r.incarnation), r.version, ReportedAge(r, now), r.ended});
  }
  return out;
}

std::vector<CountsDigest> FleetCounts::Fresher(Micros now, const std::vector<CountsDigest>& theirs,
                                               std::size_t room) const {
  std::vector<CountsDigest> out;
  for (const CountsDigest& t : theirs) {
    const auto place = places_.find(t.member_id);
    // A place of several runs is told of as a complete, or not at all.
    if (place == places_.end() || place->second.incarnations.size() != 1) continue;
    const Record& r = place->second.incarnations.begin()->second;
    const auto age = AgeOf(r, now);
    if (ShortIncarnationId(r.incarnation) != t.run || r.version != t.version || r.ended || !age) continue;
    if (t.age && *t.age <= *age + kWorthTelling) continue;
    const CountsDigest fresher{t.member_id, t.run, r.version, age, false};
    if (SizeOf(fresher) > room) break;
    room -= SizeOf(fresher);
    out.push_back(fresher);
  }
  return out;
}

void FleetCounts::AddRecord(Total& total, const Record& r, Micros now,
                            std::optional<std::uint32_t> class_index, std::optional<std::string_view> group,
                            bool after) const {
  ConnectionCounts t;
  for (const ConnectionCountsRow& row : r.rows) {
    if ((!class_index || row.class_index == *class_index) && (!group || row.group == *group))
      AddTo(t, row.counts);
  }
  // A run that another came after is ended, though nobody said so yet.
  const bool ended = r.ended || after;
  const auto age = r.ended ? r.gap : AgeOf(r, now);
  if (!ended && r.version != 0 && age && *age <= Stale()) {
    total.accepted.Add(t.accepted, t.accepted);
    total.served.Add(t.served, t.served);
    total.rejected.Add(t.rejected, t.rejected);
    total.failed.Add(t.failed, t.failed);
    total.open.Add(t.open, t.open);
    total.oldest = std::max(total.oldest, *age);
    return;
  }
  ++(ended ? total.ended : total.widened);
  const bool unbounded = !age;
  const std::uint64_t more = unbounded ? kUnbounded
                                       : static_cast<std::uint64_t>(static_cast<double>(age->count()) / 1e6 *
                                                                    settings_.max_accepted_per_s) +
                                             1;
  const std::uint64_t max_ended = Plus(more, t.open);
  total.accepted.Add(t.accepted, Plus(t.accepted, more));
  total.served.Add(t.served, Plus(t.served, max_ended));
  total.rejected.Add(t.rejected, Plus(t.rejected, max_ended));
  total.failed.Add(t.failed, Plus(t.failed, max_ended));
  if (!ended) total.open.Add(0, std::min<std::uint64_t>(settings_.max_open, Plus(t.open, more)));
}

FleetCounts::Total FleetCounts::Sum(Micros now, std::optional<std::uint32_t> class_index,
                                    std::optional<std::string_view> group) const {
  Total total;
  total.complete = complete_ || settings_.peers.empty();
  if (!total.complete) {
    for (Interval* b : {&total.accepted, &total.served, &total.rejected, &total.failed, &total.open})
      b->Add(0, kUnbounded);
  }
  for (const auto& [member_id, place] : places_) {
    if (place.incarnations.empty()) {
      ++total.unheard;
      for (Interval* b : {&total.accepted, &total.served, &total.rejected, &total.failed})
        b->Add(0, kUnbounded);
      total.open.Add(0, settings_.max_open);
      continue;
    }
    if (place.folded.ended) AddRecord(total, place.folded, now, class_index, group, true);
    Incarnation last;
    for (const auto& [id, r] : place.incarnations) last = std::max(last, r.incarnation);
    for (const auto& [id, r] : place.incarnations)
      AddRecord(total, r, now, class_index, group, r.incarnation.id != last.id);
  }
  return total;
}

std::vector<FleetCounts::Part> FleetCounts::Parts(Micros now) const {
  std::vector<Part> out;
  for (const auto& [member_id, place] : places_) {
    for (const auto& [id, r] : place.incarnations) {
      Part part{member_id, r.incarnation, r.version, ReportedAge(r, now), r.ended, {}};
      for (const ConnectionCountsRow& row : r.rows) AddTo(part.sum, row.counts);
      out.push_back(part);
    }
  }
  return out;
}

std::vector<std::pair<std::uint32_t, std::string>> FleetCounts::Keys() const {
  std::vector<std::pair<std::uint32_t, std::string>> keys;
  for (const auto& [member_id, place] : places_) {
    for (const auto& [id, r] : place.incarnations) {
      for (const ConnectionCountsRow& row : r.rows) keys.emplace_back(row.class_index, row.group);
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

}  // namespace stoatrun::fleet
