// What the fleet makes of its servers. Each relay judges by what it saw itself, and tells it as evidence:
// who, how many observations, how old, how long it holds. Five rules keep others' evidence from doing harm:
//  - what was seen here goes before what others say, whichever way it points;
//  - hearsay needs two witnesses at least, and more of them than of those who find the server sound;
//  - a server is avoided on hearsay only for so long as a look of our own takes; at most a stated part of the
//  listed
//    servers is, whatever is claimed;
//  - evidence ends with its time, with its author's run, and with the run of the server that it is about;
//  - a witness that finds more than half of the servers bad speaks of its own link, and one that was often
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

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

class Judgements {
 public:
  struct Counts {
    std::uint64_t heard = 0, stale = 0, contradicted = 0, ignored_witness = 0, capped = 0;
  };
  struct View {  // For the operators.
    std::string server;
    std::optional<Verdict> own;
    std::vector<Evidence> others;  // In force; with their age.
    bool avoided = false;          // On hearsay.
    std::string ignored;           // Why hearsay is not followed.
  };

  explicit Judgements(const Settings& settings) : settings_(settings) {}

  // The servers that the present list holds, and when their processes started. Evidence on others is kept,
  // not used.
  void Listed(const std::vector<std::pair<std::string, std::int64_t>>& servers);
  // Something this relay saw of a server: an attempt or a probe that went well, or what it met instead.
  void Observe(Micros now, const std::string& server, Verdict verdict);
  void Hear(Micros now, const Evidence& evidence, std::optional<Micros> transit);
  // A run of `author` is over: it can't stand for what it said.
  void Over(Slot author, const Life& life);

  // Own evidence that is to be told, or told again, and others' that is to be passed on.
  std::vector<Evidence> News(Micros now, const Life& self, std::size_t room, std::size_t fleet);

  // What this relay saw itself lately, if that is enough to judge by.
  std::optional<Verdict> Own(Micros now, const std::string& server) const;
  // Servers to avoid because others say so. Look at each of them: what is seen then goes before.
  std::set<std::string> OnHearsay(Micros now);
  std::vector<View> Views(Micros now);
  // Authors that are not heard now, and why.
  std::vector<std::pair<Slot, std::string>> Distrusted(Micros now) const;
  const Counts& Counted() const { return counts_; }

 private:
  struct Seen {
    Micros at{0};
    Verdict verdict = Verdict::kFine;
  };
  struct Heard {
    Evidence evidence;
    Micros made{0};  // By our clock, at the earliest.
    unsigned tell = 0;
  };
  struct Server {
    std::deque<Seen> seen;
    std::map<Slot, Heard> heard;  // By author.
    Evidence told;                // Our own, as it was told last.
    Micros told_at{0};
    Micros seen_at{0};  // The observation that it rests on: its age counts from there.
    unsigned tell = 0;
    std::optional<Micros> hearsay_since;
  };
  struct Credit {
    unsigned strikes = 0;
    Micros until{0};
    std::set<std::pair<std::string, std::uint64_t>> counted;  // Evidence that was found wrong, once each.
  };

  bool InForce(const Heard& h, Micros now) const;
  bool IsListed(const std::string& server, std::int64_t start) const;
  bool BadLink(Slot author, Micros now) const;
  static bool Bad(Verdict v) { return v != Verdict::kFine; }
  void Forget(Server& s, Micros now) const;

  Settings settings_;
  std::map<std::string, std::int64_t> listed_;
  std::map<std::string, Server> servers_;
  std::map<Slot, Credit> credit_;
  std::uint64_t version_ = 0;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_OUTLIER_CONSENSUS_H_
