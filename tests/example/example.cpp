#include <balancer/balancer.h>

#include <iostream>

int main() {
  using namespace balancer;
  Settings settings;
  settings.seed = 42;
  settings.probes_allowed = true;
  settings.report_mode = ReportMode::kOnProbe;
  settings.classes.push_back({.setup_latency_objective = Micros(300'000),
                              .idempotency = Idempotency::kIdempotent,
                              .message_latency_objective = Micros(100'000)});
  Balancer balancer(settings);

  std::vector<Action> actions;
  Micros now(1'000'000);
  EndpointUpdate list{EndpointUpdate::Kind::kCached, {}};
  list.entries.push_back({.id = EndpointId(1), .size = 4.0});
  list.entries.push_back({.id = EndpointId(2), .size = 4.0});
  balancer.Handle(now, list, actions);

  RequestArrived request;
  request.id = RequestId(7);
  request.deadline = now + Micros(1'800'000);
  balancer.Handle(now, request, actions);  // Probes both endpoints.
  balancer.Handle(now, ProbeCompleted{EndpointId(1), true, LoadReport{.load_ratio = 0.7}}, actions);
  balancer.Handle(now, ProbeCompleted{EndpointId(2), true, LoadReport{.load_ratio = 0.4}}, actions);
  for (const Action& action : actions) {
    if (const auto* send = std::get_if<SendAttempt>(&action)) {
      std::cout << "send to server " << static_cast<std::uint64_t>(send->endpoint) << '\n';
      return send->endpoint == EndpointId(2) ? 0 : 1;
    }
  }
  return 1;
}
