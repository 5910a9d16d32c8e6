// A fake clock and a list of actions around one Balancer.
#ifndef STOATRUN_TESTS_BALANCER_BALANCER_FIXTURE_H_
#define STOATRUN_TESTS_BALANCER_BALANCER_FIXTURE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "balancer/balancer.h"

namespace balancer {

constexpr Micros Ms(std::int64_t n) { return Micros(n * 1000); }
constexpr RequestId Rq(std::uint64_t n) { return RequestId(n); }
constexpr EndpointId Sv(std::uint64_t n) { return EndpointId(n); }

inline Settings PlainSettings() {
  Settings s;
  s.seed = 7;
  s.report_mode = ReportMode::kOnProbe;
  s.probes_allowed = true;
  s.cancel_allowed = true;
  s.max_attempts = 4;
  ClassSettings c;
  c.setup_latency_objective = Ms(300);
  c.idempotency = Idempotency::kIdempotent;
  c.message_latency_objective = Ms(100);
  s.classes = {c};
  s.slow_start_share = 0.3;
  s.slow_start_duration = Ms(9000);
  s.slow_start_overload_factor = 4;
  s.slow_start_window = Ms(1000);
  return s;
}

inline Endpoint Ready(std::uint64_t id, std::uint32_t zone = 0, std::uint64_t cell = 0) {
  Endpoint e;
  e.id = Sv(id);
  e.zone = ZoneId(zone);
  e.cell = CellId(cell);
  return e;
}

class Harness {
 public:
  explicit Harness(const Settings& settings = PlainSettings()) : balancer_(settings) {}

  std::vector<Action> Give(const Event& event) {
    std::vector<Action> actions;
    balancer_.Handle(now, event, actions);
    Note(actions);
    return actions;
  }
  std::size_t Avoided() const { return balancer_.EjectedCount(now); }
  std::vector<Action> List(std::vector<Endpoint> entries,
                           EndpointUpdate::Kind kind = EndpointUpdate::Kind::kCached) {
    return Give(EndpointUpdate{kind, std::move(entries)});
  }
  std::vector<Action> Request(std::uint64_t id, Micros patience = Ms(2000), std::optional<double> hint = {}) {
    RequestArrived e;
    e.id = Rq(id);
    e.deadline = now + patience;
    e.load_hint = hint;
    return Give(e);
  }
  void Resume(std::uint64_t id, std::uint64_t server, std::optional<double> hint = {}) {
    ConnectionResumed e;
    e.request.id = Rq(id);
    e.request.load_hint = hint;
    e.endpoint = Sv(server);
    Give(e);
  }
  std::vector<Action> End(std::uint64_t id, std::uint64_t server, Outcome outcome, bool finished = false) {
    return Give(AttemptEnded{Rq(id), Sv(server), outcome, finished, {}});
  }
  std::vector<Action> Report(std::uint64_t server, double load, std::optional<double> count = {}) {
    LoadReport r;
    r.load_ratio = load;
    r.outstanding = count;
    return Give(ProbeCompleted{Sv(server), true, r});
  }
  // Lets time pass; timers fire when they are due. Gives all actions of that time.
  std::vector<Action> Pass(Micros span) {
    std::vector<Action> all;
    const Micros end = now + span;
    for (;;) {
      Micros next = end + Ms(1);
      std::size_t which = 0;
      for (std::size_t k = 0; k < timers_.size(); ++k) {
        if (timers_[k] < next) next = timers_[which = k];
      }
      if (next > end) break;
      timers_.erase(timers_.begin() + static_cast<std::ptrdiff_t>(which));
      now = std::max(now, next);
      const std::vector<Action> some = Give(TimerFired{});
      all.insert(all.end(), some.begin(), some.end());
    }
    now = end;
    return all;
  }

  std::vector<Action> RequestThenPass(std::uint64_t id, Micros span) {
    std::vector<Action> a = Request(id);
    const std::vector<Action> b = Pass(span);
    a.insert(a.end(), b.begin(), b.end());
    return a;
  }
  std::vector<Action> EndThenPass(std::uint64_t id, std::uint64_t server, Outcome outcome, Micros span) {
    std::vector<Action> a = End(id, server, outcome);
    const std::vector<Action> b = Pass(span);
    a.insert(a.end(), b.begin(), b.end());
    return a;
  }

  Micros now{1'000'000};

 private:
  void Note(const std::vector<Action>& actions) {
    for (const Action& a : actions) {
      if (const auto* t = std::get_if<StartTimer>(&a)) timers_.push_back(now + t->delay);
    }
  }

  Balancer balancer_;
  std::vector<Micros> timers_;
};

template <typename A>
std::vector<A> Of(const std::vector<Action>& actions) {
  std::vector<A> found;
  for (const Action& a : actions) {
    if (const auto* x = std::get_if<A>(&a)) found.push_back(*x);
  }
  return found;
}

}  // namespace balancer

#endif  // STOATRUN_TESTS_BALANCER_BALANCER_FIXTURE_H_
