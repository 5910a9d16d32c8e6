#include "cli/reconcile_report.h"

#include <cstdint>
#include <string>

#include "cli/ledger_format.h"

namespace stoatrun::cli {
namespace {

constexpr std::int64_t kMicrosPerSecond = 1'000'000;

Table TotalsTable(const ledger::ReconcileReport& result) {
  Table table({"period", "group", "use_s", "within_s", "beyond_s", "corrected_s", "relay_records"}, 2);
  for (const auto& [period_and_group, total] : result.totals) {
    const auto& [period_start_s, group] = period_and_group;
    table.AddRow({FormatUtc(period_start_s), group, FormatSeconds(total.use_us),
                  FormatSeconds(total.within_us), FormatSeconds(total.beyond_us),
                  std::to_string(total.corrected_s), std::to_string(total.records)});
  }
  return table;
}

Table CorrectionsTable(const ledger::ReconcileReport& result) {
  Table table({"relay", "record", "corrects", "period", "group", "seconds", "by", "reason"}, 3);
  for (const auto& correction : result.corrections) {
    const auto& entry = correction.entry;
    table.AddRow({correction.relay, std::to_string(correction.seq), std::to_string(entry.original_seq()),
                  FormatUtc(entry.period_start_s()), entry.group(), std::to_string(entry.seconds()),
                  entry.by(), entry.reason()});
  }
  return table;
}

Table UnattestedTable(const ledger::ReconcileReport& result) {
  Table table({"relay", "record", "from", "to", "open", "bound_s", "unkept_s"}, 4);
  for (const auto& interval : result.unattested) {
    const auto& entry = interval.entry;
    std::uint64_t open = 0;
    std::int64_t bound_us = 0;
    for (const auto& group : entry.open()) {
      open += group.open();
      bound_us += group.bound_us();
    }
    table.AddRow({interval.relay, std::to_string(interval.seq),
                  FormatUtc(entry.from_wall_us() / kMicrosPerSecond),
                  FormatUtc(entry.to_wall_us() / kMicrosPerSecond), std::to_string(open),
                  FormatSeconds(bound_us), FormatSeconds(entry.unkept_us())});
  }
  return table;
}

Table FaultsTable(const ledger::ReconcileReport& result) {
  Table table({"file", "line", "record", "what"}, Table::kNoRightAligned);
  for (const auto& fault : result.faults) {
    table.AddRow({fault.file, std::to_string(fault.line), std::to_string(fault.seq), fault.what});
  }
  return table;
}

}  // namespace

void PrintReconcileReport(std::ostream& out, const ledger::ReconcileReport& result, OutputFormat format) {
  const Table totals = TotalsTable(result);
  const Table corrections = CorrectionsTable(result);
  const Table unattested = UnattestedTable(result);
  const Table faults = FaultsTable(result);
  PrintTables(
      out, format,
      {{"totals", &totals}, {"corrections", &corrections}, {"unattested", &unattested}, {"faults", &faults}});
}

}  // namespace stoatrun::cli
