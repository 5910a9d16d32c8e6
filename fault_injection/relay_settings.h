// The files from which a relay process reads its settings: the platform's configuration and the operator
// file.
#ifndef STOATRUN_FAULT_INJECTION_RELAY_SETTINGS_H_
#define STOATRUN_FAULT_INJECTION_RELAY_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "harness.h"

namespace stoatrun::fault_injection {

// Where the files of a relay lie.
RelayProcess::Files FilesOfRelay(const Harness& harness, const ManagedRelay& relay);
// Where those of a duplicate process under its name lie.
RelayProcess::Files FilesOfDuplicate(const Harness& harness, const ManagedRelay& relay);

// Writes a relay's settings there as they are now. Throws std::runtime_error if a file can't be written.
void WriteRelayFiles(const Harness& harness, const ManagedRelay& relay);
// The same for a duplicate process under its name.
void WriteDuplicateFiles(const Harness& harness, const ManagedRelay& relay);

// The JSON array's inside that lists these servers to a relay.
std::string ServerListJson(const Harness& harness, const ManagedRelay& relay,
                           const std::vector<std::size_t>& servers);
// The indices of all servers.
std::vector<std::size_t> AllServers(const Harness& harness);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_RELAY_SETTINGS_H_
