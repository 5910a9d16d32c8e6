// A Balancer driven by a fake clock that fires its timers when they are due, and the settings, endpoints and
// steps that several test files share.
#ifndef STOATRUN_TESTS_BALANCER_BALANCER_FIXTURE_H_
#define STOATRUN_TESTS_BALANCER_BALANCER_FIXTURE_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <utility>
#include <variant>
#include <vector>

#include "balancer/balancer.h"

namespace balancer {

constexpr Micros Milliseconds(std::int64_t count) { return Micros(count * 1000); }

// A single replica whose endpoints report load with probe responses.
inline Settings DefaultSettings() {
  Settings settings;
  settings.seed = 7;
  settings.report_mode = ReportMode::kOnProbe;
  settings.probes_allowed = true;
  settings.cancel_allowed = true;
  settings.max_attempts = 4;
  ClassSettings rules;
  rules.setup_latency_objective = Milliseconds(300);
  rules.idempotency = Idempotency::kIdempotent;
  rules.message_latency_objective = Milliseconds(100);
  settings.classes = {rules};
  settings.slow_start_share = 0.3;
  settings.slow_start_duration = Milliseconds(9000);
  settings.slow_start_overload_factor = 4;
  settings.slow_start_window = Milliseconds(1000);
  return settings;
}

inline Endpoint ReadyEndpoint(std::uint64_t id, std::uint32_t zone = 0, std::uint64_t cell = 0) {
  Endpoint endpoint;
  endpoint.id = EndpointId(id);
  endpoint.zone = ZoneId(zone);
  endpoint.cell = CellId(cell);
  return endpoint;
}

inline Endpoint NamedEndpoint(std::uint64_t id, std::uint64_t name, double size = 1.0) {
  Endpoint endpoint = ReadyEndpoint(id);
  endpoint.name_hash = name;
  endpoint.size = size;
  return endpoint;
}

// The actions of one type, in order.
template <typename ActionType>
std::vector<ActionType> ActionsOfType(const std::vector<Action>& actions) {
  std::vector<ActionType> found;
  for (const Action& action : actions) {
    if (const auto* typed = std::get_if<ActionType>(&action)) found.push_back(*typed);
  }
  return found;
}

class BalancerFixture {
 public:
  explicit BalancerFixture(const Settings& settings = DefaultSettings()) : balancer_(settings) {}

  std::vector<Action> Handle(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now, event, actions);
    for (const StartTimer& timer : ActionsOfType<StartTimer>(actions)) timers_.push_back(now + timer.delay);
    return actions;
  }
  std::size_t EjectedCount() const { return balancer_.EjectedCount(now); }
  std::vector<Action> UpdateEndpoints(std::vector<Endpoint> entries,
                                      EndpointUpdate::Kind kind = EndpointUpdate::Kind::kCached) {
    return Handle(EndpointUpdate{kind, std::move(entries)});
  }
  std::vector<Action> SendRequest(std::uint64_t id, Micros time_to_deadline = Milliseconds(2000),
                                  std::optional<double> hint = {}) {
    RequestArrived request;
    request.id = RequestId(id);
    request.deadline = now + time_to_deadline;
    request.load_hint = hint;
    return Handle(request);
  }
  void ResumeConnection(std::uint64_t id, std::uint64_t endpoint, std::optional<double> hint = {}) {
    ConnectionResumed resumed;
    resumed.request.id = RequestId(id);
    resumed.request.load_hint = hint;
    resumed.endpoint = EndpointId(endpoint);
    Handle(resumed);
  }
  std::vector<Action> EndAttempt(std::uint64_t id, std::uint64_t endpoint, Outcome outcome,
                                 bool finished = false) {
    return Handle(AttemptEnded{RequestId(id), EndpointId(endpoint), outcome, finished, {}});
  }
  // Completes a probe of the endpoint with this load ratio and connection count.
  std::vector<Action> ReportLoad(std::uint64_t endpoint, double load, std::optional<double> count = {}) {
    LoadReport report;
    report.load_ratio = load;
    report.outstanding = count;
    return Handle(ProbeCompleted{EndpointId(endpoint), true, report});
  }
  // Advances the clock and fires the timers that become due. Returns all resulting actions.
  std::vector<Action> AdvanceTime(Micros span) {
    std::vector<Action> all;
    const Micros end = now + span;
    while (!timers_.empty()) {
      const auto next = std::min_element(timers_.begin(), timers_.end());
      if (*next > end) break;
      now = std::max(now, *next);
      timers_.erase(next);
      const std::vector<Action> actions = Handle(TimerFired{});
      all.insert(all.end(), actions.begin(), actions.end());
    }
    now = end;
    return all;
  }
  std::vector<Action> RequestAndAdvance(std::uint64_t id, Micros span) {
    std::vector<Action> actions = SendRequest(id);
    const std::vector<Action> later = AdvanceTime(span);
    actions.insert(actions.end(), later.begin(), later.end());
    return actions;
  }
  std::vector<Action> EndAndAdvance(std::uint64_t id, std::uint64_t endpoint, Outcome outcome, Micros span) {
    std::vector<Action> actions = EndAttempt(id, endpoint, outcome);
    const std::vector<Action> later = AdvanceTime(span);
    actions.insert(actions.end(), later.begin(), later.end());
    return actions;
  }

  Micros now{1'000'000};

 private:
  Balancer balancer_;
  std::vector<Micros> timers_;
};

// One request class and no probes.
inline Settings NoProbeSettings(Idempotency idempotency,
                                DeduplicationScope scope = DeduplicationScope::kAll) {
  Settings settings = DefaultSettings();
  settings.probes_allowed = false;
  settings.classes[0].idempotency = idempotency;
  settings.classes[0].deduplication_scope = scope;
  settings.classes[0].deduplication_window = Milliseconds(800);
  return settings;
}

// Sends a request of an affinity group and completes its probes with the loads of `loads`, beginning with
// that of endpoint 1. Returns the endpoint at which it was established; 0: none.
inline EndpointId PlaceRequest(BalancerFixture& fixture, std::uint64_t id, std::uint64_t group,
                               const std::vector<double>& loads) {
  RequestArrived request;
  request.id = RequestId(id);
  request.affinity_group = group;
  request.deadline = fixture.now + Milliseconds(2000);
  std::vector<Action> actions = fixture.Handle(request);
  for (std::size_t k = 0; k < actions.size(); ++k) {
    const auto* probe = std::get_if<ProbeEndpoint>(&actions[k]);
    if (probe == nullptr) continue;
    const auto endpoint = static_cast<std::uint64_t>(probe->endpoint);
    const std::vector<Action> more = fixture.ReportLoad(endpoint, loads[endpoint - 1]);
    actions.insert(actions.end(), more.begin(), more.end());
  }
  const std::vector<Action> later = fixture.AdvanceTime(Milliseconds(40));
  actions.insert(actions.end(), later.begin(), later.end());
  const auto sent = ActionsOfType<SendAttempt>(actions);
  if (sent.empty()) return EndpointId(0);
  fixture.Handle(AttemptEstablished{RequestId(id), sent[0].endpoint});
  return sent[0].endpoint;
}

// One of 300 replicas whose endpoints report no load and can't be probed.
inline Settings NoLoadDataSettings(std::uint64_t seed) {
  Settings settings = DefaultSettings();
  settings.seed = seed;
  settings.replicas = 300;
  settings.report_mode = ReportMode::kOff;
  settings.probes_allowed = false;
  return settings;
}

}  // namespace balancer

#endif  // STOATRUN_TESTS_BALANCER_BALANCER_FIXTURE_H_
