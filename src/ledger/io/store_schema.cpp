#include "ledger/io/store_schema.h"

#include <fmt/format.h>

#include <array>
#include <charconv>

#include "ledger/io/store_error.h"

namespace stoatrun::ledger {
namespace {

// Step k migrates the schema from version k to k + 1. A new file is created by running all steps, so that
// every new ledger exercises the migrations.
constexpr std::array<const char*, kSchemaVersion> kMigrations = {
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

std::int64_t ReadSchemaVersion(Database& database) {
  Statement version(database, "PRAGMA user_version");
  version.Step();
  return version.Int(0);
}

}  // namespace

void MigrateSchema(Database& database, const std::string& path) {
  if (ReadSchemaVersion(database) == kSchemaVersion) return;
  Transaction transaction(database, Transaction::Kind::kWrite);
  const std::int64_t from = ReadSchemaVersion(database);  // Read again: another process may have migrated it.
  if (from > kSchemaVersion) {
    throw StoreError(StoreErrorCode::kNewerSchema,
                     fmt::format("{}: schema version {} is newer than the supported version {}", path, from,
                                 kSchemaVersion));
  }
  for (auto step = static_cast<std::size_t>(from); step < kMigrations.size(); ++step) {
    database.Execute(kMigrations[step]);
  }
  database.Execute(fmt::format("PRAGMA user_version = {}", kSchemaVersion).c_str());
  transaction.Commit();
}

std::string MetaTable::Get(std::string_view key) {
  Statement query(database_, "SELECT value FROM meta WHERE key = ?");
  return query.Bind(key).Step() ? std::string(query.Text(0)) : std::string();
}

std::uint64_t MetaTable::GetNumber(std::string_view key) {
  const std::string text = Get(key);
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

void MetaTable::Set(std::string_view key, std::string_view value) {
  Statement(database_, "INSERT INTO meta VALUES(?, ?) ON CONFLICT(key) DO UPDATE SET value = excluded.value")
      .Bind(key)
      .Bind(value)
      .Run();
}

}  // namespace stoatrun::ledger
