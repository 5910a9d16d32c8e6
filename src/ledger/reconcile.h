// Reconciles the exports of many relays: checks the hash chain of each ledger and sums up its usage.
//
// A ledger holds all records of one relay, starting with its first. Its export may be split into any number
// of files, which must be read in the order of their first records. A repeated record is counted once.
//
// Pure: reads line by line, without I/O. An ExportReader and its report must be used by one thread; several
// threads use one report each, which are merged afterwards.
#ifndef STOATRUN_LEDGER_RECONCILE_H_
#define STOATRUN_LEDGER_RECONCILE_H_

#include <simdjson.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

#include "ledger/record.h"

namespace stoatrun::ledger {

// The last line of an export file. It states what the file holds, so that truncation between two lines is
// detected.
struct ExportTrailer {
  std::string relay, ledger_id;
  std::uint64_t from = 0, to = 0;  // First and last record; `to` < `from`: no records.
  std::string head;                // The hash of the last record.
};
// Serializes the trailer as a line.
std::string MakeTrailer(const ExportTrailer& trailer);

// A defect of an export, reported to the operator.
struct Fault {
  std::string file;
  std::uint64_t line = 0;  // From 1; 0: does not concern a single line.
  std::uint64_t seq = 0;   // 0: does not concern a single record.
  std::string what;
};

// Sums over all relays for one period and group.
struct PeriodTotal {
  std::int64_t use_us = 0, within_us = 0, beyond_us = 0;  // Connection time.
  std::int64_t corrected_s = 0;                           // Sum of all corrections, in connection-seconds.
  std::uint64_t records = 0, corrections = 0;
};

// Identifies a group's usage in a period.
struct PeriodGroup {
  std::int64_t period_start_s = 0;
  std::string group;

  bool operator<(const PeriodGroup& other) const {
    return std::tie(period_start_s, group) < std::tie(other.period_start_s, other.group);
  }
};

// The length of a period, and the first file that contains it.
struct PeriodLength {
  std::int64_t seconds = 0;
  std::string file;
};

// A correction and the record that contains it.
struct CorrectionEntry {
  std::string relay;
  std::uint64_t seq = 0;
  wire::Correction entry;
};

// Unattested usage and the record that contains it.
struct UnattestedEntry {
  std::string relay;
  std::uint64_t seq = 0;
  wire::Unattested entry;
};

// The result of reading one or more ledgers.
struct ReconcileReport {
  std::map<PeriodGroup, PeriodTotal> totals;
  std::map<std::int64_t, PeriodLength> period_lengths;  // By the start of the period, Unix time in seconds.
  std::vector<CorrectionEntry> corrections;
  std::vector<UnattestedEntry> unattested;
  std::vector<Fault> faults;
  std::uint64_t omitted_faults = 0;  // Faults that `faults` does not list because it is full.
  std::uint64_t relays = 0, ledgers = 0, files = 0, records = 0, duplicates = 0, clock_steps = 0;

  // Adds a fault to the list, or counts it as omitted if the list is full.
  void Add(Fault fault);
  // Merges a report on other ledgers into this one.
  void Merge(ReconcileReport&& other);
  // Reports overlapping periods and sorts all lists. Must be called once, after all reading and merging.
  void Finalize();
};

// Why an export cannot be read or written.
enum class ExportErrorCode {
  kSystem,        // A system call on the file failed.
  kNotAnExport,   // The file does not begin with a record or a trailer.
  kBadField,      // A field does not conform to the schema.
  kLineTooLong,   // A line is longer than any valid record.
  kMissingRecord  // The ledger lacks a record that belongs in the export.
};

// Thrown by functions that read or write export files; what() is the explanation for the operator.
class ExportError : public std::runtime_error {
 public:
  ExportError(ExportErrorCode error_code, const std::string& what)
      : std::runtime_error(what), code(error_code) {}

  ExportErrorCode code;
};

// The ledger that a file's records belong to, and the first of them. Files are sorted by it.
struct FileOrigin {
  std::string relay, ledger_id;
  std::uint64_t first_seq = 0;
};
// Parses the first line of a file, which is a record or a trailer. Throws ExportError if it is neither.
FileOrigin ParseFirstLine(std::string_view first_line);

// Reads the export of one ledger into a report.
class ExportReader {
 public:
  // `report` must outlive this object.
  ExportReader(std::string relay, std::string ledger_id, ReconcileReport& report);

  // Starts a file. Faults are reported under `name`.
  void BeginFile(const std::string& name);
  // Reads a line of the file, including its newline if it has one. `line` must be followed by
  // SIMDJSON_PADDING readable bytes. Faults of the line go into the report.
  void ReadLine(std::string_view line);
  // Ends the file and reports a missing trailer.
  void EndFile();

 private:
  void ReadRecord(std::string_view line, const LineParts& parts);
  // Returns whether the record belongs to this ledger; if not, the rest of the file is skipped.
  bool CheckIdentity(simdjson::dom::object record, std::uint64_t seq);
  void CheckChainWithinFile(std::uint64_t seq, const LineParts& parts);
  void CheckChainAcrossFiles(std::uint64_t seq, const LineParts& parts);
  void ReportDuplicate(std::uint64_t seq, const LineParts& parts);
  void ReadBody(simdjson::dom::object record, std::uint64_t seq, const LineParts& parts);
  void ReadUse(simdjson::dom::object use, std::uint64_t seq);
  void ReadParsedBody(const wire::Record& record, std::uint64_t seq);
  bool ReadTrailer(std::string_view line);
  void AddFault(std::uint64_t seq, std::string what);

  const std::string relay_, ledger_id_;
  ReconcileReport& report_;
  std::string file_;
  // Of the current file: the line number, and its first and last record.
  std::uint64_t line_number_ = 0, file_first_seq_ = 0, file_last_seq_ = 0;
  std::string file_last_hash_;
  bool trailer_read_ = false, skip_rest_of_file_ = false;
  // Of the ledger: the last record that was counted.
  std::uint64_t last_seq_ = 0;
  std::string last_hash_;
  std::vector<std::uint64_t> hash_prefixes_;  // By sequence number minus 1; tells duplicates from forks.
  std::set<std::tuple<std::int64_t, std::uint64_t, std::string>> seen_usage_;  // Period, supplement, group.
  simdjson::dom::parser parser_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_RECONCILE_H_
