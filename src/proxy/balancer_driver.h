// Drives the balancer: passes it events, executes its actions in order and runs its timers.
#ifndef STOATRUN_PROXY_BALANCER_DRIVER_H_
#define STOATRUN_PROXY_BALANCER_DRIVER_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "balancer/balancer.h"
#include "base/event_loop.h"
#include "base/slot_map.h"
#include "proxy/endpoint_table.h"

namespace stoatrun {

// Executes the balancer's actions. Each may call BalancerDriver::HandleEvent. An action for a session that
// has ended, or is past the state that the action is for, has no effect.
class ActionHandler {
 public:
  virtual ~ActionHandler() = default;
  // Sends the session's request to `endpoint`, which has `timeout` to accept it.
  virtual void OpenAttempt(SlotId session, EndpointIndex endpoint, Micros timeout) = 0;
  // Cancels the session's attempt if it is the one with this number, counted from 0.
  virtual void CancelAttempt(SlotId session, std::uint32_t attempt_number) = 0;
  // Rejects the request; the client is to retry after `retry_after` if that is positive.
  virtual void Reject(SlotId session, Micros retry_after) = 0;
  // Answers the request with an error.
  virtual void Fail(SlotId session) = 0;
  // Tells the client of an established session to reconnect, and ends the session.
  virtual void Migrate(SlotId session) = 0;
  // Asks `endpoint` for its load report.
  virtual void Probe(EndpointIndex endpoint) = 0;
  // Watches the endpoint list at discovery.
  virtual void WatchEndpoints() = 0;
};

// Owns the balancer. Used by the event loop's thread only.
//
// HandleEvent may be called from within an action: the event is queued until all actions of the present event
// are executed. So events are handled in the order in which they happened, and no action overtakes another.
// An outermost call returns when the queue is empty. Any session may have been erased by then.
class BalancerDriver {
 public:
  // `loop` and `handler` must outlive the object.
  BalancerDriver(EventLoop& loop, const balancer::Settings& settings, ActionHandler& handler);

  // Passes `event` to the balancer and executes the actions that follow.
  void HandleEvent(balancer::Event event);
  // The number of endpoints that the balancer has ejected now.
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
  bool handling_ = false;
};

}  // namespace stoatrun

#endif  // STOATRUN_PROXY_BALANCER_DRIVER_H_
