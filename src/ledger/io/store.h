// The persistent ledger of one relay: a SQLite file in a folder of its own.
//
// Invariants: for every period, usage summed by class and usage summed by group both equal the connection
// time of the postings. Records are numbered without gaps and chained by hash.
//
// Durability: a posting, the closing of its period, the resulting records and the update of the hash chain
// form one transaction, so a crash leaves either all of it or nothing. The usage that a crashed run had not
// posted is bounded by the time of its last checkpoint; BeginRun records it as unattested.
//
// Threading: functions block on disk I/O. Use a Store from a background worker or a command line program,
// never from the event loop, and from one thread at a time.
//
// Errors: all functions throw StoreError; a failed call may be retried.
#ifndef STOATRUN_LEDGER_IO_STORE_H_
#define STOATRUN_LEDGER_IO_STORE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ledger/io/folder_lock.h"
#include "ledger/io/period_table.h"
#include "ledger/io/record_log.h"
#include "ledger/io/sqlite.h"
#include "ledger/io/store_error.h"
#include "ledger/io/store_schema.h"
#include "ledger/posting.h"

namespace stoatrun::ledger {

// How to open a Store.
struct StoreSetup {
  std::string folder;               // Must exist.
  std::string relay;                // The relay that must own the ledger; empty: any.
  std::string ledger_id;            // For a new ledger; must be unique among all ledgers.
  const char* vfs = nullptr;        // The SQLite VFS below the checksum VFS; null: SQLite's default.
  bool lock_folder = true;          // As the owning relay: locks the folder and creates the file if needed.
  std::uint64_t checkpoint_ms = 0;  // The checkpoint interval, as stated in unattested records.
};

// An operator's correction of a closed period.
struct CorrectionRequest {
  std::string group;
  std::int64_t period_start_s = 0;  // Unix time.
  std::int64_t seconds = 0;         // Connection-seconds to add; negative: to subtract.
  std::string reason, by;           // The reason, and who entered it.
  std::string reference;            // Must not have been used before; empty: none.
  std::int64_t wall_us = 0;         // Time of entry, Unix time.
};

// A snapshot of the ledger's state.
struct StoreState {
  std::string relay, ledger_id;
  std::uint64_t head_seq = 0;       // Number of the last record; 0: no records.
  std::uint64_t delivered_seq = 0;  // Number of the last acknowledged record.
  std::string head_hash;
  std::uint64_t open_periods = 0;
};

// See the comment at the top of this file.
class Store {
 public:
  // Opens the ledger in a folder, and creates or migrates it if needed. Throws kWrongRelay if the ledger
  // belongs to another relay, kNewerSchema if a newer release wrote it, kLocked if another relay process has
  // locked it.
  explicit Store(const StoreSetup& setup);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Begins a run of the relay and returns its number. If the previous run crashed, appends an unattested
  // record for it. Closes all periods except the one that starts at `period_start_s`. Must be called once,
  // before the first Apply.
  std::int64_t BeginRun(std::int64_t wall_us, std::int64_t period_start_s);
  // Resumes a run of this process after the store was reopened. Returns false if the run does not exist in
  // this file or has ended.
  bool ResumeRun(std::int64_t run);
  // Applies a posting of this run. Idempotent: a posting is ignored if its number is not greater than that of
  // the last applied one. Closes all open periods except the posting's own. `open`: the connections that are
  // open after the posting.
  void Apply(const Posting& posting, const OpenCounts& open);
  // Marks the run as cleanly ended, so that the next run does not append an unattested record.
  void EndRun(std::int64_t wall_us);

  // Appends a correction record and returns its number. Throws kRejected if the period is unknown or still
  // open, or if the reference has already been used.
  std::uint64_t EnterCorrection(const CorrectionRequest& request);

  // The state, read in one transaction.
  StoreState State();
  // Returns up to `max_records` records, starting with number `from_seq`.
  std::vector<StoredRecord> Records(std::uint64_t from_seq, std::size_t max_records);
  // Calls `callback` with every record from number `from_seq` on. Holds no database lock during the calls.
  void ForEachRecord(std::uint64_t from_seq, const std::function<void(const StoredRecord&)>& callback);
  // The usage of open periods.
  std::vector<OpenUse> OpenPeriods();
  // Stores that the receiver holds all records up to `seq`, the last of which has `hash`. Returns false and
  // changes nothing if this ledger has no record with that number and hash.
  bool Acknowledge(std::uint64_t seq, std::string_view hash);
  // Checks all pages, SQLite's structures, the hash chain and the sums of open periods. Returns a description
  // of each fault; empty if there is none.
  std::vector<std::string> Verify();

  // The path of the database in a ledger's folder.
  static std::string DatabasePath(const std::string& folder) { return folder + "/ledger.db"; }

 private:
  static Database OpenDatabase(const StoreSetup& setup, const std::string& path);
  void LoadIdentity(const StoreSetup& setup);
  // The following functions must be called inside a transaction.
  void RecordPreviousCrash(std::int64_t wall_us);
  bool IsApplied(std::uint64_t posting_number);
  void AppendClockStepsAndUnrecorded(const Posting& posting);
  void SaveRunProgress(const Posting& posting, const OpenCounts& open);
  std::int64_t ValidateCorrection(const CorrectionRequest& request);

  const std::string path_;
  const std::uint64_t checkpoint_ms_;
  // Declared before the database, so that the lock is released after the database is closed.
  const std::optional<FolderLock> lock_;
  Database database_;
  MetaTable meta_;
  RecordLog records_;
  PeriodTable periods_;
  std::string relay_, ledger_id_;
  std::int64_t run_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_H_
