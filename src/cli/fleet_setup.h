// From the two files to the fleet's socket.
#ifndef STOATRUN_CLI_FLEET_SETUP_H_
#define STOATRUN_CLI_FLEET_SETUP_H_

#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "fleet/io/gossip_transport.h"

namespace stoatrun::cli {

// Throws OperatorFileError if this relay is not named among the peers.
fleet::GossipTransportSetup FleetSetupOf(const Config& config, const config::Fleet& file);

// The groups whose connections count against a budget of all relays.
std::vector<std::string> QuotasOf(const Config& config, const config::Fleet& file);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_SETUP_H_
