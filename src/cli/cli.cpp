#include "cli/cli.h"

#include <CLI/CLI.hpp>
#include <exception>
#include <functional>
#include <iostream>

#include "config/config.h"
#include "config/operator_file.h"
#include "ledger/io/store.h"

namespace stoatrun::cli {

int Main(int argc, char** argv) {
  CLI::App app("A relay for long-lived count sessions. Without a sub-command it does what `run` does.",
               "stoatrun");
  app.set_version_flag("--version", "stoatrun " STOATRUN_VERSION);
  app.require_subcommand(0, 1);
  app.fallthrough();
  Common common;
  app.add_option("--operator", common.operator_path, "operator file, in protobuf text format")
      ->envname("STOATRUN_OPERATOR")
      ->type_name("FILE");
  std::function<int()> act = [&] { return Run(common); };
  app.add_subcommand("run", "serve, configured by PROXY_CONFIG and the operator file")->callback([&] {
    act = [&] { return Run(common); };
  });
  app.add_subcommand("check", "read both files and print what would be in force")->callback([&] {
    act = [&] { return Check(common); };
  });
  AddLedger(app, common, act);
  AddFleet(app, act);
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& e) {
    return app.exit(e) == 0 ? kDone : kBadUsage;
  }
  try {
    return act();
  } catch (const CLI::Error& e) {
    std::cerr << "stoatrun: " << e.what() << '\n';
    return kBadUsage;
  } catch (const ledger::StoreError& e) {
    std::cerr << "stoatrun: " << e.what() << '\n';
    return e.code == ledger::StoreErrorCode::kRejected ? kBadUsage : kFailed;
  } catch (const ConfigError& e) {
    std::cerr << "stoatrun: bad configuration: " << e.what() << '\n';
    return kBadUsage;
  } catch (const OperatorFileError& e) {
    std::cerr << "stoatrun: bad operator file:\n" << e.what() << '\n';
    return kBadUsage;
  } catch (const std::exception& e) {
    std::cerr << "stoatrun: " << e.what() << '\n';
    return kFailed;
  }
}

}  // namespace stoatrun::cli
