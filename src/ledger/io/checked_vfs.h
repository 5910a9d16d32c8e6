// A SQLite VFS shim that stores a checksum in each page of the main database file and verifies it on each
// read, so that corruption of any byte is detected. Reading a page with a wrong checksum fails with
// SQLITE_IOERR_DATA.
//
// The checksum is XXH3 over the page, seeded with the page number so that a page written to the wrong offset
// is detected, too. It occupies the last kReservedBytes of each page, which ReservePageChecksums makes SQLite
// leave unused. The rollback journal is passed through unchanged.
//
// Thread-safety: the shim is thread-safe; each connection must be used by one thread at a time.
#ifndef STOATRUN_LEDGER_IO_CHECKED_VFS_H_
#define STOATRUN_LEDGER_IO_CHECKED_VFS_H_

#include <sqlite3.h>

#include <cstdint>
#include <optional>
#include <string_view>

namespace stoatrun::ledger {

inline constexpr int kPageSize = 4096;    // Required page size of the database, in bytes.
inline constexpr int kReservedBytes = 8;  // At the end of each page, for its checksum.

// Returns the name of the checksum VFS on top of the VFS `base_name` (null: SQLite's default), and registers
// it on first use. The name stays valid until a VFS of the same base name is registered anew. Throws
// std::runtime_error if the base VFS does not exist.
const char* CheckedVfsName(const char* base_name);

// Reserves the space for the checksums. Must be the first call on a new connection. Throws SqlError.
void ReservePageChecksums(sqlite3* database);

// Returns whether a page of kPageSize bytes matches its checksum; pages are numbered from 1. A page of zeros
// has never been written and counts as valid.
bool IsPageValid(std::string_view page, std::uint64_t number);

// Reads every page of the main database, including unused ones, and returns the number of the first invalid
// page, from 1. The caller must hold a lock on the database. Reads through the connection's own file handle,
// because opening and closing the file once more would release all POSIX locks that this process holds on it.
// Throws SqlError if the file can't be read.
std::optional<std::uint64_t> FindInvalidPage(sqlite3* database);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_CHECKED_VFS_H_
