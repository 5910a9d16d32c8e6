// Export files: written completely or not at all, and read in bounded memory.
//
// Blocks on the disk: for command line programs, never the event loop.
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

// Writes the records from number `from_seq` on to `path` and returns the file's trailer. A temporary file in
// the same folder is written, synced and renamed over `path`, so that a reader finds the old file or the
// complete new one, also after a crash. Throws ExportError or StoreError; the old file is then
// untouched.
ExportTrailer WriteExport(Store& store, std::uint64_t from_seq, const std::string& path);

// Calls `callback` with every line of a file, including its newline. SIMDJSON_PADDING bytes beyond the line
// are readable. Throws ExportError: kSystem if the file can't be read, kLineTooLong for a line over 1 MiB.
void ForEachLine(const std::string& path, const std::function<void(std::string_view)>& callback);

// Reconciles files, and all *.jsonl files of folders, on `threads` threads. Files that are no exports are
// reported as faults.
ReconcileReport ReconcileFiles(const std::vector<std::string>& paths, unsigned threads);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_EXPORT_FILE_H_
