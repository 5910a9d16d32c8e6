// One relay's part in the fleet: all that it knows of the others and all that it tells them, in one place.
// Time, randomness and datagrams in; datagrams out. It reads no clock and opens no socket.
#ifndef STOATRUN_FLEET_NODE_H_
#define STOATRUN_FLEET_NODE_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/random.h"
#include "fleet/connection_counts.h"
#include "fleet/membership.h"
#include "fleet/message.h"
#include "fleet/outlier_consensus.h"
#include "fleet/quota_leases.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

class Node {
 public:
  struct Counts {
    std::uint64_t in = 0, out = 0, strangers = 0, former_runs = 0, other_size = 0, oversized = 0;
  };

  // `name`: as the peers' files have it. `life`: this run's; its generation may be raised later, its id
  // stays.
  Node(const Settings& settings, std::string name, Life life, std::uint64_t seed, Micros now);

  // Call it each `settings.tick`, and whenever `Urgent`.
  void Tick(Micros now, Out& out);
  void OnDatagram(Micros now, const Datagram& d, Out& out);
  // An orderly end: tells a few.
  void Leave(Micros now, Out& out);
  void Follow(const std::vector<Peer>& peers, Micros now);

  // Budgets. `now` is to be read in the turn in which the unit is used. What is refused here may make asks go
  // out.
  bool Spend(Micros now, const std::string& budget, Out& out);
  void Release(const std::string& budget) { budgets_.Release(budget); }
  Budgets& Purses() { return budgets_; }

  // Connections of this relay.
  Accounts& Own() { return accounts_; }
  // False: the accounts don't balance, which is an error of the program.
  bool Balanced() const { return accounts_.Check(); }
  FleetCounts::Total Sum(Micros now, std::optional<std::uint32_t> class_index = std::nullopt,
                         std::optional<std::string_view> group = std::nullopt);
  FleetCounts& Totals() { return totals_; }

  // Servers.
  Judgements& Servers() { return judgements_; }
  void NoteSent(Micros now, const std::string& server);
  // What the others have sent to a server and its reports may not show: by what those heard lately tell,
  // taken as a sample of all. Nothing: nobody was heard lately.
  std::optional<double> UnseenByOthers(Micros now, const std::string& server) const;

  Membership& Members() { return members_; }
  const Settings& Setup() const { return settings_; }
  const Counts& Counted() const { return counts_; }
  // Peers whose file states another size of the fleet: shares don't fit together until that is mended.
  std::vector<std::pair<Slot, std::uint32_t>> OtherSizes() const;

 private:
  struct Link {
    std::uint64_t sent_seq = 0;
    std::deque<std::pair<std::uint64_t, Micros>> sent_at;  // The last ones.
    Life heard_life;
    std::uint64_t heard_seq = 0;
    Micros heard_at{0};
    std::uint32_t slots = 0;
    std::map<std::string, std::uint32_t> sent;  // Its unseen sends, as it told them last.
    Micros sent_told_at{0};
    bool sent_told = false;
  };

  // With news of members, where the datagram is one that goes out anyhow; leases alone carry none.
  Datagram& To(Micros now, Slot to, Out& out, bool news = false);
  void Turn(Micros now, Out& out);
  void Take(Micros now, const Datagram& d, Out& out);
  std::optional<Micros> Transit(Micros now, const Link& link, const Datagram& d) const;
  void Ask(Micros now, Out& out);
  void Report(Micros now);
  // Takes parts out of what became too large; all of them are told again by themselves.
  void Trim(Out& out);
  std::vector<Slot> AliveSlots() const;

  Settings settings_;
  std::string name_;
  Random random_;
  Membership members_;
  Budgets budgets_;
  Accounts accounts_;
  FleetCounts totals_;
  Judgements judgements_;
  std::map<Slot, Link> links_;
  std::deque<std::pair<Micros, std::string>> sends_;
  std::uint64_t report_ = 0, reported_changes_ = 0;
  Micros reported_at_{0}, next_gossip_{0}, asked_at_{0};
  bool reported_ = false;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_NODE_H_
