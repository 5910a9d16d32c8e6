// Export files: written atomically and read in bounded memory.
//
// Functions block on disk I/O: for command line programs, never the event loop.
#ifndef STOATRUN_LEDGER_IO_EXPORT_FILE_H_
#define STOATRUN_LEDGER_IO_EXPORT_FILE_H_

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/io/store.h"
#include "ledger/reconcile.h"

namespace stoatrun::ledger {

// Writes all records from number `from_seq` on to `path` and returns the file's trailer. A temporary file in
// the same folder is written, synced and renamed to `path`, so that readers see either the old file or the
// complete new one, even after a crash. Throws ExportError or StoreError if the records cannot be written or
// the file cannot be renamed; the old file is then unchanged. Throws ExportError, too, if syncing the folder
// fails after the rename.
ExportTrailer WriteExport(Store& store, std::uint64_t from_seq, const std::string& path);

// Calls `callback` with every line of a file, including its newline. SIMDJSON_PADDING bytes beyond the line
// are readable. Throws ExportError: kSystem if the file can't be read, kLineTooLong for a line over 1 MiB.
void ForEachLine(const std::string& path, const std::function<void(std::string_view)>& callback);

// Reconciles the given files and the *.jsonl files in the given folders, on `threads` threads. Files that are
// not exports are reported as faults.
ReconcileReport ReconcileFiles(const std::vector<std::string>& paths, unsigned threads);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_EXPORT_FILE_H_
