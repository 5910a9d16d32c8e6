// The relay: owns the Balancer, turns what happens on sockets into its events and carries its actions out, in
// order. It never picks a host, retries or sheds by itself.
#ifndef STOATRUN_PROXY_PROXY_H_
#define STOATRUN_PROXY_PROXY_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "balancer/balancer.h"
#include "base/counters.h"
#include "base/event_loop.h"
#include "base/fleet_client.h"
#include "base/slot_map.h"
#include "base/usage_meter.h"
#include "config/config.h"
#include "endpoint/discovery_client.h"
#include "proxy/balancer_mapping.h"
#include "proxy/downstream.h"
#include "proxy/drain_schedule.h"
#include "proxy/upstream.h"

namespace stoatrun {

class Proxy : private DownstreamEvents,
              private UpstreamEvents,
              private DiscoveryListener,
              private ActionHandler {
 public:
  // `meter`: told of standing connections; outlives the relay; null: nobody is. `peers`: the rest of the
  // fleet, likewise.
  Proxy(EventLoop& loop, const Config& config, UsageMeter* meter = nullptr, FleetClient* peers = nullptr);

  void Start();  // Throws std::system_error if the address can't be had.
  // A planned end: still takes and answers for a while, then moves all standing clients and stops the loop.
  void Drain();
  // Takes up a replaced configuration: moves the watch. What else changed is logged and waits for a restart.
  void Reload(const Config& config);
  void ReloadFailed(std::string_view why);  // What is in force stays so.
  // The operators' drain: the front is told no, and the standing connections are moved within a few seconds,
  // while whoever still comes is served. Both calls are harmless when repeated.
  void DrainByCall();
  void Activate();
  // Can this process serve, and may the front send clients here?
  bool Ready() const;
  int Port() const { return downstream_.Port(); }
  const Counters& Counts() const { return counters_; }
  const std::vector<std::string>& ClassNames() const { return site_.class_names; }
  std::size_t Outstanding() const { return requests_.Size(); }  // Taken and not ended.
  std::size_t Discovered() const { return upstream_.Listed(); }
  std::size_t Ejected() const { return balancer_.EjectedCount(loop_.Now()); }

 private:
  struct Request {
    Request(SlotId slot, Proxy& all)
        : id(slot), deadline(all.loop_.timers, [&all, slot] { all.Due(slot); }) {}
    enum class State { kPending, kStanding, kLeaving };  // Leaving: its client has ended its sending.
    SlotId id, client, attempt;
    Timer deadline;
    State state = State::kPending;
    EndpointIndex host = 0;
    ConnectRequest opening;
    std::string_view before_wait, after_wait;  // Of the client's line, there until the attempt is up.
    std::string open_id;                       // As its client named it.
    std::string resume_at;                     // The host that holds the connection already.
    Micros resume_until{0};
    std::uint32_t attempts = 0;
    Micros asked_at{0};     // When the oldest client line without an answer went on; 0: none.
    Micros answered_at{0};  // When the host's last answer went to the client, or the attempt came up.
    AttemptEnd last_word = AttemptEnd::kBroken;
    std::string_view group;  // Of the client's line, as `before_wait`.
    UsageHandle use;
    FleetClient::ConnectionHandle account;
    FleetClient::ConnectionOutcome end =
        FleetClient::ConnectionOutcome::kFailed;  // As it would be booked now.
  };
  struct Pace {  // What a host's messages took.
    Micros told_at{0};
    bool slow = false;
  };
  struct BalancerTimer {
    BalancerTimer(SlotId slot, Proxy& all)
        : deadline(all.loop_.timers, [&all, slot] {
            all.balancer_timers_.Erase(slot);
            all.HandleEvent(balancer::TimerFired{});
          }) {}
    Timer deadline;
  };

  // DownstreamEvents
  std::string_view Validate(const OpenHead& head) override;
  SlotId OnOpen(SlotId client, const OpenHead& head) override;
  void OnClientBytes(SlotId owner) override;
  void OnClientEnd(SlotId owner, ConnectionEnd end) override;
  void OnClientWritable(SlotId owner) override;
  void OnNoRoom(const OpenHead& head) override;
  // UpstreamEvents
  void OnAttemptUp(SlotId owner, std::string_view line) override;
  void OnAttemptConnected(SlotId owner) override;
  void OnAttemptSent(SlotId owner) override;
  void OnAttemptEnd(SlotId owner, AttemptEnd end, std::string_view line) override;
  void OnAttemptBytes(SlotId owner) override;
  void OnAttemptFinished(SlotId owner, ConnectionEnd end) override;
  void OnAttemptWritable(SlotId owner) override;
  void OnProbe(EndpointIndex host, bool ok, std::string_view report) override;
  // DiscoveryListener
  void OnEndpointUpdate(const EndpointUpdate& list) override;
  void OnWatchFailed() override;
  // ActionHandler
  void OpenAttempt(SlotId request, EndpointIndex host, Micros wait) override;
  void AbandonAttempt(SlotId request, std::uint32_t attempt_number) override;
  void Reject(SlotId request, Micros retry_after) override;
  void Fail(SlotId request) override;
  void Move(SlotId request) override;
  void Probe(EndpointIndex host) override;
  void WakeIn(Micros delay) override;
  void Watch() override;

  void HandleEvent(balancer::Event event);
  void TakeList(const EndpointUpdate& list, ListSource source);
  void NoteList(const EndpointUpdate& list);
  void TryResume(Request& a);
  void Answer(SlotId request, std::string_view line);
  void Take(Request& a);
  // Whether the fleet's budgets allow this attempt; if not, the module has been told.
  bool FleetAllows(Request& a, EndpointIndex host);
  void AskPeers();
  void NoteOutcome(EndpointIndex host, AttemptEnd end);
  void Forget(Request& a);
  void EndUse(Request& a);
  // Ends a standing connection: both sides are closed and the module is told how.
  void EndStanding(Request& a, AttemptEnd end, std::string_view last_line);
  void PumpToHost(Request& a);
  void PumpToClient(SlotId owner, bool all);
  void NoteLine(Request& a, std::string_view line);
  void NoteDelay(EndpointIndex host, Micros delay);
  void Due(SlotId owner);
  void DrainStep();
  void MoveStep(std::size_t standing, Micros left);  // Moves some, so that all are in the time that is left.
  void PlanStep();
  // Moves `n` of the standing connections, the quietest first.
  void MoveQuietest(std::size_t n);
  std::size_t ClassIndex(std::string_view name) const;

  EventLoop& loop_;
  UsageMeter* const meter_;
  FleetClient* const peers_;
  const Config start_;  // As the relay was started.
  const SiteSettings& site_;
  std::vector<std::string> zones_;
  Micros slow_message_{0};  // A message over this is told; 0: never.
  Counters counters_;
  balancer::Balancer balancer_;
  Downstream downstream_;
  Upstream upstream_;
  const bool pushed_;  // Lists come unasked.
  DiscoveryClient discovery_;
  SlotMap<Request> requests_;
  std::unordered_set<std::string> open_ids_;
  SlotMap<BalancerTimer> balancer_timers_;
  std::vector<Pace> paces_;
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool telling_ = false;
  enum class Phase { kServing, kTaking, kMoving };
  Phase phase_ = Phase::kServing;
  Micros drain_at_{0};
  double move_carry_ = 0;  // Of moves owed, for an even pace.
  Timer drain_;
  bool started_ = false;
  std::map<std::string, std::int64_t> listed_;  // Hosts that may be used, for the fleet; and their starts.
  std::map<EndpointIndex, Micros> started_at_;  // Hosts that may be cold: when their processes started.
  Timer ask_peers_;
  drain::Plan plan_;  // The operators' drain, which is not the end of the process.
  Timer plan_step_;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_PROXY_H_
