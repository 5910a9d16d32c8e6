// Drives the balancer: passes it events, executes its actions in order and runs its timers.
#ifndef STOATRUN_PROXY_BALANCER_DRIVER_H_
#define STOATRUN_PROXY_BALANCER_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "balancer/balancer.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "proxy/endpoint_table.h"

namespace stoatrun {

// The limits of an attempt.
struct AttemptLimits {
  Micros timeout{0};                  // Within which the endpoint must accept the request.
  std::optional<Micros> send_before;  // At this time or later the request must not be written.
};

// Executes the balancer's actions. Each method may call BalancerDriver::HandleEvent. An action has no effect
// on a session that has ended or that is no longer in the state to which the action applies.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  // Sends the session's request to `endpoint`.
  virtual void OpenAttempt(SlotId session, EndpointIndex endpoint, const AttemptLimits& limits) = 0;
  // Cancels the session's current attempt if its number, counted from 0, is `attempt_number`.
  virtual void CancelAttempt(SlotId session, std::uint32_t attempt_number) = 0;
  // Rejects the request. A positive `retry_after` tells the client when to retry.
  virtual void Reject(SlotId session, Micros retry_after) = 0;
  // Answers the request with an error.
  virtual void Fail(SlotId session) = 0;
  // Tells the client of an established session to reconnect and ends the session.
  virtual void Migrate(SlotId session) = 0;
  // Requests the load report of `endpoint`.
  virtual void Probe(EndpointIndex endpoint) = 0;
  // Starts the watch on discovery's endpoint list.
  virtual void WatchEndpoints() = 0;
};

// Owns the balancer. Used by the event loop's thread only.
//
// HandleEvent may be called from within an action: the event is queued until all actions of the current event
// have been executed. This preserves the order of events and of actions. The outermost call returns when the
// queue is empty; any session may have been erased by then.
class BalancerDriver {
 public:
  // `loop` and `handler` must outlive the object.
  BalancerDriver(EventLoop& loop, const balancer::Settings& settings, ActionHandler& handler);

  // Passes `event` to the balancer and executes the resulting actions.
  void HandleEvent(balancer::Event event);
  // The number of endpoints that are currently ejected.
  std::size_t EjectedCount() const { return balancer_.EjectedCount(loop_.Now()); }

 private:
  struct BalancerTimer {
    BalancerTimer(SlotId slot, BalancerDriver& driver)
        : timer(driver.loop_.timers, [&driver, slot] {
            driver.timers_.Erase(slot);
            driver.HandleEvent(balancer::TimerFired{});
          }) {}
    Timer timer;
  };
  struct ActionVisitor;

  void StartTimer(Micros delay);

  EventLoop& loop_;
  ActionHandler& handler_;
  balancer::Balancer balancer_;
  SlotMap<BalancerTimer> timers_;
  std::deque<balancer::Event> events_;
  std::vector<balancer::Action> actions_;
  bool is_handling_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_BALANCER_DRIVER_H_
