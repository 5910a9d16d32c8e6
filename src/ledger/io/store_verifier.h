// Verification of a ledger's database: pages, SQLite's own structures, the records' hash chain and the sums.
#ifndef STOATRUN_LEDGER_IO_STORE_VERIFIER_H_
#define STOATRUN_LEDGER_IO_STORE_VERIFIER_H_

#include <string>
#include <vector>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {

// Runs all checks in one read transaction, so that no page changes meanwhile. Returns a description of each
// fault for the operator; faults of the file itself include `path`. SQLite errors during the checks are
// reported as faults; throws SqlError only if the transaction cannot be started.
std::vector<std::string> VerifyDatabase(Database& database, const std::string& path);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_VERIFIER_H_
