// SQLite with owned handles, and errors as exceptions.
#ifndef STOATRUN_LEDGER_IO_SQLITE_H_
#define STOATRUN_LEDGER_IO_SQLITE_H_

#include <sqlite3.h>

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>

namespace stoatrun::ledger {

// `code` is SQLite's extended result code.
class SqlError : public std::runtime_error {
 public:
  SqlError(int result, const std::string& what) : std::runtime_error(what), code(result) {}
  int code;
};

class Sql {
 public:
  // Throws SqlError. `vfs`: null for the system's.
  Sql(const std::string& path, int flags, const char* vfs);
  void Do(const char* sql);  // Statements without values; throws SqlError.
  sqlite3* native_handle() { return db_.get(); }
  std::int64_t Changes() { return sqlite3_changes64(db_.get()); }

 private:
  struct Close {
    void operator()(sqlite3* db) const { sqlite3_close_v2(db); }
  };
  std::unique_ptr<sqlite3, Close> db_;
};

// A prepared statement, bound in order: Query(db, "...").Bind(1).Bind("a").Step().
class Query {
 public:
  Query(Sql& db, std::string_view sql);
  Query& Bind(std::int64_t value);
  Query& Bind(std::string_view value);  // Copied.
  Query& BindNull();
  bool Step();  // Whether there is a row. Throws SqlError.
  void Run() { Step(); }
  std::int64_t Int(int column) { return sqlite3_column_int64(statement_.get(), column); }
  // Good until the next Step.
  std::string_view Text(int column);
  bool IsNull(int column) { return sqlite3_column_type(statement_.get(), column) == SQLITE_NULL; }

 private:
  struct Finalize {
    void operator()(sqlite3_stmt* s) const { sqlite3_finalize(s); }
  };
  void Fail(int code);
  Sql& db_;
  std::unique_ptr<sqlite3_stmt, Finalize> statement_;
  int bound_ = 0;
};

// Rolled back when it goes, unless committed.
class Transaction {
 public:
  enum class Kind { kRead, kWrite };
  Transaction(Sql& db, Kind kind) : db_(db) { db.Do(kind == Kind::kWrite ? "BEGIN IMMEDIATE" : "BEGIN"); }
  ~Transaction();
  Transaction(const Transaction&) = delete;
  Transaction& operator=(const Transaction&) = delete;
  // Throws SqlError: whether it took place is then not known, until the next transaction has begun.
  void Commit() {
    db_.Do("COMMIT");
    done_ = true;
  }

 private:
  Sql& db_;
  bool done_ = false;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_SQLITE_H_
