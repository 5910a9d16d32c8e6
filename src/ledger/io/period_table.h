// Accounting periods in the database. Usage is added to open periods; closing a period converts it to
// records.
#ifndef STOATRUN_LEDGER_IO_PERIOD_TABLE_H_
#define STOATRUN_LEDGER_IO_PERIOD_TABLE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "ledger/io/record_log.h"
#include "ledger/io/sqlite.h"
#include "ledger/posting.h"

namespace stoatrun::ledger {

// Usage of one group in an open period.
struct OpenUse {
  std::int64_t period_start_s = 0, period_s = 0;
  std::uint32_t supplement = 0;  // Over 0: the clock was stepped back into a closed period.
  GroupUse use;                  // Without classes.
};

// Access to the tables of periods and of usage by group and class. Functions run inside the caller's
// transaction and throw SqlError. Must be used by one thread at a time, like its database.
class PeriodTable {
 public:
  // Both must outlive this object.
  PeriodTable(Database& database, RecordLog& records) : database_(database), records_(records) {}

  // Adds the usage of a posting to the open period with the same start. Opens the period if needed.
  void AddUsage(const Posting& posting);
  // Closes the period that starts at `start_s` (Unix time), if it is open.
  void CloseIfOpen(std::int64_t start_s);
  // Closes every open period that does not start at `start_s`.
  void CloseAllExcept(std::int64_t start_s);

  // Whether the period that starts at `start_s` is open.
  bool IsOpen(std::int64_t start_s) { return FindOpen(start_s).has_value(); }
  // The length in seconds of the period that starts at `start_s`; nullopt if there was never one.
  std::optional<std::int64_t> Length(std::int64_t start_s);
  std::uint64_t OpenCount();
  // The usage of all open periods, ordered by period and group.
  std::vector<OpenUse> OpenUsage();

 private:
  // A row of the table `period`.
  struct Period {
    std::int64_t id = 0, start_s = 0, supplement = 0, length_s = 0, connection_time_us = 0;
  };
  // The same usage summed by class and by group. Both must equal the period's connection time.
  struct Sums {
    std::int64_t class_us = 0, group_us = 0;
  };

  std::optional<std::int64_t> FindOpen(std::int64_t start_s);
  std::int64_t FindOrOpen(const Posting& posting);
  void AddGroup(std::int64_t period_id, const GroupUse& group);
  void AddClass(std::int64_t period_id, const std::string& group, const ClassUse& use);
  Period Load(std::int64_t id);
  void Close(std::int64_t id);
  Sums AppendUseRecords(const Period& period);
  std::int64_t AddClassUsage(const Period& period, wire::Use& use);
  void AppendImbalance(const Period& period, const Sums& sums);

  Database& database_;
  RecordLog& records_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_PERIOD_TABLE_H_
