// Reconciles relays' exports: checks each ledger's chain and adds up what it says. Pure: fed line by line.
//
// A ledger is one relay's ledger from its first record on. Its files may come in any number of parts;
// those of one ledger_id must be fed in the order of their first records. A record that comes twice counts
// once.
#ifndef STOATRUN_LEDGER_RECONCILE_H_
#define STOATRUN_LEDGER_RECONCILE_H_

#include <simdjson.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "ledger/record.h"

namespace stoatrun::ledger {

// The last line of an export file tells what the file holds, so that one cut short between two lines shows.
struct ExportTrailer {
  std::string relay, ledger_id;
  std::uint64_t from = 0, to = 0;  // `to` under `from`: no records.
  std::string head;                // The hash of the last record.
};
std::string MakeTrailer(const ExportTrailer& end);

struct Fault {
  std::string file;
  std::uint64_t line = 0, seq = 0;  // `seq` 0: not of one record.
  std::string what;
};

struct PeriodTotal {
  std::int64_t use_us = 0, within_us = 0, beyond_us = 0, corrected_s = 0;
  std::uint64_t records = 0, corrections = 0;
};

struct CorrectionEntry {
  std::string relay;
  std::uint64_t seq = 0;
  wire::Correction entry;
};

struct UnattestedEntry {
  std::string relay;
  std::uint64_t seq = 0;
  wire::Unattested entry;
};

// What has been read of some ledgers; those of several threads are added together.
struct ReconcileReport {
  std::map<std::pair<std::int64_t, std::string>, PeriodTotal> totals;    // By period and group.
  std::map<std::int64_t, std::pair<std::int64_t, std::string>> lengths;  // Of each period, and who says so.
  std::vector<CorrectionEntry> corrections;
  std::vector<UnattestedEntry> unattested;
  std::vector<Fault> faults;
  std::uint64_t omitted_faults = 0;
  std::uint64_t relays = 0, ledgers = 0, files = 0, records = 0, duplicates = 0, clock_steps = 0;

  void Add(Fault fault);
  void Merge(ReconcileReport&& other);
  // To be called once, after all: names periods that overlap.
  void CheckPeriods();
};

// The first line's relay, ledger_id and number, to sort files by. Throws std::runtime_error if it is no
// record.
struct FileHead {
  std::string relay, ledger_id;
  std::uint64_t first_seq = 0;
};
FileHead ReadHead(std::string_view first_line);

class ExportReader {
 public:
  // `out` outlives it.
  ExportReader(std::string relay, std::string ledger_id, ReconcileReport& out);

  void BeginFile(const std::string& name);
  // With its end, if it has one. `line` must be followed by SIMDJSON_PADDING readable bytes.
  void Take(std::string_view line);
  void EndFile();

 private:
  void TakeRecord(std::string_view line, const LineParts& parts);
  bool TakeEnd(std::string_view line);
  void TakeUse(simdjson::dom::object use, std::uint64_t seq);
  void Wrong(std::uint64_t seq, std::string what);

  const std::string relay_, ledger_id_;
  ReconcileReport& report_;
  std::string file_;
  std::uint64_t line_ = 0, file_first_ = 0, file_last_ = 0, last_seq_ = 0;
  std::string file_hash_, last_hash_;
  bool ended_ = false, broken_ = false;
  std::vector<std::uint64_t> seen_;  // The beginning of each record's hash, to tell repeats from forks.
  std::set<std::tuple<std::int64_t, std::uint64_t, std::string>> uses_;
  simdjson::dom::parser parser_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_RECONCILE_H_
