// The issuer hosts by number: addresses, phases, and the moment from which a draining one gets nothing more.
#ifndef STOATRUN_CORE_HOST_BOOK_H_
#define STOATRUN_CORE_HOST_BOOK_H_

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/deadlines.h"
#include "base/slots.h"
#include "base/stream.h"
#include "core/sides.h"
#include "inventory/hosts.h"

namespace stoatrun {

class HostWatcher {
 public:
  virtual ~HostWatcher() = default;
  // What has not yet reached this host must not be sent to it from now on.
  virtual void StopSending(HostNumber host) = 0;
};

class HostBook {
 public:
  // `stop_sending`: a host that drains gets nothing new later than this after the relay was told.
  HostBook(Loop& loop, Micros stop_sending);
  HostBook(const HostBook&) = delete;
  HostBook& operator=(const HostBook&) = delete;

  void AddWatcher(HostWatcher& watcher) { watchers_.push_back(&watcher); }
  void TakeList(const HostList& list);
  // The number of a host, the same for one id for ever.
  HostNumber NumberOf(const std::string& id);
  std::optional<HostNumber> Known(const std::string& id) const;
  const std::string& IdOf(HostNumber host) const { return hosts_[host].id; }
  const std::optional<Address>& AddressOf(HostNumber host) const { return hosts_[host].address; }
  HostPhase PhaseOf(HostNumber host) const { return hosts_[host].phase; }

 private:
  struct Host {
    std::string id;
    std::optional<Address> address;
    HostPhase phase = HostPhase::kReady;
    bool watched_drain = false;
  };
  struct Drain {
    Drain(SlotId slot, HostBook& all, HostNumber to)
        : deadline(all.loop_.deadlines, [&all, slot, to] {
            all.drains_.Erase(slot);
            all.StopSending(to);
          }) {}
    Deadline deadline;
  };
  void StopSending(HostNumber host);

  Loop& loop_;
  const Micros stop_sending_;
  std::vector<Host> hosts_;
  std::unordered_map<std::string, HostNumber> numbers_;
  std::vector<HostWatcher*> watchers_;
  Slots<Drain> drains_;
};

}  // namespace stoatrun

#endif  // STOATRUN_CORE_HOST_BOOK_H_
