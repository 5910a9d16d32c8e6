// Plays fault schedules of a simulated fleet and checks each history: `fleet_schedules --seeds 10000`.
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
#include <string>
#include <thread>
#include <vector>

#include "history/history_checker.h"
#include "simulation/schedule.h"
#include "simulation/shrink.h"
#include "simulation/simulated_fleet.h"

namespace {

using stoatrun::simulation::Schedule;

struct Sums {
  std::size_t played = 0, broken = 0, spends = 0, holds = 0, sums = 0, hearsays = 0, oversized = 0,
              unbalanced = 0, false_twins = 0;
};

int Main(int argc, char** argv) {
  CLI::App app("Plays fault schedules of a simulated fleet and checks what happened.");
  std::uint64_t first = 1, seeds = 100;
  std::size_t relays = 5, threads = std::max(1U, std::thread::hardware_concurrency());
  std::uint64_t seconds = 30;
  std::string file, keep;
  app.add_option("--first", first, "first seed");
  app.add_option("--seeds", seeds, "how many");
  app.add_option("--relays", relays)->check(CLI::Range(1, 4096));
  app.add_option("--seconds", seconds, "of each schedule")->check(CLI::Range(1, 3600));
  app.add_option("--threads", threads)->check(CLI::Range(1, 256));
  app.add_option("--file", file, "one schedule, as text; its history goes to standard output");
  app.add_option("--keep", keep, "folder for shrunk schedules that broke a bound");
  CLI11_PARSE(app, argc, argv);

  if (!file.empty()) {
    std::ifstream in(file);
    std::ostringstream text;
    if (!in || !(text << in.rdbuf())) throw std::runtime_error(file + ": can't be read");
    const auto result = stoatrun::simulation::Play(Schedule::Parse(text.str(), file));
    std::cout << result.history;
    const auto found = stoatrun::history::Check(result.history);
    for (const auto& b : found.breaches) std::cerr << b.at_us << ' ' << b.bound << ": " << b.what << '\n';
    return found.Sound() ? 0 : 3;
  }
  std::atomic<std::uint64_t> next = first;
  std::mutex lock;
  Sums sums;
  const auto work = [&] {
    for (std::uint64_t seed = next++; seed < first + seeds; seed = next++) {
      const Schedule schedule = Schedule::Draw(seed, relays, std::chrono::seconds(seconds));
      const auto result = stoatrun::simulation::Play(schedule);
      const auto found = stoatrun::history::Check(result.history);
      Schedule shrunk;
      if (!found.Sound()) {
        shrunk = stoatrun::simulation::Shrink(schedule, [](const Schedule& s) {
          return !stoatrun::history::Check(stoatrun::simulation::Play(s).history).Sound();
        });
      }
      const std::lock_guard<std::mutex> hold(lock);
      ++sums.played;
      sums.spends += found.spends;
      sums.holds += found.holds;
      sums.sums += found.sums;
      sums.hearsays += found.hearsays;
      sums.oversized += result.figures.oversized;
      sums.unbalanced += result.figures.unbalanced;
      sums.false_twins += result.figures.false_twins;
      if (found.Sound()) continue;
      ++sums.broken;
      const auto& b = found.breaches.front();
      std::cout << fmt::format("seed {}: {} at {} us: {}\n{}", seed, b.bound, b.at_us, b.what, shrunk.Text());
      if (!keep.empty()) std::ofstream(keep + "/seed-" + std::to_string(seed) + ".txt") << shrunk.Text();
    }
  };
  std::vector<std::thread> all;
  for (std::size_t k = 0; k < threads; ++k) all.emplace_back(work);
  for (auto& t : all) t.join();
  std::cout << fmt::format(
      "{} schedules, {} broke a bound; checked {} spends, {} holds, {} sums, {} lists of avoided servers\n"
      "datagrams too large: {}, accounts that did not balance: {}, relays taken for twins: {}\n",
      sums.played, sums.broken, sums.spends, sums.holds, sums.sums, sums.hearsays, sums.oversized,
      sums.unbalanced, sums.false_twins);
  return sums.broken + sums.oversized + sums.unbalanced + sums.false_twins == 0 ? 0 : 3;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "fleet_schedules: " << e.what() << '\n';
    return 2;
  }
}
