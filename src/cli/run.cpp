// `stoatrun run`: sets up the process, loads the configuration and the operator file, and serves.
#include <sys/resource.h>

#include <csignal>

#include "cli/cli.h"
#include "cli/relay_process.h"
#include "config/config.h"
#include "config/operator_file.h"

namespace stoatrun::cli {
namespace {

// Raises the soft limit on file descriptors to the hard limit: each client uses two descriptors, and the soft
// limit that a shell sets is often far below the hard limit.
void RaiseDescriptorLimit() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < limit.rlim_max) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

}  // namespace

int Run(const GlobalOptions& options) {
  // The default action of SIGHUP terminates the process; a reload signal that arrives before its handler is
  // installed is ignored instead.
  std::signal(SIGHUP, SIG_IGN);
  RaiseDescriptorLimit();
  const config::OperatorFile operator_file = LoadOperatorFile(options.operator_path);
  const Config config = LoadConfig(LoadAt::kStart);
  ConfigureLog(operator_file.log(), config.log_level);
  RelayProcess(options.operator_path, config, operator_file).Serve();
  return kSuccess;
}

}  // namespace stoatrun::cli
