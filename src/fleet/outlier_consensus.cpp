#include "fleet/outlier_consensus.h"

#include <algorithm>
#include <cmath>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Micros kOwnMemory = seconds(5);  // What was seen here counts so long.
constexpr std::size_t kMostSeen = 32;      // Of one endpoint.
constexpr std::size_t kBadSeen = 3;        // So many bad observations, half of all at least, make a verdict.
constexpr Micros kValid = seconds(6);      // Of evidence: the longest a judgement outlives its making.
constexpr Micros kTellAgain = seconds(3);  // While it holds.
constexpr std::size_t kWitnesses = 2;
constexpr Micros kRemoteOnlyLimit = seconds(2);  // On hearsay alone no endpoint is ejected longer.
constexpr Micros kRemoteOnlyPause = seconds(6);  // Nor again so soon after that.
constexpr std::size_t kBadLinkLeast = 3;  // Outliers judged bad before a witness's own link is in question.
constexpr unsigned kMaxMisreports = 3;
constexpr Micros kDistrust = seconds(60);
constexpr unsigned kTellFactor = 2;  // Times log2 of the fleet.
constexpr std::size_t kMostServers = 8192;
constexpr std::size_t kMostCounted = 256;

}  // namespace

void OutlierConsensus::SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints) {
  std::map<std::string, std::int64_t> listed;
  for (const auto& [id, start] : endpoints) {
    listed[id] = start;
    // A process that started anew owes nothing to what was seen of the former.
    if (const auto before = listed_.find(id); before != listed_.end() && before->second != start)
      endpoints_.erase(id);
  }
  listed_ = std::move(listed);
  std::erase_if(endpoints_, [&](const auto& s) { return !listed_.contains(s.first); });
}

bool OutlierConsensus::IsListed(const std::string& endpoint, std::int64_t start) const {
  const auto at = listed_.find(endpoint);
  return at != listed_.end() && at->second == start;
}

void OutlierConsensus::Forget(Server& s, Micros now) const {
  while (!s.seen.empty() && (s.seen.front().at + kOwnMemory <= now || s.seen.size() > kMostSeen))
    s.seen.pop_front();
  if (!IsInjected(Fault::kEvidenceNeverExpires)) {
    std::erase_if(s.heard, [&](const auto& h) { return !InForce(h.second, now); });
  }
}

bool OutlierConsensus::InForce(const Heard& h, Micros now) const {
  if (IsInjected(Fault::kEvidenceNeverExpires)) return true;
  return now < h.made + std::min(AtMost(h.evidence.valid), kValid);
}

void OutlierConsensus::Observe(Micros now, const std::string& endpoint, HealthVerdict verdict) {
  if (!listed_.contains(endpoint)) return;
  Server& s = endpoints_[endpoint];
  s.seen.push_back({now, verdict});
  Forget(s, now);
  if (verdict != HealthVerdict::kHealthy) return;
  // Who says the contrary is found wrong, if what it says is older than what is seen now.
  const auto own = OwnVerdict(now, endpoint);
  if (own != HealthVerdict::kHealthy) return;
  for (const auto& [author, h] : s.heard) {
    if (!Bad(h.evidence.verdict) || !InForce(h, now) || now - h.made < kRemoteOnlyLimit / 2) continue;
    Reputation& c = reputation_[author];
    if (c.counted.size() >= kMostCounted) c.counted.clear();
    if (!c.counted.emplace(endpoint, h.evidence.version).second) continue;
    ++counts_.contradicted;
    if (++c.misreports >= kMaxMisreports) {
      c.until = now + kDistrust;
      c.misreports = 0;
    }
  }
}

std::optional<HealthVerdict> OutlierConsensus::OwnVerdict(Micros now, const std::string& endpoint) const {
  const auto at = endpoints_.find(endpoint);
  if (at == endpoints_.end()) return std::nullopt;
  std::size_t bad = 0, all = 0;
  std::map<HealthVerdict, std::size_t> of;
  for (const Seen& seen : at->second.seen) {
    if (seen.at + kOwnMemory <= now) continue;
    ++all;
    ++of[seen.verdict];
    bad += Bad(seen.verdict) ? 1 : 0;
  }
  if (all == 0) return std::nullopt;
  if (!Bad(at->second.seen.back().verdict))
    return 2 * bad > all ? std::nullopt : std::optional(HealthVerdict::kHealthy);
  if (bad < kBadSeen || 2 * bad < all) return std::nullopt;
  HealthVerdict most = HealthVerdict::kFailing;
  for (const auto& [verdict, n] : of) {
    if (Bad(verdict) && n > of[most]) most = verdict;
  }
  return most;
}

void OutlierConsensus::OnEvidence(Micros now, const Evidence& evidence, std::optional<Micros> transit) {
  if (evidence.author == settings_.self) return;
  // What has no bound on its age may be of any time.
  if (!evidence.age || !transit) {
    ++counts_.stale_after;
    return;
  }
  const Micros made = now - *evidence.age - *transit;
  Heard fresh{evidence, made, 0};
  if (!InForce(fresh, now)) {
    ++counts_.stale_after;
    return;
  }
  if (!endpoints_.contains(evidence.endpoint) && endpoints_.size() >= kMostServers) return;
  if (!listed_.contains(evidence.endpoint)) return;  // Not ours to use; who lists it passes it on.
  Server& s = endpoints_[evidence.endpoint];
  const auto at = s.heard.find(evidence.author);
  if (at != s.heard.end() && at->second.evidence.incarnation.id == evidence.incarnation.id &&
      at->second.evidence.version >= evidence.version) {
    // The same again: perhaps with a better bound on its age, which can only make it older than it seemed at
    // first.
    return;
  }
  if (at != s.heard.end() && at->second.evidence.incarnation > evidence.incarnation) return;
  ++counts_.heard;
  fresh.tell = 1;
  s.heard[evidence.author] = fresh;
}

void OutlierConsensus::OnIncarnationEnded(MemberId author, const Incarnation& incarnation) {
  for (auto& [id, s] : endpoints_) {
    std::erase_if(s.heard, [&](const auto& h) {
      return h.first == author && h.second.evidence.incarnation.id == incarnation.id;
    });
  }
  reputation_.erase(author);
}

bool OutlierConsensus::BadLink(MemberId author, Micros now) const {
  std::size_t bad = 0;
  for (const auto& [id, s] : endpoints_) {
    const auto at = s.heard.find(author);
    if (at != s.heard.end() && InForce(at->second, now) && Bad(at->second.evidence.verdict)) ++bad;
  }
  return bad >= kBadLinkLeast && 2 * bad > listed_.size();
}

std::vector<std::pair<MemberId, std::string>> OutlierConsensus::Distrusted(Micros now) const {
  std::vector<std::pair<MemberId, std::string>> out;
  std::set<MemberId> authors;
  for (const auto& [id, s] : endpoints_) {
    for (const auto& [author, h] : s.heard) authors.insert(author);
  }
  for (const MemberId a : authors) {
    if (BadLink(a, now)) out.emplace_back(a, "judges more than half of the servers bad");
  }
  for (const auto& [a, c] : reputation_) {
    if (now < c.until) out.emplace_back(a, "was found wrong here");
  }
  return out;
}

std::set<std::string> OutlierConsensus::EndpointsToEject(Micros now) {
  struct Case {
    std::size_t bad;
    std::string endpoint;
  };
  std::vector<Case> cases;
  std::set<MemberId> distrusted;
  for (const auto& [a, why] : Distrusted(now)) distrusted.insert(a);
  for (auto& [id, s] : endpoints_) {
    Forget(s, now);
    const auto listed = listed_.find(id);
    if (listed == listed_.end()) continue;
    std::size_t bad = 0, fine = 0;
    for (const auto& [author, h] : s.heard) {
      if (!InForce(h, now) || h.evidence.endpoint_start != listed->second) continue;
      if (distrusted.contains(author)) {
        counts_.ignored_witness += Bad(h.evidence.verdict) ? 1 : 0;
        continue;
      }
      ++(Bad(h.evidence.verdict) ? bad : fine);
    }
    const std::size_t needed = IsInjected(Fault::kOneWitnessSuffices) ? 1 : kWitnesses;
    // A verdict of our own, or the last thing seen here went well though others before it did not.
    const bool sound = !s.seen.empty() && !Bad(s.seen.back().verdict);
    const bool seen = (sound || OwnVerdict(now, id).has_value()) && !IsInjected(Fault::kRemoteEvidenceFirst);
    if (seen || bad < needed || bad <= fine) {
      if (s.remote_only_since && (seen || now >= *s.remote_only_since + kRemoteOnlyLimit + kRemoteOnlyPause))
        s.remote_only_since.reset();
      continue;
    }
    if (!s.remote_only_since || now >= *s.remote_only_since + kRemoteOnlyLimit + kRemoteOnlyPause)
      s.remote_only_since = now;
    if (now >= *s.remote_only_since + kRemoteOnlyLimit && !IsInjected(Fault::kEvidenceNeverExpires)) continue;
    cases.push_back({bad, id});
  }
  std::sort(cases.begin(), cases.end(), [](const Case& a, const Case& b) {
    return a.bad != b.bad ? a.bad > b.bad : a.endpoint < b.endpoint;
  });
  const auto most = static_cast<std::size_t>(
      std::floor(settings_.max_ejected_fraction * static_cast<double>(listed_.size())));
  if (cases.size() > most && !IsInjected(Fault::kNoEjectionCap)) {
    counts_.capped += cases.size() - most;
    cases.resize(most);
  }
  std::set<std::string> out;
  for (const Case& c : cases) out.insert(c.endpoint);
  return out;
}

std::vector<Evidence> OutlierConsensus::EvidenceToGossip(Micros now, const Incarnation& self,
                                                         std::size_t room, std::size_t fleet) {
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
  for (auto& [id, s] : endpoints_) {
    Forget(s, now);
    const auto own = OwnVerdict(now, id);
    // Sound is told only to take back what was told before.
    const bool bad = own && Bad(*own);
    const bool told = s.told.version != 0 && Bad(s.told.verdict) && now < s.seen_at + kValid;
    if ((bad && (!told || s.told.verdict != *own || now >= s.told_at + kTellAgain)) ||
        (!bad && told && own)) {
      Evidence& e = s.told;
      e.author = settings_.self;
      e.incarnation = self;
      e.endpoint = id;
      e.endpoint_start = listed_[id];
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
      s.told.incarnation = self;
      if (add(s.told)) --s.tell;
    }
  }
  for (auto& [id, s] : endpoints_) {
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

std::vector<OutlierConsensus::View> OutlierConsensus::Views(Micros now) {
  const std::set<std::string> ejected = EndpointsToEject(now);
  std::vector<View> out;
  for (auto& [id, s] : endpoints_) {
    View v{id, OwnVerdict(now, id), {}, ejected.contains(id), {}};
    std::size_t bad = 0;
    for (const auto& [author, h] : s.heard) {
      if (!InForce(h, now)) continue;
      v.others.push_back(h.evidence);
      v.others.back().age = now - h.made;
      bad += Bad(h.evidence.verdict) ? 1 : 0;
    }
    if (bad > 0 && !v.ejected) {
      v.ignored = v.own              ? "seen here"
                  : bad < kWitnesses ? "too few witnesses"
                  : s.remote_only_since && now >= *s.remote_only_since + kRemoteOnlyLimit
                      ? "held long enough"
                      : "witnesses not trusted, or too many servers";
    }
    if (v.own || !v.others.empty()) out.push_back(std::move(v));
  }
  return out;
}

}  // namespace stoatrun::fleet
