// The exported records in the database: an append-only log, chained by hash.
#ifndef STOATRUN_LEDGER_IO_RECORD_LOG_H_
#define STOATRUN_LEDGER_IO_RECORD_LOG_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/io/sqlite.h"
#include "ledger/io/store_schema.h"
#include "ledger/record.h"

namespace stoatrun::ledger {

// A record as it was exported.
struct StoredRecord {
  std::uint64_t seq = 0;  // From 1, without gaps.
  std::string hash;       // SHA-256 in hexadecimal.
  std::string line;       // The whole line, its newline included.
};

// By what a record can be found, apart from its number.
struct RecordIndex {
  std::int64_t period_start_s = 0;  // 0: not of a period.
  std::string group;                // Empty: not of a group.
  std::string reference;            // Unique among the records; empty: none.
};

// The table of records. Every function works inside the transaction of its caller and throws SqlError. Of one
// thread at a time, as its database.
class RecordLog {
 public:
  // `database` must outlive this object.
  explicit RecordLog(Database& database) : database_(database), meta_(database) {}

  // Whose records are appended: the relay's name and the id of its ledger.
  void SetIdentity(const std::string& relay, const std::string& ledger_id);

  // Numbers `record`, chains it to the last one and appends it. Returns its number.
  std::uint64_t Append(wire::Record record, const RecordIndex& index = {});

  // Up to `max_records` records from number `from_seq` on.
  std::vector<StoredRecord> Read(std::uint64_t from_seq, std::size_t max_records);

  // The number of the record that was entered under `reference`.
  std::optional<std::int64_t> FindByReference(std::string_view reference);
  // The number of the first record of use of a group in a period.
  std::optional<std::uint64_t> FindUse(std::int64_t period_start_s, std::string_view group);
  // Whether record `seq` exists and has this hash.
  bool Contains(std::uint64_t seq, std::string_view hash);

 private:
  Database& database_;
  MetaTable meta_;
  std::string relay_, ledger_id_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_RECORD_LOG_H_
