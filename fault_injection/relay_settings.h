// Writes the settings files of a relay process: the platform's configuration and the operator file.
#ifndef STOATRUN_FAULT_INJECTION_RELAY_SETTINGS_H_
#define STOATRUN_FAULT_INJECTION_RELAY_SETTINGS_H_

#include <cstddef>
#include <string>
#include <vector>

#include "harness.h"

namespace stoatrun::fault_injection {

// Paths of a relay's files.
RelayProcess::Files FilesOfRelay(const Harness& harness, const ManagedRelay& relay);
// Paths of the files of a duplicate process under its name.
RelayProcess::Files FilesOfDuplicate(const Harness& harness, const ManagedRelay& relay);

// Writes a relay's current settings to its files. Throws std::runtime_error if a file can't be written.
void WriteRelayFiles(const Harness& harness, const ManagedRelay& relay);
// The same for a duplicate process under its name.
void WriteDuplicateFiles(const Harness& harness, const ManagedRelay& relay);

// The servers as a relay's discovery list has them: the elements of a JSON array, without its brackets.
std::string ServerListJson(const Harness& harness, const ManagedRelay& relay,
                           const std::vector<std::size_t>& servers);
// The indices of all servers.
std::vector<std::size_t> AllServers(const Harness& harness);

}  // namespace stoatrun::fault_injection

#endif  // STOATRUN_FAULT_INJECTION_RELAY_SETTINGS_H_
