#include "history/ejection_checker.h"

#include <fmt/format.h>

namespace stoatrun::history {

void EjectionChecker::OnObserved(const std::string& relay, const std::string& server, bool failing) {
  if (failing) failures_us_[server][relay] = state_.now_us;
  auto& observations = relays_[relay].observations[server];
  observations.push_back({state_.now_us, failing});
  while (observations.front().at_us < state_.now_us - 4 * limits_.evidence_us) observations.pop_front();
}

void EjectionChecker::OnFailureClaimed(const std::string& relay, const std::string& server) {
  failures_us_[server][relay] = state_.record_time_us;
}

void EjectionChecker::OnServerRestarted(const std::string& server) {
  for (auto& [name, relay] : relays_) relay.observations.erase(server);
}

void EjectionChecker::OnRunEnded(const std::string& relay) { relays_[relay] = {}; }

void EjectionChecker::OnEjectedReported(const std::string& relay_name, const Record& record) {
  ++state_.findings.ejection_reports;
  std::set<std::string> ejected;
  for (const Record server : simdjson::dom::array(record["s"])) {
    ejected.insert(std::string(std::string_view(server)));
  }
  const std::int64_t listed = IntegerField(record, "of");
  if (static_cast<double>(ejected.size()) > limits_.max_ejected_fraction * static_cast<double>(listed)) {
    state_.AddViolation(Bound::kEjection, fmt::format("{} ejected {} of {} servers on remote evidence",
                                                      relay_name, ejected.size(), listed));
  }
  Relay& relay = relays_[relay_name];
  std::erase_if(relay.ejected_since_us, [&](const auto& entry) { return !ejected.contains(entry.first); });
  for (const std::string& server : ejected) {
    CheckDuration(relay_name, relay, server);
    CheckOwnSuccess(relay_name, relay, server);
    CheckWitnesses(relay_name, server);
  }
}

void EjectionChecker::CheckDuration(const std::string& relay_name, Relay& relay, const std::string& server) {
  std::int64_t& since_us = relay.ejected_since_us.try_emplace(server, state_.now_us).first->second;
  const std::int64_t duration_us = state_.now_us - since_us;
  if (duration_us <= limits_.ejection_us + state_.slack_us) return;
  state_.AddViolation(Bound::kEjection, fmt::format("{} has ejected {} on remote evidence for {} us",
                                                    relay_name, server, duration_us));
  since_us = state_.now_us;
}

// A relay's own latest observation takes precedence over remote evidence.
void EjectionChecker::CheckOwnSuccess(const std::string& relay_name, const Relay& relay,
                                      const std::string& server) {
  const auto observations = relay.observations.find(server);
  if (observations == relay.observations.end() || observations->second.empty()) return;
  const Observation& latest = observations->second.back();
  if (latest.failing || latest.at_us <= state_.now_us - limits_.own_success_us + state_.slack_us) return;
  state_.AddViolation(
      Bound::kEjection,
      fmt::format("{} ejected {} on remote evidence despite its own recent success", relay_name, server));
}

void EjectionChecker::CheckWitnesses(const std::string& relay_name, const std::string& server) {
  std::int64_t witnesses = 0;
  const std::int64_t from_us = state_.now_us - limits_.evidence_us - state_.slack_us;
  for (const auto& [other, failed_at_us] : failures_us_[server]) {
    witnesses += other != relay_name && failed_at_us >= from_us ? 1 : 0;
  }
  if (witnesses >= limits_.witnesses) return;
  state_.AddViolation(Bound::kEjection, fmt::format("{} ejected {} on remote evidence with only {} witnesses",
                                                    relay_name, server, witnesses));
}

}  // namespace stoatrun::history
