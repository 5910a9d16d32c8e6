#include "ledger/io/store.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <cstring>

#include "ledger/io/checked_vfs.h"

namespace stoatrun::ledger {
namespace {

// Each lifts the schema by one. A new file goes through all of them, so that the way up is always walked.
constexpr std::array<const char*, kSchema> kMigrations = {
    R"(CREATE TABLE meta(key TEXT PRIMARY KEY, value TEXT NOT NULL) WITHOUT ROWID;
       CREATE TABLE period(id INTEGER PRIMARY KEY, start_s INTEGER NOT NULL, supplement INTEGER NOT NULL,
                           length_s INTEGER NOT NULL, closed INTEGER NOT NULL DEFAULT 0,
                           lives_us INTEGER NOT NULL DEFAULT 0, UNIQUE(start_s, supplement));
       CREATE INDEX period_open ON period(closed) WHERE closed = 0;
       CREATE TABLE cell(period INTEGER NOT NULL, grp TEXT NOT NULL, class TEXT NOT NULL,
                         use_us INTEGER NOT NULL, PRIMARY KEY(period, grp, class)) WITHOUT ROWID;
       CREATE TABLE split(period INTEGER NOT NULL, grp TEXT NOT NULL, use_us INTEGER NOT NULL,
                          within_us INTEGER NOT NULL, share_milli INTEGER NOT NULL, peak INTEGER NOT NULL,
                          PRIMARY KEY(period, grp)) WITHOUT ROWID;
       CREATE TABLE run(id INTEGER PRIMARY KEY, began_wall_us INTEGER NOT NULL, last_wall_us INTEGER NOT NULL,
                        last_number INTEGER NOT NULL, ended INTEGER NOT NULL DEFAULT 0);
       CREATE TABLE run_open(run INTEGER NOT NULL, grp TEXT NOT NULL, open INTEGER NOT NULL,
                             PRIMARY KEY(run, grp)) WITHOUT ROWID;
       CREATE TABLE record(seq INTEGER PRIMARY KEY, kind TEXT NOT NULL, start_s INTEGER NOT NULL,
                           grp TEXT NOT NULL, reference TEXT UNIQUE, hash TEXT NOT NULL,
                           line TEXT NOT NULL);)",
    R"(ALTER TABLE cell ADD COLUMN begun INTEGER NOT NULL DEFAULT 0;
       CREATE INDEX record_period ON record(start_s, grp);)"};

StoreErrorCode FaultOf(int code) {
  switch (code & 0xff) {
    case SQLITE_FULL:
      return StoreErrorCode::kFull;
    case SQLITE_READONLY:
    case SQLITE_PERM:
    case SQLITE_CANTOPEN:
      return StoreErrorCode::kReadOnly;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return StoreErrorCode::kCorrupt;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreErrorCode::kLocked;
    default:
      return code == SQLITE_IOERR_DATA ? StoreErrorCode::kCorrupt : StoreErrorCode::kIo;
  }
}

std::uint64_t NumberOf(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

}  // namespace

std::string_view NameOf(StoreErrorCode fault) {
  constexpr std::array<std::string_view, 8> kNames{"full",  "io_error", "read_only", "foreign",
                                                   "taken", "newer",    "damaged",   "refused"};
  return kNames[static_cast<std::size_t>(fault)];
}

template <typename F>
auto Store::Guarded(F&& f) -> decltype(f()) {
  try {
    return f();
  } catch (const SqlError& e) {
    throw StoreError(FaultOf(e.code), fmt::format("{}: {} ({})", path_, e.what(), e.code));
  }
}

Store::Store(const StoreSetup& setup)
    : path_(DatabasePath(setup.folder)), checkpoint_ms_(setup.checkpoint_ms) {
  if (setup.lock_folder) {
    const std::string lock = setup.folder + "/relay.lock";
    lock_fd_ = open(lock.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (lock_fd_ < 0) {
      const int error = errno;
      const bool full = error == ENOSPC || error == EDQUOT;
      throw StoreError(
          full           ? StoreErrorCode::kFull
          : error == EIO ? StoreErrorCode::kIo
                         : StoreErrorCode::kReadOnly,
          lock + ": " + std::strerror(error));  // NOLINT(concurrency-mt-unsafe): glibc's is safe.
    }
    if (flock(lock_fd_, LOCK_EX | LOCK_NB) != 0) {
      close(lock_fd_);
      throw StoreError(StoreErrorCode::kLocked, setup.folder + ": another relay uses this folder");
    }
  }
  try {
    Guarded([&] {
      Open(setup);
      LoadIdentity(setup);
    });
  } catch (...) {
    if (lock_fd_ >= 0) close(lock_fd_);
    throw;
  }
}

Store::~Store() {
  db_.reset();
  if (lock_fd_ >= 0) close(lock_fd_);
}

void Store::Open(const StoreSetup& setup) {
  const int create = setup.lock_folder ? SQLITE_OPEN_CREATE : 0;
  db_.emplace(path_, SQLITE_OPEN_READWRITE | create, CheckedVfs(setup.vfs));
  Prepare(db_->native_handle());
  db_->Do("PRAGMA page_size = 4096");
  // A commit is in force when its journal's end is on the disk, the folder's entry included.
  db_->Do(
      "PRAGMA journal_mode = DELETE; PRAGMA synchronous = EXTRA; PRAGMA temp_store = MEMORY;"
      "PRAGMA cache_size = -2048; PRAGMA foreign_keys = ON");
  Migrate();
}

void Store::Migrate() {
  const auto version = [this] {
    Query q(*db_, "PRAGMA user_version");
    q.Step();
    return q.Int(0);
  };
  if (version() == kSchema) return;
  Transaction t(*db_, Transaction::Kind::kWrite);
  const std::int64_t from = version();  // Another process may have been first.
  if (from > kSchema) {
    throw StoreError(StoreErrorCode::kNewerSchema,
                     fmt::format("{}: its schema is {}, this program knows up to {}", path_, from, kSchema));
  }
  for (auto k = static_cast<std::size_t>(from); k < kMigrations.size(); ++k) db_->Do(kMigrations[k]);
  db_->Do(fmt::format("PRAGMA user_version = {}", kSchema).c_str());
  t.Commit();
}

std::string Store::Meta(std::string_view key) {
  Query q(*db_, "SELECT value FROM meta WHERE key = ?");
  return q.Bind(key).Step() ? std::string(q.Text(0)) : std::string();
}

void Store::SetMeta(std::string_view key, std::string_view value) {
  Query(*db_, "INSERT INTO meta VALUES(?, ?) ON CONFLICT(key) DO UPDATE SET value = excluded.value")
      .Bind(key)
      .Bind(value)
      .Run();
}

void Store::LoadIdentity(const StoreSetup& setup) {
  relay_ = Meta("relay");
  if (relay_.empty()) {
    if (!setup.lock_folder) throw StoreError(StoreErrorCode::kCorrupt, path_ + ": no relay has used it yet");
    Transaction t(*db_, Transaction::Kind::kWrite);
    SetMeta("relay", setup.relay);
    SetMeta("book", setup.ledger_id);
    SetMeta("head_seq", "0");
    SetMeta("head_hash", FirstHash());
    SetMeta("delivered_seq", "0");
    t.Commit();
    relay_ = setup.relay;
  }
  ledger_id_ = Meta("book");
  if (!setup.relay.empty() && relay_ != setup.relay) {
    throw StoreError(StoreErrorCode::kWrongRelay,
                     fmt::format("{}: it is the ledger of {}, this relay is {}", path_, relay_, setup.relay));
  }
}

std::uint64_t Store::Append(wire::Record record, std::string_view kind, std::int64_t start_s,
                            std::string_view group, std::string_view reference) {
  const std::uint64_t seq = NumberOf(Meta("head_seq")) + 1;
  record.set_relay(relay_);
  record.set_book(ledger_id_);
  record.set_seq(seq);
  const Line line = MakeLine(record, Meta("head_hash"));
  Query q(*db_,
          "INSERT INTO record(seq, kind, start_s, grp, reference, hash, line) VALUES(?, ?, ?, ?, ?, ?, ?)");
  q.Bind(static_cast<std::int64_t>(seq)).Bind(kind).Bind(start_s).Bind(group);
  if (reference.empty()) {
    q.BindNull();
  } else {
    q.Bind(reference);
  }
  q.Bind(line.hash).Bind(line.text).Run();
  SetMeta("head_seq", std::to_string(seq));
  SetMeta("head_hash", line.hash);
  return seq;
}

std::int64_t Store::BeginRun(std::int64_t wall_us, std::int64_t period_start_s) {
  return Guarded([&] {
    Transaction t(*db_, Transaction::Kind::kWrite);
    RecordUnattested(wall_us);
    CloseOthers(period_start_s);
    Query(*db_, "INSERT INTO run(began_wall_us, last_wall_us, last_number) VALUES(?, ?, 0)")
        .Bind(wall_us)
        .Bind(wall_us)
        .Run();
    const std::int64_t run = sqlite3_last_insert_rowid(db_->native_handle());
    t.Commit();
    run_ = run;
    return run;
  });
}

bool Store::ResumeRun(std::int64_t run) {
  return Guarded([&] {
    Query q(*db_, "SELECT 1 FROM run WHERE id = ? AND ended = 0");
    if (!q.Bind(run).Step()) return false;
    run_ = run;
    return true;
  });
}

void Store::CloseOthers(std::int64_t period_start_s) {
  std::vector<std::int64_t> left;
  Query open(*db_, "SELECT id FROM period WHERE closed = 0 AND start_s != ? ORDER BY id");
  for (open.Bind(period_start_s); open.Step();) left.push_back(open.Int(0));
  for (const std::int64_t id : left) ClosePeriod(id);
}

void Store::RecordUnattested(std::int64_t wall_us) {
  Query last(*db_, "SELECT id, last_wall_us, ended FROM run ORDER BY id DESC LIMIT 1");
  if (!last.Step() || last.Int(2) != 0) return;
  wire::Record record;
  wire::Unattested& u = *record.mutable_unattested();
  u.set_from_wall_us(last.Int(1));
  u.set_to_wall_us(wall_us);
  u.set_checkpoint_ms(checkpoint_ms_);
  const std::int64_t most = std::max<std::int64_t>(0, wall_us - last.Int(1));
  Query open(*db_, "SELECT grp, open FROM run_open WHERE run = ? ORDER BY grp");
  for (open.Bind(last.Int(0)); open.Step();) {
    wire::OpenConnections& o = *u.add_open();
    o.set_group(std::string(open.Text(0)));
    o.set_open(static_cast<std::uint32_t>(open.Int(1)));
    o.set_bound_us(most * open.Int(1));
  }
  Append(std::move(record), "unattested", 0, {}, {});
  Query(*db_, "UPDATE run SET ended = 2 WHERE id = ?").Bind(last.Int(0)).Run();
  Query(*db_, "DELETE FROM run_open WHERE run = ?").Bind(last.Int(0)).Run();
}

std::optional<std::int64_t> Store::OpenPeriod(std::int64_t start_s) {
  Query q(*db_, "SELECT id FROM period WHERE start_s = ? AND closed = 0");
  return q.Bind(start_s).Step() ? std::optional(q.Int(0)) : std::nullopt;
}

std::int64_t Store::PeriodFor(const Posting& posting) {
  if (const auto open = OpenPeriod(posting.period_start_s)) return *open;
  Query last(*db_, "SELECT coalesce(max(supplement) + 1, 0) FROM period WHERE start_s = ?");
  last.Bind(posting.period_start_s).Step();
  Query(*db_, "INSERT INTO period(start_s, supplement, length_s) VALUES(?, ?, ?)")
      .Bind(posting.period_start_s)
      .Bind(last.Int(0))
      .Bind(posting.period_s)
      .Run();
  return sqlite3_last_insert_rowid(db_->native_handle());
}

void Store::Apply(const Posting& posting, const OpenCounts& open) {
  Guarded([&] {
    Transaction t(*db_, Transaction::Kind::kWrite);
    Query last(*db_, "SELECT last_number FROM run WHERE id = ?");
    if (!last.Bind(run_).Step()) throw StoreError(StoreErrorCode::kCorrupt, path_ + ": the run is gone");
    // The commit of an earlier try may have held although its answer was an error.
    if (static_cast<std::uint64_t>(last.Int(0)) >= posting.number) return;
    CloseOthers(posting.period_start_s);
    if (!posting.groups.empty()) {
      const std::int64_t period = PeriodFor(posting);
      for (const GroupUse& g : posting.groups) {
        Query(*db_,
              "INSERT INTO split VALUES(?, ?, ?, ?, ?, ?) ON CONFLICT DO UPDATE SET use_us = use_us + "
              "excluded.use_us, within_us = within_us + excluded.within_us, share_milli = "
              "excluded.share_milli, "
              "peak = max(peak, excluded.peak)")
            .Bind(period)
            .Bind(g.name)
            .Bind(g.use_us)
            .Bind(g.within_us)
            .Bind(g.quota_milli)
            .Bind(g.peak)
            .Run();
        for (const ClassUse& c : g.classes) {
          Query(*db_,
                "INSERT INTO cell(period, grp, class, use_us, begun) VALUES(?, ?, ?, ?, ?) ON CONFLICT DO "
                "UPDATE "
                "SET use_us = use_us + excluded.use_us, begun = begun + excluded.begun")
              .Bind(period)
              .Bind(g.name)
              .Bind(c.name)
              .Bind(c.use_us)
              .Bind(static_cast<std::int64_t>(c.begun))
              .Run();
        }
      }
      Query(*db_, "UPDATE period SET lives_us = lives_us + ? WHERE id = ?")
          .Bind(posting.connection_time_us)
          .Bind(period)
          .Run();
    }
    for (const ClockStep& s : posting.steps) {
      wire::Record record;
      record.mutable_clock_step()->set_from_wall_us(s.from_wall_us);
      record.mutable_clock_step()->set_to_wall_us(s.to_wall_us);
      Append(std::move(record), "clock_step", 0, {}, {});
    }
    if (posting.unrecorded_us != 0) {
      wire::Record record;
      wire::Unattested& u = *record.mutable_unattested();
      u.set_from_wall_us(posting.unkept_from_wall_us);
      u.set_to_wall_us(posting.wall_us);
      u.set_checkpoint_ms(checkpoint_ms_);
      u.set_unkept_us(posting.unrecorded_us);
      Append(std::move(record), "unattested", 0, {}, {});
    }
    if (posting.period_ended) {
      if (const auto open_period = OpenPeriod(posting.period_start_s)) ClosePeriod(*open_period);
    }
    Query(*db_, "UPDATE run SET last_number = ?, last_wall_us = ? WHERE id = ?")
        .Bind(static_cast<std::int64_t>(posting.number))
        .Bind(posting.wall_us)
        .Bind(run_)
        .Run();
    Query(*db_, "DELETE FROM run_open WHERE run = ?").Bind(run_).Run();
    for (const auto& [group, count] : open) {
      Query(*db_, "INSERT INTO run_open VALUES(?, ?, ?)").Bind(run_).Bind(group).Bind(count).Run();
    }
    t.Commit();
  });
}

// Groups and their classes are read by name, so that the same use gives the same records.
void Store::ClosePeriod(std::int64_t id) {
  Query period(*db_, "SELECT start_s, supplement, length_s, lives_us FROM period WHERE id = ?");
  period.Bind(id).Step();
  const std::int64_t start = period.Int(0);
  std::int64_t rows = 0, splits = 0;
  Query split(*db_,
              "SELECT grp, use_us, within_us, share_milli, peak FROM split WHERE period = ? ORDER BY grp");
  for (split.Bind(id); split.Step();) {
    wire::Record record;
    wire::Use& u = *record.mutable_use();
    u.set_period_start_s(start);
    u.set_supplement(static_cast<std::uint32_t>(period.Int(1)));
    u.set_period_s(static_cast<std::uint32_t>(period.Int(2)));
    u.set_group(std::string(split.Text(0)));
    u.set_use_us(split.Int(1));
    u.set_within_us(split.Int(2));
    u.set_beyond_us(split.Int(1) - split.Int(2));
    u.set_share_milli(split.Int(3));
    u.set_peak(static_cast<std::uint32_t>(split.Int(4)));
    splits += split.Int(1);
    Query cell(*db_, "SELECT class, use_us, begun FROM cell WHERE period = ? AND grp = ? ORDER BY class");
    for (cell.Bind(id).Bind(u.group()); cell.Step();) {
      wire::ClassUse& c = *u.add_classes();
      c.set_name(std::string(cell.Text(0)));
      c.set_use_us(cell.Int(1));
      c.set_begun(static_cast<std::uint64_t>(cell.Int(2)));
      rows += cell.Int(1);
    }
    const std::string group = u.group();
    Append(std::move(record), "use", start, group, {});
  }
  if (rows != splits || splits != period.Int(3)) {
    wire::Record record;
    wire::Imbalance& i = *record.mutable_imbalance();
    i.set_period_start_s(start);
    i.set_rows_us(rows);
    i.set_splits_us(splits);
    i.set_lives_us(period.Int(3));
    Append(std::move(record), "imbalance", start, {}, {});
  }
  // The records hold it all now.
  Query(*db_, "DELETE FROM cell WHERE period = ?").Bind(id).Run();
  Query(*db_, "DELETE FROM split WHERE period = ?").Bind(id).Run();
  Query(*db_, "UPDATE period SET closed = 1 WHERE id = ?").Bind(id).Run();
}

void Store::EndRun(std::int64_t wall_us) {
  Guarded([&] {
    Transaction t(*db_, Transaction::Kind::kWrite);
    Query(*db_, "UPDATE run SET ended = 1, last_wall_us = ? WHERE id = ?").Bind(wall_us).Bind(run_).Run();
    Query(*db_, "DELETE FROM run_open WHERE run = ?").Bind(run_).Run();
    t.Commit();
  });
}

std::uint64_t Store::EnterCorrection(const CorrectionRequest& c) {
  return Guarded([&] {
    Transaction t(*db_, Transaction::Kind::kWrite);
    if (OpenPeriod(c.period_start_s)) {
      throw StoreError(StoreErrorCode::kRejected,
                       fmt::format("the period {} is not closed yet: its use is still "
                                   "being counted; correct it once it is exported",
                                   c.period_start_s));
    }
    Query period(*db_, "SELECT length_s FROM period WHERE start_s = ? LIMIT 1");
    if (!period.Bind(c.period_start_s).Step()) {
      throw StoreError(StoreErrorCode::kRejected,
                       fmt::format("no period starts at {}: this ledger has counted none", c.period_start_s));
    }
    if (!c.reference.empty()) {
      Query same(*db_, "SELECT seq FROM record WHERE reference = ?");
      if (same.Bind(c.reference).Step()) {
        throw StoreError(
            StoreErrorCode::kRejected,
            fmt::format("reference {} is entered already, as record {}", c.reference, same.Int(0)));
      }
    }
    Query original(*db_,
                   "SELECT seq FROM record WHERE start_s = ? AND grp = ? AND kind = 'use' ORDER BY seq");
    const bool found = original.Bind(c.period_start_s).Bind(c.group).Step();
    wire::Record record;
    wire::Correction& w = *record.mutable_correction();
    w.set_period_start_s(c.period_start_s);
    w.set_period_s(static_cast<std::uint32_t>(period.Int(0)));
    w.set_group(c.group);
    w.set_seconds(c.seconds);
    w.set_reason(c.reason);
    w.set_by(c.by);
    w.set_reference(c.reference);
    w.set_original_seq(found ? static_cast<std::uint64_t>(original.Int(0)) : 0);
    w.set_entered_wall_us(c.wall_us);
    const std::uint64_t seq = Append(std::move(record), "correction", c.period_start_s, c.group, c.reference);
    t.Commit();
    return seq;
  });
}

StoreState Store::State() {
  return Guarded([&] {
    Transaction t(*db_, Transaction::Kind::kRead);
    StoreState s{
        relay_, ledger_id_, NumberOf(Meta("head_seq")), NumberOf(Meta("delivered_seq")), Meta("head_hash"),
        0};
    Query open(*db_, "SELECT count(*) FROM period WHERE closed = 0");
    open.Step();
    s.open_periods = static_cast<std::uint64_t>(open.Int(0));
    return s;
  });
}

std::vector<StoredRecord> Store::Records(std::uint64_t from_seq, std::size_t most) {
  return Guarded([&] {
    std::vector<StoredRecord> all;
    Query q(*db_, "SELECT seq, hash, line FROM record WHERE seq >= ? ORDER BY seq LIMIT ?");
    q.Bind(static_cast<std::int64_t>(from_seq)).Bind(static_cast<std::int64_t>(most));
    while (q.Step()) {
      all.push_back({static_cast<std::uint64_t>(q.Int(0)), std::string(q.Text(1)), std::string(q.Text(2))});
    }
    return all;
  });
}

void Store::EachRecord(std::uint64_t from_seq, const std::function<void(const StoredRecord&)>& each) {
  constexpr std::size_t kAtOnce = 1000;  // No lock is held between: the relay goes on writing.
  for (;;) {
    const auto some = Records(from_seq, kAtOnce);
    for (const StoredRecord& r : some) each(r);
    if (some.size() < kAtOnce) return;
    from_seq = some.back().seq + 1;
  }
}

std::vector<OpenUse> Store::OpenPeriods() {
  return Guarded([&] {
    std::vector<OpenUse> all;
    Query q(*db_,
            "SELECT p.start_s, p.length_s, p.supplement, s.grp, s.use_us, s.within_us, s.share_milli, s.peak "
            "FROM period p JOIN split s ON s.period = p.id WHERE p.closed = 0 ORDER BY p.id, s.grp");
    while (q.Step()) {
      all.push_back(
          {q.Int(0),
           q.Int(1),
           static_cast<std::uint32_t>(q.Int(2)),
           {std::string(q.Text(3)), q.Int(4), q.Int(5), q.Int(6), static_cast<std::uint32_t>(q.Int(7)), {}}});
    }
    return all;
  });
}

bool Store::Acknowledge(std::uint64_t seq, std::string_view hash) {
  return Guarded([&] {
    Transaction t(*db_, Transaction::Kind::kWrite);
    if (seq > 0) {
      Query q(*db_, "SELECT hash FROM record WHERE seq = ?");
      if (!q.Bind(static_cast<std::int64_t>(seq)).Step() || q.Text(0) != hash) return false;
    }
    SetMeta("delivered_seq", std::to_string(seq));
    t.Commit();
    return true;
  });
}

std::vector<std::string> Store::Verify() {
  return Guarded([&] {
    std::vector<std::string> wrong;
    Transaction t(*db_, Transaction::Kind::kRead);
    try {
      // Holds the read lock, so that no page changes under the check.
      const std::string head = Meta("head_seq");
      if (const auto page = FindInvalidPage(db_->native_handle()))
        wrong.push_back(fmt::format("{}: page {} is damaged", path_, *page));
      Query check(*db_, "PRAGMA integrity_check");
      while (check.Step()) {
        if (check.Text(0) != "ok") wrong.push_back(fmt::format("{}: {}", path_, check.Text(0)));
      }
      std::uint64_t expected = 1;
      std::string prev = FirstHash();
      Query records(*db_, "SELECT seq, hash, line FROM record ORDER BY seq");
      for (; records.Step(); ++expected) {
        const auto seq = static_cast<std::uint64_t>(records.Int(0));
        if (seq != expected) wrong.push_back(fmt::format("record {} is missing", expected));
        expected = seq;
        const auto parts = SplitLine(records.Text(2));
        if (!parts || parts->hash != records.Text(1)) {
          wrong.push_back(fmt::format("record {} does not agree with its hash", seq));
        } else if (parts->prev != prev) {
          wrong.push_back(fmt::format("record {} does not follow the one before it", seq));
        }
        prev = records.Text(1);
      }
      if (expected - 1 != NumberOf(head) || prev != Meta("head_hash")) {
        wrong.push_back("the last record is not the one that the ledger names as its last");
      }
      Query sums(
          *db_,
          "SELECT p.start_s, p.lives_us, (SELECT coalesce(sum(use_us), 0) FROM cell WHERE period = p.id), "
          "(SELECT coalesce(sum(use_us), 0) FROM split WHERE period = p.id) FROM period p WHERE closed = 0");
      while (sums.Step()) {
        if (sums.Int(1) != sums.Int(2) || sums.Int(1) != sums.Int(3)) {
          wrong.push_back(fmt::format("period {} is out of balance: lives {} us, rows {} us, groups {} us",
                                      sums.Int(0), sums.Int(1), sums.Int(2), sums.Int(3)));
        }
      }
    } catch (const SqlError& e) {
      wrong.push_back(fmt::format("{}: {}", path_, e.what()));
    }
    return wrong;
  });
}

}  // namespace stoatrun::ledger
