// The table of exported records: an append-only log, chained by hash.
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

// A record as exported.
struct StoredRecord {
  std::uint64_t seq = 0;  // Starts at 1, without gaps.
  std::string hash;       // SHA-256 in hexadecimal.
  std::string line;       // The complete line, including its newline.
};

// Keys by which a record can be found besides its number.
struct RecordIndex {
  std::int64_t period_start_s = 0;  // 0: not about a period.
  std::string group;                // Empty: not about a group.
  std::string reference;            // Unique among all records; empty: none.
};

// Access to the table of records. Functions run inside the caller's transaction, if there is one, and throw
// SqlError. Must be used by one thread at a time, like its database.
class RecordLog {
 public:
  // `database` must outlive this object.
  explicit RecordLog(Database& database) : database_(database), meta_(database) {}

  // Sets the relay's name and the ledger's id that Append writes into records.
  void SetIdentity(const std::string& relay, const std::string& ledger_id);

  // Numbers `record`, chains it to the last record and appends it. Must be called inside a transaction.
  // Returns the record's number.
  std::uint64_t Append(wire::Record record, const RecordIndex& index = {});

  // Returns up to `max_records` records, starting with number `from_seq`.
  std::vector<StoredRecord> Read(std::uint64_t from_seq, std::size_t max_records);

  // Returns the number of the record with this reference.
  std::optional<std::int64_t> FindByReference(std::string_view reference);
  // Returns the number of the first usage record of a group in a period.
  std::optional<std::uint64_t> FindUse(std::int64_t period_start_s, std::string_view group);
  // Returns whether record `seq` exists and has this hash.
  bool Contains(std::uint64_t seq, std::string_view hash);

 private:
  Database& database_;
  MetaTable meta_;
  std::string relay_, ledger_id_;
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_RECORD_LOG_H_
