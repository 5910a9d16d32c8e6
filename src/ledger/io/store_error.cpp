#include "ledger/io/store_error.h"

#include <fmt/format.h>

#include <array>

namespace stoatrun::ledger {
namespace {

constexpr int kPrimaryCodeMask = 0xff;  // The low byte of an extended result code is the primary code.

StoreErrorCode ErrorCodeFromSqlite(int sqlite_code) {
  switch (sqlite_code & kPrimaryCodeMask) {
    case SQLITE_FULL:
      return StoreErrorCode::kFull;
    case SQLITE_READONLY:
    case SQLITE_PERM:
    case SQLITE_CANTOPEN:
      return StoreErrorCode::kReadOnly;
    case SQLITE_CORRUPT:
    case SQLITE_NOTADB:
      return StoreErrorCode::kCorrupt;
    case SQLITE_BUSY:
    case SQLITE_LOCKED:
      return StoreErrorCode::kLocked;
    default:
      return sqlite_code == SQLITE_IOERR_DATA ? StoreErrorCode::kCorrupt : StoreErrorCode::kIo;
  }
}

}  // namespace

std::string_view StoreErrorName(StoreErrorCode code) {
  constexpr std::array<std::string_view, 8> kNames{"full",  "io_error", "read_only", "foreign",
                                                   "taken", "newer",    "damaged",   "refused"};
  return kNames[static_cast<std::size_t>(code)];
}

StoreError ToStoreError(const SqlError& error, const std::string& path) {
  return {ErrorCodeFromSqlite(error.code), fmt::format("{}: {} ({})", path, error.what(), error.code)};
}

}  // namespace stoatrun::ledger
