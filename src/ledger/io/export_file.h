// Export files: written whole or not at all, and read in bounded memory.
#ifndef STOATRUN_LEDGER_IO_EXPORT_FILE_H_
#define STOATRUN_LEDGER_IO_EXPORT_FILE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "ledger/io/store.h"
#include "ledger/reconcile.h"

namespace stoatrun::ledger {

// Writes the records from `from_seq` on to `path`: to a file beside it, synced, then renamed over it, so that
// a reader finds the old file or the whole new one. Throws std::runtime_error or StoreError; the old file is
// then untouched. Gives what was written.
ExportTrailer WriteExport(Store& store, std::uint64_t from_seq, const std::string& path);

// Calls `each` with every line, its end included; SIMDJSON_PADDING bytes after it may be read. Throws
// std::runtime_error where the file can't be read.
void EachLine(const std::string& path, const std::function<void(std::string_view)>& each);

// Reconciles files, and all *.jsonl files of folders. Files that are no exports are told as faults.
ReconcileReport ReconcileFiles(const std::vector<std::string>& paths, unsigned threads);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_EXPORT_FILE_H_
