#include "cli/cli.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <iostream>

#include "config/config.h"
#include "config/operator_file.h"
#include "ledger/io/store.h"

namespace stoatrun::cli {
namespace {

void AddCommands(CLI::App& app, GlobalOptions& options, Command& selected) {
  app.set_version_flag("--version", "stoatrun " STOATRUN_VERSION);
  app.require_subcommand(0, 1);
  app.fallthrough();
  app.add_option("--operator", options.operator_path, "operator file, in protobuf text format")
      ->envname("STOATRUN_OPERATOR")
      ->type_name("FILE");
  app.add_subcommand("run", "serve, configured by PROXY_CONFIG and the operator file")->callback([&] {
    selected = [&options] { return Run(options); };
  });
  app.add_subcommand("check", "validate PROXY_CONFIG and the operator file, print the effective settings")
      ->callback([&] { selected = [&options] { return Check(options); }; });
  AddLedgerCommands(app, options, selected);
  AddFleetCommands(app, selected);
}

// Runs `command` and returns its exit code. Prints an exception and returns the exit code for its type.
int RunCommand(const Command& command) {
  try {
    return command();
  } catch (const CLI::Error& error) {
    std::cerr << "stoatrun: " << error.what() << '\n';
    return kUsageError;
  } catch (const ledger::StoreError& error) {
    std::cerr << "stoatrun: " << error.what() << '\n';
    return error.code == ledger::StoreErrorCode::kRejected ? kUsageError : kFailure;
  } catch (const ConfigError& error) {
    std::cerr << "stoatrun: bad configuration: " << error.what() << '\n';
    return kUsageError;
  } catch (const OperatorFileError& error) {
    std::cerr << "stoatrun: bad operator file:\n" << error.what() << '\n';
    return kUsageError;
  } catch (const std::exception& error) {
    std::cerr << "stoatrun: " << error.what() << '\n';
    return kFailure;
  }
}

}  // namespace

int Main(int argc, char** argv) {
  CLI::App app("A relay for long-lived count sessions. Without a sub-command it executes `run`.", "stoatrun");
  GlobalOptions options;
  Command selected = [&options] { return Run(options); };
  AddCommands(app, options, selected);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kSuccess : kUsageError;
  }
  return RunCommand(selected);
}

}  // namespace stoatrun::cli
