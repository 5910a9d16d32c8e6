// The ledger of one relay on disk: one SQLite file in a folder of its own.
//
// A posting, the closing of a period, its records and their place in the chain are one transaction each, so a
// crash at any point leaves all of it or nothing. Blocks on the disk: for a worker's thread, or a program of
// the command line. One Store is used by one thread at a time.
//
// Every function throws StoreError; after that the same call may be made again.
#ifndef STOATRUN_LEDGER_IO_STORE_H_
#define STOATRUN_LEDGER_IO_STORE_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "ledger/io/sqlite.h"
#include "ledger/posting.h"
#include "ledger/record.h"

namespace stoatrun::ledger {

enum class StoreErrorCode { kFull, kIo, kReadOnly, kWrongRelay, kLocked, kNewerSchema, kCorrupt, kRejected };
std::string_view NameOf(StoreErrorCode fault);

class StoreError : public std::runtime_error {
 public:
  StoreError(StoreErrorCode f, const std::string& what) : std::runtime_error(what), code(f) {}
  StoreErrorCode code;
};

inline constexpr int kSchema = 2;

struct StoreSetup {
  std::string folder;
  std::string relay;
  std::string ledger_id;      // Taken for a new folder: any text that no other ledger has.
  const char* vfs = nullptr;  // Below the checked layer; null: the system's.
  bool lock_folder = true;    // The relay's own store: no second relay on the folder.
  std::uint64_t checkpoint_ms = 0;
};

struct CorrectionRequest {
  std::string group;
  std::int64_t period_start_s = 0;
  std::int64_t seconds = 0;
  std::string reason, by;
  std::string reference;  // Given twice, the second is refused; empty: never the same.
  std::int64_t wall_us = 0;
};

struct StoredRecord {
  std::uint64_t seq = 0;
  std::string hash, line;
};

struct StoreState {
  std::string relay, ledger_id;
  std::uint64_t head_seq = 0, delivered_seq = 0;
  std::string head_hash;
  std::uint64_t open_periods = 0;
};

// Use of periods that are not closed yet, for show.
struct OpenUse {
  std::int64_t period_start_s = 0, period_s = 0;
  std::uint32_t supplement = 0;
  GroupUse use;
};

using OpenCounts = std::vector<std::pair<std::string, std::uint32_t>>;

class Store {
 public:
  // Opens, and creates or migrates where needed. A newer schema and a folder of another relay are refused.
  explicit Store(const StoreSetup& setup);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // Begins a run of the relay: what the run before left unattested is recorded, periods other than the one
  // that starts at `period_start_s` are closed. To be called once, before the first Apply.
  // Gives the run's number.
  std::int64_t BeginRun(std::int64_t wall_us, std::int64_t period_start_s);
  // Goes on with a run of this process, after the store was opened anew. False: it is not in this file.
  bool ResumeRun(std::int64_t run);
  // Takes a posting of this run, once: one whose number is not over the last one's is passed by. It closes
  // periods other than its own, for they were left. `open`: what stands after it.
  void Apply(const Posting& posting, const OpenCounts& open);
  // Ends the run in order: nothing is left unattested. Also of use to close what is open.
  void EndRun(std::int64_t wall_us);

  // Enters a correction as a record of its own. Throws kRejected for a period that is not closed.
  std::uint64_t EnterCorrection(const CorrectionRequest& correct);

  StoreState State();
  std::vector<StoredRecord> Records(std::uint64_t from_seq, std::size_t most);
  // Calls `each` with every record from `from_seq` on.
  void EachRecord(std::uint64_t from_seq, const std::function<void(const StoredRecord&)>& each);
  std::vector<OpenUse> OpenPeriods();
  // The receiver holds all up to `seq`, whose hash it names. False: ours has another hash, or none.
  bool Acknowledge(std::uint64_t seq, std::string_view hash);
  // Every page, SQLite's own check, the chain and the sums. What is wrong, in words; empty: nothing.
  std::vector<std::string> Verify();

  static std::string DatabasePath(const std::string& folder) { return folder + "/ledger.db"; }

 private:
  void Migrate();
  void Open(const StoreSetup& setup);
  void LoadIdentity(const StoreSetup& setup);
  std::string Meta(std::string_view key);
  void SetMeta(std::string_view key, std::string_view value);
  // All inside a transaction of the caller's.
  std::uint64_t Append(wire::Record record, std::string_view kind, std::int64_t start_s,
                       std::string_view group, std::string_view reference);
  void ClosePeriod(std::int64_t id);
  void CloseOthers(std::int64_t period_start_s);
  std::optional<std::int64_t> OpenPeriod(std::int64_t start_s);
  std::int64_t PeriodFor(const Posting& posting);
  void RecordUnattested(std::int64_t wall_us);
  template <typename F>
  auto Guarded(F&& f) -> decltype(f());

  std::string path_;
  std::uint64_t checkpoint_ms_;
  int lock_fd_ = -1;
  std::optional<Sql> db_;
  std::string relay_, ledger_id_;
  std::int64_t run_ = 0;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_H_
