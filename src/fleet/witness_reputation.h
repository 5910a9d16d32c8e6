// Tracks which relays' evidence this relay trusts.
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

// Counts the evidence of each author that was disproved by own observations (misreports). After three
// misreports the author is distrusted for one minute. Used by OutlierConsensus on its thread. Memory is
// bounded: up to 256 counted misreports are remembered per author.
class WitnessReputation {
 public:
  // Counts a piece of evidence that own observations disproved. Returns false if it was counted before.
  bool OnMisreport(Micros now, MemberId author, const std::string& endpoint, std::uint64_t version);
  // The author's incarnation has ended: the next one starts without misreports.
  void Erase(MemberId author) { records_.erase(author); }
  // The currently distrusted authors, ordered by id.
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
