// The ledger of one relay on disk: one SQLite file in a folder of its own.
//
// Invariant: for every period, use summed by class equals use summed by group equals the connection time of
// the postings; records are numbered without gaps and chained by hash.
//
// Durability: a posting, the closing of a period, its records and their place in the chain are one
// transaction, so a crash at any point leaves all of it or nothing. What a crashed run had not posted yet is
// bounded by its last checkpoint; BeginRun records it as unattested.
//
// Threading: blocks on the disk, so it is for a background worker's thread or a command line program, never
// the event loop. A Store is used by one thread at a time.
//
// Errors: every function throws StoreError; after that the same call may be made again.
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
  std::string relay;                // Empty: whichever relay's ledger is there.
  std::string ledger_id;            // Given to a new ledger; must differ from every other ledger's.
  const char* vfs = nullptr;        // SQLite's VFS below the checksum layer; null: the system's.
  bool lock_folder = true;          // The relay's own store: creates the file, excludes a second relay.
  std::uint64_t checkpoint_ms = 0;  // Interval of the checkpoints, as noted in unattested records.
};

// A correction of a closed period, as an operator enters it.
struct CorrectionRequest {
  std::string group;
  std::int64_t period_start_s = 0;  // Unix time.
  std::int64_t seconds = 0;         // Connection-seconds to add; under 0: to take off.
  std::string reason, by;           // Why, and who enters it.
  std::string reference;            // A reference can be entered once only; empty: none.
  std::int64_t wall_us = 0;         // When it is entered, Unix time.
};

// The state of the ledger.
struct StoreState {
  std::string relay, ledger_id;
  std::uint64_t head_seq = 0;       // Number of the last record; 0: none yet.
  std::uint64_t delivered_seq = 0;  // Number of the last record that the billing receiver holds.
  std::string head_hash;
  std::uint64_t open_periods = 0;
};

// See the comment at the top of this file.
class Store {
 public:
  // Opens the ledger in a folder; creates or migrates it where needed. Throws kWrongRelay for the folder of
  // another relay, kNewerSchema for that of a newer release, kLocked if another relay process uses it.
  explicit Store(const StoreSetup& setup);
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Begins a run of the relay: what the previous run left unattested is recorded, periods other than the one
  // that starts at `period_start_s` are closed. To be called once, before the first Apply. Returns the run's
  // number.
  std::int64_t BeginRun(std::int64_t wall_us, std::int64_t period_start_s);
  // Continues a run of this process after the store was opened anew. Returns false if this file has no such
  // run, or an ended one.
  bool ResumeRun(std::int64_t run);
  // Adds a posting of this run, idempotently: one whose number is not over the last applied one's is ignored.
  // Closes open periods other than the posting's own. `open`: connections open after the posting.
  void Apply(const Posting& posting, const OpenCounts& open);
  // Ends the run in order, so that the next one finds nothing unattested.
  void EndRun(std::int64_t wall_us);

  // Appends a correction as a record and returns its number. Throws kRejected if the period is unknown or
  // still open, or the reference was used before.
  std::uint64_t EnterCorrection(const CorrectionRequest& request);

  // The state as of one read transaction.
  StoreState State();
  // Up to `max_records` records from number `from_seq` on.
  std::vector<StoredRecord> Records(std::uint64_t from_seq, std::size_t max_records);
  // Calls `callback` with every record from number `from_seq` on. Holds no database lock during the calls.
  void ForEachRecord(std::uint64_t from_seq, const std::function<void(const StoredRecord&)>& callback);
  // Usage of the periods that are not closed yet.
  std::vector<OpenUse> OpenPeriods();
  // Notes that the receiver holds all records up to `seq`, the last of which has `hash`. Returns false, and
  // notes nothing, if this ledger has another record there, or none.
  bool Acknowledge(std::uint64_t seq, std::string_view hash);
  // Checks every page, SQLite's structures, the chain and the sums. Returns what is wrong, in sentences;
  // empty: nothing.
  std::vector<std::string> Verify();

  // The path of the database in a ledger's folder.
  static std::string DatabasePath(const std::string& folder) { return folder + "/ledger.db"; }

 private:
  static Database OpenDatabase(const StoreSetup& setup, const std::string& path);
  void LoadIdentity(const StoreSetup& setup);
  // All inside a transaction of the caller's.
  void RecordUnattested(std::int64_t wall_us);
  bool IsApplied(std::uint64_t posting_number);
  void AppendNotices(const Posting& posting);
  void SaveRunProgress(const Posting& posting, const OpenCounts& open);
  std::int64_t CheckCorrection(const CorrectionRequest& request);

  const std::string path_;
  const std::uint64_t checkpoint_ms_;
  const std::optional<FolderLock> lock_;  // Before the database: released after it is closed.
  Database database_;
  MetaTable meta_;
  RecordLog records_;
  PeriodTable periods_;
  std::string relay_, ledger_id_;
  std::int64_t run_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_H_
