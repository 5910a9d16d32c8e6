// Runs fault schedules on a simulated fleet and checks each history: `fleet_schedules --seeds 10000`. Prints
// the first violation of each failing schedule and the shrunk schedule. Exit status: 0 no violation, 2 error,
// 3 a bound or another invariant was violated.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <exception>
#include <fstream>
#include <iostream>
#include <mutex>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

#include "history/history_checker.h"
#include "simulation/schedule.h"
#include "simulation/shrink.h"
#include "simulation/simulated_fleet.h"

namespace {

using stoatrun::history::Check;
using stoatrun::history::Findings;
using stoatrun::simulation::Play;
using stoatrun::simulation::Schedule;
using stoatrun::simulation::SimulatedFleetResults;

constexpr int kExitError = 2, kExitViolation = 3;

struct Options {
  std::uint64_t first = 1, seeds = 100;
  std::size_t relays = 5;
  std::uint64_t seconds = 30;
  std::size_t threads = std::max(1U, std::thread::hardware_concurrency());
  std::string file;           // Run only this schedule; empty: generated ones.
  std::string output_folder;  // Shrunk schedules are also written here, unless empty.
};

// Runs the generated schedules of a range of seeds in several threads and sums up the results.
class ScheduleRuns {
 public:
  explicit ScheduleRuns(const Options& options) : options_(options), next_seed_(options.first) {}

  // Returns the exit status.
  int Run() {
    std::vector<std::thread> threads;
    for (std::size_t k = 0; k < options_.threads; ++k) threads.emplace_back([this] { PlaySeeds(); });
    for (std::thread& thread : threads) thread.join();
    Report();
    const std::size_t failures = violated_ + oversized_ + unbalanced_ + false_duplicates_;
    return failures == 0 ? 0 : kExitViolation;
  }

 private:
  void PlaySeeds() {
    const std::uint64_t end = options_.first + options_.seeds;
    for (std::uint64_t seed = next_seed_++; seed < end; seed = next_seed_++) PlaySeed(seed);
  }

  void PlaySeed(std::uint64_t seed) {
    const std::chrono::seconds length(options_.seconds);
    const Schedule schedule = Schedule::Generate(seed, options_.relays, length);
    const SimulatedFleetResults results = Play(schedule);
    const Findings findings = Check(results.history);
    Schedule shrunk;
    if (!findings.Sound()) {
      shrunk = stoatrun::simulation::Shrink(
          schedule, [](const Schedule& shorter) { return !Check(Play(shorter).history).Sound(); });
    }
    const std::lock_guard<std::mutex> lock(mutex_);
    Add(results, findings);
    if (!findings.Sound()) ReportViolation(seed, findings, shrunk);
  }

  void Add(const SimulatedFleetResults& results, const Findings& findings) {
    ++played_;
    violated_ += findings.Sound() ? 0 : 1;
    rate_units_spent_ += findings.rate_units_spent;
    units_acquired_ += findings.units_acquired;
    total_reports_ += findings.total_reports;
    ejection_reports_ += findings.ejection_reports;
    oversized_ += results.metrics.oversized_datagrams;
    unbalanced_ += results.metrics.unbalanced_counts;
    false_duplicates_ += results.metrics.false_duplicates;
  }

  void ReportViolation(std::uint64_t seed, const Findings& findings, const Schedule& shrunk) const {
    const auto& first = findings.violations.front();
    std::cout << fmt::format("seed {}: {} at {} us: {}\n{}", seed, NameOf(first.bound), first.at_us,
                             first.what, shrunk.ToText());
    if (options_.output_folder.empty()) return;
    std::ofstream(fmt::format("{}/seed-{}.txt", options_.output_folder, seed)) << shrunk.ToText();
  }

  void Report() const {
    std::cout << fmt::format(
        "{} schedules, {} violated a bound; checked {} spent rate units, {} acquired concurrency units, "
        "{} reported totals, {} reported lists of ejected servers\n"
        "oversized datagrams: {}, unbalanced connection counts: {}, relays mistaken for duplicates: {}\n",
        played_, violated_, rate_units_spent_, units_acquired_, total_reports_, ejection_reports_, oversized_,
        unbalanced_, false_duplicates_);
  }

  const Options& options_;
  std::atomic<std::uint64_t> next_seed_;
  std::mutex mutex_;  // Guards the output and all below.
  std::size_t played_ = 0, violated_ = 0;
  std::size_t rate_units_spent_ = 0, units_acquired_ = 0, total_reports_ = 0, ejection_reports_ = 0;
  std::size_t oversized_ = 0, unbalanced_ = 0, false_duplicates_ = 0;
};

// Runs one schedule; its history goes to standard output, violations to standard error.
int PlayFile(const std::string& path) {
  std::ifstream file(path);
  std::ostringstream text;
  if (!file || !(text << file.rdbuf())) throw std::runtime_error(path + ": cannot be read");
  const SimulatedFleetResults results = Play(Schedule::Parse(text.str(), path));
  std::cout << results.history;
  const Findings findings = Check(results.history);
  for (const auto& violation : findings.violations) {
    std::cerr << violation.at_us << ' ' << NameOf(violation.bound) << ": " << violation.what << '\n';
  }
  return findings.Sound() ? 0 : kExitViolation;
}

int Main(int argc, char** argv) {
  CLI::App app("Runs fault schedules on a simulated fleet and checks the histories.");
  Options options;
  app.add_option("--first", options.first, "first seed");
  app.add_option("--seeds", options.seeds, "number of seeds");
  app.add_option("--relays", options.relays, "relays in the fleet")->check(CLI::Range(1, 4096));
  app.add_option("--seconds", options.seconds, "length of each schedule")->check(CLI::Range(1, 3600));
  app.add_option("--threads", options.threads)->check(CLI::Range(1, 256));
  app.add_option("--file", options.file, "run only this schedule; its history goes to standard output");
  app.add_option("--keep", options.output_folder, "folder for shrunk schedules that violate a bound");
  CLI11_PARSE(app, argc, argv);
  return options.file.empty() ? ScheduleRuns(options).Run() : PlayFile(options.file);
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "fleet_schedules: " << e.what() << '\n';
    return kExitError;
  }
}
