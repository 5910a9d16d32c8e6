// The relay's core: owns the Balancer, turns what fronts and host sides tell into its events and carries its
// actions out, in order; pairs clients with legs. It never picks a host, retries or sheds by itself, and
// knows no wire format.
#ifndef STOATRUN_CORE_RELAY_H_
#define STOATRUN_CORE_RELAY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "arrowhatch/balancer.h"
#include "base/deadlines.h"
#include "base/slots.h"
#include "core/counters.h"
#include "core/host_book.h"
#include "core/sides.h"
#include "core/terms.h"
#include "inventory/hosts.h"
#include "ledger/meter.h"
#include "settings/settings.h"

namespace stoatrun {

class Relay : public FrontEvents,
              public HostEvents,
              public FlowEvents,
              public ProbeEvents,
              public DiscoveryEvents,
              private Orders {
 public:
  // What the module's orders reach besides the sides.
  struct Means {
    std::function<void(HostNumber)> probe;
    std::function<void()> watch;
  };

  // `meter`: told of standing connections; outlives the relay; null: nobody is.
  Relay(Loop& loop, const arrowhatch::settings::SiteSettings& site, HostBook& book, Counters& counters,
        ledger::Meter* meter);
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  // Before anything else; the fronts outlive the relay's last turn.
  void Connect(Means means) { means_ = std::move(means); }
  void AddFront(Front& front) { fronts_.push_back(&front); }
  void TakeList(const HostList& list, ListSource source);
  // A planned end: still takes and answers for a while, then moves all standing clients and stops the loop.
  void Drain();

 private:
  struct Authorisation {
    Authorisation(SlotId slot, Relay& all)
        : id(slot), deadline(all.loop_.deadlines, [&all, slot] { all.Due(slot); }) {}
    enum class State { kPending, kStanding, kLeaving };  // Leaving: its client has ended its sending.
    SlotId id, client, leg;
    Deadline deadline;
    State state = State::kPending;
    HostNumber host = 0;
    Front* front = nullptr;
    HostSide* hosts = nullptr;
    const Hello* hello = nullptr;
    std::unique_ptr<Flow> flow;  // Once it stands.
    Opening opening;
    std::string open_id;     // As its client named it.
    std::string resume_at;   // The host that holds the connection already.
    std::string_view group;  // The front's, until the client is answered.
    Micros resume_until{0};
    std::uint32_t legs = 0;
    ledger::Ticket use;
  };
  struct Pace {  // What a host's messages took.
    Micros told_at{0};
    bool slow = false;
  };
  struct Timer {
    Timer(SlotId slot, Relay& all)
        : deadline(all.loop_.deadlines, [&all, slot] {
            all.timers_.Erase(slot);
            all.Tell(arrowhatch::TimerFired{});
          }) {}
    Deadline deadline;
  };

  // FrontEvents
  std::optional<std::size_t> ClassNamed(std::string_view name) const override;
  bool IsOpen(std::string_view id) const override { return open_ids_.contains(std::string(id)); }
  SlotId OnOpen(const Arrival& arrival) override;
  void OnClientBytes(SlotId owner) override;
  void OnClientEnd(SlotId owner, StreamEnd end) override;
  void OnClientRoom(SlotId owner) override;
  // HostEvents
  void OnLegUp(SlotId owner, std::string_view said) override;
  void OnLegEnd(SlotId owner, LegEnd end, std::string_view said) override;
  void OnLegBytes(SlotId owner) override;
  void OnLegFinished(SlotId owner, StreamEnd end) override;
  void OnLegRoom(SlotId owner) override;
  // FlowEvents
  void OnLoad(SlotId owner, double load) override;
  void OnDelay(SlotId owner, Micros delay) override;
  // ProbeEvents
  void OnProbe(HostNumber host, bool ok, std::string_view report) override;
  // DiscoveryEvents
  void OnHosts(const HostList& list) override;
  void OnWatchFailed() override;
  // Orders
  void OpenLeg(SlotId authorisation, HostNumber host, Micros wait) override;
  void AbandonLeg(SlotId authorisation, std::uint32_t leg_number) override;
  void Decline(SlotId authorisation, Micros come_back) override;
  void Fail(SlotId authorisation) override;
  void Move(SlotId authorisation) override;
  void Probe(HostNumber host) override;
  void WakeIn(Micros delay) override;
  void Watch() override;

  void Tell(arrowhatch::Event event);
  void TryResume(Authorisation& a);
  // The one final answer to a client that is not served: drops its leg and forgets it.
  template <typename F>
  void Answer(SlotId authorisation, F&& answer);
  void Forget(Authorisation& a);
  void EndUse(Authorisation& a);
  enum class ClientEnd { kMove, kOrderly };
  // Ends a standing connection: both sides are closed and the module is told how.
  void EndStanding(Authorisation& a, LegEnd end, ClientEnd client);
  void PumpToHost(Authorisation& a);
  void PumpToClient(SlotId owner, bool all);
  void WatchSilence(Authorisation& a);
  void Due(SlotId owner);
  void DrainStep();

  Loop& loop_;
  HostBook& book_;
  Counters& counters_;
  ledger::Meter* const meter_;
  const arrowhatch::settings::SiteSettings site_;
  Means means_;
  std::vector<Front*> fronts_;
  std::vector<std::string> zones_;
  Micros slow_message_{0};  // A message over this is told; 0: never.
  arrowhatch::Balancer balancer_;
  Slots<Authorisation> authorisations_;
  std::unordered_set<std::string> open_ids_;
  Slots<Timer> timers_;
  std::vector<Pace> paces_;
  std::deque<arrowhatch::Event> events_;
  std::vector<arrowhatch::Action> actions_;
  bool telling_ = false;
  enum class Phase { kServing, kTaking, kMoving };
  Phase phase_ = Phase::kServing;
  Micros drain_at_{0};
  Deadline drain_;
};

}  // namespace stoatrun

#endif  // STOATRUN_CORE_RELAY_H_
