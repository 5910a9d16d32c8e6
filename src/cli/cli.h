// The command line: the top level, and what the files of the sub-commands share.
//
// Each sub-command has a file of its own. Errors are exceptions up to Main, which prints them on standard
// error and maps them to exit codes. Everything runs on the main thread unless a command says otherwise.
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
  kFailure = 1,      // An error at run time.
  kUsageError = 2,   // Bad arguments, configuration or operator file.
  kCheckFailed = 3,  // A check ran and found something wrong.
};

// Options that all sub-commands take.
struct GlobalOptions {
  std::string operator_path;  // From --operator or STOATRUN_OPERATOR; empty: no operator file.
};

// A sub-command with its options bound; returns the exit code.
using Command = std::function<int()>;

// Parses the arguments, runs the command and returns the exit code. Does not throw.
int Main(int argc, char** argv);

// `run`: serves until a signal ends it. Throws ConfigError, OperatorFileError and std::system_error.
int Run(const GlobalOptions& options);
// `check`: prints both files as they would be in force. Throws ConfigError and OperatorFileError.
int Check(const GlobalOptions& options);

// Adds `ledger` with its own sub-commands to `app`. Parsing sets `selected` to the one that is called;
// `options` and `selected` outlive the parsing and the call.
void AddLedger(CLI::App& app, const GlobalOptions& options, Command& selected);
// Adds `fleet` likewise.
void AddFleet(CLI::App& app, Command& selected);

}  // namespace stoatrun::cli

#endif  // STOATRUN_CLI_CLI_H_
