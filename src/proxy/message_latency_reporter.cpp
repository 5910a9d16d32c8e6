#include "proxy/message_latency_reporter.h"

#include <chrono>

#include "base/log.h"
#include "proxy/balancer_mapping.h"

namespace stoatrun {
namespace {

// Between two reports on an endpoint whose messages are slow.
constexpr Micros kReportInterval = std::chrono::seconds(1);

// Returns the shortest message latency objective of all classes; 0: no class has an objective.
Micros ShortestObjective(const balancer::Settings& settings) {
  Micros shortest{0};
  for (const auto& request_class : settings.classes) {
    const Micros objective = request_class.message_latency_objective;
    if (objective.count() > 0 && (shortest.count() == 0 || objective < shortest)) shortest = objective;
  }
  return shortest;
}

}  // namespace

MessageLatencyReporter::MessageLatencyReporter(EventLoop& loop, const balancer::Settings& settings,
                                               const EndpointTable& endpoints, BalancerDriver& balancer)
    : loop_(loop),
      endpoints_(endpoints),
      balancer_(balancer),
      slow_threshold_(ShortestObjective(settings) / 3) {}

void MessageLatencyReporter::OnAnswer(EndpointIndex endpoint, Micros latency) {
  if (slow_threshold_.count() == 0) return;
  if (last_reports_.size() > 2 * endpoints_.Size()) {
    std::erase_if(last_reports_, [this](const auto& report) { return !endpoints_.Contains(report.first); });
  }
  LastReport& last = last_reports_[endpoint];
  const bool slow = latency > slow_threshold_;
  if (slow ? loop_.Now() < last.reported_at + kReportInterval : !last.slow) return;
  last.slow = slow;
  last.reported_at = loop_.Now();
  LogLine(Level::kDebug, "message latency")
      .Field("endpoint", endpoints_.IdOf(endpoint))
      .Field("take_us", latency.count());
  balancer_.HandleEvent(ToMessageLatencyReported(endpoint, latency));
}

}  // namespace stoatrun
