// Failure detection and membership: which members are running, and the current incarnation of each.
//
// Follows SWIM (Das, Gupta, Motivala 2002) with Lifeguard's local health (Dadgar, Phillips, Currey 2018):
// pings in random order in rounds, indirect pings through helpers, suspicion with a timeout that is shortened
// when others confirm it, refutation by the suspect, updates piggybacked on datagrams. It differs in two
// points. Members are listed in the operator file and never removed, so a dead member is still pinged. And an
// Incarnation orders the runs of a process even if the disk was lost or the clock was set back: a process
// that learns of a greater incarnation under its own name raises its generation above that one.
//
// Deterministic and not thread-safe; see node.h. Memory is bounded: at most 16 former incarnations are kept
// per member.
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

// The members of the fleet, from this relay's view.
class Membership {
 public:
  // Another member.
  struct Member {
    MemberId member_id = 0;
    std::string name;
    Incarnation incarnation;  // The current one; empty: none is known yet.
    std::uint32_t refutations = 0;
    MemberState state = MemberState::kDead;  // Until an incarnation is known.
    Micros since{0};                         // When the state was entered.
    std::optional<Micros> last_ack_at;  // When this relay sent the last ping that the member acknowledged.
    bool duplicate = false;             // Two processes run under this name.
    std::uint64_t incarnations_seen = 0;
  };
  // Counters since the start.
  struct Counts {
    std::uint64_t pings = 0, unacknowledged = 0, indirect_pings = 0, suspicions = 0, declared_dead = 0,
                  refutations = 0, generation_raises = 0, duplicates = 0, pauses = 0;
  };
  // A ping to send.
  struct OutgoingPing {
    MemberId to = 0;
    Ping ping;
  };
  // An acknowledgement to forward to the member that requested an indirect ping.
  struct OutgoingAck {
    MemberId to = 0;
    std::uint64_t nonce = 0;
  };
  // The effect of an update.
  struct Change {
    bool superseded = false;  // The member has a new incarnation; `former` has ended.
    Incarnation former;
    bool left = false;  // The member shut down gracefully.
  };

  // `self`: this relay's incarnation.
  Membership(const Settings& settings, Incarnation self, std::uint64_t seed, Micros now);

  // Returns the pings that are due; called every tick. A gap of more than four ticks between two calls means
  // that this process was paused: pings that went unacknowledged meanwhile are not held against their
  // targets.
  std::vector<OutgoingPing> Tick(Micros now);
  // Handles a ping from `from`. Returns the ping to send if it requests an indirect one.
  std::optional<OutgoingPing> OnPingRequest(MemberId from, const Ping& ping);
  // Handles an acknowledgement. Returns the one to forward if the ping was sent on another member's behalf.
  std::optional<OutgoingAck> OnAck(Micros now, MemberId from, std::uint64_t nonce);
  // Applies an update, which may be of any age.
  Change OnUpdate(Micros now, const MemberUpdate& update);

  // True if `incarnation` is the member's current one; datagrams from other incarnations are not processed.
  bool IsCurrent(MemberId member_id, const Incarnation& incarnation) const;
  // Returns updates of at most `max_bytes` to piggyback on a datagram to `receiver`, the least gossiped ones
  // first. An update about `receiver` itself precedes them if it is not considered alive.
  std::vector<MemberUpdate> UpdatesFor(MemberId receiver, std::size_t max_bytes);
  // The update that announces this relay's graceful shutdown.
  MemberUpdate LeaveUpdate() const;

  // This relay's incarnation; its generation may rise.
  const Incarnation& SelfIncarnation() const { return self_; }
  // This relay's refutation number.
  std::uint32_t SelfRefutations() const { return refutations_; }
  // True if another process is running under this relay's name.
  bool HasDuplicate() const { return has_duplicate_; }
  // Returns null if the member is not in the operator file.
  const Member* Find(MemberId member_id) const;
  // All other members, by id.
  const std::vector<Member>& Members() const { return members_; }
  // Number of other members that are alive or suspected.
  std::size_t Alive() const;
  // A random other member that is alive or suspected; nullopt if there is none.
  std::optional<MemberId> RandomAliveMember();
  // Counters since the start.
  const Counts& GetCounts() const { return counts_; }
  // Lifeguard's local health multiplier: 0 is healthy; a higher score means that this relay itself is more
  // likely to be slow.
  unsigned LocalHealthScore() const { return health_score_; }

  // Replaces the peers after a change of the operator file.
  void SetPeers(const std::vector<Peer>& peers, Micros now);

 private:
  struct PendingPing {
    MemberId target = 0;
    Micros at{0};
    bool indirect_sent = false;
    std::optional<OutgoingAck> on_behalf;  // The acknowledgement to forward.
  };

  // Steps of OnUpdate.
  void OnSelfUpdate(const MemberUpdate& update);
  void OnOtherSelfIncarnation(const Incarnation& other);
  Change OnCurrentIncarnation(Member& member, const MemberUpdate& update, Micros now);
  Change OnNewIncarnation(Member& member, const MemberUpdate& update, Micros now);

  // Steps of Tick.
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
  // Other runs under this relay's name: generation by id.
  std::map<std::uint64_t, std::uint64_t> other_self_incarnations_;
  unsigned other_self_raises_ = 0;
  // How often superseded incarnations of a member reappeared with a raised generation.
  std::map<MemberId, unsigned> returned_incarnations_;
  std::vector<Member> members_;  // By id.
  // Superseded incarnations of each member: generation by id.
  std::map<MemberId, std::map<std::uint64_t, std::uint64_t>> superseded_incarnations_;
  std::map<MemberId, unsigned> pending_gossip_;  // Remaining sends of each member's update.
  std::map<MemberId, Micros> suspected_until_;
  std::map<std::uint64_t, PendingPing> pending_pings_;  // By nonce.
  std::vector<MemberId> ping_order_;                    // Of the current round.
  std::size_t next_in_order_ = 0, next_repeated_ = 0;
  Micros next_ping_, last_tick_;
  unsigned health_score_ = 0;
  Random random_;
  Counts counts_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_MEMBERSHIP_H_
