// `stoatrun_fault_injection run [FILE]` runs a schedule with real processes and checks the resulting history;
// `stoatrun_fault_injection check FILE` checks a recorded history; `stoatrun_fault_injection late-notice
// FAULT` measures how long relays go on to use an endpoint after its drain counts as known. Exit status: 0 if
// all bounds hold, 2 for an error, 3 if a bound was violated or a process crashed.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>
#include <vector>

#include "history/history_checker.h"
#include "late_notice/late_notice.h"
#include "process_fleet.h"
#include "simulation/schedule.h"

namespace {

using stoatrun::fault_injection::NoticeTrial;
using stoatrun::fault_injection::ProcessFleetResults;
using stoatrun::fault_injection::ProcessFleetSetup;
using stoatrun::history::Findings;
using stoatrun::simulation::Schedule;

constexpr int kExitError = 2, kExitViolation = 3;

struct Options {
  std::string file;  // A schedule, or the history to check.
  std::string history_file;
  std::optional<std::uint64_t> seed;
  std::uint64_t relays = 5, seconds = 25;  // Used for a generated schedule only.
  ProcessFleetSetup setup;
};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf() || file.peek() == std::ifstream::traits_type::eof())) {
    throw std::runtime_error("can't read " + path);
  }
  return text.str();
}

int Report(const Findings& findings) {
  for (const auto& violation : findings.violations) {
    std::cout << fmt::format("{:.3f} s {}: {}\n", static_cast<double>(violation.at_us) / 1e6,
                             NameOf(violation.bound), violation.what);
  }
  if (findings.further_violations > 0) std::cout << findings.further_violations << " more violations\n";
  std::cout << fmt::format(
      "{} events, {} runs, {} rate units spent, {} units acquired, {} fleet totals ({} without an upper "
      "bound), {} ejection reports: {}\n",
      findings.events, findings.runs, findings.rate_units_spent, findings.units_acquired,
      findings.total_reports, findings.unbounded_totals, findings.ejection_reports,
      findings.Sound() ? "all bounds hold" : "a bound was violated");
  return findings.Sound() ? 0 : kExitViolation;
}

void ReportResults(const ProcessFleetResults& results, std::size_t relays) {
  const double relay_seconds = results.seconds * static_cast<double>(relays);
  std::cout << fmt::format(
      "{} connections: {} served, {} refused, {} failed; {:.1f} datagrams and {:.0f} bytes a second "
      "at each relay, {:.2f}% of a core, {:.1f} MB; {} crashes\n",
      results.connections, results.served, results.rejected, results.failed,
      static_cast<double>(results.datagrams) / relay_seconds,
      static_cast<double>(results.datagram_bytes) / relay_seconds, 100 * results.cpu_cores,
      results.resident_kib / 1024, results.crashed);
}

Schedule ScheduleFrom(const Options& options) {
  if (options.file.empty()) {
    return Schedule::Generate(options.seed.value_or(1), options.relays,
                              std::chrono::seconds(options.seconds));
  }
  Schedule schedule = Schedule::Parse(ReadFile(options.file), options.file);
  if (options.seed) schedule.seed = *options.seed;
  return schedule;
}

std::string MakeTemporaryFolder() {
  std::string pattern = (std::filesystem::temp_directory_path() / "stoatrun_fault_injection.XXXXXX").string();
  if (mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("can't create a temporary folder: " + pattern);
  }
  return pattern;
}

int Run(Options options) {
  const Schedule schedule = ScheduleFrom(options);
  ProcessFleetSetup& setup = options.setup;
  const bool temporary_folder = setup.folder.empty();
  if (temporary_folder) {
    setup.folder = MakeTemporaryFolder();
  } else {
    std::filesystem::create_directories(setup.folder);
  }
  setup.program = std::filesystem::absolute(setup.program).string();
  if (!std::filesystem::exists(setup.program)) {
    throw std::runtime_error("relay program not found: " + setup.program);
  }

  const ProcessFleetResults results = stoatrun::fault_injection::Play(schedule, setup);
  std::ofstream(options.history_file.empty() ? setup.folder + "/history.jsonl" : options.history_file)
      << results.history;
  ReportResults(results, schedule.relays);
  const int status = Report(stoatrun::history::Check(results.history));
  if (status != 0 || results.crashed > 0) {
    std::cout << "schedule:\n" << schedule.ToText() << "files: " << setup.folder << '\n';
    return kExitViolation;
  }
  if (temporary_folder) std::filesystem::remove_all(setup.folder);
  return 0;
}

struct NoticeOptions {
  std::string fault = "reload";
  NoticeTrial trial;
};

// Runs one late-notice trial and prints its result as a row of a table.
int RunNotice(NoticeOptions options) {
  NoticeTrial& trial = options.trial;
  for (const auto& [name, fault] : stoatrun::fault_injection::kNoticeFaults) {
    if (name == options.fault) trial.fault = fault;
  }
  if (trial.relays > trial.fleet_size) trial.fleet_size = trial.relays;
  trial.program = std::filesystem::absolute(trial.program).string();
  const bool temporary_folder = trial.folder.empty();
  if (temporary_folder) {
    trial.folder = MakeTemporaryFolder();
  } else {
    std::filesystem::create_directories(trial.folder);
  }
  const auto result = stoatrun::fault_injection::RunNoticeTrial(trial);
  const double bound = std::chrono::duration<double>(stoatrun::fault_injection::kNoticeBound).count();
  const bool kept = result.late_relays == 0 && result.uninformed_relays == 0 && result.crashed == 0;
  std::cout << fmt::format(
      "| {} | {} | {} of {} | {} | {:.2f} | {:.2f} | {:.2f} | {:.2f} | {} | {} | {} of {} | {} of {} | "
      "{:.2f} | "
      "{} |\n",
      options.fault, trial.pushed ? "pushed" : "asked", trial.relays, trial.fleet_size, trial.endpoints,
      result.learned_s.empty() ? 0 : result.learned_s.back(), result.lateness_s[result.lateness_s.size() / 2],
      result.lateness_s.back(), bound, result.late_relays, result.uninformed_relays, result.rejected,
      result.requests, result.rejected_calls, result.calls, result.longest_answer_s,
      kept ? "kept" : "BROKEN");
  if (!kept) {
    std::cout << "files: " << trial.folder << '\n';
    return kExitViolation;
  }
  if (temporary_folder) std::filesystem::remove_all(trial.folder);
  return 0;
}

CLI::App* AddNoticeCommand(CLI::App& app, NoticeOptions& options) {
  NoticeTrial& trial = options.trial;
  CLI::App* notice = app.add_subcommand(
      "late-notice", "measures how long relays go on to use an endpoint after its drain counts as known");
  std::vector<std::string> fault_names;
  for (const auto& named : stoatrun::fault_injection::kNoticeFaults) fault_names.emplace_back(named.name);
  notice->add_option("fault", options.fault, "how the relays learn of the drain")
      ->required()
      ->check(CLI::IsMember(fault_names));
  notice->add_flag("--pushed", trial.pushed, "lists are pushed by an agent of each relay");
  notice->add_flag("--removed", trial.removed, "the endpoint leaves the list instead of draining");
  notice->add_option("--relays", trial.relays, "relay processes")->check(CLI::Range(1, 250));
  notice->add_option("--fleet", trial.fleet_size, "the relays' setting `balancers`");
  notice->add_option("--endpoints", trial.endpoints, "entries of the endpoint list");
  notice->add_option("--reload-spread-ms", trial.reload_spread, "from the first reload to the last");
  notice->add_option("--fleet-work-ms", trial.fleet_work, "time of the service for one call of each relay");
  notice->add_option("--seed", trial.seed, "seed of the relays and of the trial");
  notice->add_option("--program", trial.program, "path of the relay program")->required();
  notice->add_option("--folder", trial.folder,
                     "folder for files and logs (default: a temporary one, deleted if the bound holds)");
  return notice;
}

int Main(int argc, char** argv) {
  CLI::App app("Runs stoatrun processes under injected faults and checks their histories.");
  app.require_subcommand(1);
  Options options;
  CLI::App* run =
      app.add_subcommand("run", "runs a schedule; without a file, one is generated from the seed");
  run->add_option("file", options.file, "schedule file");
  run->add_option("--seed", options.seed, "overrides the seed of the schedule file");
  run->add_option("--relays", options.relays, "size of the fleet in a generated schedule")
      ->check(CLI::Range(1, 250));
  run->add_option("--seconds", options.seconds, "length of a generated schedule")->check(CLI::Range(1, 3600));
  run->add_option("--program", options.setup.program, "path of the relay program")->required();
  run->add_option("--folder", options.setup.folder,
                  "folder for files and logs (default: a temporary one, deleted if all bounds hold)");
  run->add_option("--history", options.history_file,
                  "file for the history (default: history.jsonl in the folder)");
  run->add_option("--connections", options.setup.connections_per_s,
                  "new connections per second at each relay");
  NoticeOptions notice_options;
  const CLI::App* notice = AddNoticeCommand(app, notice_options);
  CLI::App* check = app.add_subcommand("check", "checks a recorded history");
  check->add_option("file", options.file, "history file")->required();
  CLI11_PARSE(app, argc, argv);
  if (notice->parsed()) return RunNotice(std::move(notice_options));
  if (check->parsed()) return Report(stoatrun::history::Check(ReadFile(options.file)));
  return Run(std::move(options));
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "stoatrun_fault_injection: " << e.what() << '\n';
    return kExitError;
  }
}
