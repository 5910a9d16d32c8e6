// `stoatrun_fault_injection run FILE`: plays a schedule with real processes, and checks what was seen.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdlib>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>

#include "history/history_checker.h"
#include "process_fleet.h"
#include "simulation/schedule.h"

namespace {

using stoatrun::simulation::Schedule;

std::string ReadAll(const std::string& path) {
  std::ifstream in(path);
  std::ostringstream text;
  if (!in || !(text << in.rdbuf() || in.peek() == std::ifstream::traits_type::eof())) {
    throw std::runtime_error(path + ": can't be read");
  }
  return text.str();
}

int Report(const stoatrun::history::Findings& found) {
  for (const auto& b : found.breaches)
    std::cout << fmt::format("{:.3f} s {}: {}\n", b.at_us / 1e6, b.bound, b.what);
  if (found.more > 0) std::cout << found.more << " more\n";
  std::cout << fmt::format(
      "{} events, {} runs, {} spends, {} holds, {} sums ({} without an upper bound), {} lists of avoided "
      "servers: {}\n",
      found.events, found.runs, found.spends, found.holds, found.sums, found.unbounded_sums, found.hearsays,
      found.Sound() ? "all bounds kept" : "a bound broke");
  return found.Sound() ? 0 : 3;
}

int Main(int argc, char** argv) {
  CLI::App app("Real processes of stoatrun under faults, and what can be said of their histories.");
  app.require_subcommand(1);
  stoatrun::fault_injection::RigSetup setup;
  std::string file, history_file;
  std::optional<std::uint64_t> seed;
  std::uint64_t relays = 5, seconds = 25;
  CLI::App* run = app.add_subcommand("run", "plays a schedule; without a file one is drawn from the seed");
  run->add_option("file", file, "the schedule, as text");
  run->add_option("--seed", seed, "goes before the file's");
  run->add_option("--relays", relays, "of a drawn schedule")->check(CLI::Range(1, 250));
  run->add_option("--seconds", seconds, "of a drawn schedule")->check(CLI::Range(1, 3600));
  run->add_option("--program", setup.program, "the relay's program")->required();
  run->add_option("--folder", setup.folder,
                  "for files and logs; else a fresh one, taken away if all bounds hold");
  run->add_option("--history", history_file, "where the history goes; else into the folder");
  run->add_option("--connections", setup.connections, "new ones a second at each relay");
  CLI::App* check = app.add_subcommand("check", "checks a history");
  check->add_option("file", file)->required();
  CLI11_PARSE(app, argc, argv);
  if (check->parsed()) return Report(stoatrun::history::Check(ReadAll(file)));

  Schedule schedule;
  if (file.empty()) {
    schedule = Schedule::Draw(seed.value_or(1), relays, std::chrono::seconds(seconds));
  } else {
    schedule = Schedule::Parse(ReadAll(file), file);
    if (seed) schedule.seed = *seed;
  }
  const bool own_folder = setup.folder.empty();
  if (own_folder) {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "stoatrun_fault_injection.XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) throw std::runtime_error("no folder to be had");
    setup.folder = pattern;
  } else {
    std::filesystem::create_directories(setup.folder);
  }
  setup.program = std::filesystem::absolute(setup.program).string();
  if (!std::filesystem::exists(setup.program)) throw std::runtime_error(setup.program + ": no such program");
  std::ostringstream history;
  const auto figures = stoatrun::fault_injection::Play(schedule, setup, history);
  const std::string text = history.str();
  std::ofstream(history_file.empty() ? setup.folder + "/history.jsonl" : history_file) << text;
  const auto found = stoatrun::history::Check(text);
  std::cout << fmt::format(
      "{} connections: {} served, {} refused, {} failed; {:.1f} datagrams and {:.0f} bytes a second "
      "at each relay, {:.2f}% of a core, {:.1f} MB; {} crashes\n",
      figures.connections, figures.served, figures.refused, figures.failed,
      static_cast<double>(figures.datagrams) / figures.seconds / static_cast<double>(schedule.relays),
      static_cast<double>(figures.bytes) / figures.seconds / static_cast<double>(schedule.relays),
      100 * figures.cpu, figures.resident_kib / 1024, figures.crashed);
  const int result = Report(found);
  if (result != 0 || figures.crashed > 0) {
    std::cout << "schedule:\n" << schedule.Text() << "files: " << setup.folder << '\n';
    return 3;
  }
  if (own_folder) std::filesystem::remove_all(setup.folder);
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "stoatrun_fault_injection: " << e.what() << '\n';
    return 2;
  }
}
