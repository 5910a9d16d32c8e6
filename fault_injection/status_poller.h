// Polls the fleet status from the relays' management addresses and records it in the history.
#ifndef STOATRUN_FAULT_INJECTION_STATUS_POLLER_H_
#define STOATRUN_FAULT_INJECTION_STATUS_POLLER_H_

#include <simdjson.h>

#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "harness.h"

namespace stoatrun::fault_injection {

// Runs on the harness's loop; not thread-safe.
class StatusPoller {
 public:
  // Polls nothing before Start.
  explicit StatusPoller(Harness& harness)
      : harness_(harness), requests_(harness.relays.size()), member_states_(harness.relays.size()) {}

  // Polls the relay twice a second to the end of the run, except while it is paused or not running.
  void Start(ManagedRelay& relay);
  // Drops pending requests to a relay whose run has ended.
  void OnRunEnded(const ManagedRelay& relay) { requests_[relay.index].clear(); }

 private:
  void SendRequest(ManagedRelay& relay);
  void OnStatus(const ManagedRelay& relay, const std::string& json);
  void RecordTotals(const ManagedRelay& relay, const simdjson::dom::element& total);
  void RecordEjected(const ManagedRelay& relay, const simdjson::dom::element& servers);
  // Records the members and their states as a note whenever they change.
  void RecordMembers(const ManagedRelay& relay, const simdjson::dom::element& members);

  Harness& harness_;
  simdjson::dom::parser parser_;
  std::vector<std::deque<std::shared_ptr<LineConnection>>> requests_;  // By relay: the latest requests.
  std::vector<std::string> member_states_;                             // By relay: as recorded last.
};

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_STATUS_POLLER_H_
