// Errors of the ledger's store.
#ifndef STOATRUN_LEDGER_IO_STORE_ERROR_H_
#define STOATRUN_LEDGER_IO_STORE_ERROR_H_

#include <stdexcept>
#include <string>
#include <string_view>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {

// Why an operation of the store failed.
enum class StoreErrorCode {
  kFull,         // The disk or the disk quota is full.
  kIo,           // A read or write failed.
  kReadOnly,     // The folder or file cannot be opened or written.
  kWrongRelay,   // The folder contains another relay's ledger.
  kLocked,       // Another process has locked the folder or the database.
  kNewerSchema,  // The file was written by a newer release.
  kCorrupt,      // A checksum or consistency check failed.
  kRejected      // The request is invalid, for example a correction of an open period.
};

// The name of the code in log lines, for example `io_error`. Operators' alerts match these names.
std::string_view StoreErrorName(StoreErrorCode code);

// Thrown by all functions of Store. what() describes the cause, with the file where there is one.
class StoreError : public std::runtime_error {
 public:
  StoreError(StoreErrorCode error_code, const std::string& what)
      : std::runtime_error(what), code(error_code) {}

  StoreErrorCode code;
};

// Converts a SQLite error on the database at `path`.
StoreError ToStoreError(const SqlError& error, const std::string& path);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_ERROR_H_
