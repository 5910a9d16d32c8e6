#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {
namespace {

// Other processes hold the file's lock only for the duration of a transaction.
constexpr int kBusyTimeoutMs = 5000;

}  // namespace

Database::Database(const std::string& path, int flags, const char* vfs) {
  sqlite3* handle = nullptr;
  const int code = sqlite3_open_v2(path.c_str(), &handle, flags, vfs);
  handle_.reset(handle);
  if (code != SQLITE_OK) {
    throw SqlError(handle != nullptr ? sqlite3_extended_errcode(handle) : code,
                   path + ": " + (handle != nullptr ? sqlite3_errmsg(handle) : sqlite3_errstr(code)));
  }
  sqlite3_extended_result_codes(handle, 1);
  sqlite3_busy_timeout(handle, kBusyTimeoutMs);
}

void Database::Execute(const char* sql) {
  const int code = sqlite3_exec(handle_.get(), sql, nullptr, nullptr, nullptr);
  if (code != SQLITE_OK) throw SqlError(code, sqlite3_errmsg(handle_.get()));
}

Statement::Statement(Database& database, std::string_view sql) : database_(database) {
  sqlite3_stmt* statement = nullptr;
  const int code = sqlite3_prepare_v2(database.native_handle(), sql.data(), static_cast<int>(sql.size()),
                                      &statement, nullptr);
  statement_.reset(statement);
  if (code != SQLITE_OK) ThrowError(code);
}

void Statement::ThrowError(int code) { throw SqlError(code, sqlite3_errmsg(database_.native_handle())); }

Statement& Statement::Bind(std::int64_t value) {
  const int code = sqlite3_bind_int64(statement_.get(), ++bound_count_, value);
  if (code != SQLITE_OK) ThrowError(code);
  return *this;
}

Statement& Statement::Bind(std::string_view value) {
  const int code = sqlite3_bind_text(
      statement_.get(), ++bound_count_, value.empty() ? "" : value.data(), static_cast<int>(value.size()),
      SQLITE_TRANSIENT);  // NOLINT: SQLite's macro casts an integer to a pointer.
  if (code != SQLITE_OK) ThrowError(code);
  return *this;
}

Statement& Statement::BindNull() {
  const int code = sqlite3_bind_null(statement_.get(), ++bound_count_);
  if (code != SQLITE_OK) ThrowError(code);
  return *this;
}

bool Statement::Step() {
  const int code = sqlite3_step(statement_.get());
  if (code == SQLITE_ROW) return true;
  if (code != SQLITE_DONE) ThrowError(code);
  return false;
}

std::string_view Statement::Text(int column) {
  const auto* text = reinterpret_cast<const char*>(sqlite3_column_text(statement_.get(), column));
  return {text != nullptr ? text : "",
          static_cast<std::size_t>(sqlite3_column_bytes(statement_.get(), column))};
}

Transaction::Transaction(Database& database, Kind kind) : database_(database) {
  database.Execute(kind == Kind::kWrite ? "BEGIN IMMEDIATE" : "BEGIN");
}

Transaction::~Transaction() {
  // SQLite may already have rolled back after an error, in which case no transaction is open.
  if (!committed_ && sqlite3_get_autocommit(database_.native_handle()) == 0) {
    sqlite3_exec(database_.native_handle(), "ROLLBACK", nullptr, nullptr, nullptr);
  }
}

void Transaction::Commit() {
  database_.Execute("COMMIT");
  committed_ = true;
}

}  // namespace stoatrun::ledger
