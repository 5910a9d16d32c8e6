// Fleet-wide outlier detection. Each relay forms verdicts on endpoints from its own observations and gossips
// them as evidence: author, number of observations, age and validity. Five rules limit the effect of wrong
// remote evidence:
//  - own observations take precedence over remote evidence, whether they are good or bad;
//  - an ejection on remote evidence requires at least two witnesses, and more witnesses for the ejection than
//    witnesses that report the endpoint as healthy;
//  - an ejection on remote evidence alone lasts only as long as an own health check takes, and covers at most
//    a configured fraction of the listed endpoints, whatever the evidence says;
//  - evidence expires with its validity, with the incarnation of its author, and with the process of its
//    endpoint;
//  - a witness that reports more than half of the endpoints as bad is assumed to have a bad link itself and
//  is
//    ignored, and a witness whose evidence was repeatedly disproved here is distrusted for some time.
//
// Deterministic and not thread-safe; see node.h. Memory is bounded: at most 8,192 endpoints with 32
// observations each.
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

// The verdicts of this relay and its peers on the listed endpoints.
class OutlierConsensus {
 public:
  // Counters since the start.
  struct Counts {
    std::uint64_t accepted = 0, stale = 0, disproved = 0, ignored_witness = 0, capped = 0;
  };
  // An endpoint, for the status document.
  struct View {
    std::string endpoint;
    std::optional<HealthVerdict> own;
    std::vector<Evidence> remote_evidence;  // Valid evidence, with its current age.
    bool ejected = false;                   // On remote evidence.
    std::string ignored;  // Why bad remote evidence has no effect; empty: it has, or there is none.
  };
  // A peer whose evidence is ignored.
  struct DistrustedWitness {
    MemberId author = 0;
    std::string reason;  // For the status document.
    bool operator==(const DistrustedWitness&) const = default;
  };

  // Uses this relay's member id and the cap on ejections from `settings`.
  explicit OutlierConsensus(const Settings& settings) : settings_(settings) {}

  // Sets the endpoints of the current endpoint list. Drops the state of all other endpoints, and of endpoints
  // whose process was restarted.
  void SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints);
  // Records an own observation of an endpoint: the outcome of an attempt or a health check.
  void Observe(Micros now, const std::string& endpoint, HealthVerdict verdict);
  // Processes received evidence. `transit`: upper bound on the transit time of its datagram; nullopt:
  // unknown.
  void OnEvidence(Micros now, const Evidence& evidence, std::optional<Micros> transit);
  // An incarnation of `author` has ended: drops its evidence.
  void OnIncarnationEnded(MemberId author, const Incarnation& incarnation);

  // Own evidence to send or resend and remote evidence to forward, within `max_bytes`. `self`: this relay's
  // incarnation.
  std::vector<Evidence> EvidenceToGossip(Micros now, const Incarnation& self, std::size_t max_bytes,
                                         std::size_t fleet_size);

  // This relay's own verdict; nullopt: its recent observations are too few or inconclusive.
  std::optional<HealthVerdict> OwnVerdict(Micros now, const std::string& endpoint) const;
  // Endpoints to eject on remote evidence. The caller runs a health check on each, whose result takes
  // precedence.
  std::set<std::string> EndpointsToEject(Micros now);
  // All endpoints with an own verdict or remote evidence.
  std::vector<View> Views(Micros now);
  // The peers whose evidence is currently ignored.
  std::vector<DistrustedWitness> DistrustedWitnesses(Micros now) const;
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }

 private:
  struct Observation {
    Micros at{0};
    HealthVerdict verdict = HealthVerdict::kHealthy;
  };
  // Evidence received from a peer, with its gossip state.
  struct RemoteEvidence {
    Evidence evidence;
    Micros created_at{0};            // Earliest possible time, by this relay's clock.
    bool awaits_first_send = false;  // Not forwarded yet; the first time sets `sends_left`.
    unsigned sends_left = 0;
  };
  struct Endpoint {
    std::deque<Observation> observations;
    std::map<MemberId, RemoteEvidence> remote;  // By author.
    Evidence own;                               // As last gossiped; version 0: never.
    Micros own_created_at{0};
    Micros last_observation_at{0};  // The latest observation behind `own`, from which its age counts.
    unsigned own_sends_left = 0;
    std::optional<Micros> remote_only_ejected_at;  // The start of the last ejection on remote evidence alone.
  };
  // Numbers of trusted witnesses for an endpoint.
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
  // Starts and ends the period of an ejection on remote evidence alone and the cooldown that follows it.
  // Returns true if the endpoint may be ejected on remote evidence now.
  static bool UpdateRemoteOnlyEjection(Endpoint& endpoint, const Votes& votes, bool decided_locally,
                                       Micros now);
  std::set<std::string> ApplyEjectionCap(std::vector<EjectionCandidate> candidates);
  void RefreshOwnEvidence(Micros now, const Incarnation& self, const std::string& id, Endpoint& endpoint,
                          unsigned send_limit);
  static std::string ReasonIgnored(const View& view, const Endpoint& endpoint, std::size_t bad, Micros now);

  Settings settings_;
  std::map<std::string, std::int64_t> listed_;  // Process start time of each endpoint, by id.
  std::map<std::string, Endpoint> endpoints_;
  WitnessReputation reputation_;
  std::uint64_t version_ = 0;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_OUTLIER_CONSENSUS_H_
