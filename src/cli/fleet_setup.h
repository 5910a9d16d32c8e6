// Translates the configuration and the operator file into the settings of the fleet's gossip. Pure, except
// for the seed and the start time, which are read here.
#ifndef STOATRUN_CLI_FLEET_SETUP_H_
#define STOATRUN_CLI_FLEET_SETUP_H_

#include <string>
#include <vector>

#include "config/config.h"
#include "config/operator_file.h"
#include "fleet/io/gossip_transport.h"

namespace stoatrun::cli {

// The settings of this relay's gossip transport. Throws OperatorFileError if the relay is not named among the
// peers. `file` has been validated.
fleet::GossipTransportSetup MakeGossipTransportSetup(const Config& config, const config::Fleet& file);

// The groups whose connections count against a quota of the whole fleet.
std::vector<std::string> FleetQuotaGroups(const Config& config, const config::Fleet& file);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_FLEET_SETUP_H_
