// `stoatrun check`: validates the configuration and the operator file and prints their effective values,
// without starting the relay.
#include <iostream>

#include "cli/cli.h"
#include "config/config.h"
#include "config/operator_file.h"

namespace stoatrun::cli {

int Check(const GlobalOptions& options) {
  const config::OperatorFile file = LoadOperatorFile(options.operator_path);
  const Config config = LoadConfig(LoadAt::kStart);
  std::cout << "# configuration\nname: " << config.proxy_name << "\nlisten: " << config.listen_text;
  if (config.accept_fd) std::cout << " (handed down as descriptor " << *config.accept_fd << ")";
  std::cout << "\nmanagement: " << (config.management ? config.management_text : "none")
            << "\ndiscovery: " << config.discovery_text
            << "\nhosts known: " << config.cached_endpoints.entries.size() << "\nclasses:";
  for (const auto& name : config.settings.class_names) std::cout << ' ' << name;
  std::cout << "\n\n# operator file\n" << FormatOperatorFile(file);
  return kSuccess;
}

}  // namespace stoatrun::cli
