#include "simulation/history_writer.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace stoatrun::simulation {
namespace {

// The elements of a JSON array, as `"a","b"`. Names in histories contain no characters to escape.
std::string QuotedList(const std::vector<std::string>& names) {
  std::string list;
  for (const std::string& name : names) list += fmt::format("{}\"{}\"", list.empty() ? "" : ",", name);
  return list;
}

}  // namespace

template <typename... Args>
void HistoryWriter::Append(fmt::format_string<Args...> format, Args&&... args) {
  if (!enabled_) return;
  last_us_ = std::max(last_us_, std::int64_t{clock_().count()});
  fmt::format_to(std::back_inserter(text_), R"({{"t":{},)", last_us_);
  fmt::format_to(std::back_inserter(text_), format, std::forward<Args>(args)...);
  text_.push_back('\n');
}

void HistoryWriter::FleetStarted(const FleetDescription& fleet) {
  std::string quotas;
  for (const auto& quota : fleet.quotas) {
    quotas += fmt::format(R"({}{{"name":"{}","units":{},"window_us":{}}})", quotas.empty() ? "" : ",",
                          quota.name, quota.units, quota.window_us);
  }
  Append(R"("e":"fleet","relays":[{}],"budgets":[{}],"slack_us":{},"avoid_part":{},"evidence_us":{},)"
         R"("own_us":{},"hearsay_us":{},"witnesses":2}})",
         QuotedList(fleet.relays), quotas, fleet.slack_us, fleet.max_ejected_fraction, fleet.evidence_us,
         fleet.own_us, fleet.ejection_us);
}

void HistoryWriter::RunStarted(std::string_view relay) { Append(R"("e":"up","r":"{}"}})", relay); }

void HistoryWriter::RunEnded(std::string_view relay) { Append(R"("e":"down","r":"{}"}})", relay); }

void HistoryWriter::FirstContact(std::string_view relay, std::string_view sender) {
  Append(R"("e":"told","r":"{}","by":"{}"}})", relay, sender);
}

void HistoryWriter::RemovedFromPeers(std::string_view relay) { Append(R"("e":"removed","r":"{}"}})", relay); }

void HistoryWriter::DuplicateStarted(std::string_view relay) { Append(R"("e":"twin","r":"{}"}})", relay); }

void HistoryWriter::DuplicateStopped(std::string_view relay) { Append(R"("e":"untwin","r":"{}"}})", relay); }

void HistoryWriter::UncertainConnections(std::string_view relay, std::int64_t connections) {
  Append(R"("e":"maybe","r":"{}","n":{}}})", relay, connections);
}

void HistoryWriter::RateUnitSpent(std::string_view relay, std::string_view quota) {
  Append(R"("e":"spend","r":"{}","b":"{}"}})", relay, quota);
}

void HistoryWriter::UnitAcquired(std::string_view relay, std::string_view quota) {
  Append(R"("e":"hold","r":"{}","b":"{}"}})", relay, quota);
}

void HistoryWriter::UnitReleased(std::string_view relay, std::string_view quota) {
  Append(R"("e":"release","r":"{}","b":"{}"}})", relay, quota);
}

void HistoryWriter::ConnectionAccepted(std::string_view relay) { Append(R"("e":"take","r":"{}"}})", relay); }

void HistoryWriter::ConnectionEnded(std::string_view relay, std::string_view outcome) {
  Append(R"("e":"end","r":"{}","how":"{}"}})", relay, outcome);
}

void HistoryWriter::CountsReported(std::string_view relay, const ReportedCounts& counts) {
  Append(R"("e":"accounts","r":"{}","taken":{},"served":{},"refused":{},"failed":{},"open":{}}})", relay,
         counts.accepted, counts.served, counts.rejected, counts.failed, counts.open);
}

void HistoryWriter::TotalsReported(std::string_view relay, const ReportedTotals& totals) {
  Append(R"("e":"sum","r":"{}","oldest_us":{},"taken":[{},{}],"served":[{},{}],"refused":[{},{}],)"
         R"("failed":[{},{}],"open":[{},{}]}})",
         relay, totals.oldest_us, totals.accepted.low, totals.accepted.high, totals.served.low,
         totals.served.high, totals.rejected.low, totals.rejected.high, totals.failed.low, totals.failed.high,
         totals.open.low, totals.open.high);
}

void HistoryWriter::ServerObserved(std::string_view relay, std::string_view server, bool failing) {
  Append(R"("e":"saw","r":"{}","s":"{}","v":"{}"}})", relay, server, failing ? "failing" : "fine");
}

void HistoryWriter::FailureClaimed(std::string_view relay, std::string_view server) {
  Append(R"("e":"said","r":"{}","s":"{}"}})", relay, server);
}

void HistoryWriter::EjectedReported(std::string_view relay, std::size_t listed,
                                    const std::vector<std::string>& ejected) {
  Append(R"("e":"hearsay","r":"{}","of":{},"s":[{}]}})", relay, listed, QuotedList(ejected));
}

void HistoryWriter::ServerRestarted(std::string_view server) { Append(R"("e":"server","s":"{}"}})", server); }

void HistoryWriter::StepApplied(const Step& step) {
  Append(R"("e":"note","what":"{} {}"}})", VerbOf(step.action), fmt::join(step.arguments, " "));
}

void HistoryWriter::Note(std::string_view text) { Append(R"("e":"note","what":"{}"}})", text); }

}  // namespace stoatrun::simulation
