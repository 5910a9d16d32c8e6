// How a relay that has just started learns of all incarnations that ran before it.
//
// It knows none, so its sums have no upper bound until it learns of all. It reads the member lists of
// peers, page by page. One list of a relay that is itself complete is enough. Where none is, as when all
// start at once, what each relay knew at its start (its basis) is handed on, until a relay holds the bases of
// all.
#ifndef STOATRUN_FLEET_MEMBER_LIST_SYNC_H_
#define STOATRUN_FLEET_MEMBER_LIST_SYNC_H_

#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/message.h"
#include "fleet/types.h"

namespace stoatrun::fleet {

// The progress of reading member lists. Used by FleetCounts, on its thread.
class MemberListSync {
 public:
  // `self`: this relay, whose own basis is known.
  explicit MemberListSync(MemberId self) { basis_.insert(self); }

  // True if all incarnations that any relay knows are known here.
  bool IsComplete() const { return complete_; }
  // Where to start reading the list of `peer`; nothing: no list is wanted, or another is being read.
  std::optional<MemberId> StartReading(Micros now, MemberId peer);
  // Takes note of a page. Returns the start of the next page to ask for, if there is one.
  std::optional<MemberId> OnPage(Micros now, MemberId peer, const MemberListPage& page,
                                 const Settings& settings);
  // MemberListPage::basis of the own list.
  std::string BasisBitmap() const;

 private:
  // A list that is being read.
  struct Reading {
    MemberId peer = 0, next = 0;
    Micros requested_at{0};
    bool complete = true;
    std::set<MemberId> basis;
  };

  bool HoldsAllBases(const Settings& settings) const;

  bool complete_ = false;
  std::set<MemberId> basis_;  // Relays whose knowledge, as of their start, is here.
  std::optional<Reading> reading_;
};

}  // namespace stoatrun::fleet

#endif  // STOATRUN_FLEET_MEMBER_LIST_SYNC_H_
