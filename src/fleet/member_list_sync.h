// Synchronizes the member list of a relay that has just started: all incarnations that ran before it.
//
// The relay knows none of them at its start, so its sums have no upper bound until it knows all. It reads the
// member lists of its peers page by page. A single list suffices if the peer's own list is complete. If no
// peer's is, as when all relays start at the same time, each list states which relays' initial knowledge
// (their basis) it includes; a list that includes the bases of all relays is complete.
#ifndef STOATRUN_FLEET_MEMBER_LIST_SYNC_H_
#define STOATRUN_FLEET_MEMBER_LIST_SYNC_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// Tracks the reading of member lists. Used by FleetCounts, on its thread.
class MemberListSync {
 public:
  // `self`: this relay, whose own basis is included from the start.
  explicit MemberListSync(MemberId self) { basis_.insert(self); }

  // True if every incarnation that any relay knows is known here.
  bool IsComplete() const { return complete_; }
  // Starts reading the list of `peer` and returns the member to start at. Returns nullopt if the list is
  // already complete or another peer's list is being read.
  std::optional<MemberId> StartReading(Micros now, MemberId peer);
  // Records a received page. Returns the start of the next page to request, if any.
  std::optional<MemberId> OnPage(Micros now, MemberId peer, const MemberListPage& page,
                                 const Settings& settings);
  // MemberListPage::basis for this relay's own list.
  std::string BasisBitmap() const;

 private:
  // A list being read.
  struct Reading {
    MemberId peer = 0, next = 0;
    Micros requested_at{0};
    bool complete = true;
    std::set<MemberId> basis;
  };

  bool HoldsAllBases(const Settings& settings) const;

  bool complete_ = false;
  std::set<MemberId> basis_;  // Relays whose initial knowledge is included here.
  std::optional<Reading> reading_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_MEMBER_LIST_SYNC_H_
