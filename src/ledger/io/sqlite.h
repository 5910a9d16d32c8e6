// RAII wrappers for SQLite connections, statements and transactions; errors are reported as exceptions.
//
// Thread-safety: a Database and its statements must be used by one thread at a time.
#ifndef STOATRUN_LEDGER_IO_SQLITE_H_
#define STOATRUN_LEDGER_IO_SQLITE_H_

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace stoatrun::ledger {

// A SQLite error; `code` is the extended result code.
class SqlError : public std::runtime_error {
 public:
  SqlError(int result_code, const std::string& what) : std::runtime_error(what), code(result_code) {}
  int code;
};

// A connection to a database file. Waits up to five seconds for locks held by other connections.
class Database {
 public:
  // Opens `path` with SQLITE_OPEN_* flags through the named VFS (null: SQLite's default). Throws SqlError.
  Database(const std::string& path, int flags, const char* vfs);
  // Executes statements that have no parameters and no results. Throws SqlError.
  void Execute(const char* sql);
  // The underlying connection, for SQLite functions without a wrapper here. Owned by this object.
  sqlite3* native_handle() { return handle_.get(); }

 private:
  struct Close {
    void operator()(sqlite3* handle) const { sqlite3_close_v2(handle); }
  };
  std::unique_ptr<sqlite3, Close> handle_;
};

// A prepared statement. Parameters are bound in order: Statement(db, "...").Bind(1).Bind("a").Step(). All
// functions throw SqlError, except those that read columns.
class Statement {
 public:
  // `database` must outlive this object.
  Statement(Database& database, std::string_view sql);
  // Binds the next parameter.
  Statement& Bind(std::int64_t value);
  // Binds the next parameter to a copy of `value`.
  Statement& Bind(std::string_view value);
  // Binds the next parameter to NULL.
  Statement& BindNull();
  // Advances to the next row. Returns false if there is none.
  bool Step();
  // Executes a statement that returns no rows.
  void Run() { Step(); }
  // A column of the current row; columns are numbered from 0.
  std::int64_t Int(int column) { return sqlite3_column_int64(statement_.get(), column); }
  // A column of the current row. The view is valid until the next Step.
  std::string_view Text(int column);

 private:
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };
  [[noreturn]] void ThrowError(int code);
  Database& database_;
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int bound_count_ = 0;
};

// A transaction that is rolled back on destruction unless it was committed.
class Transaction {
 public:
  // kWrite acquires the write lock immediately, kRead the read lock at the first read.
  enum class Kind { kRead, kWrite };
  // Begins a transaction. Throws SqlError. `database` must outlive this object.
  Transaction(Database& database, Kind kind);
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  // Commits. After a SqlError the outcome is unknown until the next transaction has begun.
  void Commit();

 private:
  Database& database_;
  bool committed_ = false;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_SQLITE_H_
