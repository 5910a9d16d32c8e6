// Outlier detection over the whole fleet. Each relay judges endpoints by what it observed itself and gossips
// its verdicts as evidence: who, how many observations, how old, how long valid. Five rules keep remote
// evidence from doing harm:
//  - own observations take precedence over remote evidence, whichever way they point;
//  - an ejection on remote evidence needs at least two witnesses, and more of them than witnesses that find
//    the endpoint healthy;
//  - an endpoint is ejected on remote evidence alone only for as long as an own health check takes, and at
//    most a configured fraction of the listed endpoints is, whatever is claimed;
//  - evidence ends with its validity, with its author's incarnation, and with the process of its endpoint;
//  - a witness that finds more than half of the endpoints bad shows that its own link is bad, and one whose
//    evidence was often disproved here is distrusted for a while.
//
// Deterministic and not thread-safe; see node.h. Bounded: at most 8,192 endpoints, 32 observations of each.
#ifndef STOATRUN_FLEET_OUTLIER_CONSENSUS_H_
#define STOATRUN_FLEET_OUTLIER_CONSENSUS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/message.h"
#include "fleet/types.h"
#include "fleet/witness_reputation.h"

namespace stoatrun::fleet {

// The verdicts of this relay and of its peers on the listed endpoints.
class OutlierConsensus {
 public:
  // Counters since the start.
  struct Counts {
    std::uint64_t heard = 0, stale = 0, contradicted = 0, ignored_witness = 0, capped = 0;
  };
  // An endpoint, for the status call.
  struct View {
    std::string endpoint;
    std::optional<HealthVerdict> own;
    std::vector<Evidence> remote_evidence;  // Valid ones, with their present age.
    bool ejected = false;                   // On remote evidence.
    std::string ignored;  // Why remote evidence is not followed; empty: it is, or there is none.
  };
  // A peer whose evidence is ignored.
  struct DistrustedWitness {
    MemberId author = 0;
    std::string reason;  // For the status call.
    bool operator==(const DistrustedWitness&) const = default;
  };

  // Uses the settings' fleet size and its cap on ejections.
  explicit OutlierConsensus(const Settings& settings) : settings_(settings) {}

  // Sets the endpoints that the present endpoint list holds. Evidence on others is dropped, as is what
  // concerns a former process of an endpoint.
  void SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints);
  // This relay observed an endpoint: the outcome of an attempt or of a health check.
  void Observe(Micros now, const std::string& endpoint, HealthVerdict verdict);
  // Evidence arrived. `transit`: upper bound on its datagram's time under way; nothing: unknown.
  void OnEvidence(Micros now, const Evidence& evidence, std::optional<Micros> transit);
  // An incarnation of `author` has ended, and its evidence with it.
  void OnIncarnationEnded(MemberId author, const Incarnation& incarnation);

  // Own evidence to send, or to send again, and remote evidence to pass on, within `max_bytes`. `self`: this
  // relay's incarnation.
  std::vector<Evidence> EvidenceToGossip(Micros now, const Incarnation& self, std::size_t max_bytes,
                                         std::size_t fleet_size);

  // This relay's own verdict; nothing: it observed too little recently.
  std::optional<HealthVerdict> OwnVerdict(Micros now, const std::string& endpoint) const;
  // Endpoints to eject on remote evidence. The caller checks the health of each: that result takes
  // precedence.
  std::set<std::string> EndpointsToEject(Micros now);
  // All endpoints of which there is a verdict or evidence.
  std::vector<View> Views(Micros now);
  // The peers whose evidence is ignored now.
  std::vector<DistrustedWitness> DistrustedWitnesses(Micros now) const;
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }

 private:
  struct Observation {
    Micros at{0};
    HealthVerdict verdict = HealthVerdict::kHealthy;
  };
  // How often a piece of evidence is still to be sent.
  struct RemoteEvidence {
    Evidence evidence;
    Micros made{0};         // By this relay's clock, at the earliest.
    bool is_fresh = false;  // Not passed on yet; `sends_left` is set when it first is.
    unsigned sends_left = 0;
  };
  struct Endpoint {
    std::deque<Observation> observations;
    std::map<MemberId, RemoteEvidence> remote;  // By author.
    Evidence own;                               // As it was gossiped last; version 0: never.
    Micros own_made{0};
    Micros last_observed{0};  // The observation that `own` rests on: its age counts from there.
    unsigned own_sends_left = 0;
    std::optional<Micros> remote_only_since;  // The start of the last ejection on remote evidence alone.
  };
  // Trusted witnesses of an endpoint.
  struct Votes {
    std::size_t bad = 0, healthy = 0;
  };
  struct EjectionCandidate {
    std::size_t witnesses = 0;
    std::string endpoint;
  };

  bool IsValid(const RemoteEvidence& remote, Micros now) const;
  bool HasBadLink(MemberId author, Micros now) const;
  void Expire(Endpoint& endpoint, Micros now) const;
  void CountMisreports(Micros now, const std::string& id, const Endpoint& endpoint);
  Votes CountVotes(const Endpoint& endpoint, std::int64_t started, const std::set<MemberId>& distrusted,
                   Micros now);
  bool IsDecidedLocally(const std::string& id, const Endpoint& endpoint, Micros now) const;
  static bool MayEjectRemotely(Endpoint& endpoint, const Votes& votes, bool decided_locally, Micros now);
  std::set<std::string> MostWitnessed(std::vector<EjectionCandidate> candidates);
  void RefreshOwnEvidence(Micros now, const Incarnation& self, const std::string& id, Endpoint& endpoint,
                          unsigned sends);
  static std::string ReasonIgnored(const View& view, const Endpoint& endpoint, std::size_t bad, Micros now);

  Settings settings_;
  std::map<std::string, std::int64_t> listed_;  // The start of each endpoint's process, by id.
  std::map<std::string, Endpoint> endpoints_;
  WitnessReputation reputation_;
  std::uint64_t version_ = 0;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_OUTLIER_CONSENSUS_H_
