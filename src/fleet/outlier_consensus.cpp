#include "fleet/outlier_consensus.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "fleet/injected_fault.h"

namespace stoatrun::fleet {
namespace {

using std::chrono::seconds;

constexpr Micros kObservationValid = seconds(5);
constexpr std::size_t kMaxObservations = 32;    // Of one endpoint.
constexpr std::size_t kMinBadObservations = 3;  // So many, and half of all at least, make a bad verdict.
constexpr Micros kEvidenceValid = seconds(6);   // How long evidence is valid at most.
constexpr Micros kRepeatInterval = seconds(3);  // Of own evidence, while it holds.
constexpr std::size_t kMinWitnesses = 2;
constexpr Micros kRemoteOnlyLimit = seconds(2);  // On remote evidence alone no endpoint is ejected longer,
constexpr Micros kRemoteOnlyPause = seconds(6);  // nor again so soon after that.
constexpr std::size_t kMinBadLinkVerdicts = 3;   // Before a witness's own link is in question.
constexpr unsigned kGossipFactor = 2;            // Times log2 of the fleet: how often evidence is sent.
constexpr std::size_t kMaxEndpoints = 8192;

bool IsBad(HealthVerdict verdict) { return verdict != HealthVerdict::kHealthy; }

unsigned SendsOf(std::size_t fleet_size) {
  const auto members = static_cast<double>(std::max<std::size_t>(fleet_size, 1));
  return kGossipFactor * static_cast<unsigned>(std::ceil(std::log2(members + 1)));
}

}  // namespace

void OutlierConsensus::SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints) {
  std::map<std::string, std::int64_t> listed;
  for (const FleetClient::ListedEndpoint& endpoint : endpoints) {
    listed[endpoint.id] = endpoint.started_unix_ms;
    // What was observed of the former process does not concern the new one.
    const auto before = listed_.find(endpoint.id);
    if (before != listed_.end() && before->second != endpoint.started_unix_ms) endpoints_.erase(endpoint.id);
  }
  listed_ = std::move(listed);
  std::erase_if(endpoints_, [&](const auto& known) { return !listed_.contains(known.first); });
}

bool OutlierConsensus::IsValid(const RemoteEvidence& remote, Micros now) const {
  if (IsInjected(Fault::kEvidenceNeverExpires)) return true;
  return now < remote.made + std::min(LowerBoundWithDrift(remote.evidence.valid), kEvidenceValid);
}

void OutlierConsensus::Expire(Endpoint& endpoint, Micros now) const {
  auto& observations = endpoint.observations;
  while (!observations.empty() &&
         (observations.front().at + kObservationValid <= now || observations.size() > kMaxObservations)) {
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

// The endpoint is healthy: evidence to the contrary is disproved, if it is older than what was observed now.
void OutlierConsensus::CountMisreports(Micros now, const std::string& id, const Endpoint& endpoint) {
  for (const auto& [author, remote] : endpoint.remote) {
    if (!IsBad(remote.evidence.verdict) || !IsValid(remote, now) ||
        now - remote.made < kRemoteOnlyLimit / 2) {
      continue;
    }
    if (reputation_.OnMisreport(now, author, id, remote.evidence.version)) ++counts_.contradicted;
  }
}

std::optional<HealthVerdict> OutlierConsensus::OwnVerdict(Micros now, const std::string& endpoint) const {
  const auto at = endpoints_.find(endpoint);
  if (at == endpoints_.end()) return std::nullopt;
  std::size_t bad = 0, all = 0;
  std::map<HealthVerdict, std::size_t> by_verdict;
  for (const Observation& observation : at->second.observations) {
    if (observation.at + kObservationValid <= now) continue;
    ++all;
    ++by_verdict[observation.verdict];
    bad += IsBad(observation.verdict) ? 1 : 0;
  }
  if (all == 0) return std::nullopt;
  if (!IsBad(at->second.observations.back().verdict)) {
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
  // Evidence without a bound on its age may be of any time.
  if (!evidence.age || !transit) {
    ++counts_.stale;
    return;
  }
  const RemoteEvidence fresh{evidence, now - *evidence.age - *transit, true, 0};
  if (!IsValid(fresh, now)) {
    ++counts_.stale;
    return;
  }
  if (!endpoints_.contains(evidence.endpoint) && endpoints_.size() >= kMaxEndpoints) return;
  if (!listed_.contains(evidence.endpoint)) return;  // Relays that list it pass it on.
  Endpoint& endpoint = endpoints_[evidence.endpoint];
  const auto known = endpoint.remote.find(evidence.author);
  if (known != endpoint.remote.end()) {
    const Evidence& former = known->second.evidence;
    const bool same_run = former.incarnation.id == evidence.incarnation.id;
    if (same_run && former.version >= evidence.version) return;
    if (former.incarnation > evidence.incarnation) return;
  }
  ++counts_.heard;
  endpoint.remote[evidence.author] = fresh;
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
    const auto at = endpoint.remote.find(author);
    if (at != endpoint.remote.end() && IsValid(at->second, now) && IsBad(at->second.evidence.verdict)) ++bad;
  }
  return bad >= kMinBadLinkVerdicts && 2 * bad > listed_.size();
}

std::vector<OutlierConsensus::DistrustedWitness> OutlierConsensus::Distrusted(Micros now) const {
  std::vector<DistrustedWitness> out;
  std::set<MemberId> authors;
  for (const auto& [id, endpoint] : endpoints_) {
    for (const auto& [author, remote] : endpoint.remote) authors.insert(author);
  }
  for (const MemberId author : authors) {
    if (HasBadLink(author, now)) out.push_back({author, "judges more than half of the servers bad"});
  }
  for (const MemberId author : reputation_.Distrusted(now)) out.push_back({author, "was found wrong here"});
  return out;
}

// ---- ejection on remote evidence ----

std::set<std::string> OutlierConsensus::EndpointsToEject(Micros now) {
  std::set<MemberId> distrusted;
  for (const DistrustedWitness& witness : Distrusted(now)) distrusted.insert(witness.author);
  std::vector<EjectionCandidate> candidates;
  for (auto& [id, endpoint] : endpoints_) {
    Expire(endpoint, now);
    const auto listed = listed_.find(id);
    if (listed == listed_.end()) continue;
    const Votes votes = CountVotes(endpoint, listed->second, distrusted, now);
    if (MayEjectRemotely(endpoint, votes, IsDecidedLocally(id, endpoint, now), now)) {
      candidates.push_back({votes.bad, id});
    }
  }
  return MostWitnessed(std::move(candidates));
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

// An own verdict, or the last observation was good though others before it were not.
bool OutlierConsensus::IsDecidedLocally(const std::string& id, const Endpoint& endpoint, Micros now) const {
  if (IsInjected(Fault::kRemoteEvidenceFirst)) return false;
  const bool last_was_good = !endpoint.observations.empty() && !IsBad(endpoint.observations.back().verdict);
  return last_was_good || OwnVerdict(now, id).has_value();
}

// Starts and ends the period of an ejection on remote evidence alone, and the pause after it.
bool OutlierConsensus::MayEjectRemotely(Endpoint& endpoint, const Votes& votes, bool decided_locally,
                                        Micros now) {
  std::optional<Micros>& since = endpoint.remote_only_since;
  const bool pause_is_over = !since || now >= *since + kRemoteOnlyLimit + kRemoteOnlyPause;
  const std::size_t needed = IsInjected(Fault::kOneWitnessSuffices) ? 1 : kMinWitnesses;
  if (decided_locally || votes.bad < needed || votes.bad <= votes.healthy) {
    if (decided_locally || pause_is_over) since.reset();
    return false;
  }
  if (pause_is_over) since = now;
  return now < *since + kRemoteOnlyLimit || IsInjected(Fault::kEvidenceNeverExpires);
}

// Caps the ejections at the configured fraction of the listed endpoints.
std::set<std::string> OutlierConsensus::MostWitnessed(std::vector<EjectionCandidate> candidates) {
  std::sort(candidates.begin(), candidates.end(), [](const EjectionCandidate& a, const EjectionCandidate& b) {
    return a.witnesses != b.witnesses ? a.witnesses > b.witnesses : a.endpoint < b.endpoint;
  });
  const auto most = static_cast<std::size_t>(
      std::floor(settings_.max_ejected_fraction * static_cast<double>(listed_.size())));
  if (candidates.size() > most && !IsInjected(Fault::kNoEjectionCap)) {
    counts_.capped += candidates.size() - most;
    candidates.resize(most);
  }
  std::set<std::string> out;
  for (const EjectionCandidate& candidate : candidates) out.insert(candidate.endpoint);
  return out;
}

// ---- gossip ----

void OutlierConsensus::RefreshOwnEvidence(Micros now, const Incarnation& self, const std::string& id,
                                          Endpoint& endpoint, unsigned sends) {
  Evidence& own = endpoint.own;
  const auto verdict = OwnVerdict(now, id);
  if (!verdict) return;
  const bool in_force =
      own.version != 0 && IsBad(own.verdict) && now < endpoint.last_observed + kEvidenceValid;
  const bool changed_or_due =
      !in_force || own.verdict != *verdict || now >= endpoint.own_made + kRepeatInterval;
  // A healthy verdict is sent only to take back a bad one.
  if (IsBad(*verdict) ? !changed_or_due : !in_force) return;
  own.author = settings_.self;
  own.incarnation = self;
  own.endpoint = id;
  own.endpoint_start = listed_[id];
  own.verdict = *verdict;
  own.observations = static_cast<std::uint32_t>(endpoint.observations.size());
  own.version = ++version_;
  own.valid = kEvidenceValid;
  endpoint.own_made = now;
  for (const Observation& observation : endpoint.observations) {
    if (IsBad(observation.verdict) == IsBad(*verdict)) endpoint.last_observed = observation.at;
  }
  endpoint.own_sends_left = sends;
}

std::vector<Evidence> OutlierConsensus::EvidenceToGossip(Micros now, const Incarnation& self,
                                                         std::size_t max_bytes, std::size_t fleet_size) {
  const unsigned sends = SendsOf(fleet_size);
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
    RefreshOwnEvidence(now, self, id, endpoint, sends);
    if (endpoint.own_sends_left == 0 || now >= endpoint.last_observed + kEvidenceValid) continue;
    endpoint.own.age = UpperBoundWithDrift(now - endpoint.last_observed);
    endpoint.own.incarnation = self;
    if (add(endpoint.own)) --endpoint.own_sends_left;
  }
  for (auto& [id, endpoint] : endpoints_) {
    for (auto& [author, remote] : endpoint.remote) {
      if (!IsValid(remote, now)) continue;
      if (std::exchange(remote.is_fresh, false)) remote.sends_left = sends;
      if (remote.sends_left == 0) continue;
      Evidence evidence = remote.evidence;
      evidence.age = UpperBoundWithDrift(now - remote.made);
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
  if (endpoint.remote_only_since && now >= *endpoint.remote_only_since + kRemoteOnlyLimit) {
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
      view.others.push_back(remote.evidence);
      view.others.back().age = now - remote.made;
      bad += IsBad(remote.evidence.verdict) ? 1 : 0;
    }
    view.ignored = ReasonIgnored(view, endpoint, bad, now);
    if (view.own || !view.others.empty()) out.push_back(std::move(view));
  }
  return out;
}

}  // namespace stoatrun::fleet
