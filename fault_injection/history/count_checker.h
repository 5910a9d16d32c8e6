// Checks the connection counts that relays report: those of their own current run, and the fleet's totals.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_COUNT_CHECKER_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_COUNT_CHECKER_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

#include "history/check_state.h"
#include "history/time_series.h"

namespace stoatrun::history {

// Connection counts. A connection is accepted once, stays open, and ends as served, rejected or failed.
enum class Count : std::size_t { kAccepted, kServed, kRejected, kFailed, kOpen };
inline constexpr std::size_t kCounts = 5;

// Tracks each relay's connections and compares reports with them. A run's own counts must add up, and must be
// exact if the history has no slack. Fleet totals are intervals; each must overlap the range of the fleet's
// true values between the time of the report's oldest part and now.
class CountChecker {
 public:
  // `state` must outlive the checker.
  explicit CountChecker(CheckState& state) : state_(state) {}

  // To be called for each relay of the fleet, before any event.
  void AddRelay(const std::string& relay) { relays_[relay]; }
  // Resets the counts of the relay's current run.
  void OnRunStarted(const std::string& relay);
  // Counts connections that are still open as failed.
  void OnRunEnded(const std::string& relay);
  // A datagram of a run of `sender` reached a run of `relay` for the first time.
  void OnFirstContact(const std::string& relay, const std::string& sender);
  // From now on reported totals may leave the relay out.
  void OnRemovedFromPeers(const std::string& relay) { relays_[relay].removed = true; }
  // For this number of connections it is unknown what the relay has observed; the bounds are widened by it.
  void OnUncertain(const std::string& relay, std::int64_t connections);
  // The relay accepted a connection.
  void OnConnectionAccepted(const std::string& relay);
  // `outcome`: served, refused or failed.
  void OnConnectionEnded(const std::string& relay, const std::string& outcome);

  // The record `accounts`. Throws simdjson::simdjson_error if a field is missing.
  void OnCountsReported(const std::string& relay, const Record& record);
  // The record `sum`. Throws simdjson::simdjson_error if a field is missing.
  void OnTotalsReported(const std::string& relay, const Record& record);

  // Checks the pending totals whose slack has passed: every event that they may include is now recorded.
  void CheckDueTotals();
  // Checks the remaining totals, and writes the mean width and age into the findings.
  void Finish();

 private:
  using Values = std::array<std::int64_t, kCounts>;

  // The first datagram from one run of this relay to one run of another.
  struct Contact {
    std::string receiver;
    std::size_t receiver_run = 0;
    std::size_t run = 0;
    std::int64_t at_us = 0;
  };
  struct Relay {
    bool up = false;
    bool removed = false;  // From its peers' settings: their totals may leave it out.
    std::size_t runs = 0;  // Started so far.
    std::int64_t uncertain = 0;
    std::array<TimeSeries, kCounts> counts;  // Of all runs.
    Values run_counts{};                     // Of the current run.
    std::vector<Values> counts_at_run_end;   // Cumulative over all runs, at the end of each.
    std::vector<Contact> contacts;

    void Change(Count count, std::int64_t at_us, std::int64_t change);
  };
  struct Totals {
    struct Interval {
      std::uint64_t low = 0, high = 0;
    };
    std::int64_t at_us = 0, oldest_us = 0;
    std::string reporter;
    std::array<Interval, kCounts> intervals;
  };

  void CheckTotals(const Totals& totals);
  TimeSeries::Range FleetRange(const Totals& totals, std::size_t count) const;
  // The counts of the earliest runs of `relay` that `reporter` can't know: those runs ended before any relay
  // that is still running received a datagram from them.
  Values CountsUnknownTo(const std::string& reporter, const Relay& relay) const;

  CheckState& state_;
  std::map<std::string, Relay> relays_;
  std::deque<Totals> pending_totals_;
  double open_width_sum_ = 0;
  std::int64_t age_sum_us_ = 0;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_COUNT_CHECKER_H_
