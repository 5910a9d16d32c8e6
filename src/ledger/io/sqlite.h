// SQLite with owned handles, and errors as exceptions.
//
// A Database and its statements are used by one thread at a time.
#ifndef STOATRUN_LEDGER_IO_SQLITE_H_
#define STOATRUN_LEDGER_IO_SQLITE_H_

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace stoatrun::ledger {

// An error of SQLite; `code` is its extended result code.
class SqlError : public std::runtime_error {
 public:
  // An error with SQLite's own message.
  SqlError(int result, const std::string& what) : std::runtime_error(what), code(result) {}
  int code;
};

// A connection to a database file. Waits up to five seconds for the locks of other connections.
class Database {
 public:
  // Opens `path` with SQLITE_OPEN_* flags on a VFS; null: the system's. Throws SqlError.
  Database(const std::string& path, int flags, const char* vfs);
  // Runs statements that take and return no values. Throws SqlError.
  void Execute(const char* sql);
  // The connection, for functions of SQLite that have no wrapper here; still owned by this object.
  sqlite3* native_handle() { return handle_.get(); }

 private:
  struct Close {
    void operator()(sqlite3* handle) const { sqlite3_close_v2(handle); }
  };
  std::unique_ptr<sqlite3, Close> handle_;
};

// A prepared statement; parameters are bound in order: Statement(db, "...").Bind(1).Bind("a").Step(). Every
// function throws SqlError, except those that read columns.
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
  // Executes up to the next row. Returns whether there is one.
  bool Step();
  // Executes a statement that returns no rows.
  void Run() { Step(); }
  // A column of the current row, from 0.
  std::int64_t Int(int column) { return sqlite3_column_int64(statement_.get(), column); }
  // A column of the current row; valid until the next Step.
  std::string_view Text(int column);

 private:
  struct Finalize {
    void operator()(sqlite3_stmt* statement) const { sqlite3_finalize(statement); }
  };
  [[noreturn]] void Fail(int code);
  Database& database_;
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int bound_ = 0;
};

// A transaction, rolled back at the end of its scope unless committed.
class Transaction {
 public:
  // kWrite takes the write lock at once, kRead the read lock at the first read.
  enum class Kind { kRead, kWrite };
  // Begins a transaction. Throws SqlError. `database` must outlive this object.
  Transaction(Database& database, Kind kind);
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  // Commits. Throws SqlError: whether it took effect is then not known until the next transaction has begun.
  void Commit();

 private:
  Database& database_;
  bool committed_ = false;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_SQLITE_H_
