// Translates the configuration and the operator file into the settings of the usage ledger. Pure, except for
// the random name of a new ledger.
#ifndef STOATRUN_CLI_LEDGER_SETUP_H_
#define STOATRUN_CLI_LEDGER_SETUP_H_

#include <cstdint>

#include "config/config.h"
#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "operator.pb.h"

namespace stoatrun::cli {

// The settings of the usage recorder. A group's share in the operator file takes precedence over its quota in
// the configuration, which covers all relays together and is divided among them.
ledger::UsageRecorderSetup MakeUsageRecorderSetup(const Config& config, const config::Ledger& file);

// The settings of the export client; `seed` feeds the jitter of its retries. `file` has been validated.
ledger::ExportClientSetup MakeExportClientSetup(const config::Receiver& file, std::uint64_t seed);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_LEDGER_SETUP_H_
