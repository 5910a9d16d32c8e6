#include "fleet/connection_counts.h"

#include <algorithm>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

// A report of the counts costs each relay of the fleet its bytes: the pause between two grows with the fleet.
constexpr Micros kReportPause = std::chrono::milliseconds(150);  // Times the relays.
constexpr Micros kLeastReport = std::chrono::seconds(1);
constexpr Micros kWorthTelling = std::chrono::seconds(2);  // Better by so much, a bound is worth its bytes.
constexpr Micros kRosterWait = std::chrono::seconds(2);    // For a page; then somebody else is asked.

void AddTo(Tally& sum, const Tally& t) {
  sum.taken += t.taken;
  sum.served += t.served;
  sum.refused += t.refused;
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

Accounts::Ticket Accounts::Take(std::uint32_t class_index, std::string_view group) {
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
  Tally& t = rows_[at->second].tally;
  ++t.taken;
  ++t.open;
  ++taken_;
  ++changes_;
  return {at->second, true};
}

void Accounts::Finish(Ticket& ticket, End end) {
  if (!ticket.open || ticket.row >= rows_.size() || rows_[ticket.row].tally.open == 0) {
    ++breaches_;
    return;
  }
  ticket.open = false;
  Tally& t = rows_[ticket.row].tally;
  --t.open;
  ++(end == End::kServed ? t.served : end == End::kRefused ? t.refused : t.failed);
  ++finished_;
  ++changes_;
}

bool Accounts::Check() const {
  const Tally sum = Sum();
  const bool rows =
      std::all_of(rows_.begin(), rows_.end(), [](const TallyRow& r) { return r.tally.Balanced(); });
  return rows && breaches_ == 0 && sum.taken == taken_ && sum.served + sum.refused + sum.failed == finished_;
}

Tally Accounts::Sum() const {
  Tally sum;
  for (const TallyRow& r : rows_) AddTo(sum, r.tally);
  return sum;
}

// ---- the fleet's ----

void FleetCounts::Bound::Add(std::uint64_t l, std::uint64_t h) {
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
  for (const Peer& p : peers) places_[p.slot];
  std::erase_if(places_, [&](const auto& place) {
    return place.first != settings_.self &&
           std::none_of(peers.begin(), peers.end(), [&](const Peer& p) { return p.slot == place.first; });
  });
}

Micros FleetCounts::ReportPause(std::size_t relays) {
  return std::max(kLeastReport, kReportPause * static_cast<int>(relays));
}

Micros FleetCounts::Stale() const { return std::max(settings_.stale, ReportPause(places_.size()) * 5 / 2); }

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
  if (!r.over) return;
  if (const auto age = AgeOf(r, now)) TakeGap(r, std::max(Micros(0), *age - AtMost(now - r.over_at)));
}

void FleetCounts::TakeGap(Record& r, std::optional<Micros> gap) {
  if (gap) r.gap = r.gap ? std::min(*r.gap, *gap) : *gap;
}

// That a run is over is believed only where the one that came after it is known: who says so may have taken
// the order of the two for the wrong one.
bool FleetCounts::Followed(const Place& place, const Record& r) const {
  return std::any_of(place.lives.begin(), place.lives.end(),
                     [&](const auto& l) { return l.second.life > r.life; });
}

void FleetCounts::End(Record& r, Micros now) {
  if (r.over) return;
  r.over = true;
  r.over_at = now;
  CloseGap(r, now);
}

FleetCounts::Record& FleetCounts::Expect(Slot slot, Place& place, const Life& life, Micros now) {
  const auto [at, fresh] = place.lives.try_emplace(life.id);
  Record& r = at->second;
  r.life = std::max(r.life, life);
  // Whatever is told of this relay's own place is of its former runs.
  if (fresh && slot == settings_.self) End(r, now);
  return r;
}

void FleetCounts::Own(Micros now, const Life& life, std::uint64_t version,
                      const std::vector<TallyRow>& rows) {
  Record& r = places_[settings_.self].lives[life.id];
  r.life = life;
  r.version = version;
  r.rows = rows;
  r.age = Micros(0);
  r.at = now;
}

void FleetCounts::OnNews(Micros now, const CountsNews& news, std::optional<Micros> transit) {
  const auto place = places_.find(news.slot);
  if (place == places_.end() || !news.life || news.parts == 0 || news.parts > kMostParts ||
      news.part >= news.parts) {
    return;
  }
  Place& p = place->second;
  const auto known = p.lives.find(news.life.id);
  if (known == p.lives.end() && news.life.generation <= p.folded_generation) return;
  if (news.slot == settings_.self && known != p.lives.end() && !known->second.over)
    return;  // Ours are exact.
  if (Planted(Fault::kCountWithoutLife)) {
    std::erase_if(p.lives, [&](const auto& l) { return l.first != news.life.id; });
  }
  Record& r = Expect(news.slot, p, news.life, now);
  const auto age = news.over                            ? std::nullopt
                   : Planted(Fault::kAgeWithoutTransit) ? news.age
                                                        : Added(news.age, transit);
  if (news.version < r.version) {
    if (Planted(Fault::kCountAddedTwice)) r.rows.insert(r.rows.end(), news.rows.begin(), news.rows.end());
    return;
  }
  if (news.version == r.version) {
    if (news.over && Followed(p, r)) {
      End(r, now);
      TakeGap(r, news.age);
    }
    Improve(r, now, age);
    CloseGap(r, now);
    return;
  }
  if (news.version < r.coming) return;
  if (news.version > r.coming) {
    r.coming = news.version;
    r.parts.clear();
    r.parts_wanted = news.parts;
    r.coming_age = age;
    r.coming_at = now;
  }
  if (news.parts != r.parts_wanted) return;
  r.parts[news.part] = news.rows;
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
  if (news.over && Followed(p, r)) {
    End(r, now);
    TakeGap(r, news.age);
  }
  Improve(r, now, age);
  CloseGap(r, now);
  if (p.lives.size() > kMostLives) {
    auto oldest = std::min_element(p.lives.begin(), p.lives.end(), [](const auto& a, const auto& b) {
      return a.second.life < b.second.life;
    });
    if (!oldest->second.over) return;
    FoldInto(p.folded, oldest->second);
    p.folded_generation = std::max(p.folded_generation, oldest->second.life.generation);
    p.lives.erase(oldest);
  }
}

void FleetCounts::FoldInto(Record& sum, const Record& r) {
  for (const TallyRow& row : r.rows) {
    const auto at = std::find_if(sum.rows.begin(), sum.rows.end(), [&](const TallyRow& s) {
      return s.class_index == row.class_index && s.group == row.group;
    });
    if (at == sum.rows.end()) {
      sum.rows.push_back(row);
    } else {
      AddTo(at->tally, row.tally);
    }
  }
  const bool first = !sum.over;
  sum.over = true;
  sum.version = 1;
  sum.gap = first ? r.gap : Added(sum.gap, r.gap);
}

FleetCounts::Record* FleetCounts::Named(Place& place, std::uint32_t run) {
  for (auto& [id, r] : place.lives) {
    if (RunOf(r.life) == run) return &r;
  }
  return nullptr;
}

void FleetCounts::OnHave(Micros now, const CountsHave& have, std::optional<Micros> transit) {
  const auto place = places_.find(have.slot);
  if (place == places_.end() || have.run == 0) return;
  Record* r = Named(place->second, have.run);
  // A run that is not known here is told of with its counts, or in a roster.
  if (r == nullptr || r->version != have.version || (have.slot == settings_.self && !r->over)) return;
  if (have.over) {
    if (!Followed(place->second, *r)) return;
    End(*r, now);
    TakeGap(*r, have.age);
    return;
  }
  Improve(*r, now, Planted(Fault::kAgeWithoutTransit) ? have.age : Added(have.age, transit));
  CloseGap(*r, now);
}

bool FleetCounts::HoldsAll() const {
  return std::all_of(settings_.peers.begin(), settings_.peers.end(),
                     [&](const Peer& p) { return basis_.contains(p.slot); });
}

std::optional<Slot> FleetCounts::RosterWanted(Micros now, Slot peer) {
  if (whole_ || (reading_ && now < reading_->asked_at + kRosterWait)) return std::nullopt;
  reading_ = Reading{peer, 0, now, true, {}};
  return 0;
}

RosterPage FleetCounts::Roster(Slot from, std::size_t room) const {
  RosterPage page;
  page.from = from;
  page.whole = whole_;
  for (const Slot s : basis_) {
    if (s / 8 >= page.basis.size()) page.basis.resize(s / 8 + 1, '\0');
    page.basis[s / 8] = static_cast<char>(page.basis[s / 8] | 1 << (s % 8));
  }
  page.next = settings_.slots;
  for (auto at = places_.lower_bound(from); at != places_.end(); ++at) {
    const std::size_t before = page.lives.size();
    for (const auto& [id, r] : at->second.lives) page.lives.emplace_back(at->first, r.life);
    if (SizeOf(page) > room && before > 0) {
      page.lives.resize(before);
      page.next = at->first;
      break;
    }
  }
  return page;
}

std::optional<Slot> FleetCounts::OnRoster(Micros now, Slot peer, const RosterPage& page) {
  for (const auto& [slot, life] : page.lives) {
    const auto place = places_.find(slot);
    if (place == places_.end() || !life) continue;
    // Until its reports come nothing is known of it.
    if (place->second.lives.contains(life.id) || life.generation > place->second.folded_generation)
      Expect(slot, place->second, life, now);
  }
  if (!reading_ || reading_->peer != peer || reading_->next != page.from || page.next <= page.from)
    return std::nullopt;
  Reading& r = *reading_;
  std::set<Slot> basis{peer};
  for (Slot s = 0; s < page.basis.size() * 8; ++s) {
    if (static_cast<unsigned char>(page.basis[s / 8]) >> (s % 8) & 1U) basis.insert(s);
  }
  // What holds of all pages: the peer's knowledge only grows, so that is what it held at the first.
  if (page.from == 0) r.basis = basis;
  std::erase_if(r.basis, [&](Slot s) { return !basis.contains(s); });
  r.whole = r.whole && page.whole;
  if (page.next < settings_.slots) {
    r.next = page.next;
    r.asked_at = now;
    return page.next;
  }
  basis_.insert(r.basis.begin(), r.basis.end());
  whole_ = r.whole || HoldsAll();
  reading_.reset();
  return std::nullopt;
}

void FleetCounts::Heard(Micros now, Slot slot, const Life& life) {
  const auto place = places_.find(slot);
  if (place == places_.end() || slot == settings_.self) return;
  if (!place->second.lives.contains(life.id) && life.generation <= place->second.folded_generation) return;
  Record& r = Expect(slot, place->second, life, now);
  // It was taken for the former of a run that it came after, before it had raised itself above that.
  r.over = false;
  r.gap.reset();
}

void FleetCounts::Over(Micros now, Slot slot, const Life& life, const Life& present) {
  const auto place = places_.find(slot);
  if (place == places_.end() || !life) return;
  // Of the new run nothing was told yet, but that it began after the former's last report.
  if (const auto former = place->second.lives.find(life.id);
      present && former != place->second.lives.end() && !place->second.lives.contains(present.id)) {
    Record fresh;
    fresh.life = present;
    fresh.age = AgeOf(former->second, now);
    fresh.at = now;
    place->second.lives[present.id] = fresh;
  }
  if (!place->second.lives.contains(life.id) && life.generation <= place->second.folded_generation) return;
  if (!present) place->second.left = life;
  End(Expect(slot, place->second, life, now), now);
}

std::vector<CountsHave> FleetCounts::Have(Micros now, std::size_t room) {
  std::vector<CountsHave> out;
  const auto add = [&](Slot slot, const Place& place) {
    std::vector<CountsHave> of_place;
    std::size_t size = 0;
    for (const auto& [id, r] : place.lives) {
      of_place.push_back({slot, RunOf(r.life), r.version, Told(r, now), r.over});
      size += SizeOf(of_place.back());
    }
    if (of_place.empty()) {
      of_place.push_back({slot, 0, 0, std::nullopt, false});
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

std::vector<CountsNews> FleetCounts::Missing(Micros now, const std::vector<CountsHave>& theirs,
                                             std::size_t room) const {
  std::vector<CountsNews> out;
  std::vector<Slot> done;
  for (const CountsHave& h : theirs) {
    if (std::find(done.begin(), done.end(), h.slot) != done.end()) continue;
    done.push_back(h.slot);
    const auto place = places_.find(h.slot);
    if (place == places_.end()) continue;
    for (const auto& [id, r] : place->second.lives) {
      const std::uint32_t run = RunOf(r.life);
      const std::uint64_t version = r.version;
      const bool has = std::any_of(theirs.begin(), theirs.end(), [&](const CountsHave& t) {
        return t.slot == h.slot && t.run == run && t.version >= version;
      });
      if (has || r.version == 0) continue;
      CountsNews whole{place->first, r.life, r.version, 0, 1, Told(r, now), r.over, {}};
      const std::size_t bare = SizeOf(whole);
      std::vector<std::vector<TallyRow>> parts(1);
      std::size_t size = bare;
      constexpr std::size_t kMostPart = 800;
      for (const TallyRow& row : r.rows) {
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
        CountsNews part = whole;
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

std::vector<CountsHave> FleetCounts::Lacking(Micros now, const std::vector<CountsHave>& theirs) {
  std::vector<CountsHave> out;
  std::vector<Slot> asked;
  for (const CountsHave& t : theirs) {
    const auto place = places_.find(t.slot);
    if (place == places_.end() || t.run == 0 || t.version == 0) continue;
    const Record* known = Named(place->second, t.run);
    // Runs that were folded here would be asked for again and again.
    const bool lacks = known == nullptr ? place->second.folded_generation == 0 : known->version < t.version;
    if (!lacks || (t.slot == settings_.self && known != nullptr && !known->over) ||
        std::find(asked.begin(), asked.end(), t.slot) != asked.end()) {
      continue;
    }
    asked.push_back(t.slot);
    if (place->second.lives.empty()) out.push_back({t.slot, 0, 0, std::nullopt, false});
    for (const auto& [id, r] : place->second.lives)
      out.push_back({t.slot, RunOf(r.life), r.version, Told(r, now), r.over});
  }
  return out;
}

std::vector<CountsHave> FleetCounts::Fresher(Micros now, const std::vector<CountsHave>& theirs,
                                             std::size_t room) const {
  std::vector<CountsHave> out;
  for (const CountsHave& t : theirs) {
    const auto place = places_.find(t.slot);
    // A place of several runs is told of as a whole, or not at all.
    if (place == places_.end() || place->second.lives.size() != 1) continue;
    const Record& r = place->second.lives.begin()->second;
    const auto age = AgeOf(r, now);
    if (RunOf(r.life) != t.run || r.version != t.version || r.over || !age) continue;
    if (t.age && *t.age <= *age + kWorthTelling) continue;
    const CountsHave fresher{t.slot, t.run, r.version, age, false};
    if (SizeOf(fresher) > room) break;
    room -= SizeOf(fresher);
    out.push_back(fresher);
  }
  return out;
}

void FleetCounts::AddRecord(Total& total, const Record& r, Micros now,
                            std::optional<std::uint32_t> class_index, std::optional<std::string_view> group,
                            bool after) const {
  Tally t;
  for (const TallyRow& row : r.rows) {
    if ((!class_index || row.class_index == *class_index) && (!group || row.group == *group))
      AddTo(t, row.tally);
  }
  // A run that another came after is over, though nobody said so yet.
  const bool over = r.over || after;
  const auto age = r.over ? r.gap : AgeOf(r, now);
  if (!over && r.version != 0 && age && *age <= Stale()) {
    total.taken.Add(t.taken, t.taken);
    total.served.Add(t.served, t.served);
    total.refused.Add(t.refused, t.refused);
    total.failed.Add(t.failed, t.failed);
    total.open.Add(t.open, t.open);
    total.oldest = std::max(total.oldest, *age);
    return;
  }
  ++(over ? total.over : total.widened);
  const bool unbounded = !age;
  const std::uint64_t more =
      unbounded
          ? kUnbounded
          : static_cast<std::uint64_t>(static_cast<double>(age->count()) / 1e6 * settings_.taken_per_s) + 1;
  const std::uint64_t ended = Plus(more, t.open);
  total.taken.Add(t.taken, Plus(t.taken, more));
  total.served.Add(t.served, Plus(t.served, ended));
  total.refused.Add(t.refused, Plus(t.refused, ended));
  total.failed.Add(t.failed, Plus(t.failed, ended));
  if (!over) total.open.Add(0, std::min<std::uint64_t>(settings_.most_open, Plus(t.open, more)));
}

FleetCounts::Total FleetCounts::Sum(Micros now, std::optional<std::uint32_t> class_index,
                                    std::optional<std::string_view> group) const {
  Total total;
  total.whole = whole_ || settings_.peers.empty();
  if (!total.whole) {
    for (Bound* b : {&total.taken, &total.served, &total.refused, &total.failed, &total.open})
      b->Add(0, kUnbounded);
  }
  for (const auto& [slot, place] : places_) {
    if (place.lives.empty()) {
      ++total.unheard;
      for (Bound* b : {&total.taken, &total.served, &total.refused, &total.failed}) b->Add(0, kUnbounded);
      total.open.Add(0, settings_.most_open);
      continue;
    }
    if (place.folded.over) AddRecord(total, place.folded, now, class_index, group, true);
    Life last;
    for (const auto& [id, r] : place.lives) last = std::max(last, r.life);
    for (const auto& [id, r] : place.lives)
      AddRecord(total, r, now, class_index, group, r.life.id != last.id);
  }
  return total;
}

std::vector<FleetCounts::Part> FleetCounts::Parts(Micros now) const {
  std::vector<Part> out;
  for (const auto& [slot, place] : places_) {
    for (const auto& [id, r] : place.lives) {
      Part part{slot, r.life, r.version, Told(r, now), r.over, {}};
      for (const TallyRow& row : r.rows) AddTo(part.sum, row.tally);
      out.push_back(part);
    }
  }
  return out;
}

std::vector<std::pair<std::uint32_t, std::string>> FleetCounts::Keys() const {
  std::vector<std::pair<std::uint32_t, std::string>> keys;
  for (const auto& [slot, place] : places_) {
    for (const auto& [id, r] : place.lives) {
      for (const TallyRow& row : r.rows) keys.emplace_back(row.class_index, row.group);
    }
  }
  std::sort(keys.begin(), keys.end());
  keys.erase(std::unique(keys.begin(), keys.end()), keys.end());
  return keys;
}

}  // namespace stoatrun::fleet
