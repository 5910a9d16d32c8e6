// Checks what relays report of connections: the counts of their own present run, and the fleet's totals.
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

// Connections counted by their state. A connection is taken once, is open, and ends in one of three ways.
enum class Count : std::size_t { kTaken, kServed, kRejected, kFailed, kOpen };
inline constexpr std::size_t kCounts = 5;

// Follows each relay's connections and compares reports with them. A run's own report must balance, and
// without slack be exact. Fleet totals are intervals; each must meet the range of what the fleet had between
// the time of its oldest part and now.
class CountChecker {
 public:
  // `state` must outlive the checker.
  explicit CountChecker(CheckState& state) : state_(state) {}

  // Each relay of the fleet, before any event.
  void AddRelay(const std::string& relay) { relays_[relay]; }
  // Its counts begin at 0 once more.
  void OnRunStarted(const std::string& relay);
  // Connections that were open are lost, and count as failed.
  void OnRunEnded(const std::string& relay);
  // A datagram of a run of `sender` reached a run of `relay` for the first time.
  void OnFirstContact(const std::string& relay, const std::string& sender);
  // From now on totals may be without it.
  void OnRemovedFromPeers(const std::string& relay) { relays_[relay].removed = true; }
  // Of so many connections it is not known what the relay saw of them.
  void OnUncertain(const std::string& relay, std::int64_t connections);
  // A connection came in.
  void OnConnectionTaken(const std::string& relay);
  // `outcome`: served, refused or failed.
  void OnConnectionEnded(const std::string& relay, const std::string& outcome);

  // The record `accounts`. Throws simdjson::simdjson_error if a field is missing.
  void OnCountsReported(const std::string& relay, const Record& record);
  // The record `sum`. Throws simdjson::simdjson_error if a field is missing.
  void OnTotalsReported(const std::string& relay, const Record& record);

  // Checks the totals for which all that they may hold has been recorded by now.
  void CheckDueTotals();
  // Checks the rest of the totals, and writes the mean measures into the findings.
  void Finish();

 private:
  using Values = std::array<std::int64_t, kCounts>;

  // A datagram of a run of this relay reached a run of another.
  struct Contact {
    std::string listener;
    std::size_t listener_run = 0;
    std::size_t run = 0;
    std::int64_t at_us = 0;
  };
  struct Relay {
    bool up = false;
    bool removed = false;  // From its peers' settings: their totals may be without it.
    std::size_t runs = 0;  // Begun so far.
    std::int64_t uncertain = 0;
    std::array<TimeSeries, kCounts> counts;  // Of all runs.
    Values run_counts{};                     // Of the present run.
    std::vector<Values> counts_at_run_end;   // Of all runs, at the end of each.
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
  // What the first runs of `relay` counted that ended before anybody heard of them who could still report it
  // to `reporter`.
  Values UnknownTo(const std::string& reporter, const Relay& relay) const;

  CheckState& state_;
  std::map<std::string, Relay> relays_;
  std::deque<Totals> pending_totals_;
  double open_width_sum_ = 0;
  std::int64_t age_sum_us_ = 0;
};

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_COUNT_CHECKER_H_
