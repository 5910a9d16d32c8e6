#include "fleet/outlier_consensus.h"

#include <algorithm>
#include <cmath>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kOwnMemory = seconds(5);  // What was seen here counts so long.
constexpr std::size_t kMostSeen = 32;      // Of one server.
constexpr std::size_t kBadSeen = 3;        // So many bad observations, half of all at least, make a verdict.
constexpr Micros kValid = seconds(6);      // Of evidence: the longest a judgement outlives its making.
constexpr Micros kTellAgain = seconds(3);  // While it holds.
constexpr std::size_t kWitnesses = 2;
constexpr Micros kLookWait = seconds(2);     // On hearsay alone no server is avoided longer.
constexpr Micros kHearsayRest = seconds(6);  // Nor again so soon after that.
constexpr std::size_t kBadLinkLeast = 3;     // Servers judged bad before a witness's own link is in question.
constexpr unsigned kMostStrikes = 3;
constexpr Micros kDistrust = seconds(60);
constexpr unsigned kTellFactor = 2;  // Times log2 of the fleet.
constexpr std::size_t kMostServers = 8192;
constexpr std::size_t kMostCounted = 256;

}  // namespace

void Judgements::Listed(const std::vector<std::pair<std::string, std::int64_t>>& servers) {
  std::map<std::string, std::int64_t> listed;
  for (const auto& [id, start] : servers) {
    listed[id] = start;
    // A process that started anew owes nothing to what was seen of the former.
    if (const auto before = listed_.find(id); before != listed_.end() && before->second != start)
      servers_.erase(id);
  }
  listed_ = std::move(listed);
  std::erase_if(servers_, [&](const auto& s) { return !listed_.contains(s.first); });
}

bool Judgements::IsListed(const std::string& server, std::int64_t start) const {
  const auto at = listed_.find(server);
  return at != listed_.end() && at->second == start;
}

void Judgements::Forget(Server& s, Micros now) const {
  while (!s.seen.empty() && (s.seen.front().at + kOwnMemory <= now || s.seen.size() > kMostSeen))
    s.seen.pop_front();
  if (!Planted(Fault::kJudgementWithoutEnd)) {
    std::erase_if(s.heard, [&](const auto& h) { return !InForce(h.second, now); });
  }
}

bool Judgements::InForce(const Heard& h, Micros now) const {
  if (Planted(Fault::kJudgementWithoutEnd)) return true;
  return now < h.made + std::min(AtMost(h.evidence.valid), kValid);
}

void Judgements::Observe(Micros now, const std::string& server, Verdict verdict) {
  if (!listed_.contains(server)) return;
  Server& s = servers_[server];
  s.seen.push_back({now, verdict});
  Forget(s, now);
  if (verdict != Verdict::kFine) return;
  // Who says the contrary is found wrong, if what it says is older than what is seen now.
  const auto own = Own(now, server);
  if (own != Verdict::kFine) return;
  for (const auto& [author, h] : s.heard) {
    if (!Bad(h.evidence.verdict) || !InForce(h, now) || now - h.made < kLookWait / 2) continue;
    Credit& c = credit_[author];
    if (c.counted.size() >= kMostCounted) c.counted.clear();
    if (!c.counted.emplace(server, h.evidence.version).second) continue;
    ++counts_.contradicted;
    if (++c.strikes >= kMostStrikes) {
      c.until = now + kDistrust;
      c.strikes = 0;
    }
  }
}

std::optional<Verdict> Judgements::Own(Micros now, const std::string& server) const {
  const auto at = servers_.find(server);
  if (at == servers_.end()) return std::nullopt;
  std::size_t bad = 0, all = 0;
  std::map<Verdict, std::size_t> of;
  for (const Seen& seen : at->second.seen) {
    if (seen.at + kOwnMemory <= now) continue;
    ++all;
    ++of[seen.verdict];
    bad += Bad(seen.verdict) ? 1 : 0;
  }
  if (all == 0) return std::nullopt;
  if (!Bad(at->second.seen.back().verdict))
    return 2 * bad > all ? std::nullopt : std::optional(Verdict::kFine);
  if (bad < kBadSeen || 2 * bad < all) return std::nullopt;
  Verdict most = Verdict::kFailing;
  for (const auto& [verdict, n] : of) {
    if (Bad(verdict) && n > of[most]) most = verdict;
  }
  return most;
}

void Judgements::Hear(Micros now, const Evidence& evidence, std::optional<Micros> transit) {
  if (evidence.author == settings_.self) return;
  // What has no bound on its age may be of any time.
  if (!evidence.age || !transit) {
    ++counts_.stale;
    return;
  }
  const Micros made = now - *evidence.age - *transit;
  Heard fresh{evidence, made, 0};
  if (!InForce(fresh, now)) {
    ++counts_.stale;
    return;
  }
  if (!servers_.contains(evidence.server) && servers_.size() >= kMostServers) return;
  if (!listed_.contains(evidence.server)) return;  // Not ours to use; who lists it passes it on.
  Server& s = servers_[evidence.server];
  const auto at = s.heard.find(evidence.author);
  if (at != s.heard.end() && at->second.evidence.life.id == evidence.life.id &&
      at->second.evidence.version >= evidence.version) {
    // The same again: perhaps with a better bound on its age, which can only make it older than it seemed at
    // first.
    return;
  }
  if (at != s.heard.end() && at->second.evidence.life > evidence.life) return;
  ++counts_.heard;
  fresh.tell = 1;
  s.heard[evidence.author] = fresh;
}

void Judgements::Over(Slot author, const Life& life) {
  for (auto& [id, s] : servers_) {
    std::erase_if(s.heard,
                  [&](const auto& h) { return h.first == author && h.second.evidence.life.id == life.id; });
  }
  credit_.erase(author);
}

bool Judgements::BadLink(Slot author, Micros now) const {
  std::size_t bad = 0;
  for (const auto& [id, s] : servers_) {
    const auto at = s.heard.find(author);
    if (at != s.heard.end() && InForce(at->second, now) && Bad(at->second.evidence.verdict)) ++bad;
  }
  return bad >= kBadLinkLeast && 2 * bad > listed_.size();
}

std::vector<std::pair<Slot, std::string>> Judgements::Distrusted(Micros now) const {
  std::vector<std::pair<Slot, std::string>> out;
  std::set<Slot> authors;
  for (const auto& [id, s] : servers_) {
    for (const auto& [author, h] : s.heard) authors.insert(author);
  }
  for (const Slot a : authors) {
    if (BadLink(a, now)) out.emplace_back(a, "judges more than half of the servers bad");
  }
  for (const auto& [a, c] : credit_) {
    if (now < c.until) out.emplace_back(a, "was found wrong here");
  }
  return out;
}

std::set<std::string> Judgements::OnHearsay(Micros now) {
  struct Case {
    std::size_t bad;
    std::string server;
  };
  std::vector<Case> cases;
  std::set<Slot> distrusted;
  for (const auto& [a, why] : Distrusted(now)) distrusted.insert(a);
  for (auto& [id, s] : servers_) {
    Forget(s, now);
    const auto listed = listed_.find(id);
    if (listed == listed_.end()) continue;
    std::size_t bad = 0, fine = 0;
    for (const auto& [author, h] : s.heard) {
      if (!InForce(h, now) || h.evidence.server_start != listed->second) continue;
      if (distrusted.contains(author)) {
        counts_.ignored_witness += Bad(h.evidence.verdict) ? 1 : 0;
        continue;
      }
      ++(Bad(h.evidence.verdict) ? bad : fine);
    }
    const std::size_t needed = Planted(Fault::kOneWitnessIsEnough) ? 1 : kWitnesses;
    // A verdict of our own, or the last thing seen here went well though others before it did not.
    const bool sound = !s.seen.empty() && !Bad(s.seen.back().verdict);
    const bool seen = (sound || Own(now, id).has_value()) && !Planted(Fault::kHearsayBeforeOwn);
    if (seen || bad < needed || bad <= fine) {
      if (s.hearsay_since && (seen || now >= *s.hearsay_since + kLookWait + kHearsayRest))
        s.hearsay_since.reset();
      continue;
    }
    if (!s.hearsay_since || now >= *s.hearsay_since + kLookWait + kHearsayRest) s.hearsay_since = now;
    if (now >= *s.hearsay_since + kLookWait && !Planted(Fault::kJudgementWithoutEnd)) continue;
    cases.push_back({bad, id});
  }
  std::sort(cases.begin(), cases.end(), [](const Case& a, const Case& b) {
    return a.bad != b.bad ? a.bad > b.bad : a.server < b.server;
  });
  const auto most =
      static_cast<std::size_t>(std::floor(settings_.most_avoided * static_cast<double>(listed_.size())));
  if (cases.size() > most && !Planted(Fault::kNoCapOnHearsay)) {
    counts_.capped += cases.size() - most;
    cases.resize(most);
  }
  std::set<std::string> out;
  for (const Case& c : cases) out.insert(c.server);
  return out;
}

std::vector<Evidence> Judgements::News(Micros now, const Life& self, std::size_t room, std::size_t fleet) {
  const auto often =
      kTellFactor *
      static_cast<unsigned>(std::ceil(std::log2(static_cast<double>(std::max<std::size_t>(fleet, 1)) + 1)));
  std::vector<Evidence> out;
  const auto add = [&](const Evidence& e) {
    const std::size_t size = SizeOf(e);
    if (size > room) return false;
    room -= size;
    out.push_back(e);
    return true;
  };
  for (auto& [id, s] : servers_) {
    Forget(s, now);
    const auto own = Own(now, id);
    // Sound is told only to take back what was told before.
    const bool bad = own && Bad(*own);
    const bool told = s.told.version != 0 && Bad(s.told.verdict) && now < s.seen_at + kValid;
    if ((bad && (!told || s.told.verdict != *own || now >= s.told_at + kTellAgain)) ||
        (!bad && told && own)) {
      Evidence& e = s.told;
      e.author = settings_.self;
      e.life = self;
      e.server = id;
      e.server_start = listed_[id];
      e.verdict = *own;
      e.observations = static_cast<std::uint32_t>(s.seen.size());
      e.version = ++version_;
      e.valid = kValid;
      s.told_at = now;
      for (const Seen& seen : s.seen) s.seen_at = Bad(seen.verdict) == Bad(*own) ? seen.at : s.seen_at;
      s.tell = often;
    }
    if (s.tell > 0 && now < s.seen_at + kValid) {
      s.told.age = AtLeast(now - s.seen_at);
      s.told.life = self;
      if (add(s.told)) --s.tell;
    }
  }
  for (auto& [id, s] : servers_) {
    for (auto& [author, h] : s.heard) {
      if (h.tell == 0 || !InForce(h, now)) continue;
      if (h.tell == 1) h.tell = often + 1;  // It has just come.
      Evidence e = h.evidence;
      e.age = AtLeast(now - h.made);
      if (!add(e)) return out;
      if (--h.tell == 1) h.tell = 0;
    }
  }
  return out;
}

std::vector<Judgements::View> Judgements::Views(Micros now) {
  const std::set<std::string> avoided = OnHearsay(now);
  std::vector<View> out;
  for (auto& [id, s] : servers_) {
    View v{id, Own(now, id), {}, avoided.contains(id), {}};
    std::size_t bad = 0;
    for (const auto& [author, h] : s.heard) {
      if (!InForce(h, now)) continue;
      v.others.push_back(h.evidence);
      v.others.back().age = now - h.made;
      bad += Bad(h.evidence.verdict) ? 1 : 0;
    }
    if (bad > 0 && !v.avoided) {
      v.ignored = v.own              ? "seen here"
                  : bad < kWitnesses ? "too few witnesses"
                  : s.hearsay_since && now >= *s.hearsay_since + kLookWait
                      ? "held long enough"
                      : "witnesses not trusted, or too many servers";
    }
    if (v.own || !v.others.empty()) out.push_back(std::move(v));
  }
  return out;
}

}  // namespace stoatrun::fleet
