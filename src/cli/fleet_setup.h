// Derives the settings of the fleet's gossip from the configuration and the operator file. The functions have
// no side effects; besides their arguments they use a random seed and the wall-clock time.
#ifndef STOATRUN_CLI_FLEET_SETUP_H_
#define STOATRUN_CLI_FLEET_SETUP_H_

#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "fleet/io/gossip_transport.h"

namespace stoatrun::cli {

// Returns the settings of this relay's gossip transport. `section` must have been validated. Throws
// OperatorFileError if the relay is not among the peers.
fleet::GossipTransportSetup MakeGossipTransportSetup(const Config& config, const config::Fleet& section);

// Returns the groups that have a fleet-wide connection quota.
std::vector<std::string> FleetQuotaGroups(const Config& config, const config::Fleet& section);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_SETUP_H_
