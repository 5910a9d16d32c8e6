// The database schema of the ledger, its migrations, and its table of single values.
//
// Names of tables, columns and keys are those of the stored data; releases before the present one wrote them.
// Where they differ from the code's names: `cell` holds usage by class, `split` usage by group, `lives_us`
// the connection time that both must add up to, `book` the ledger's id, `grp` a group's name.
#ifndef STOATRUN_LEDGER_IO_STORE_SCHEMA_H_
#define STOATRUN_LEDGER_IO_STORE_SCHEMA_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {

// The version of the schema that this release writes, kept in SQLite's `user_version`.
inline constexpr int kSchema = 2;

// Migrates the database to kSchema, all steps in one transaction. `path` is for error texts. Throws
// StoreError kNewerSchema if a newer release wrote the file, else SqlError.
void MigrateSchema(Database& database, const std::string& path);

// Single values by key. Inside or outside a transaction of the caller's; throws SqlError.
class MetaTable {
 public:
  static constexpr std::string_view kRelay = "relay";                 // The relay whose ledger it is.
  static constexpr std::string_view kLedgerId = "book";               // The random id of this ledger.
  static constexpr std::string_view kHeadSeq = "head_seq";            // Number of the last record.
  static constexpr std::string_view kHeadHash = "head_hash";          // Hash of the last record.
  static constexpr std::string_view kDeliveredSeq = "delivered_seq";  // The last one the receiver holds.

  // `database` must outlive this object.
  explicit MetaTable(Database& database) : database_(database) {}

  // The value of `key`; empty if there is none.
  std::string Get(std::string_view key);
  // The value of `key` as a number; 0 if there is none.
  std::uint64_t GetNumber(std::string_view key);
  // Sets or replaces the value of `key`.
  void Set(std::string_view key, std::string_view value);

 private:
  Database& database_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_SCHEMA_H_
