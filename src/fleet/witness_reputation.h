// How far this relay trusts the evidence of each other relay.
#ifndef STOATRUN_FLEET_WITNESS_REPUTATION_H_
#define STOATRUN_FLEET_WITNESS_REPUTATION_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/types.h"

namespace stoatrun::fleet {

// Counts the evidence of each author that own observations disproved; after three such misreports the author
// is distrusted for a minute. Used by OutlierConsensus, on its thread. Bounded: 256 pieces of evidence per
// author are remembered as counted.
class WitnessReputation {
 public:
  // Own observations disproved a piece of evidence. Returns true if it was not counted before.
  bool OnMisreport(Micros now, MemberId author, const std::string& endpoint, std::uint64_t version);
  // The author's incarnation has ended: the next one starts with a clean record.
  void Erase(MemberId author) { records_.erase(author); }
  // The authors that are distrusted now, by id.
  std::vector<MemberId> DistrustedAuthors(Micros now) const;

 private:
  struct Record {
    unsigned misreports = 0;
    Micros distrusted_until{0};
    std::set<std::pair<std::string, std::uint64_t>> counted;  // Endpoint and version of disproved evidence.
  };

  std::map<MemberId, Record> records_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_WITNESS_REPUTATION_H_
