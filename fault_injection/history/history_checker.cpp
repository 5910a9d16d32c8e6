#include "history/history_checker.h"

#include <fmt/format.h>
#include <simdjson.h>

#include <limits>
#include <map>
#include <set>
#include <utility>

#include "history/check_state.h"
#include "history/count_checker.h"
#include "history/ejection_checker.h"
#include "history/quota_checkers.h"

namespace stoatrun::history {
namespace {

// Reads the records in order and dispatches each to the checkers that need it.
class HistoryChecker {
 public:
  Findings Run(std::string_view history) {
    std::size_t line_number = 0;
    while (!history.empty()) {
      const std::size_t end = history.find('\n');
      const std::string_view line = history.substr(0, end);
      history.remove_prefix(end == std::string_view::npos ? history.size() : end + 1);
      ++line_number;
      if (!line.empty()) ProcessLine(line, line_number);
    }
    counts_.Finish();
    rate_quotas_.Finish();
    if (!started_) FormatViolation("no `fleet` record");
    return std::move(state_.findings);
  }

 private:
  using Handler = void (HistoryChecker::*)(const std::string& relay, const Record& record);

  void FormatViolation(std::string what) { state_.AddViolation(Bound::kFormat, std::move(what)); }

  void ProcessLine(std::string_view line, std::size_t line_number) {
    Record record;
    if (parser_.parse(line.data(), line.size()).get(record) != simdjson::SUCCESS) {
      return FormatViolation(fmt::format("line {} is not JSON", line_number));
    }
    ++state_.findings.events;
    try {
      ProcessRecord(record);
    } catch (const simdjson::simdjson_error& error) {
      FormatViolation(fmt::format("line {}: {}", line_number, error.what()));
    }
  }

  void ProcessRecord(const Record& record) {
    const std::string event = TextField(record, "e");
    AdvanceTo(IntegerField(record, "t"));
    if (event == "fleet") return OnFleet(record);
    if (!started_) return FormatViolation("record before `fleet`");
    if (event == "server") return ejections_.OnServerRestarted(TextField(record, "s"));
    if (event == "note") return;
    const std::string relay = TextField(record, "r");
    if (!relays_.contains(relay)) return FormatViolation("unknown relay " + relay);
    const auto handler = Handlers().find(event);
    if (handler == Handlers().end()) return FormatViolation("unknown event " + event);
    (this->*handler->second)(relay, record);
  }

  void AdvanceTo(std::int64_t at_us) {
    if (at_us < state_.now_us) {
      FormatViolation(fmt::format("time stamp goes backwards from {} to {}", state_.now_us, at_us));
    }
    state_.record_time_us = at_us;
    state_.now_us = std::max(state_.now_us, at_us);
    counts_.CheckDueTotals();
  }

  void OnFleet(const Record& record) {
    started_ = true;
    for (const Record name : simdjson::dom::array(record["relays"])) {
      const std::string relay{std::string_view(name)};
      relays_.insert(relay);
      counts_.AddRelay(relay);
    }
    for (const Record quota : simdjson::dom::array(record["budgets"])) {
      rules_.Set(TextField(quota, "name"), {IntegerField(quota, "units"), IntegerField(quota, "window_us")});
    }
    state_.slack_us = IntegerField(record, "slack_us");
    EjectionLimits limits;
    limits.max_ejected_fraction = double(record["avoid_part"]);
    limits.evidence_us = IntegerField(record, "evidence_us");
    limits.own_success_us = IntegerField(record, "own_us");
    limits.ejection_us = IntegerField(record, "hearsay_us");
    limits.witnesses = IntegerField(record, "witnesses");
    ejections_.SetLimits(limits);
  }

  // Handlers of a relay's events, by the event's name in records.
  static const std::map<std::string, Handler>& Handlers() {
    static const std::map<std::string, Handler> kHandlers{
        {"up", &HistoryChecker::OnRunStarted},           {"down", &HistoryChecker::OnRunEnded},
        {"told", &HistoryChecker::OnFirstContact},       {"removed", &HistoryChecker::OnRemovedFromPeers},
        {"twin", &HistoryChecker::OnDuplicateStarted},   {"untwin", &HistoryChecker::OnDuplicateStopped},
        {"maybe", &HistoryChecker::OnUncertain},         {"spend", &HistoryChecker::OnRateUnitSpent},
        {"hold", &HistoryChecker::OnUnitAcquired},       {"release", &HistoryChecker::OnUnitReleased},
        {"take", &HistoryChecker::OnConnectionAccepted}, {"end", &HistoryChecker::OnConnectionEnded},
        {"accounts", &HistoryChecker::OnCountsReported}, {"sum", &HistoryChecker::OnTotalsReported},
        {"saw", &HistoryChecker::OnServerObserved},      {"said", &HistoryChecker::OnFailureClaimed},
        {"hearsay", &HistoryChecker::OnEjectedReported},
    };
    return kHandlers;
  }

  void OnRunStarted(const std::string& relay, const Record& /*record*/) {
    ++state_.findings.runs;
    counts_.OnRunStarted(relay);
  }
  void OnRunEnded(const std::string& relay, const Record& /*record*/) {
    concurrency_quotas_.OnRunEnded(relay);
    counts_.OnRunEnded(relay);
    ejections_.OnRunEnded(relay);
  }
  void OnFirstContact(const std::string& relay, const Record& record) {
    const std::string sender = TextField(record, "by");
    if (!relays_.contains(sender)) return FormatViolation("unknown relay " + sender);
    counts_.OnFirstContact(relay, sender);
  }
  void OnRemovedFromPeers(const std::string& relay, const Record& /*record*/) {
    counts_.OnRemovedFromPeers(relay);
  }
  void OnDuplicateStarted(const std::string& /*relay*/, const Record& /*record*/) {
    state_.duplicates_until_us = std::numeric_limits<std::int64_t>::max();
  }
  void OnDuplicateStopped(const std::string& /*relay*/, const Record& /*record*/) {
    state_.duplicates_until_us = state_.now_us + kGossipPropagationUs;
  }
  void OnUncertain(const std::string& relay, const Record& record) {
    counts_.OnUncertain(relay, IntegerField(record, "n"));
  }
  void OnRateUnitSpent(const std::string& relay, const Record& record) {
    rate_quotas_.OnUnitSpent(relay, TextField(record, "b"));
  }
  void OnUnitAcquired(const std::string& relay, const Record& record) {
    concurrency_quotas_.OnUnitAcquired(relay, TextField(record, "b"));
  }
  void OnUnitReleased(const std::string& relay, const Record& record) {
    concurrency_quotas_.OnUnitReleased(relay, TextField(record, "b"));
  }
  void OnConnectionAccepted(const std::string& relay, const Record& /*record*/) {
    counts_.OnConnectionAccepted(relay);
  }
  void OnConnectionEnded(const std::string& relay, const Record& record) {
    counts_.OnConnectionEnded(relay, TextField(record, "how"));
  }
  void OnCountsReported(const std::string& relay, const Record& record) {
    counts_.OnCountsReported(relay, record);
  }
  void OnTotalsReported(const std::string& relay, const Record& record) {
    counts_.OnTotalsReported(relay, record);
  }
  void OnServerObserved(const std::string& relay, const Record& record) {
    const std::string server = TextField(record, "s");
    ejections_.OnObserved(relay, server, TextField(record, "v") != "fine");
  }
  void OnFailureClaimed(const std::string& relay, const Record& record) {
    ejections_.OnFailureClaimed(relay, TextField(record, "s"));
  }
  void OnEjectedReported(const std::string& relay, const Record& record) {
    ejections_.OnEjectedReported(relay, record);
  }

  simdjson::dom::parser parser_;
  bool started_ = false;  // The `fleet` record was read.
  std::set<std::string> relays_;
  CheckState state_;
  QuotaRules rules_;
  RateQuotaChecker rate_quotas_{state_, rules_};
  ConcurrencyQuotaChecker concurrency_quotas_{state_, rules_};
  CountChecker counts_{state_};
  EjectionChecker ejections_{state_};
};

}  // namespace

std::string_view NameOf(Bound bound) {
  switch (bound) {
    case Bound::kFormat:
      return "form";
    case Bound::kRateQuota:
      return "window";
    case Bound::kConcurrencyQuota:
      return "level";
    case Bound::kCounts:
      return "accounts";
    case Bound::kFleetTotals:
      return "sum";
    case Bound::kEjection:
      return "hearsay";
  }
  return "form";
}

Findings Check(std::string_view history) { return HistoryChecker().Run(history); }

}  // namespace stoatrun::history
