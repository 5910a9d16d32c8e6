#include "fleet/outlier_consensus.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::seconds;

constexpr Micros kObservationLifetime = seconds(5);
constexpr std::size_t kMaxObservations = 32;      // Per endpoint.
constexpr std::size_t kMinBadObservations = 3;    // For a bad verdict; half of all must be bad, too.
constexpr Micros kEvidenceLifetime = seconds(6);  // Upper limit on the validity of received evidence.
constexpr Micros kResendInterval = seconds(3);    // Of own evidence, while the verdict persists.
constexpr std::size_t kMinWitnesses = 2;
// Longest ejection on remote evidence alone, and the minimum time from its end to the next one.
constexpr Micros kMaxRemoteOnlyEjection = seconds(2);
constexpr Micros kRemoteOnlyCooldown = seconds(6);
constexpr std::size_t kMinBadLinkVerdicts = 3;  // Minimum to suspect the witness's own link.
constexpr unsigned kGossipSendMultiplier = 2;   // Evidence is sent this many times log2(fleet size).
constexpr std::size_t kMaxEndpoints = 8192;

bool IsBad(HealthVerdict verdict) { return verdict != HealthVerdict::kHealthy; }

// How often a piece of evidence is sent.
unsigned GossipSendLimit(std::size_t fleet_size) {
  const auto members = static_cast<double>(std::max<std::size_t>(fleet_size, 1));
  return kGossipSendMultiplier * static_cast<unsigned>(std::ceil(std::log2(members + 1)));
}

}  // namespace

void OutlierConsensus::SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints) {
  std::map<std::string, std::int64_t> listed;
  for (const FleetClient::ListedEndpoint& endpoint : endpoints) {
    listed[endpoint.id] = endpoint.started_unix_ms;
    // Observations of the previous process do not apply to the new one.
    const auto previous = listed_.find(endpoint.id);
    if (previous != listed_.end() && previous->second != endpoint.started_unix_ms) {
      endpoints_.erase(endpoint.id);
    }
  }
  listed_ = std::move(listed);
  std::erase_if(endpoints_, [&](const auto& known) { return !listed_.contains(known.first); });
}

bool OutlierConsensus::IsValid(const RemoteEvidence& remote, Micros now) const {
  if (IsInjected(Fault::kEvidenceNeverExpires)) return true;
  return now < remote.created_at + std::min(LowerBoundWithDrift(remote.evidence.valid), kEvidenceLifetime);
}

void OutlierConsensus::Expire(Endpoint& endpoint, Micros now) const {
  auto& observations = endpoint.observations;
  while (!observations.empty() &&
         (observations.front().at + kObservationLifetime <= now || observations.size() > kMaxObservations)) {
    observations.pop_front();
  }
  std::erase_if(endpoint.remote, [&](const auto& remote) { return !IsValid(remote.second, now); });
}

// ---- own observations ----

void OutlierConsensus::Observe(Micros now, const std::string& endpoint, HealthVerdict verdict) {
  if (!listed_.contains(endpoint)) return;
  Endpoint& observed = endpoints_[endpoint];
  observed.observations.push_back({now, verdict});
  Expire(observed, now);
  if (verdict == HealthVerdict::kHealthy && OwnVerdict(now, endpoint) == HealthVerdict::kHealthy) {
    CountMisreports(now, endpoint, observed);
  }
}

// The endpoint was just observed as healthy: counts evidence to the contrary as disproved, unless it is too
// recent to be certainly older than this observation.
void OutlierConsensus::CountMisreports(Micros now, const std::string& id, const Endpoint& endpoint) {
  for (const auto& [author, remote] : endpoint.remote) {
    if (!IsBad(remote.evidence.verdict) || !IsValid(remote, now) ||
        now - remote.created_at < kMaxRemoteOnlyEjection / 2) {
      continue;
    }
    if (reputation_.OnMisreport(now, author, id, remote.evidence.version)) ++counts_.disproved;
  }
}

std::optional<HealthVerdict> OutlierConsensus::OwnVerdict(Micros now, const std::string& endpoint) const {
  const auto it = endpoints_.find(endpoint);
  if (it == endpoints_.end()) return std::nullopt;
  std::size_t bad = 0, all = 0;
  std::map<HealthVerdict, std::size_t> by_verdict;
  for (const Observation& observation : it->second.observations) {
    if (observation.at + kObservationLifetime <= now) continue;
    ++all;
    ++by_verdict[observation.verdict];
    bad += IsBad(observation.verdict) ? 1 : 0;
  }
  if (all == 0) return std::nullopt;
  if (!IsBad(it->second.observations.back().verdict)) {
    return 2 * bad > all ? std::nullopt : std::optional(HealthVerdict::kHealthy);
  }
  if (bad < kMinBadObservations || 2 * bad < all) return std::nullopt;
  HealthVerdict most_frequent = HealthVerdict::kFailing;
  for (const auto& [verdict, count] : by_verdict) {
    if (IsBad(verdict) && count > by_verdict[most_frequent]) most_frequent = verdict;
  }
  return most_frequent;
}

// ---- remote evidence ----

void OutlierConsensus::OnEvidence(Micros now, const Evidence& evidence, std::optional<Micros> transit) {
  if (evidence.author == settings_.self) return;
  // Evidence without an upper bound on its age could be arbitrarily old.
  if (!evidence.age || !transit) {
    ++counts_.stale;
    return;
  }
  const RemoteEvidence received{evidence, now - *evidence.age - *transit, true, 0};
  if (!IsValid(received, now)) {
    ++counts_.stale;
    return;
  }
  if (!endpoints_.contains(evidence.endpoint) && endpoints_.size() >= kMaxEndpoints) return;
  if (!listed_.contains(evidence.endpoint)) return;  // Relays that list the endpoint forward it.
  Endpoint& endpoint = endpoints_[evidence.endpoint];
  const auto known = endpoint.remote.find(evidence.author);
  if (known != endpoint.remote.end()) {
    const Evidence& previous = known->second.evidence;
    const bool same_incarnation = previous.incarnation.id == evidence.incarnation.id;
    if (same_incarnation && previous.version >= evidence.version) return;
    if (previous.incarnation > evidence.incarnation) return;
  }
  ++counts_.accepted;
  endpoint.remote[evidence.author] = received;
}

void OutlierConsensus::OnIncarnationEnded(MemberId author, const Incarnation& incarnation) {
  for (auto& [id, endpoint] : endpoints_) {
    const auto known = endpoint.remote.find(author);
    if (known != endpoint.remote.end() && known->second.evidence.incarnation.id == incarnation.id) {
      endpoint.remote.erase(known);
    }
  }
  reputation_.Erase(author);
}

bool OutlierConsensus::HasBadLink(MemberId author, Micros now) const {
  std::size_t bad = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    const auto it = endpoint.remote.find(author);
    if (it != endpoint.remote.end() && IsValid(it->second, now) && IsBad(it->second.evidence.verdict)) ++bad;
  }
  return bad >= kMinBadLinkVerdicts && 2 * bad > listed_.size();
}

std::vector<OutlierConsensus::DistrustedWitness> OutlierConsensus::DistrustedWitnesses(Micros now) const {
  std::vector<DistrustedWitness> out;
  std::set<MemberId> authors;
  for (const auto& [id, endpoint] : endpoints_) {
    for (const auto& [author, remote] : endpoint.remote) authors.insert(author);
  }
  for (const MemberId author : authors) {
    if (HasBadLink(author, now)) out.push_back({author, "judges more than half of the servers bad"});
  }
  for (const MemberId author : reputation_.DistrustedAuthors(now)) {
    out.push_back({author, "was found wrong here"});
  }
  return out;
}

// ---- ejection on remote evidence ----

std::set<std::string> OutlierConsensus::EndpointsToEject(Micros now) {
  std::set<MemberId> distrusted;
  for (const DistrustedWitness& witness : DistrustedWitnesses(now)) distrusted.insert(witness.author);
  std::vector<EjectionCandidate> candidates;
  for (auto& [id, endpoint] : endpoints_) {
    Expire(endpoint, now);
    const auto listed = listed_.find(id);
    if (listed == listed_.end()) continue;
    const Votes votes = CountVotes(endpoint, listed->second, distrusted, now);
    if (UpdateRemoteOnlyEjection(endpoint, votes, IsDecidedLocally(id, endpoint, now), now)) {
      candidates.push_back({votes.bad, id});
    }
  }
  return ApplyEjectionCap(std::move(candidates));
}

OutlierConsensus::Votes OutlierConsensus::CountVotes(const Endpoint& endpoint, std::int64_t started,
                                                     const std::set<MemberId>& distrusted, Micros now) {
  Votes votes;
  for (const auto& [author, remote] : endpoint.remote) {
    if (!IsValid(remote, now) || remote.evidence.endpoint_start != started) continue;
    const bool bad = IsBad(remote.evidence.verdict);
    if (distrusted.contains(author)) {
      counts_.ignored_witness += bad ? 1 : 0;
      continue;
    }
    ++(bad ? votes.bad : votes.healthy);
  }
  return votes;
}

// True if there is an own verdict, or if the last observation was good even though earlier ones were not.
bool OutlierConsensus::IsDecidedLocally(const std::string& id, const Endpoint& endpoint, Micros now) const {
  if (IsInjected(Fault::kRemoteEvidenceFirst)) return false;
  const bool last_is_good = !endpoint.observations.empty() && !IsBad(endpoint.observations.back().verdict);
  return last_is_good || OwnVerdict(now, id).has_value();
}

bool OutlierConsensus::UpdateRemoteOnlyEjection(Endpoint& endpoint, const Votes& votes, bool decided_locally,
                                                Micros now) {
  std::optional<Micros>& since = endpoint.remote_only_ejected_at;
  const bool cooldown_is_over = !since || now >= *since + kMaxRemoteOnlyEjection + kRemoteOnlyCooldown;
  const std::size_t needed = IsInjected(Fault::kOneWitnessSuffices) ? 1 : kMinWitnesses;
  if (decided_locally || votes.bad < needed || votes.bad <= votes.healthy) {
    if (decided_locally || cooldown_is_over) since.reset();
    return false;
  }
  if (cooldown_is_over) since = now;
  return now < *since + kMaxRemoteOnlyEjection || IsInjected(Fault::kEvidenceNeverExpires);
}

// Limits the ejections to the configured fraction of the listed endpoints, those with the most witnesses
// first.
std::set<std::string> OutlierConsensus::ApplyEjectionCap(std::vector<EjectionCandidate> candidates) {
  std::sort(candidates.begin(), candidates.end(), [](const EjectionCandidate& a, const EjectionCandidate& b) {
    return a.witnesses != b.witnesses ? a.witnesses > b.witnesses : a.endpoint < b.endpoint;
  });
  const auto max_ejected = static_cast<std::size_t>(
      std::floor(settings_.max_ejected_fraction * static_cast<double>(listed_.size())));
  if (candidates.size() > max_ejected && !IsInjected(Fault::kNoEjectionCap)) {
    counts_.capped += candidates.size() - max_ejected;
    candidates.resize(max_ejected);
  }
  std::set<std::string> out;
  for (const EjectionCandidate& candidate : candidates) out.insert(candidate.endpoint);
  return out;
}

// ---- gossip ----

void OutlierConsensus::RefreshOwnEvidence(Micros now, const Incarnation& self, const std::string& id,
                                          Endpoint& endpoint, unsigned send_limit) {
  Evidence& own = endpoint.own;
  const auto verdict = OwnVerdict(now, id);
  if (!verdict) return;
  const bool in_force =
      own.version != 0 && IsBad(own.verdict) && now < endpoint.last_observation_at + kEvidenceLifetime;
  const bool changed_or_due =
      !in_force || own.verdict != *verdict || now >= endpoint.own_created_at + kResendInterval;
  // A healthy verdict is sent only to retract a bad one.
  if (IsBad(*verdict) ? !changed_or_due : !in_force) return;
  own.author = settings_.self;
  own.incarnation = self;
  own.endpoint = id;
  own.endpoint_start = listed_[id];
  own.verdict = *verdict;
  own.observations = static_cast<std::uint32_t>(endpoint.observations.size());
  own.version = ++version_;
  own.valid = kEvidenceLifetime;
  endpoint.own_created_at = now;
  for (const Observation& observation : endpoint.observations) {
    if (IsBad(observation.verdict) == IsBad(*verdict)) endpoint.last_observation_at = observation.at;
  }
  endpoint.own_sends_left = send_limit;
}

std::vector<Evidence> OutlierConsensus::EvidenceToGossip(Micros now, const Incarnation& self,
                                                         std::size_t max_bytes, std::size_t fleet_size) {
  const unsigned send_limit = GossipSendLimit(fleet_size);
  std::vector<Evidence> out;
  const auto add = [&](const Evidence& evidence) {
    const std::size_t size = SizeOf(evidence);
    if (size > max_bytes) return false;
    max_bytes -= size;
    out.push_back(evidence);
    return true;
  };
  for (auto& [id, endpoint] : endpoints_) {
    Expire(endpoint, now);
    RefreshOwnEvidence(now, self, id, endpoint, send_limit);
    if (endpoint.own_sends_left == 0 || now >= endpoint.last_observation_at + kEvidenceLifetime) continue;
    endpoint.own.age = UpperBoundWithDrift(now - endpoint.last_observation_at);
    endpoint.own.incarnation = self;
    if (add(endpoint.own)) --endpoint.own_sends_left;
  }
  for (auto& [id, endpoint] : endpoints_) {
    for (auto& [author, remote] : endpoint.remote) {
      if (!IsValid(remote, now)) continue;
      if (std::exchange(remote.awaits_first_send, false)) remote.sends_left = send_limit;
      if (remote.sends_left == 0) continue;
      Evidence evidence = remote.evidence;
      evidence.age = UpperBoundWithDrift(now - remote.created_at);
      if (!add(evidence)) return out;
      --remote.sends_left;
    }
  }
  return out;
}

// ---- status ----

std::string OutlierConsensus::ReasonIgnored(const View& view, const Endpoint& endpoint, std::size_t bad,
                                            Micros now) {
  if (bad == 0 || view.ejected) return {};
  if (view.own) return "seen here";
  if (bad < kMinWitnesses) return "too few witnesses";
  if (endpoint.remote_only_ejected_at && now >= *endpoint.remote_only_ejected_at + kMaxRemoteOnlyEjection) {
    return "held long enough";
  }
  return "witnesses not trusted, or too many servers";
}

std::vector<OutlierConsensus::View> OutlierConsensus::Views(Micros now) {
  const std::set<std::string> ejected = EndpointsToEject(now);
  std::vector<View> out;
  for (const auto& [id, endpoint] : endpoints_) {
    View view{id, OwnVerdict(now, id), {}, ejected.contains(id), {}};
    std::size_t bad = 0;
    for (const auto& [author, remote] : endpoint.remote) {
      if (!IsValid(remote, now)) continue;
      view.remote_evidence.push_back(remote.evidence);
      view.remote_evidence.back().age = now - remote.created_at;
      bad += IsBad(remote.evidence.verdict) ? 1 : 0;
    }
    view.ignored = ReasonIgnored(view, endpoint, bad, now);
    if (view.own || !view.remote_evidence.empty()) out.push_back(std::move(view));
  }
  return out;
}

}  // namespace stoatrun::fleet
