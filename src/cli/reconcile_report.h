// The report of `stoatrun ledger reconcile`: totals, corrections, unattested intervals and faults in the
// exports of many relays.
#ifndef STOATRUN_CLI_RECONCILE_REPORT_H_
#define STOATRUN_CLI_RECONCILE_REPORT_H_

#include <ostream>

#include "cli/table.h"
#include "ledger/reconcile.h"

namespace stoatrun::cli {

// Prints `result` as four tables: totals, corrections, unattested intervals and faults.
void PrintReconcileReport(std::ostream& out, const ledger::ReconcileReport& result, OutputFormat format);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_RECONCILE_REPORT_H_
