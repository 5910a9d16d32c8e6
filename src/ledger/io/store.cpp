#include "ledger/io/store.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "ledger/io/checked_vfs.h"
#include "ledger/io/store_verifier.h"

namespace stoatrun::ledger {
namespace {

// Values of the column `ended` of the table `run`.
enum class RunEnd : std::int64_t {
  kRunning = 0,  // Or crashed, which is detected when the next run begins.
  kClean = 1,    // Ended by EndRun.
  kCrashed = 2,  // Crashed, and an unattested record was appended.
};

// Runs `operation` on the database at `path`, converting a SqlError into a StoreError.
template <typename Operation>
auto WithStoreErrors(const std::string& path, Operation&& operation) -> decltype(operation()) {
  try {
    return operation();
  } catch (const SqlError& e) {
    throw ToStoreError(e, path);
  }
}

void DeleteOpenConnections(Database& database, std::int64_t run) {
  Statement(database, "DELETE FROM run_open WHERE run = ?").Bind(run).Run();
}

}  // namespace

Store::Store(const StoreSetup& setup)
    : path_(DatabasePath(setup.folder)),
      checkpoint_ms_(setup.checkpoint_ms),
      lock_(setup.lock_folder ? std::make_optional<FolderLock>(setup.folder) : std::nullopt),
      database_(OpenDatabase(setup, path_)),
      meta_(database_),
      records_(database_),
      periods_(database_, records_) {
  WithStoreErrors(path_, [&] { LoadIdentity(setup); });
}

Database Store::OpenDatabase(const StoreSetup& setup, const std::string& path) {
  return WithStoreErrors(path, [&] {
    const int create = setup.lock_folder ? SQLITE_OPEN_CREATE : 0;
    Database database(path, SQLITE_OPEN_READWRITE | create, CheckedVfsName(setup.vfs));
    ReservePageChecksums(database.native_handle());
    database.Execute("PRAGMA page_size = 4096");
    // A commit is durable once the deletion of its journal, including the directory entry, is on the disk.
    database.Execute(
        "PRAGMA journal_mode = DELETE; PRAGMA synchronous = EXTRA; PRAGMA temp_store = MEMORY;"
        "PRAGMA cache_size = -2048; PRAGMA foreign_keys = ON");
    MigrateSchema(database, path);
    return database;
  });
}

void Store::LoadIdentity(const StoreSetup& setup) {
  relay_ = meta_.Get(MetaTable::kRelay);
  if (relay_.empty()) {
    if (!setup.lock_folder) {
      throw StoreError(StoreErrorCode::kCorrupt, path_ + ": the ledger has not been initialized by a relay");
    }
    Transaction transaction(database_, Transaction::Kind::kWrite);
    meta_.Set(MetaTable::kRelay, setup.relay);
    meta_.Set(MetaTable::kLedgerId, setup.ledger_id);
    meta_.Set(MetaTable::kHeadSeq, "0");
    meta_.Set(MetaTable::kHeadHash, InitialPrevHash());
    meta_.Set(MetaTable::kDeliveredSeq, "0");
    transaction.Commit();
    relay_ = setup.relay;
  }
  ledger_id_ = meta_.Get(MetaTable::kLedgerId);
  if (!setup.relay.empty() && relay_ != setup.relay) {
    throw StoreError(
        StoreErrorCode::kWrongRelay,
        fmt::format("{}: the ledger belongs to relay {}, but this relay is {}", path_, relay_, setup.relay));
  }
  records_.SetIdentity(relay_, ledger_id_);
}

std::int64_t Store::BeginRun(std::int64_t wall_us, std::int64_t period_start_s) {
  return WithStoreErrors(path_, [&] {
    Transaction transaction(database_, Transaction::Kind::kWrite);
    RecordPreviousCrash(wall_us);
    periods_.CloseAllExcept(period_start_s);
    Statement(database_, "INSERT INTO run(began_wall_us, last_wall_us, last_number) VALUES(?, ?, 0)")
        .Bind(wall_us)
        .Bind(wall_us)
        .Run();
    const std::int64_t run = sqlite3_last_insert_rowid(database_.native_handle());
    transaction.Commit();
    run_ = run;
    return run;
  });
}

bool Store::ResumeRun(std::int64_t run) {
  return WithStoreErrors(path_, [&] {
    Statement query(database_, "SELECT 1 FROM run WHERE id = ? AND ended = 0");
    if (!query.Bind(run).Step()) return false;
    run_ = run;
    return true;
  });
}

void Store::RecordPreviousCrash(std::int64_t wall_us) {
  Statement last(database_, "SELECT id, last_wall_us, ended FROM run ORDER BY id DESC LIMIT 1");
  if (!last.Step() || last.Int(2) != static_cast<std::int64_t>(RunEnd::kRunning)) return;
  const std::int64_t crashed_run = last.Int(0), checkpoint_wall_us = last.Int(1);
  wire::Record record;
  wire::Unattested& unattested = *record.mutable_unattested();
  unattested.set_from_wall_us(checkpoint_wall_us);
  unattested.set_to_wall_us(wall_us);
  unattested.set_checkpoint_ms(checkpoint_ms_);
  const std::int64_t max_span_us = std::max<std::int64_t>(0, wall_us - checkpoint_wall_us);
  Statement open(database_, "SELECT grp, open FROM run_open WHERE run = ? ORDER BY grp");
  for (open.Bind(crashed_run); open.Step();) {
    wire::OpenConnections& connections = *unattested.add_open();
    connections.set_group(std::string(open.Text(0)));
    connections.set_open(static_cast<std::uint32_t>(open.Int(1)));
    connections.set_bound_us(max_span_us * open.Int(1));
  }
  records_.Append(std::move(record));
  Statement(database_, "UPDATE run SET ended = ? WHERE id = ?")
      .Bind(static_cast<std::int64_t>(RunEnd::kCrashed))
      .Bind(crashed_run)
      .Run();
  DeleteOpenConnections(database_, crashed_run);
}

void Store::Apply(const Posting& posting, const OpenCounts& open) {
  WithStoreErrors(path_, [&] {
    Transaction transaction(database_, Transaction::Kind::kWrite);
    if (IsApplied(posting.number)) return;
    periods_.CloseAllExcept(posting.period_start_s);
    if (!posting.groups.empty()) periods_.AddUsage(posting);
    AppendClockStepsAndUnrecorded(posting);
    if (posting.period_ended) periods_.CloseIfOpen(posting.period_start_s);
    SaveRunProgress(posting, open);
    transaction.Commit();
  });
}

// The commit of an earlier attempt may have succeeded although it returned an error.
bool Store::IsApplied(std::uint64_t posting_number) {
  Statement last(database_, "SELECT last_number FROM run WHERE id = ?");
  if (!last.Bind(run_).Step()) {
    throw StoreError(StoreErrorCode::kCorrupt, fmt::format("{}: run {} is missing", path_, run_));
  }
  return static_cast<std::uint64_t>(last.Int(0)) >= posting_number;
}

void Store::AppendClockStepsAndUnrecorded(const Posting& posting) {
  for (const ClockStep& step : posting.steps) {
    wire::Record record;
    record.mutable_clock_step()->set_from_wall_us(step.from_wall_us);
    record.mutable_clock_step()->set_to_wall_us(step.to_wall_us);
    records_.Append(std::move(record));
  }
  if (posting.unrecorded_us == 0) return;
  wire::Record record;
  wire::Unattested& unattested = *record.mutable_unattested();
  unattested.set_from_wall_us(posting.unrecorded_from_wall_us);
  unattested.set_to_wall_us(posting.wall_us);
  unattested.set_checkpoint_ms(checkpoint_ms_);
  unattested.set_unkept_us(posting.unrecorded_us);
  records_.Append(std::move(record));
}

void Store::SaveRunProgress(const Posting& posting, const OpenCounts& open) {
  Statement(database_, "UPDATE run SET last_number = ?, last_wall_us = ? WHERE id = ?")
      .Bind(static_cast<std::int64_t>(posting.number))
      .Bind(posting.wall_us)
      .Bind(run_)
      .Run();
  DeleteOpenConnections(database_, run_);
  for (const auto& [group, count] : open) {
    Statement(database_, "INSERT INTO run_open VALUES(?, ?, ?)").Bind(run_).Bind(group).Bind(count).Run();
  }
}

void Store::EndRun(std::int64_t wall_us) {
  WithStoreErrors(path_, [&] {
    Transaction transaction(database_, Transaction::Kind::kWrite);
    Statement(database_, "UPDATE run SET ended = ?, last_wall_us = ? WHERE id = ?")
        .Bind(static_cast<std::int64_t>(RunEnd::kClean))
        .Bind(wall_us)
        .Bind(run_)
        .Run();
    DeleteOpenConnections(database_, run_);
    transaction.Commit();
  });
}

std::uint64_t Store::EnterCorrection(const CorrectionRequest& request) {
  return WithStoreErrors(path_, [&] {
    Transaction transaction(database_, Transaction::Kind::kWrite);
    const std::int64_t period_s = ValidateCorrection(request);
    wire::Record record;
    wire::Correction& correction = *record.mutable_correction();
    correction.set_period_start_s(request.period_start_s);
    correction.set_period_s(static_cast<std::uint32_t>(period_s));
    correction.set_group(request.group);
    correction.set_seconds(request.seconds);
    correction.set_reason(request.reason);
    correction.set_by(request.by);
    correction.set_reference(request.reference);
    correction.set_original_seq(records_.FindUse(request.period_start_s, request.group).value_or(0));
    correction.set_entered_wall_us(request.wall_us);
    const std::uint64_t seq =
        records_.Append(std::move(record), {request.period_start_s, request.group, request.reference});
    transaction.Commit();
    return seq;
  });
}

// Returns the length of the correction's period in seconds. Throws kRejected if the correction is invalid.
std::int64_t Store::ValidateCorrection(const CorrectionRequest& request) {
  if (periods_.IsOpen(request.period_start_s)) {
    throw StoreError(StoreErrorCode::kRejected,
                     fmt::format("the period {} is not closed yet: its use is still "
                                 "being counted; correct it once it is exported",
                                 request.period_start_s));
  }
  const auto length_s = periods_.Length(request.period_start_s);
  if (!length_s) {
    throw StoreError(
        StoreErrorCode::kRejected,
        fmt::format("no period starts at {}: this ledger has counted none", request.period_start_s));
  }
  if (!request.reference.empty()) {
    if (const auto seq = records_.FindByReference(request.reference)) {
      throw StoreError(StoreErrorCode::kRejected,
                       fmt::format("reference {} is entered already, as record {}", request.reference, *seq));
    }
  }
  return *length_s;
}

StoreState Store::State() {
  return WithStoreErrors(path_, [&] {
    const Transaction transaction(database_, Transaction::Kind::kRead);
    StoreState state;
    state.relay = relay_;
    state.ledger_id = ledger_id_;
    state.head_seq = meta_.GetNumber(MetaTable::kHeadSeq);
    state.delivered_seq = meta_.GetNumber(MetaTable::kDeliveredSeq);
    state.head_hash = meta_.Get(MetaTable::kHeadHash);
    state.open_periods = periods_.OpenCount();
    return state;
  });
}

std::vector<StoredRecord> Store::Records(std::uint64_t from_seq, std::size_t max_records) {
  return WithStoreErrors(path_, [&] { return records_.Read(from_seq, max_records); });
}

void Store::ForEachRecord(std::uint64_t from_seq, const std::function<void(const StoredRecord&)>& callback) {
  constexpr std::size_t kBatchSize = 1000;  // No lock is held between batches, so that the relay can write.
  for (;;) {
    const auto batch = Records(from_seq, kBatchSize);
    for (const StoredRecord& record : batch) callback(record);
    if (batch.size() < kBatchSize) return;
    from_seq = batch.back().seq + 1;
  }
}

std::vector<OpenUse> Store::OpenPeriods() {
  return WithStoreErrors(path_, [&] { return periods_.OpenUsage(); });
}

bool Store::Acknowledge(std::uint64_t seq, std::string_view hash) {
  return WithStoreErrors(path_, [&] {
    Transaction transaction(database_, Transaction::Kind::kWrite);
    if (seq > 0 && !records_.Contains(seq, hash)) return false;
    meta_.Set(MetaTable::kDeliveredSeq, std::to_string(seq));
    transaction.Commit();
    return true;
  });
}

std::vector<std::string> Store::Verify() {
  return WithStoreErrors(path_, [&] { return VerifyDatabase(database_, path_); });
}

}  // namespace stoatrun::ledger
