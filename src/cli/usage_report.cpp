#include "cli/usage_report.h"

#include <fmt/format.h>

#include <stdexcept>
#include <utility>

#include "cli/ledger_format.h"
#include "ledger/record.h"

namespace stoatrun::cli {

bool UsageFilter::Matches(std::int64_t start_s, const std::string& name) const {
  return (!period_start_s || start_s == *period_start_s) && (group.empty() || name == group);
}

UsageReport::UsageReport(UsageFilter filter) : filter_(std::move(filter)) {}

void UsageReport::AddRecord(const ledger::StoredRecord& stored) {
  const auto parts = ledger::SplitLine(stored.line);
  const auto record = parts ? ledger::ParseRecord(parts->record) : std::nullopt;
  if (!record) {
    throw std::runtime_error(fmt::format("record {} is damaged: run stoatrun ledger verify", stored.seq));
  }
  if (record->has_correction()) {
    const auto& correction = record->correction();
    corrected_s_[{correction.period_start_s(), correction.group()}] += correction.seconds();
  }
  if (record->has_unattested()) ++unattested_intervals_;
  if (record->has_use() && filter_.Matches(record->use().period_start_s(), record->use().group())) {
    closed_.push_back({stored.seq, record->use()});
  }
}

Table UsageReport::MakeTable(const std::vector<ledger::OpenUse>& open_periods) {
  Table table({"period", "state", "group", "use_s", "within_s", "beyond_s", "corrected_s", "record"}, 3);
  for (const ClosedUse& closed : closed_) AddClosedUse(table, closed);
  AddOtherCorrections(table);
  AddOpenUse(table, open_periods);
  return table;
}

void UsageReport::AddClosedUse(Table& table, const ClosedUse& closed) {
  const auto& use = closed.use;
  const bool first = use.supplement() == 0;
  // The sum of corrections appears only in the row of the group's first record of the period.
  std::int64_t corrected_s = 0;
  const auto it = corrected_s_.find({use.period_start_s(), use.group()});
  if (first && it != corrected_s_.end()) {
    corrected_s = it->second;
    corrected_s_.erase(it);
  }
  table.AddRow({FormatUtc(use.period_start_s()),
                first ? "closed" : fmt::format("supplement {}", use.supplement()), use.group(),
                FormatSeconds(use.use_us()), FormatSeconds(use.within_us()), FormatSeconds(use.beyond_us()),
                std::to_string(corrected_s), std::to_string(closed.seq)});
}

void UsageReport::AddOtherCorrections(Table& table) const {
  for (const auto& [key, corrected_s] : corrected_s_) {
    if (!filter_.Matches(key.period_start_s, key.group)) continue;
    const std::string none = FormatSeconds(0);
    table.AddRow({FormatUtc(key.period_start_s), "correction", key.group, none, none, none,
                  std::to_string(corrected_s), ""});
  }
}

void UsageReport::AddOpenUse(Table& table, const std::vector<ledger::OpenUse>& open_periods) const {
  for (const ledger::OpenUse& open : open_periods) {
    if (!filter_.Matches(open.period_start_s, open.use.name)) continue;
    table.AddRow({FormatUtc(open.period_start_s), "open", open.use.name, FormatSeconds(open.use.use_us),
                  FormatSeconds(open.use.within_us), FormatSeconds(open.use.BeyondUs()), "0", ""});
  }
}

}  // namespace stoatrun::cli
