#include "proxy/balancer_driver.h"

#include <utility>
#include <variant>

#include "proxy/balancer_mapping.h"

namespace stoatrun {

struct BalancerDriver::ActionVisitor {
  BalancerDriver& driver;

  void operator()(const balancer::SendAttempt& action) const {
    driver.handler_.OpenAttempt(ToSessionId(action.id), ToEndpointIndex(action.endpoint),
                                {action.timeout, action.send_before});
  }
  void operator()(const balancer::CancelAttempt& action) const {
    driver.handler_.CancelAttempt(ToSessionId(action.id), action.attempt);
  }
  void operator()(const balancer::RejectRequest& action) const {
    driver.handler_.Reject(ToSessionId(action.id), action.retry_after);
  }
  void operator()(const balancer::FailRequest& action) const { driver.handler_.Fail(ToSessionId(action.id)); }
  void operator()(const balancer::MigrateConnection& action) const {
    driver.handler_.Migrate(ToSessionId(action.id));
  }
  void operator()(const balancer::ProbeEndpoint& action) const {
    driver.handler_.Probe(ToEndpointIndex(action.endpoint));
  }
  void operator()(const balancer::StartTimer& action) const { driver.StartTimer(action.delay); }
  void operator()(const balancer::WatchEndpoints& /*action*/) const { driver.handler_.WatchEndpoints(); }
};

BalancerDriver::BalancerDriver(EventLoop& loop, const balancer::Settings& settings, ActionHandler& handler)
    : loop_(loop), handler_(handler), balancer_(settings) {
  loop_.AddTurnEndHook([this] { timers_.Reclaim(); });
}

void BalancerDriver::HandleEvent(balancer::Event event) {
  events_.push_back(std::move(event));
  if (is_handling_) return;
  is_handling_ = true;
  while (!events_.empty()) {
    const balancer::Event next = std::move(events_.front());
    events_.pop_front();
    actions_.clear();
    balancer_.Handle(loop_.Now(), next, actions_);
    for (const balancer::Action& action : actions_) std::visit(ActionVisitor{*this}, action);
  }
  is_handling_ = false;
}

void BalancerDriver::StartTimer(Micros delay) { timers_.Add(*this).timer.Set(loop_.Now() + delay); }

}  // namespace stoatrun
