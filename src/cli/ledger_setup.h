// Derives the settings of the usage ledger from the configuration and the operator file. The functions have
// no side effects; their only input besides the arguments is the random id of a new ledger.
#ifndef STOATRUN_CLI_LEDGER_SETUP_H_
#define STOATRUN_CLI_LEDGER_SETUP_H_

#include <cstdint>

#include "config/config.h"
#include "ledger/io/export_client.h"
#include "ledger/io/usage_recorder.h"
#include "operator.pb.h"

namespace stoatrun::cli {

// Returns the settings of the usage recorder. A group's quota in the configuration covers all relays together
// and is divided among them; a share for the group in the operator file takes precedence.
ledger::UsageRecorderSetup MakeUsageRecorderSetup(const Config& config, const config::Ledger& section);

// Returns the settings of the export client. `section` must have been validated; `seed` is the seed for the
// jitter of retries.
ledger::ExportClientSetup MakeExportClientSetup(const config::Receiver& section, std::uint64_t seed);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_LEDGER_SETUP_H_
