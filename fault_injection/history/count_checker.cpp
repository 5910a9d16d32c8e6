#include "history/count_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <limits>

namespace stoatrun::history {
namespace {

constexpr std::uint64_t kNoUpperBound = std::numeric_limits<std::uint64_t>::max();
// Field names in records, in the order of `Count`.
constexpr std::array<const char*, kCounts> kCountNames{"taken", "served", "refused", "failed", "open"};

constexpr std::size_t IndexOf(Count count) { return static_cast<std::size_t>(count); }

Count CountOfOutcome(const std::string& outcome) {
  if (outcome == "served") return Count::kServed;
  return outcome == "refused" ? Count::kRejected : Count::kFailed;
}

}  // namespace

void CountChecker::Relay::Change(Count count, std::int64_t at_us, std::int64_t change) {
  counts[IndexOf(count)].Add(at_us, change);
  run_counts[IndexOf(count)] += change;
}

void CountChecker::OnRunStarted(const std::string& relay_name) {
  Relay& relay = relays_[relay_name];
  ++relay.runs;
  relay.up = true;
  relay.run_counts = {};
}

void CountChecker::OnRunEnded(const std::string& relay_name) {
  Relay& relay = relays_[relay_name];
  relay.up = false;
  const std::int64_t lost = relay.counts[IndexOf(Count::kOpen)].Last();
  relay.counts[IndexOf(Count::kFailed)].Add(state_.now_us, lost);
  relay.counts[IndexOf(Count::kOpen)].Set(state_.now_us, 0);
  Values& final_counts = relay.counts_at_run_end.emplace_back();
  for (std::size_t count = 0; count < kCounts; ++count) final_counts[count] = relay.counts[count].Last();
}

void CountChecker::OnFirstContact(const std::string& relay, const std::string& sender_name) {
  Relay& sender = relays_[sender_name];
  sender.contacts.push_back({relay, relays_[relay].runs, sender.runs, state_.record_time_us});
}

void CountChecker::OnUncertain(const std::string& relay, std::int64_t connections) {
  relays_[relay].uncertain += connections;
}

void CountChecker::OnConnectionAccepted(const std::string& relay_name) {
  Relay& relay = relays_[relay_name];
  relay.Change(Count::kAccepted, state_.now_us, 1);
  relay.Change(Count::kOpen, state_.now_us, 1);
}

void CountChecker::OnConnectionEnded(const std::string& relay_name, const std::string& outcome) {
  Relay& relay = relays_[relay_name];
  relay.Change(CountOfOutcome(outcome), state_.now_us, 1);
  relay.Change(Count::kOpen, state_.now_us, -1);
  if (relay.counts[IndexOf(Count::kOpen)].Last() < 0) {
    state_.AddViolation(Bound::kFormat, relay_name + ": more connections ended than were accepted");
  }
}

void CountChecker::OnCountsReported(const std::string& relay_name, const Record& record) {
  ++state_.findings.count_reports;
  Values reported{};
  for (std::size_t count = 0; count < kCounts; ++count) {
    reported[count] = IntegerField(record, kCountNames[count]);
  }
  const auto [accepted, served, rejected, failed, open] = reported;
  if (accepted != served + rejected + failed + open) {
    state_.AddViolation(Bound::kCounts,
                        fmt::format("{}: taken {} is not served {} + refused {} + failed {} + open {}",
                                    relay_name, accepted, served, rejected, failed, open));
  }
  if (state_.slack_us != 0) return;
  const Values& expected = relays_[relay_name].run_counts;
  for (std::size_t count = 0; count < kCounts; ++count) {
    if (reported[count] == expected[count]) continue;
    state_.AddViolation(Bound::kCounts, fmt::format("{}: reported {} {}, expected {}", relay_name,
                                                    reported[count], kCountNames[count], expected[count]));
  }
}

void CountChecker::OnTotalsReported(const std::string& relay, const Record& record) {
  ++state_.findings.total_reports;
  if (state_.DuplicatesMayRun()) return;
  Totals totals;
  totals.at_us = state_.now_us;
  totals.oldest_us = IntegerField(record, "oldest_us") + state_.slack_us;
  totals.reporter = relay;
  for (std::size_t count = 0; count < kCounts; ++count) {
    const simdjson::dom::array bounds(record[kCountNames[count]]);
    totals.intervals[count] = {std::uint64_t(bounds.at(0)), std::uint64_t(bounds.at(1))};
  }
  if (state_.slack_us == 0) {
    CheckTotals(totals);
  } else {
    pending_totals_.push_back(totals);
  }
}

void CountChecker::CheckDueTotals() {
  while (!pending_totals_.empty() && pending_totals_.front().at_us + state_.slack_us < state_.now_us) {
    CheckTotals(pending_totals_.front());
    pending_totals_.pop_front();
  }
}

void CountChecker::Finish() {
  for (const Totals& totals : pending_totals_) CheckTotals(totals);
  pending_totals_.clear();
  Findings& findings = state_.findings;
  const std::size_t bounded = findings.total_reports - findings.unbounded_totals;
  if (bounded == 0) return;
  findings.mean_open_width = open_width_sum_ / static_cast<double>(bounded);
  findings.mean_total_age_us = age_sum_us_ / static_cast<std::int64_t>(bounded);
}

CountChecker::Values CountChecker::CountsUnknownTo(const std::string& reporter, const Relay& relay) const {
  if (relay.runs < 2) return {};
  // A receiver of a run's datagram knows that this run, and any later one, may have counted connections.
  std::size_t first_known = relay.runs;
  for (const Contact& contact : relay.contacts) {
    const Relay& receiver = relays_.at(contact.receiver);
    const bool still_running = receiver.up && receiver.runs == contact.receiver_run;
    const bool reporter_knows =
        contact.receiver == reporter || contact.at_us <= state_.now_us - kGossipPropagationUs;
    if (still_running && reporter_knows) first_known = std::min(first_known, contact.run);
  }
  // Runs are numbered from 1; the last unknown run is the one before `first_known`.
  if (first_known < 2 || first_known - 2 >= relay.counts_at_run_end.size()) return {};
  return relay.counts_at_run_end[first_known - 2];
}

// With slack, relays may know of an event before it is recorded; so the range extends into the time after the
// report.
TimeSeries::Range CountChecker::FleetRange(const Totals& totals, std::size_t count) const {
  TimeSeries::Range fleet;
  for (const auto& [name, relay] : relays_) {
    const auto range =
        relay.counts[count].RangeBetween(totals.at_us - totals.oldest_us, totals.at_us + state_.slack_us);
    if (!relay.removed) {
      const std::int64_t unknown = CountsUnknownTo(totals.reporter, relay)[count];
      fleet.min += std::max<std::int64_t>(0, range.min - unknown - relay.uncertain);
    }
    fleet.max += range.max + relay.uncertain;
  }
  return fleet;
}

void CountChecker::CheckTotals(const Totals& totals) {
  bool bounded = true;
  for (std::size_t count = 0; count < kCounts; ++count) {
    const auto& [low, high] = totals.intervals[count];
    const TimeSeries::Range fleet = FleetRange(totals, count);
    bounded = bounded && high != kNoUpperBound;
    if (low > static_cast<std::uint64_t>(fleet.max) || high < static_cast<std::uint64_t>(fleet.min)) {
      state_.AddViolation(
          Bound::kFleetTotals,
          fmt::format("{} reported {} in [{}, {}], oldest part {} us; expected [{}, {}]", totals.reporter,
                      kCountNames[count], low, high, totals.oldest_us, fleet.min, fleet.max));
    }
  }
  if (!bounded) {
    ++state_.findings.unbounded_totals;
    return;
  }
  const auto& open = totals.intervals[IndexOf(Count::kOpen)];
  open_width_sum_ += static_cast<double>(open.high - open.low);
  age_sum_us_ += totals.oldest_us;
}

}  // namespace stoatrun::history
