// The ledger's database schema, its migrations, and access to the key-value table `meta`.
//
// Tables, columns and keys keep the names under which earlier releases stored them. Those that differ from
// the names in the code: `cell` holds usage by class, `split` usage by group, `lives_us` the connection time
// that both must add up to, `book` the ledger's id, and `grp` a group's name.
#ifndef STOATRUN_LEDGER_IO_STORE_SCHEMA_H_
#define STOATRUN_LEDGER_IO_STORE_SCHEMA_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {

// The schema version that this release writes, stored in SQLite's `user_version`.
inline constexpr int kSchemaVersion = 2;

// Migrates the database to kSchemaVersion in one transaction. `path` is used in error messages. Throws
// StoreError kNewerSchema if a newer release wrote the file, and SqlError on database errors.
void MigrateSchema(Database& database, const std::string& path);

// The table of values by key. Usable inside and outside a transaction. All functions throw SqlError.
class MetaTable {
 public:
  static constexpr std::string_view kRelay = "relay";                 // The relay that owns the ledger.
  static constexpr std::string_view kLedgerId = "book";               // The ledger's random id.
  static constexpr std::string_view kHeadSeq = "head_seq";            // Number of the last record.
  static constexpr std::string_view kHeadHash = "head_hash";          // Hash of the last record.
  static constexpr std::string_view kDeliveredSeq = "delivered_seq";  // Last acknowledged record.

  // `database` must outlive this object.
  explicit MetaTable(Database& database) : database_(database) {}

  // Returns the value of `key`; empty if there is none.
  std::string Get(std::string_view key);
  // Returns the value of `key` as a number; 0 if there is none.
  std::uint64_t GetNumber(std::string_view key);
  // Inserts or replaces the value of `key`.
  void Set(std::string_view key, std::string_view value);

 private:
  Database& database_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_SCHEMA_H_
