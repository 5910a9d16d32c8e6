// Measures a simulated fleet and prints CSV: `fleet_measure >figures.csv`. Medians over seeds, with least and
// most.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdint>
#include <exception>
#include <functional>
#include <iostream>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include "history/history_checker.h"
#include "simulation/schedule.h"
#include "simulation/simulated_fleet.h"

namespace {

using stoatrun::simulation::Play;
using stoatrun::simulation::RelayName;
using stoatrun::simulation::Schedule;
using stoatrun::simulation::Step;
using stoatrun::simulation::WorldResult;
using stoatrun::simulation::WorldSetup;
using Figures = std::map<std::string, double>;

struct Experiment {
  std::string name, condition;
  std::size_t relays;
  std::function<Schedule(std::uint64_t seed)> schedule;
  WorldSetup setup;
  std::function<void(const WorldResult&, Figures&)> read;
};

Schedule Base(std::uint64_t seed, std::size_t relays, std::int64_t seconds) {
  Schedule s;
  s.seed = seed;
  s.relays = relays;
  s.servers = 12;
  s.length = std::chrono::seconds(seconds);
  return s;
}

void Add(Schedule& s, std::int64_t ms, std::string verb, std::vector<std::string> words) {
  s.steps.push_back({std::chrono::milliseconds(ms), std::move(verb), std::move(words)});
}

double Percentile(std::vector<double> v, double p) {
  if (v.empty()) return -1;
  std::sort(v.begin(), v.end());
  return v[static_cast<std::size_t>(p * static_cast<double>(v.size() - 1))];
}

// One relay wants far more than there is, and the others want nothing; or all want as much.
Experiment Use(std::size_t relays, bool one, bool sharing) {
  Experiment e{
      "budget used",
      fmt::format("{}, sharing {}", one ? "one relay wants all" : "all want more", sharing ? "on" : "off"),
      relays,
      {},
      {},
      {}};
  e.setup.sharing = sharing;
  e.setup.history = false;
  e.setup.connections = 0.1;
  e.setup.tries = 0.5;
  e.schedule = [relays, one](std::uint64_t seed) {
    Schedule s = Base(seed, relays, 25);
    for (std::size_t k = 0; k < relays; ++k)
      Add(s, 0, "busy", {RelayName(k), one ? (k == 0 ? "500" : "0") : std::to_string(300 / relays + 1)});
    return s;
  };
  e.read = [](const WorldResult& r, Figures& f) {
    const auto at = r.figures.used.find("retry");
    f["part of the budget"] = at == r.figures.used.end() ? 0 : at->second;
  };
  return e;
}

Experiment Totals(std::size_t relays, const std::string& condition, const std::vector<Step>& steps) {
  Experiment e{"totals", condition, relays, {}, {}, {}};
  e.setup.connections = 1.0;
  e.setup.tries = 0.2;
  e.setup.demand = 0.05;
  e.schedule = [relays, steps](std::uint64_t seed) {
    Schedule s = Base(seed, relays, 90);
    s.steps = steps;
    return s;
  };
  e.read = [relays](const WorldResult& r, Figures& f) {
    const auto found = stoatrun::history::Check(r.history);
    f["age of the oldest part, s"] = static_cast<double>(found.sum_age_us) / 1e6;
    f["width of open"] = found.sum_width;
    f["width of open for each relay"] = found.sum_width / static_cast<double>(relays);
    f["sums without an upper bound"] =
        static_cast<double>(found.unbounded_sums) / static_cast<double>(std::max<std::size_t>(1, found.sums));
    f["breaches"] = static_cast<double>(found.breaches.size());
  };
  return e;
}

// A server begins to fail, and each relay tries servers seldom.
Experiment Bad(std::size_t relays, bool sharing) {
  Experiment e{"bad server", sharing ? "sharing on" : "sharing off", relays, {}, {}, {}};
  e.setup.sharing = sharing;
  e.setup.history = false;
  e.setup.connections = 0.1;
  e.setup.demand = 0.05;
  e.setup.tries = 2.0;
  e.schedule = [relays](std::uint64_t seed) {
    Schedule s = Base(seed, relays, 70);
    Add(s, 15000, "bad", {"s3"});
    return s;
  };
  e.read = [relays](const WorldResult& r, Figures& f) {
    auto after = r.figures.avoided_after_s;
    f["relays that avoided it, part"] = static_cast<double>(after.size()) / static_cast<double>(relays);
    after.resize(relays, 55.0);  // Not within the time.
    f["until half avoid it, s"] = Percentile(after, 0.5);
    f["until nine in ten avoid it, s"] = Percentile(after, 0.9);
  };
  return e;
}

Experiment Wrong(std::size_t relays) {
  Experiment e{"sound server wrongly judged", "three relays with bad links to all", relays, {}, {}, {}};
  e.setup.history = false;
  e.setup.connections = 0.1;
  e.setup.demand = 0.05;
  e.setup.tries = 3.0;
  e.schedule = [relays](std::uint64_t seed) {
    Schedule s = Base(seed, relays, 40);
    for (std::size_t k = 0; k < std::min<std::size_t>(3, relays - 1); ++k)
      Add(s, 8000, "badlink", {RelayName(k)});
    return s;
  };
  e.read = [](const WorldResult& r, Figures& f) {
    f["stretches of wrong avoidance"] = static_cast<double>(r.figures.wrongly_for_s.size());
    f["until used again, median s"] = Percentile(r.figures.wrongly_for_s, 0.5);
    f["until used again, most s"] = Percentile(r.figures.wrongly_for_s, 1.0);
  };
  return e;
}

Experiment Traffic(std::size_t relays, double demand) {
  Experiment e{"traffic", fmt::format("calm, {} of all budgets wanted", demand), relays, {}, {}, {}};
  e.setup.demand = demand;
  e.setup.history = false;
  e.setup.connections = 1.0;
  e.setup.tries = 2.0;
  e.schedule = [relays](std::uint64_t seed) { return Base(seed, relays, 30); };
  e.read = [](const WorldResult& r, Figures& f) {
    f["bytes a second for each relay, at the most"] = r.figures.bytes_per_relay_s;
    f["datagrams a second for each relay"] = r.figures.datagrams_per_relay_s;
  };
  return e;
}

int Main(int argc, char** argv) {
  CLI::App app("Measures a simulated fleet; CSV on standard output.");
  std::uint64_t seeds = 5;
  std::size_t most = 1000;
  std::string only;
  app.add_option("--seeds", seeds)->check(CLI::Range(1, 1000));
  app.add_option("--most", most, "largest fleet")->check(CLI::Range(3, 4000));
  app.add_option("--only", only, "experiments whose name begins so");
  CLI11_PARSE(app, argc, argv);
  std::vector<Experiment> all;
  const auto step = [](std::int64_t ms, std::string verb, std::vector<std::string> words) {
    return Step{std::chrono::milliseconds(ms), std::move(verb), std::move(words)};
  };
  for (const std::size_t n : {std::size_t{3}, std::size_t{10}, std::size_t{30}, std::size_t{100}}) {
    for (const bool sharing : {true, false}) {
      all.push_back(Use(n, true, sharing));
      all.push_back(Use(n, false, sharing));
    }
    all.push_back(Totals(n, "no loss", {}));
    all.push_back(Totals(n, "30% lost", {step(0, "loss", {"30"})}));
    all.push_back(Totals(n, "60% lost", {step(0, "loss", {"60"})}));
    std::string third;
    for (std::size_t k = 0; k < std::max<std::size_t>(1, n / 3); ++k)
      third += (k > 0 ? "," : "") + RelayName(k);
    all.push_back(Totals(n, "a third cut off from 20 s on", {step(20000, "split", {third})}));
  }
  for (const std::size_t n : {std::size_t{3}, std::size_t{30}, std::size_t{100}, std::size_t{1000}}) {
    all.push_back(Bad(n, true));
    all.push_back(Bad(n, false));
    all.push_back(Wrong(n));
    all.push_back(Traffic(n, 0.6));
    all.push_back(Traffic(n, 0.1));
  }
  std::cout << "experiment,relays,condition,figure,median,least,most\n";
  for (const Experiment& e : all) {
    if (e.relays > most || !e.name.starts_with(only)) continue;
    std::vector<Figures> figures(e.relays >= 1000 ? std::min<std::uint64_t>(seeds, 2) : seeds);
    std::vector<std::thread> threads;
    threads.reserve(figures.size());
    for (std::size_t k = 0; k < figures.size(); ++k)
      threads.emplace_back([&, k] { e.read(Play(e.schedule(k + 1), e.setup), figures[k]); });
    for (auto& t : threads) t.join();
    for (const auto& [name, first] : figures[0]) {
      std::vector<double> v;
      v.reserve(figures.size());
      for (auto& f : figures) v.push_back(f[name]);
      std::cout << fmt::format("{},{},\"{}\",\"{}\",{:.4g},{:.4g},{:.4g}\n", e.name, e.relays, e.condition,
                               name, Percentile(v, 0.5), Percentile(v, 0), Percentile(v, 1))
                << std::flush;
    }
  }
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  try {
    return Main(argc, argv);
  } catch (const std::exception& e) {
    std::cerr << "fleet_measure: " << e.what() << '\n';
    return 2;
  }
}
