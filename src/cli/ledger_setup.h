// From both files to the ledger's own settings.
#ifndef STOATRUN_CLI_LEDGER_SETUP_H_
#define STOATRUN_CLI_LEDGER_SETUP_H_

#include "config/config.h"
#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "operator.pb.h"

namespace stoatrun::cli {

// A share of the operator file goes before the settings' quota, which is that of all relays together.
ledger::UsageRecorderSetup MakeUsageRecorderSetup(const Config& config, const config::Ledger& file);
ledger::ExportClientSetup MakeExportClientSetup(const config::Receiver& file, std::uint64_t seed);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_LEDGER_SETUP_H_
