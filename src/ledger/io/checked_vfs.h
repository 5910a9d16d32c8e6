// A SQLite VFS layer that keeps a checksum in each page of the main database file, so that no byte of it can
// change unnoticed. A page whose checksum is wrong is not read: SQLite reports SQLITE_IOERR_DATA.
//
// The checksum is XXH3 over the page, seeded with its number, since a page at another page's place is wrong,
// too. It lies in kReservedBytes at the end of each page, which ReservePageChecksums makes SQLite leave free.
// The rollback journal passes through unchanged.
//
// The layer itself is thread-safe; each connection is used by one thread at a time.
#ifndef STOATRUN_LEDGER_IO_CHECKED_VFS_H_
#define STOATRUN_LEDGER_IO_CHECKED_VFS_H_

#include <sqlite3.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace stoatrun::ledger {

inline constexpr int kPageSize = 4096;    // The page size that the database must have, in bytes.
inline constexpr int kReservedBytes = 8;  // Of each page, for its checksum.

// The name of the checksum layer over the VFS `base_name` (null: the system's), registered at the first call.
// The name is valid as long as the process. Throws std::runtime_error if there is no such VFS.
const char* CheckedVfs(const char* base_name);

// Reserves the checksums' bytes. To be called on a new connection before anything else. Throws SqlError.
void ReservePageChecksums(sqlite3* database);

// Whether the page of kPageSize bytes with this number, from 1, is as it was written. A page of zeros, which
// was never written, is.
bool IsPageValid(std::string_view page, std::uint64_t number);

// Reads every page of the main database, also those that no table uses, and returns the number of the first
// invalid one, from 1. The caller must hold a lock on the database. Reads through the connection's own file:
// opening the file once more and closing it would drop the POSIX locks of the whole process. Throws SqlError
// if it can't be read.
std::optional<std::uint64_t> FindInvalidPage(sqlite3* database);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_CHECKED_VFS_H_
