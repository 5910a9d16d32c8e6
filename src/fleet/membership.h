// Who of the fleet is there, as this relay knows it. After SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
// distrust of one's own slow self (Dadgar, Phillips, Currey 2018). Two things differ: members are named in
// the operator file and are never forgotten, so a silent one goes on being looked at; and a run of a process
// is told from its former self by its life, which orders runs also where a disk was lost or a clock set back.
#ifndef STOATRUN_FLEET_MEMBERSHIP_H_
#define STOATRUN_FLEET_MEMBERSHIP_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/random.h"
#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

class Membership {
 public:
  struct Member {
    Slot slot = 0;
    std::string name;
    Life life;
    std::uint32_t incarnation = 0;
    Standing standing = Standing::kSilent;  // Until it is heard.
    Micros since{0};                        // When it came to stand so.
    std::optional<Micros> answered_at;      // Its last answer to a look of ours, by the time of the look.
    bool twins = false;                     // Two processes run under this name.
    std::uint64_t lives = 0;                // Runs seen.
  };
  struct Counts {
    std::uint64_t looks = 0, unanswered = 0, indirect = 0, suspicions = 0, silences = 0, refuted = 0,
                  raised = 0, twins = 0, pauses = 0;
  };

  Membership(const Settings& settings, Life self, std::uint64_t seed, Micros now);

  // Looks that are due; call it each tick. A gap between two calls that is longer than the process can
  // explain means that it was stopped: what went unanswered meanwhile is its own fault.
  std::vector<std::pair<Slot, Look>> Tick(Micros now);
  // A look came from `from`. Returns the look to pass on, if it names a target.
  std::optional<std::pair<Slot, Look>> Asked(Slot from, const Look& look);
  // An answer came. Returns for whom we asked, if it was for somebody else.
  std::optional<std::pair<Slot, std::uint64_t>> Answered(Micros now, Slot from, std::uint64_t nonce);

  // True: the member runs a new life now, and `former` is over.
  struct Change {
    bool superseded = false;
    Life former;
    bool left = false;
  };
  Change Hear(Micros now, const MemberNews& news);
  // Whether a datagram of this life may be heeded: it is the member's present one.
  bool Present(Slot slot, const Life& life) const;

  // News to send along, the least told first, of at most `room` bytes. What `to` should know of itself goes
  // first.
  std::vector<MemberNews> News(Slot to, std::size_t room);
  // An orderly end: to be told to a few.
  MemberNews Leave();

  const Life& SelfLife() const { return self_; }
  std::uint32_t SelfIncarnation() const { return incarnation_; }
  bool SelfTwins() const { return self_twins_; }
  const Member* Find(Slot slot) const;
  const std::vector<Member>& Members() const { return members_; }
  std::size_t Alive() const;  // Others that are alive or only suspected.
  // Somebody alive, at random, not `but`; nothing: nobody is.
  std::optional<Slot> AnyAlive(std::optional<Slot> but = std::nullopt);
  const Counts& Counted() const { return counts_; }
  // 0: sound. The more, the more likely it is this relay that is slow.
  unsigned OwnFault() const { return fault_; }

  // Follows a changed operator file: peers added or taken away.
  void Follow(const std::vector<Peer>& peers, Micros now);

 private:
  struct Pending {
    Slot target = 0;
    Micros at{0};
    bool indirect_sent = false;
    std::optional<std::pair<Slot, std::uint64_t>> for_other;
  };

  Member* Mutable(Slot slot);
  void Stand(Member& m, Standing standing, std::uint32_t incarnation, Micros now);
  void Rumour(Slot slot);
  Micros SuspicionTime(unsigned confirmations) const;
  MemberNews NewsOf(const Member& m) const;
  MemberNews SelfNews() const;
  std::vector<std::pair<Slot, Look>> StartLook(Micros now, Slot slot);

  Settings settings_;
  Life self_;
  std::uint32_t incarnation_ = 0;
  bool self_twins_ = false;
  std::map<std::uint64_t, std::uint64_t> rivals_;  // Other runs of our own name: their generations, by id.
  unsigned rival_raises_ = 0;
  std::map<Slot, unsigned> returns_;  // How often a run came back after another had come after it.
  std::vector<Member> members_;       // By slot.
  std::map<Slot, std::map<std::uint64_t, std::uint64_t>> former_;  // Superseded runs: generations by id.
  std::map<Slot, unsigned> rumours_;                               // How often each is still to be told.
  std::map<Slot, Micros> suspected_until_;
  std::map<std::uint64_t, Pending> pending_;  // By nonce.
  std::vector<Slot> order_;                   // Of the present round of looks.
  std::size_t cursor_ = 0, filler_ = 0;
  Micros next_look_, last_tick_;
  unsigned fault_ = 0;
  Random random_;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_MEMBERSHIP_H_
