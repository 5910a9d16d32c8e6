// What the checkers of the single bounds share: the time in the history, its tolerances, and the findings.
#ifndef STOATRUN_FAULT_INJECTION_HISTORY_CHECK_STATE_H_
#define STOATRUN_FAULT_INJECTION_HISTORY_CHECK_STATE_H_

#include <simdjson.h>

#include <cstdint>
#include <string>
#include <utility>

#include "history/history_checker.h"

namespace stoatrun::history {

using Record = simdjson::dom::element;

// A piece of gossip reaches all relays that can be reached within this time, and a relay that has just
// started.
inline constexpr std::int64_t kGossipSpreadUs = 5'000'000;

// One for a history; the checkers hold references to it.
struct CheckState {
  std::int64_t now_us = 0;     // Of the latest record; never falls.
  std::int64_t record_us = 0;  // Of the present record, as it is written.
  std::int64_t slack_us = 0;   // An event may be recorded so much later than it happened.
  // Until then two processes may run under one name: what the name owns may be used twice.
  std::int64_t duplicates_until_us = 0;
  Findings findings;

  // Whether bounds are relaxed for duplicates.
  bool DuplicatesRun() const { return now_us < duplicates_until_us; }

  // At the present time.
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
