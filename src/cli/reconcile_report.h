// The report of `stoatrun ledger reconcile`: totals, corrections, unattested intervals and faults of many
// relays' exports. Pure.
#ifndef STOATRUN_CLI_RECONCILE_REPORT_H_
#define STOATRUN_CLI_RECONCILE_REPORT_H_

#include <ostream>

#include "cli/table.h"
#include "ledger/reconcile.h"

namespace stoatrun::cli {

// Prints a table for each part of `result`.
void PrintReconcileReport(std::ostream& out, const ledger::ReconcileReport& result, OutputFormat format);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_RECONCILE_REPORT_H_
