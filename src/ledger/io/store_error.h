// The error type of the ledger's store.
#ifndef STOATRUN_LEDGER_IO_STORE_ERROR_H_
#define STOATRUN_LEDGER_IO_STORE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {

// Why an operation of the store failed.
enum class StoreErrorCode {
  kFull,         // No space is left on the disk.
  kIo,           // Reading or writing failed.
  kReadOnly,     // The folder or file can't be opened or written.
  kWrongRelay,   // The folder holds the ledger of another relay.
  kLocked,       // Another process uses the folder or holds the database's lock.
  kNewerSchema,  // The file was written by a newer release.
  kCorrupt,      // The contents fail a checksum or a consistency check.
  kRejected      // The request itself is not acceptable, for example a correction of an open period.
};

// The code as written in log lines, such as `io_error`.
std::string_view StoreErrorName(StoreErrorCode code);

// Thrown by all functions of Store; what() names the file and the cause.
class StoreError : public std::runtime_error {
 public:
  // An error with an explanation for the operator.
  StoreError(StoreErrorCode error_code, const std::string& what)
      : std::runtime_error(what), code(error_code) {}

  StoreErrorCode code;
};

// The store error that corresponds to a SQLite error on the database at `path`.
StoreError ToStoreError(const SqlError& error, const std::string& path);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_ERROR_H_
