#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {
namespace {

constexpr int kBusyMs = 5000;  // Another process on the same folder holds the lock for a transaction only.

}  // namespace

Sql::Sql(const std::string& path, int flags, const char* vfs) {
  sqlite3* raw = nullptr;
  const int code = sqlite3_open_v2(path.c_str(), &raw, flags, vfs);
  db_.reset(raw);
  if (code != SQLITE_OK) {
    throw SqlError(raw != nullptr ? sqlite3_extended_errcode(raw) : code,
                   path + ": " + (raw != nullptr ? sqlite3_errmsg(raw) : sqlite3_errstr(code)));
  }
  sqlite3_extended_result_codes(raw, 1);
  sqlite3_busy_timeout(raw, kBusyMs);
}

void Sql::Do(const char* sql) {
  const int code = sqlite3_exec(db_.get(), sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) throw SqlError(code, sqlite3_errmsg(db_.get()));
}

Query::Query(Sql& db, std::string_view sql) : db_(db) {
  sqlite3_stmt* raw = nullptr;
  const int code =
      sqlite3_prepare_v2(db.native_handle(), sql.data(), static_cast<int>(sql.size()), &raw, nullptr);
  statement_.reset(raw);
  if (code != SQLITE_OK) Fail(code);
}

void Query::Fail(int code) { throw SqlError(code, sqlite3_errmsg(db_.native_handle())); }

Query& Query::Bind(std::int64_t value) {
  if (const int code = sqlite3_bind_int64(statement_.get(), ++bound_, value); code != SQLITE_OK) Fail(code);
  return *this;
}

Query& Query::Bind(std::string_view value) {
  const int code = sqlite3_bind_text(statement_.get(), ++bound_, value.empty() ? "" : value.data(),
                                     static_cast<int>(value.size()),
                                     SQLITE_TRANSIENT);  // NOLINT: SQLite's own macro casts a number.
  if (code != SQLITE_OK) Fail(code);
  return *this;
}

Query& Query::BindNull() {
  if (const int code = sqlite3_bind_null(statement_.get(), ++bound_); code != SQLITE_OK) Fail(code);
  return *this;
}

bool Query::Step() {
  const int code = sqlite3_step(statement_.get());
  if (code == SQLITE_ROW) return true;
  if (code != SQLITE_DONE) Fail(code);
  return false;
}

std::string_view Query::Text(int column) {
  const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_.get(), column));
  return {text != nullptr ? text : "",
          static_cast<std::size_t>(sqlite3_column_bytes(statement_.get(), column))};
}

Transaction::~Transaction() {
  // After an error SQLite may have rolled back by itself; then there is none to roll back.
  if (!done_ && sqlite3_get_autocommit(db_.native_handle()) == 0) {
    sqlite3_exec(db_.native_handle(), "ROLLBACK", nullptr, nullptr, nullptr);
  }
}

}  // namespace stoatrun::ledger
