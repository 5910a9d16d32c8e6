// State that the checkers of the individual bounds share: the current time in the history, its tolerances,
// and the findings.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_CHECK_STATE_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_CHECK_STATE_H_

#include <simdjson.h>

#include <cstdint>
#include <string>
#include <utility>

#include "history/history_checker.h"

namespace stoatrun::history {

using Record = simdjson::dom::element;

// Gossip reaches every reachable relay within this time, including one that has just started.
inline constexpr std::int64_t kGossipPropagationUs = 5'000'000;

// One instance per history; the checkers hold references to it.
struct CheckState {
  std::int64_t now_us = 0;          // The latest time of any record so far; never decreases.
  std::int64_t record_time_us = 0;  // The current record's own time stamp.
  std::int64_t slack_us = 0;        // The longest delay between an event and its record.
  // Until this time two processes may run under one name, each using the quota units that the name owns.
  std::int64_t duplicates_until_us = 0;
  Findings findings;

  // Whether bounds are relaxed because two processes may run under one name.
  bool DuplicatesMayRun() const { return now_us < duplicates_until_us; }

  // Records a violation at the current time; beyond kMaxViolations it is only counted.
  void AddViolation(Bound bound, std::string what) {
    if (findings.violations.size() >= kMaxViolations) {
      ++findings.further_violations;
      return;
    }
    findings.violations.push_back({now_us, bound, std::move(what)});
  }
};

// A record's text field. Throws simdjson::simdjson_error if it is missing or of another type.
inline std::string TextField(const Record& record, const char* name) {
  return std::string(std::string_view(record[name]));
}
// A record's integer field. Throws simdjson::simdjson_error if it is missing or of another type.
inline std::int64_t IntegerField(const Record& record, const char* name) {
  return std::int64_t(record[name]);
}

}  // namespace stoatrun::history

#endif  // STOATRUN_FAULT_INJECTION_HISTORY_CHECK_STATE_H_
