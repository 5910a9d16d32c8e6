// `stoatrun fleet ...`: prints and checks the fleet status that relays report through their admin servers.
#include <fmt/format.h>
#include <simdjson.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <exception>
#include <iostream>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "cli/cli.h"
#include "cli/fleet_check.h"
#include "cli/fleet_status.h"
#include "cli/http_get.h"
#include "cli/table.h"

namespace stoatrun::cli {
namespace {

struct Options {
  std::vector<std::string> addresses;
  std::string format = "table";
  std::uint32_t timeout_ms = 2000;
};

// Returns the status document of the relay at `target`. Throws CLI::ValidationError if the address is
// malformed and std::runtime_error with the reason if the request fails.
std::string FetchStatus(const std::string& target, const Options& options) {
  const auto address = Address::Parse(target);
  if (!address) throw CLI::ValidationError("--address", "expected IP:PORT, got '" + target + "'");
  try {
    const HttpResponse response =
        HttpGet(*address, "/v1/fleet", std::chrono::milliseconds(options.timeout_ms));
    if (response.status == 404) throw std::runtime_error("the relay runs without a fleet section");
    if (response.status != 200) throw std::runtime_error(fmt::format("HTTP status {}", response.status));
    return response.body;
  } catch (const std::exception& e) {
    throw std::runtime_error(target + ": " + e.what());
  }
}

int PrintStatus(const Options& options) {
  const bool json = ParseOutputFormat(options.format) == OutputFormat::kJson;
  for (const std::string& target : options.addresses) {
    const std::string document = FetchStatus(target, options);
    if (json) {
      std::cout << document;
      continue;
    }
    simdjson::dom::parser parser;
    PrintFleetStatus(std::cout, parser.parse(document));
  }
  return kSuccess;
}

void PrintFindings(const std::vector<FleetFinding>& findings, OutputFormat format) {
  Table table({"relay", "wrong"}, Table::kNoRightAligned);
  for (const auto& [relay, problem] : findings) table.AddRow({relay, problem});
  if (format == OutputFormat::kJson || !table.Empty()) table.Print(std::cout, format);
}

int CheckFleet(const Options& options) {
  FleetCheck check;
  std::size_t answered = 0;
  for (const std::string& target : options.addresses) {
    std::string document;
    try {
      document = FetchStatus(target, options);
    } catch (const CLI::Error&) {
      throw;
    } catch (const std::exception& e) {
      check.AddUnreachable(target, e.what());
      continue;
    }
    ++answered;
    simdjson::dom::parser parser;
    check.AddStatus(parser.parse(document));
  }
  check.CompareRelays();
  const std::vector<FleetFinding>& findings = check.Findings();
  PrintFindings(findings, ParseOutputFormat(options.format));
  std::cerr << fmt::format("{} of {} relays answered, {} problems found\n", answered,
                           options.addresses.size(), findings.size());
  return findings.empty() ? kSuccess : kCheckFailed;
}

}  // namespace

void AddFleetCommands(CLI::App& app, Command& selected) {
  auto options = std::make_shared<Options>();
  CLI::App* fleet =
      app.add_subcommand("fleet", "fleet status of relays, requested from their admin addresses");
  fleet->require_subcommand(1);
  const auto add = [&](const char* name, const char* description, int (*handler)(const Options&)) {
    CLI::App* command = fleet->add_subcommand(name, description);
    command
        ->add_option("--address", options->addresses,
                     "admin address (management) of a relay, IP:PORT; repeat for several")
        ->required();
    command->add_option("--format", options->format, "table or json")
        ->check(CLI::IsMember({"table", "json"}));
    command->add_option("--wait-ms", options->timeout_ms, "time-out of a request, in milliseconds")
        ->check(CLI::Range(10, 600000));
    command->callback(
        [&selected, options, handler] { selected = [options, handler] { return handler(*options); }; });
  };
  add("status", "print members, budgets, leases, totals, health verdicts and ignored datagrams", PrintStatus);
  add("check", "check relays for problems and for different settings; exit 3 if any are found", CheckFleet);
}

}  // namespace stoatrun::cli
