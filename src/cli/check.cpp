// `stoatrun check`: what both files would put in force, without starting anything.
#include <iostream>

#include "cli/cli.h"
#include "config/config.h"
#include "config/operator_file.h"

namespace stoatrun::cli {

int Check(const Common& common) {
  const config::OperatorFile file = LoadOperatorFile(common.operator_path);
  const Config config = LoadConfig(LoadAt::kStart);
  std::cout << "# configuration\nname: " << config.proxy_name << "\nlisten: " << config.listen_text;
  if (config.accept_fd) std::cout << " (handed down as descriptor " << *config.accept_fd << ")";
  std::cout << "\nmanagement: " << (config.management ? config.management_text : "none")
            << "\ndiscovery: " << config.discovery_text
            << "\nhosts known: " << config.cached_endpoints.entries.size() << "\nclasses:";
  for (const auto& name : config.settings.class_names) std::cout << ' ' << name;
  std::cout << "\n\n# operator file\n" << FormatOperatorFile(file);
  return kDone;
}

}  // namespace stoatrun::cli
