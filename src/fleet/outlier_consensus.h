// What the fleet makes of its endpoints. Each relay judges by what it saw itself, and tells it as evidence:
// who, how many observations, how old, how long it holds. Five rules keep others' evidence from doing harm:
//  - what was seen here goes before what others say, whichever way it points;
//  - hearsay needs two witnesses at least, and more of them than of those who find the endpoint sound;
//  - a endpoint is ejected on hearsay only for so long as a ping of our own takes; at most a stated part of
//  the listed
//    endpoints is, whatever is claimed;
//  - evidence ends with its time, with its author's run, and with the run of the endpoint that it is about;
//  - a witness that finds more than half of the endpoints bad speaks of its own link, and one that was often
//  found wrong
//    here is not heard for a while.
#ifndef STOATRUN_FLEET_OUTLIER_CONSENSUS_H_
#define STOATRUN_FLEET_OUTLIER_CONSENSUS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/fleet_client.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

class OutlierConsensus {
 public:
  struct Counts {
    std::uint64_t heard = 0, stale_after = 0, contradicted = 0, ignored_witness = 0, capped = 0;
  };
  struct View {  // For the operators.
    std::string endpoint;
    std::optional<HealthVerdict> own;
    std::vector<Evidence> others;  // In force; with their age.
    bool ejected = false;          // On hearsay.
    std::string ignored;           // Why hearsay is not followed.
  };

  explicit OutlierConsensus(const Settings& settings) : settings_(settings) {}

  // The endpoints that the present list holds, and when their processes started. Evidence on others is kept,
  // not used.
  void SetEndpoints(const std::vector<FleetClient::ListedEndpoint>& endpoints);
  // Something this relay saw of a endpoint: an attempt or a probe that went well, or what it met instead.
  void Observe(Micros now, const std::string& endpoint, HealthVerdict verdict);
  void OnEvidence(Micros now, const Evidence& evidence, std::optional<Micros> transit);
  // A run of `author` is ended: it can't stand for what it said.
  void OnIncarnationEnded(MemberId author, const Incarnation& incarnation);

  // Own evidence that is to be told, or told again, and others' that is to be passed on.
  std::vector<Evidence> EvidenceToGossip(Micros now, const Incarnation& self, std::size_t room,
                                         std::size_t fleet);

  // What this relay saw itself lately, if that is enough to judge by.
  std::optional<HealthVerdict> OwnVerdict(Micros now, const std::string& endpoint) const;
  // Outliers to avoid because others say so. Ping at quota_templates of them: what is seen then goes before.
  std::set<std::string> EndpointsToEject(Micros now);
  std::vector<View> Views(Micros now);
  // Authors that are not heard now, and why.
  std::vector<std::pair<MemberId, std::string>> Distrusted(Micros now) const;
  const Counts& GetCounts() const { return counts_; }

 private:
  struct Seen {
    Micros at{0};
    HealthVerdict verdict = HealthVerdict::kHealthy;
  };
  struct Heard {
    Evidence evidence;
    Micros made{0};  // By our clock, at the earliest.
    unsigned tell = 0;
  };
  struct Server {
    std::deque<Seen> seen;
    std::map<MemberId, Heard> heard;  // By author.
    Evidence told;                    // Our own, as it was told last.
    Micros told_at{0};
    Micros seen_at{0};  // The observation that it rests on: its age counts from there.
    unsigned tell = 0;
    std::optional<Micros> remote_only_since;
  };
  struct Reputation {
    unsigned misreports = 0;
    Micros until{0};
    std::set<std::pair<std::string, std::uint64_t>>
        counted;  // Evidence that was found wrong, once quota_templates.
  };

  bool InForce(const Heard& h, Micros now) const;
  bool IsListed(const std::string& endpoint, std::int64_t start) const;
  bool BadLink(MemberId author, Micros now) const;
  static bool Bad(HealthVerdict v) { return v != HealthVerdict::kHealthy; }
  void Forget(Server& s, Micros now) const;

  Settings settings_;
  std::map<std::string, std::int64_t> listed_;
  std::map<std::string, Server> endpoints_;
  std::map<MemberId, Reputation> reputation_;
  std::uint64_t version_ = 0;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_OUTLIER_CONSENSUS_H_
