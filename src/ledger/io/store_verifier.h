// Verification of a ledger's database: pages, SQLite's own structures, the chain of records, the sums.
#ifndef STOATRUN_LEDGER_IO_STORE_VERIFIER_H_
#define STOATRUN_LEDGER_IO_STORE_VERIFIER_H_

#include <string>
#include <vector>

#include "ledger/io/sqlite.h"

namespace stoatrun::ledger {

// Checks everything inside one read transaction, so that no page changes meanwhile. Returns what is wrong as
// sentences for the operator, each damage of the file with `path`; empty if nothing is. An error of SQLite
// while checking is a finding; throws SqlError only if the transaction can't begin.
std::vector<std::string> VerifyDatabase(Database& database, const std::string& path);

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_STORE_VERIFIER_H_
