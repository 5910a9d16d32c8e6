// A layer under SQLite that keeps a checksum in each page of the main database file, so that no byte of it
// can change unseen. A page that does not agree is not read: SQLite reports SQLITE_IOERR_DATA.
//
// The database must have pages of kPageSize with kReserved bytes left free at their end (Prepare). Its
// method: XXH3 over the page and its place, as a page at another place is wrong, too. The rollback journal
// goes through unchanged.
#ifndef STOATRUN_LEDGER_IO_CHECKED_VFS_H_
#define STOATRUN_LEDGER_IO_CHECKED_VFS_H_

#include <sqlite3.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace stoatrun::ledger {

inline constexpr int kPageSize = 4096;
inline constexpr int kReserved = 8;

// The name of the checked layer over the VFS `base` (null: the system's), registered at the first call. The
// name is good as long as the process.
const char* CheckedVfs(const char* base);
// To be called on a new connection before anything else. Throws SqlError.
void Prepare(sqlite3* db);

// Is this page, of kPageSize bytes, as it was written? A page of zeros was never written and is.
bool IsPageValid(std::string_view page, std::uint64_t number);

// Reads every page of the main database, also those that no table uses; gives the number of the first that
// does not hold, from 1. By the connection's own file: opening the file once more and closing it would drop
// the locks of the whole process. Throws SqlError if it can't be read.
std::optional<std::uint64_t> FindInvalidPage(sqlite3* db);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_CHECKED_VFS_H_
