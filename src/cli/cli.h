// The command-line interface: the top-level parser and the declarations that the sub-commands share.
//
// Each sub-command is implemented in its own file. Errors propagate as exceptions to Main, which prints them
// on standard error and maps them to exit codes. Everything runs on the main thread unless a command says
// otherwise.
#ifndef STOATRUN_CLI_CLI_H_
#define STOATRUN_CLI_CLI_H_

#include <functional>
#include <string>

namespace CLI {  // NOLINT(readability-identifier-naming): the name of the CLI11 library.
class App;
}

namespace stoatrun::cli {

// Exit codes of the program.
enum ExitCode {
  kSuccess = 0,
  kFailure = 1,      // A run-time error.
  kUsageError = 2,   // Invalid arguments, configuration or operator file.
  kCheckFailed = 3,  // A check completed and found problems.
};

// Options accepted by all sub-commands.
struct GlobalOptions {
  std::string operator_path;  // --operator or STOATRUN_OPERATOR; empty if there is no operator file.
};

// A sub-command bound to its options; returns the exit code.
using Command = std::function<int()>;

// Parses the arguments, runs the command and returns the exit code. Does not throw.
int Main(int argc, char** argv);

// `run`: serves until SIGTERM or SIGINT. Throws ConfigError, OperatorFileError and std::system_error.
int Run(const GlobalOptions& options);
// `check`: prints the effective configuration and operator file. Throws ConfigError and OperatorFileError.
int Check(const GlobalOptions& options);

// Adds `ledger` and its sub-commands to `app`. Parsing sets `selected` to the invoked sub-command; `options`
// and `selected` must outlive both the parsing and the execution of the command.
void AddLedgerCommands(CLI::App& app, const GlobalOptions& options, Command& selected);
// Adds `fleet` and its sub-commands, as AddLedgerCommands does.
void AddFleetCommands(CLI::App& app, Command& selected);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_CLI_H_
