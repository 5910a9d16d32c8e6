// Reconciles the exports of many relays: checks each ledger's chain of records and adds up its usage.
//
// A ledger is all records of one relay from its first one on. Its export may come in any number of files,
// which must be read in the order of their first records. A record that comes more than once counts once.
//
// Pure: fed line by line. An ExportReader and its report are used by one thread; several threads each have
// their own report, and these are merged.
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

// The last line of an export file: what the file holds, so that one cut short between two lines is noticed.
struct ExportTrailer {
  std::string relay, ledger_id;
  std::uint64_t from = 0, to = 0;  // Records, first and last; `to` under `from`: none.
  std::string head;                // The hash of the last record.
};
// The trailer as a line.
std::string MakeTrailer(const ExportTrailer& trailer);

// Something wrong in an export, for the operator.
struct Fault {
  std::string file;
  std::uint64_t line = 0;  // From 1; 0: not of one line.
  std::uint64_t seq = 0;   // 0: not of one record.
  std::string what;
};

// Sums over all relays for one period and group.
struct PeriodTotal {
  std::int64_t use_us = 0, within_us = 0, beyond_us = 0;  // Connection time.
  std::int64_t corrected_s = 0;                           // Sum of the corrections, in connection-seconds.
  std::uint64_t records = 0, corrections = 0;
};

// A period and a group's name.
struct PeriodGroup {
  std::int64_t period_start_s = 0;
  std::string group;

  bool operator<(const PeriodGroup& other) const {
    return std::tie(period_start_s, group) < std::tie(other.period_start_s, other.group);
  }
};

// The length of a period, and the file that first says so.
struct PeriodLength {
  std::int64_t seconds = 0;
  std::string file;
};

// A record of a correction, and where it is.
struct CorrectionEntry {
  std::string relay;
  std::uint64_t seq = 0;
  wire::Correction entry;
};

// A record of usage that is unattested, and where it is.
struct UnattestedEntry {
  std::string relay;
  std::uint64_t seq = 0;
  wire::Unattested entry;
};

// What was read of some ledgers.
struct ReconcileReport {
  std::map<PeriodGroup, PeriodTotal> totals;
  std::map<std::int64_t, PeriodLength> lengths;  // By the start of the period, Unix time in seconds.
  std::vector<CorrectionEntry> corrections;
  std::vector<UnattestedEntry> unattested;
  std::vector<Fault> faults;
  std::uint64_t omitted_faults = 0;  // Beyond the bound on those that are listed.
  std::uint64_t relays = 0, ledgers = 0, files = 0, records = 0, duplicates = 0, clock_steps = 0;

  // Lists a fault, or counts it as omitted.
  void Add(Fault fault);
  // Adds a report on other ledgers.
  void Merge(ReconcileReport&& other);
  // Reports overlapping periods and sorts all lists. Must be called once, after all reading and merging.
  void Finalize();
};

// Why an export can't be read or written.
enum class ExportErrorCode {
  kSystem,        // A system call on the file failed.
  kNotAnExport,   // The file does not begin with a record or a trailer.
  kBadField,      // A field is not of the schema.
  kLineTooLong,   // A line is longer than any record's.
  kMissingRecord  // The ledger lacks a record that the export must hold.
};

// Thrown by functions on export files; what() explains it to the operator.
class ExportError : public std::runtime_error {
 public:
  // An error with its explanation.
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

  // Starts a file; `name` is for the faults.
  void BeginFile(const std::string& name);
  // Reads a line of the file, with its newline if it has one. `line` must be followed by SIMDJSON_PADDING
  // readable bytes. Whatever is wrong with it goes into the report.
  void ReadLine(std::string_view line);
  // Ends the file: reports a missing trailer.
  void EndFile();

 private:
  void ReadRecord(std::string_view line, const LineParts& parts);
  // Whether the record is of this ledger.
  bool CheckIdentity(simdjson::dom::object record, std::uint64_t seq);
  void CheckFollowsInFile(std::uint64_t seq, const LineParts& parts);
  void CheckFollowsLastFile(std::uint64_t seq, const LineParts& parts);
  void ReportRepeated(std::uint64_t seq, const LineParts& parts);
  void ReadBody(simdjson::dom::object record, std::uint64_t seq, const LineParts& parts);
  void ReadUse(simdjson::dom::object use, std::uint64_t seq);
  void ReadRareBody(const wire::Record& record, std::uint64_t seq);
  bool ReadTrailer(std::string_view line);
  void AddFault(std::uint64_t seq, std::string what);

  const std::string relay_, ledger_id_;
  ReconcileReport& report_;
  std::string file_;
  std::uint64_t line_ = 0, file_first_ = 0, file_last_ = 0, last_seq_ = 0;
  std::string file_hash_, last_hash_;
  bool trailer_read_ = false, broken_ = false;
  std::vector<std::uint64_t> hash_prefixes_;  // By number less 1: tells repeated records from forks.
  std::set<std::tuple<std::int64_t, std::uint64_t, std::string>> uses_;  // Period, supplement, group.
  simdjson::dom::parser parser_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_RECONCILE_H_
