#include "simulation/status_recorder.h"

#include <chrono>
#include <vector>

namespace stoatrun::simulation {
namespace {

using std::chrono::milliseconds;

constexpr Micros kEjectedPeriod = milliseconds(200);
constexpr Micros kTotalsPeriod = milliseconds(700);

double Seconds(Micros duration) { return static_cast<double>(duration.count()) / 1e6; }

ReportedTotals::Interval ToInterval(const fleet::Interval& interval) { return {interval.low, interval.high}; }

}  // namespace

void StatusRecorder::Start(SimulatedRelay& relay) {
  state_.Repeat(relay, kEjectedPeriod, [this, &relay] { RecordEjected(relay); });
  state_.Repeat(relay, kTotalsPeriod, [this, &relay] { RecordTotals(relay); });
}

void StatusRecorder::RecordCounts(SimulatedRelay& relay) {
  if (!relay.node->IsBalanced()) ++state_.metrics.unbalanced_counts;
  for (const auto& member : relay.node->Members().Members()) {
    state_.metrics.false_duplicates += member.duplicate ? 1 : 0;
  }
  const fleet::ConnectionCounts counts = relay.node->LocalConnections().Sum();
  state_.history.CountsReported(
      relay.name, {counts.accepted, counts.served, counts.rejected, counts.failed, counts.open});
}

void StatusRecorder::RecordTotals(SimulatedRelay& relay) {
  const auto total = relay.node->Sum(state_.LocalTime(relay));
  state_.history.TotalsReported(
      relay.name, {total.oldest.count(), ToInterval(total.accepted), ToInterval(total.served),
                   ToInterval(total.rejected), ToInterval(total.failed), ToInterval(total.open)});
}

void StatusRecorder::RecordEjected(SimulatedRelay& relay) {
  const std::set<std::string> ejected = relay.node->Outliers().EndpointsToEject(state_.LocalTime(relay));
  MeasureEjectionDelay(relay, ejected);
  MeasureWrongEjections(relay, ejected);
  for (const std::string& server : ejected) ScheduleCheck(relay, server);
  state_.history.EjectedReported(relay.name, state_.servers.size(), {ejected.begin(), ejected.end()});
}

void StatusRecorder::MeasureEjectionDelay(SimulatedRelay& relay, const std::set<std::string>& ejected) {
  if (state_.first_failure_at.count() == 0 || relay.first_failing_ejected_at.count() > 0) return;
  const auto own = relay.node->Outliers().OwnVerdict(state_.LocalTime(relay), state_.first_failing_server);
  const bool on_own_evidence = own && *own != fleet::HealthVerdict::kHealthy;
  if (on_own_evidence || ejected.contains(state_.first_failing_server)) {
    relay.first_failing_ejected_at = state_.Now();
  }
}

void StatusRecorder::MeasureWrongEjections(SimulatedRelay& relay, const std::set<std::string>& ejected) {
  for (const std::string& server : ejected) {
    if (!state_.servers[IndexFromName(server)].failing) {
      relay.wrongly_ejected_since.try_emplace(server, state_.Now());
    }
  }
  std::erase_if(relay.wrongly_ejected_since, [&](const auto& entry) {
    const auto& [server, since] = entry;
    if (ejected.contains(server)) return false;
    state_.metrics.wrong_ejections_s.push_back(Seconds(state_.Now() - since));
    return true;
  });
}

void StatusRecorder::ScheduleCheck(SimulatedRelay& relay, const std::string& server) {
  if (!relay.pending_checks.insert(server).second) return;
  state_.After(relay, state_.RandomMilliseconds(50, 1500), [this, &relay, server] {
    relay.pending_checks.erase(server);
    workload_.ObserveServer(relay, state_.servers[IndexFromName(server)]);
  });
}

}  // namespace stoatrun::simulation
