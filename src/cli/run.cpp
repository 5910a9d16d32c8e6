// `stoatrun run`: prepares the process, reads both files and serves.
#include <sys/resource.h>

#include <csignal>

#include "cli/cli.h"
#include "cli/relay_process.h"
#include "config/config.h"
#include "config/operator_file.h"

namespace stoatrun::cli {
namespace {

// Each client takes two descriptors; the shell's soft limit is often far below the hard limit.
void RaiseDescriptorLimit() {
  rlimit descriptors{};
  if (getrlimit(RLIMIT_NOFILE, &descriptors) == 0 && descriptors.rlim_cur < descriptors.rlim_max) {
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
  }
}

}  // namespace

int Run(const GlobalOptions& options) {
  // A reload signal before its handler is installed must not end the relay, as the default action would.
  std::signal(SIGHUP, SIG_IGN);
  RaiseDescriptorLimit();
  const config::OperatorFile operator_file = LoadOperatorFile(options.operator_path);
  const Config config = LoadConfig(LoadAt::kStart);
  ConfigureLog(operator_file.log(), config.log_level);
  RelayProcess(options.operator_path, config, operator_file).Serve();
  return kSuccess;
}

}  // namespace stoatrun::cli
