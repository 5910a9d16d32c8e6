// Probes of issuer hosts: `STATS` on connections that are kept for the next one.
#ifndef STOATRUN_HOSTS_LINE_PROBER_H_
#define STOATRUN_HOSTS_LINE_PROBER_H_

#include <string_view>
#include <vector>

#include "base/deadlines.h"
#include "base/slots.h"
#include "base/stream.h"
#include "core/counters.h"
#include "core/host_book.h"
#include "core/sides.h"

namespace stoatrun {

class Prober : public StreamHandler, private HostWatcher {
 public:
  struct Times {
    Micros connect{250'000};
    Micros idle_close{10'000'000};  // The host's; an idle connection is ended before.
  };

  Prober(Loop& loop, HostBook& book, ProbeEvents& events, Counters& counters, const Times& times);
  Prober(const Prober&) = delete;
  Prober& operator=(const Prober&) = delete;

  // Answered by one OnProbe, later.
  void Probe(HostNumber host);

  void OnConnected(SlotId id) override;
  void OnBytes(SlotId id) override;
  void OnEnd(SlotId id, StreamEnd end) override;

 private:
  struct Link {
    Link(SlotId slot, Prober& all, HostNumber to)
        : id(slot),
          host(to),
          stream(all.loop_.Raw(), all, slot),
          deadline(all.loop_.deadlines, [&all, slot] { all.End(slot, false, {}); }) {}
    SlotId id;
    HostNumber host;
    Stream stream;
    Deadline deadline;
    Micros give_up{0};
    bool sent = false, idle = false;
  };
  // Tells the answer, if one is owed; after a good one the connection is kept.
  void End(SlotId id, bool ok, std::string_view report);
  void StopSending(HostNumber host) override;
  SlotId& IdleOf(HostNumber host);

  Loop& loop_;
  HostBook& book_;
  ProbeEvents& events_;
  Counters& counters_;
  const Times times_;
  std::vector<SlotId> idle_;  // By host.
  Slots<Link> links_;
};

}  // namespace stoatrun

#endif  // STOATRUN_HOSTS_LINE_PROBER_H_
