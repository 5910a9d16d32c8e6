// Who of the fleet is there, as this relay knows it. After SWIM (Das, Gupta, Motivala 2002) with Lifeguard's
// distrust of one's own slow self (Dadgar, Phillips, Currey 2018). Two things differ: members are named in
// the operator file and are never forgotten, so a silent one goes on being looked at; and a run of a process
// is told from its former self by its incarnation, which orders runs also where a disk was lost or a clock
// set back.
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
    MemberId member_id = 0;
    std::string name;
    Incarnation incarnation;
    std::uint32_t refutations = 0;
    MemberState state = MemberState::kDead;  // Until it is heard.
    Micros since{0};                         // When it came to stand so.
    std::optional<Micros> last_ack_at;       // Its last ack to a ping of ours, by the time of the ping.
    bool duplicate = false;                  // Two processes run under this name.
    std::uint64_t incarnations = 0;          // Runs seen.
  };
  struct Counts {
    std::uint64_t pings = 0, unanswered = 0, indirect = 0, suspicions = 0, deaths = 0, refuted = 0,
                  raised = 0, duplicate = 0, pauses = 0;
  };

  Membership(const Settings& settings, Incarnation self, std::uint64_t seed, Micros now);

  // Looks that are due; call it quota_templates tick. A gap between two calls that is longer than the process
  // can explain means that it was stopped: what went unanswered meanwhile is its own fault.
  std::vector<std::pair<MemberId, Ping>> Tick(Micros now);
  // A ping came from `from`. Returns the ping to pass on, if it names a target.
  std::optional<std::pair<MemberId, Ping>> OnPingRequest(MemberId from, const Ping& ping);
  // An ack came. Returns for whom we asked, if it was for somebody else.
  std::optional<std::pair<MemberId, std::uint64_t>> OnAck(Micros now, MemberId from, std::uint64_t nonce);

  // True: the member runs a new incarnation now, and `former` is ended.
  struct Change {
    bool superseded = false;
    Incarnation former;
    bool left = false;
  };
  Change OnUpdate(Micros now, const MemberUpdate& update);
  // Whether a datagram of this incarnation may be heeded: it is the member's present one.
  bool Present(MemberId member_id, const Incarnation& incarnation) const;

  // UpdatesFor to send along, the least told first, of at most `room` bytes. What `to` should know of itself
  // goes first.
  std::vector<MemberUpdate> UpdatesFor(MemberId to, std::size_t room);
  // An orderly end: to be told to a few.
  MemberUpdate Leave();

  const Incarnation& SelfIncarnation() const { return self_; }
  std::uint32_t SelfRefutations() const { return refutations_; }
  bool HasDuplicate() const { return has_duplicate_; }
  const Member* Find(MemberId member_id) const;
  const std::vector<Member>& Members() const { return members_; }
  std::size_t Alive() const;  // Others that are alive or only suspected.
  // Somebody alive, at random, not `but`; nothing: nobody is.
  std::optional<MemberId> AnyAlive(std::optional<MemberId> but = std::nullopt);
  const Counts& GetCounts() const { return counts_; }
  // 0: sound. The more, the more likely it is this relay that is slow.
  unsigned LocalHealthScore() const { return health_score_; }

  // Follows a changed operator file: peers added or accepted away.
  void Follow(const std::vector<Peer>& peers, Micros now);

 private:
  struct Pending {
    MemberId target = 0;
    Micros at{0};
    bool indirect_sent = false;
    std::optional<std::pair<MemberId, std::uint64_t>> for_other;
  };

  Member* Mutable(MemberId member_id);
  void SetState(Member& m, MemberState state, std::uint32_t refutations, Micros now);
  void QueueGossip(MemberId member_id);
  Micros SuspicionTime(unsigned confirmations) const;
  MemberUpdate UpdateAbout(const Member& m) const;
  MemberUpdate SelfUpdate() const;
  std::vector<std::pair<MemberId, Ping>> StartPing(Micros now, MemberId member_id);

  Settings settings_;
  Incarnation self_;
  std::uint32_t refutations_ = 0;
  bool has_duplicate_ = false;
  std::map<std::uint64_t, std::uint64_t> rivals_;  // Other runs of our own name: their generations, by id.
  unsigned rival_raises_ = 0;
  std::map<MemberId, unsigned> returns_;  // How often a run came back after another had come after it.
  std::vector<Member> members_;           // By member_id.
  std::map<MemberId, std::map<std::uint64_t, std::uint64_t>> former_;  // Superseded runs: generations by id.
  std::map<MemberId, unsigned> pending_gossip_;  // How often quota_templates is still to be told.
  std::map<MemberId, Micros> suspected_until_;
  std::map<std::uint64_t, Pending> pending_;  // By nonce.
  std::vector<MemberId> order_;               // Of the present round of pings.
  std::size_t cursor_ = 0, filler_ = 0;
  Micros next_ping_, last_tick_;
  unsigned health_score_ = 0;
  Random random_;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_MEMBERSHIP_H_
