// The report of `stoatrun ledger show`: usage by period and group from one relay's ledger. Not thread-safe.
#ifndef STOATRUN_CLI_USAGE_REPORT_H_
#define STOATRUN_CLI_USAGE_REPORT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "cli/table.h"
#include "ledger/io/store.h"
#include "ledger/reconcile.h"

namespace stoatrun::cli {

// Selects the rows of the report.
struct UsageFilter {
  std::optional<std::int64_t> period_start_s;  // Unix time; if not set, all periods.
  std::string group;                           // If empty, all groups.

  // Returns whether the report includes the period that starts at `start_s` and the group `name`.
  bool Matches(std::int64_t start_s, const std::string& name) const;
};

// Builds the report. Call AddRecord for each record in the ledger's order, then MakeTable.
class UsageReport {
 public:
  // Creates an empty report of the rows that `filter` matches.
  explicit UsageReport(UsageFilter filter);

  // Adds the next record. Throws std::runtime_error if it is damaged.
  void AddRecord(const ledger::StoredRecord& stored);
  // Returns the rows: closed periods in the ledger's order, then corrections of groups without a record, then
  // open periods. Must be called once, after the last record.
  Table MakeTable(const std::vector<ledger::OpenUse>& open_periods);
  // The number of records of intervals for which the relay could not attest the usage.
  std::uint64_t UnattestedIntervals() const { return unattested_intervals_; }

 private:
  struct ClosedUse {
    std::uint64_t seq = 0;  // The record's sequence number.
    ledger::wire::Use use;
  };

  void AddClosedUse(Table& table, const ClosedUse& closed);
  void AddOtherCorrections(Table& table) const;
  void AddOpenUse(Table& table, const std::vector<ledger::OpenUse>& open_periods) const;

  const UsageFilter filter_;
  std::vector<ClosedUse> closed_;
  std::map<ledger::PeriodGroup, std::int64_t> corrected_s_;  // Sums of the corrections that have no row yet.
  std::uint64_t unattested_intervals_ = 0;
};

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_USAGE_REPORT_H_
