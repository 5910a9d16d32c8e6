// Failure detection and membership: which members run, and which of their incarnations is the present one.
//
// After SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018):
// random pings in rounds, indirect pings through helpers, suspicion with a timeout that shrinks as others
// confirm it, refutation by the suspect, updates piggybacked on datagrams. Two things differ. Members are
// named in the operator file and never removed, so a dead one goes on being pinged. And an Incarnation orders
// the runs of a process, also where a disk was lost or a clock was set back; it is raised by whoever learns
// of a greater one under its own name.
//
// Deterministic and not thread-safe; see node.h. Bounded: at most 16 former incarnations are remembered per
// member.
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

// The members of the fleet as this relay sees them.
class Membership {
 public:
  // Another member.
  struct Member {
    MemberId member_id = 0;
    std::string name;
    Incarnation incarnation;  // The present one; empty: none was heard of.
    std::uint32_t refutations = 0;
    MemberState state = MemberState::kDead;  // Until it is heard.
    Micros since{0};                         // When the state was entered.
    std::optional<Micros> last_ack_at;       // Sending time of the last own ping that it acknowledged.
    bool duplicate = false;                  // Two processes run under this name.
    std::uint64_t incarnations_seen = 0;
  };
  // Counters since the start.
  struct Counts {
    std::uint64_t pings = 0, unanswered = 0, indirect = 0, suspicions = 0, deaths = 0, refuted = 0,
                  raised = 0, duplicate = 0, pauses = 0;
  };
  // A ping to be sent.
  struct OutgoingPing {
    MemberId to = 0;
    Ping ping;
  };
  // An acknowledgement to be forwarded to the member on whose behalf this relay pinged.
  struct OutgoingAck {
    MemberId to = 0;
    std::uint64_t nonce = 0;
  };
  // What an update changed.
  struct Change {
    bool superseded = false;  // The member runs a new incarnation; `former` has ended.
    Incarnation former;
    bool left = false;  // The member shut down gracefully.
  };

  // `self`: this relay's incarnation.
  Membership(const Settings& settings, Incarnation self, std::uint64_t seed, Micros now);

  // Returns the pings that are due; called each tick. A gap between two calls that is longer than the process
  // can explain means that it was stopped: what went unacknowledged meanwhile is its own fault.
  std::vector<OutgoingPing> Tick(Micros now);
  // A ping came from `from`. Returns the ping to forward if it asks for an indirect one.
  std::optional<OutgoingPing> OnPingRequest(MemberId from, const Ping& ping);
  // An acknowledgement came. Returns where to forward it, if the ping was on somebody else's behalf.
  std::optional<OutgoingAck> OnAck(Micros now, MemberId from, std::uint64_t nonce);
  // Takes an update in, of whatever age.
  Change OnUpdate(Micros now, const MemberUpdate& update);

  // True if `incarnation` is the member's present one, so that its datagrams are heeded.
  bool IsPresent(MemberId member_id, const Incarnation& incarnation) const;
  // Updates to piggyback on a datagram to `receiver`, the least gossiped first, within `max_bytes`. What
  // `receiver` should know of itself goes before these.
  std::vector<MemberUpdate> UpdatesFor(MemberId receiver, std::size_t max_bytes);
  // The update by which this relay announces its graceful shutdown.
  MemberUpdate LeaveUpdate() const;

  // This relay's incarnation; its generation may rise.
  const Incarnation& SelfIncarnation() const { return self_; }
  // This relay's refutation number.
  std::uint32_t SelfRefutations() const { return refutations_; }
  // True if another process runs under this relay's name.
  bool HasDuplicate() const { return has_duplicate_; }
  // The member, or null if the operator file doesn't name it.
  const Member* Find(MemberId member_id) const;
  // All other members, by id.
  const std::vector<Member>& Members() const { return members_; }
  // How many others are alive or only suspected.
  std::size_t Alive() const;
  // A random member that is alive or only suspected; nothing: there is none.
  std::optional<MemberId> AnyAlive();
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }
  // Lifeguard's local health multiplier: 0 is healthy; the higher, the likelier this relay itself is slow.
  unsigned LocalHealthScore() const { return health_score_; }

  // Follows a changed operator file: peers added or removed.
  void SetPeers(const std::vector<Peer>& peers, Micros now);

 private:
  struct PendingPing {
    MemberId target = 0;
    Micros at{0};
    bool indirect_sent = false;
    std::optional<OutgoingAck> on_behalf;  // Whom to acknowledge to.
  };

  // Parts of OnUpdate.
  void OnSelfUpdate(const MemberUpdate& update);
  void OnRivalIncarnation(const Incarnation& rival);
  Change OnPresentIncarnation(Member& member, const MemberUpdate& update, Micros now);
  Change OnNewIncarnation(Member& member, const MemberUpdate& update, Micros now);

  // Parts of Tick.
  void DetectPause(Micros now);
  void SendIndirectPings(Micros now, Micros ack_timeout, std::vector<OutgoingPing>& out);
  void ExpirePings(const std::vector<std::uint64_t>& expired, Micros now);
  void ExpireSuspicions(Micros now);
  void SendNextPing(Micros now, std::vector<OutgoingPing>& out);

  Member* FindMutable(MemberId member_id);
  void SetState(Member& member, MemberState state, std::uint32_t refutations, Micros now);
  void QueueGossip(MemberId member_id);
  void WorsenHealth(unsigned amount);
  Micros SuspicionTimeout(unsigned confirmations) const;
  std::optional<MemberUpdate> UpdateAbout(MemberId member_id) const;
  void EraseStateOf(MemberId member_id);

  Settings settings_;
  Incarnation self_;
  std::uint32_t refutations_ = 0;
  bool has_duplicate_ = false;
  std::map<std::uint64_t, std::uint64_t> rivals_;  // Other runs of the own name: generations by id.
  unsigned rival_raises_ = 0;
  std::map<MemberId, unsigned> returns_;  // How often an incarnation returned after it was superseded.
  std::vector<Member> members_;           // By id.
  // Superseded incarnations of each member: generations by id.
  std::map<MemberId, std::map<std::uint64_t, std::uint64_t>> former_;
  std::map<MemberId, unsigned> pending_gossip_;  // How often each member's update is still to be sent.
  std::map<MemberId, Micros> suspected_until_;
  std::map<std::uint64_t, PendingPing> pending_pings_;  // By nonce.
  std::vector<MemberId> ping_order_;                    // Of the present round.
  std::size_t next_in_order_ = 0, next_repeated_ = 0;
  Micros next_ping_, last_tick_;
  unsigned health_score_ = 0;
  Random random_;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_MEMBERSHIP_H_
