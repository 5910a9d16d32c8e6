// Measures simulated fleets and prints CSV: `fleet_measure >metrics.csv`. Each experiment runs with several
// seeds; a row gives the median, minimum and maximum of one metric. bench/fleet_plots.py plots the rows.
//
// The names of experiments, conditions and metrics are part of the output: bench/fleet_plots.py names its
// files after them.
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
#include <utility>
#include <vector>

#include "history/history_checker.h"
#include "simulation/schedule.h"
#include "simulation/simulated_fleet.h"

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using stoatrun::simulation::FaultAction;
using stoatrun::simulation::Play;
using stoatrun::simulation::RelayName;
using stoatrun::simulation::Schedule;
using stoatrun::simulation::SimulatedFleetResults;
using stoatrun::simulation::SimulatedFleetSetup;
using stoatrun::simulation::Step;

// Metric values by their names in the CSV.
using Metrics = std::map<std::string, double>;

// Fleets of at least this size run with fewer seeds, since each run takes long.
constexpr std::size_t kLargeFleet = 1000;
constexpr std::uint64_t kMaxLargeFleetSeeds = 2;

struct Experiment {
  std::string name, condition;
  std::size_t relays = 0;
  SimulatedFleetSetup setup;
  std::function<Schedule(std::uint64_t seed)> schedule;
  std::function<void(const SimulatedFleetResults&, Metrics&)> read_metrics;
};

Schedule EmptySchedule(std::uint64_t seed, std::size_t relays, seconds length) {
  Schedule schedule;
  schedule.seed = seed;
  schedule.relays = relays;
  schedule.servers = 12;
  schedule.length = length;
  return schedule;
}

// A setup with little traffic and without a history.
SimulatedFleetSetup QuietSetup() {
  SimulatedFleetSetup setup;
  setup.record_history = false;
  setup.connections_per_s = 0.1;
  setup.demand = 0.05;
  return setup;
}

// Returns -1 if there are no values.
double Percentile(std::vector<double> values, double fraction) {
  if (values.empty()) return -1;
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

enum class QuotaDemand { kOneRelay, kAllRelays };

// How much of a quota is used if a single relay demands five times the quota, or if all relays together
// demand at least three times the quota in equal shares.
Experiment QuotaUtilization(std::size_t relays, QuotaDemand demand, bool sharing) {
  const bool one = demand == QuotaDemand::kOneRelay;
  Experiment experiment;
  experiment.name = "budget used";
  experiment.condition =
      fmt::format("{}, sharing {}", one ? "one relay wants all" : "all want more", sharing ? "on" : "off");
  experiment.relays = relays;
  experiment.setup.sharing = sharing;
  experiment.setup.record_history = false;
  experiment.setup.connections_per_s = 0.1;
  experiment.setup.requests_per_s = 0.5;
  experiment.schedule = [relays, one](std::uint64_t seed) {
    Schedule schedule = EmptySchedule(seed, relays, seconds(25));
    for (std::size_t k = 0; k < relays; ++k) {
      const std::string equal_percent = std::to_string(300 / relays + 1);
      const std::string one_percent = k == 0 ? "500" : "0";
      schedule.steps.push_back(
          {milliseconds(0), FaultAction::kSetDemand, {RelayName(k), one ? one_percent : equal_percent}});
    }
    return schedule;
  };
  experiment.read_metrics = [](const SimulatedFleetResults& results, Metrics& metrics) {
    const auto used = results.metrics.quota_utilization.find("retry");
    metrics["part of the budget"] = used == results.metrics.quota_utilization.end() ? 0 : used->second;
  };
  return experiment;
}

// The age of the fleet's totals and the width of their intervals under the given faults.
Experiment FleetTotals(std::size_t relays, const std::string& condition, const std::vector<Step>& steps) {
  Experiment experiment;
  experiment.name = "totals";
  experiment.condition = condition;
  experiment.relays = relays;
  experiment.setup.connections_per_s = 1.0;
  experiment.setup.requests_per_s = 0.2;
  experiment.setup.demand = 0.05;
  experiment.schedule = [relays, steps](std::uint64_t seed) {
    Schedule schedule = EmptySchedule(seed, relays, seconds(90));
    schedule.steps = steps;
    return schedule;
  };
  experiment.read_metrics = [relays](const SimulatedFleetResults& results, Metrics& metrics) {
    const auto findings = stoatrun::history::Check(results.history);
    metrics["age of the oldest part, s"] = static_cast<double>(findings.mean_total_age_us) / 1e6;
    metrics["width of open"] = findings.mean_open_width;
    metrics["width of open for each relay"] = findings.mean_open_width / static_cast<double>(relays);
    metrics["sums without an upper bound"] =
        static_cast<double>(findings.unbounded_totals) /
        static_cast<double>(std::max<std::size_t>(1, findings.total_reports));
    metrics["breaches"] = static_cast<double>(findings.violations.size());
  };
  return experiment;
}

// How fast relays eject a server that starts to fail, at a low request rate.
Experiment FailingServer(std::size_t relays, bool sharing) {
  constexpr auto kFailsAt = seconds(15);
  constexpr auto kLength = seconds(70);
  Experiment experiment;
  experiment.name = "bad server";
  experiment.condition = sharing ? "sharing on" : "sharing off";
  experiment.relays = relays;
  experiment.setup = QuietSetup();
  experiment.setup.sharing = sharing;
  experiment.setup.requests_per_s = 2.0;
  experiment.schedule = [=](std::uint64_t seed) {
    Schedule schedule = EmptySchedule(seed, relays, kLength);
    schedule.steps.push_back({kFailsAt, FaultAction::kFailServer, {"s3"}});
    return schedule;
  };
  experiment.read_metrics = [=](const SimulatedFleetResults& results, Metrics& metrics) {
    std::vector<double> delays_s = results.metrics.ejection_delays_s;
    metrics["relays that avoided it, part"] =
        static_cast<double>(delays_s.size()) / static_cast<double>(relays);
    // Relays that did not eject it count with the whole remaining time.
    delays_s.resize(relays, static_cast<double>((kLength - kFailsAt).count()));
    metrics["until half avoid it, s"] = Percentile(delays_s, 0.5);
    metrics["until nine in ten avoid it, s"] = Percentile(delays_s, 0.9);
  };
  return experiment;
}

// How long healthy servers are ejected if up to three relays see failures of all servers.
Experiment WrongEvidence(std::size_t relays) {
  Experiment experiment;
  experiment.name = "sound server wrongly judged";
  experiment.condition = "three relays with bad links to all";
  experiment.relays = relays;
  experiment.setup = QuietSetup();
  experiment.setup.requests_per_s = 3.0;
  experiment.schedule = [relays](std::uint64_t seed) {
    Schedule schedule = EmptySchedule(seed, relays, seconds(40));
    for (std::size_t k = 0; k < std::min<std::size_t>(3, relays - 1); ++k) {
      schedule.steps.push_back({seconds(8), FaultAction::kBreakServerLinks, {RelayName(k)}});
    }
    return schedule;
  };
  experiment.read_metrics = [](const SimulatedFleetResults& results, Metrics& metrics) {
    const std::vector<double>& ejections_s = results.metrics.wrong_ejections_s;
    metrics["stretches of wrong avoidance"] = static_cast<double>(ejections_s.size());
    metrics["until used again, median s"] = Percentile(ejections_s, 0.5);
    metrics["until used again, most s"] = Percentile(ejections_s, 1.0);
  };
  return experiment;
}

// How many datagrams and bytes the relays send without faults.
Experiment Traffic(std::size_t relays, double demand) {
  Experiment experiment;
  experiment.name = "traffic";
  experiment.condition = fmt::format("calm, {} of all budgets wanted", demand);
  experiment.relays = relays;
  experiment.setup.demand = demand;
  experiment.setup.record_history = false;
  experiment.setup.connections_per_s = 1.0;
  experiment.setup.requests_per_s = 2.0;
  experiment.schedule = [relays](std::uint64_t seed) { return EmptySchedule(seed, relays, seconds(30)); };
  experiment.read_metrics = [](const SimulatedFleetResults& results, Metrics& metrics) {
    metrics["bytes a second for each relay, at the most"] = results.metrics.bytes_per_relay_s;
    metrics["datagrams a second for each relay"] = results.metrics.datagrams_per_relay_s;
  };
  return experiment;
}

// The first third of the relays as a list in the schedule format.
std::string FirstThird(std::size_t relays) {
  std::string names;
  for (std::size_t k = 0; k < std::max<std::size_t>(1, relays / 3); ++k) {
    names += (k > 0 ? "," : "") + RelayName(k);
  }
  return names;
}

std::vector<Experiment> AllExperiments() {
  std::vector<Experiment> all;
  for (const std::size_t relays : {std::size_t{3}, std::size_t{10}, std::size_t{30}, std::size_t{100}}) {
    for (const bool sharing : {true, false}) {
      all.push_back(QuotaUtilization(relays, QuotaDemand::kOneRelay, sharing));
      all.push_back(QuotaUtilization(relays, QuotaDemand::kAllRelays, sharing));
    }
    all.push_back(FleetTotals(relays, "no loss", {}));
    all.push_back(FleetTotals(relays, "30% lost", {{milliseconds(0), FaultAction::kSetLoss, {"30"}}}));
    all.push_back(FleetTotals(relays, "60% lost", {{milliseconds(0), FaultAction::kSetLoss, {"60"}}}));
    all.push_back(FleetTotals(relays, "a third cut off from 20 s on",
                              {{seconds(20), FaultAction::kPartition, {FirstThird(relays)}}}));
  }
  for (const std::size_t relays : {std::size_t{3}, std::size_t{30}, std::size_t{100}, kLargeFleet}) {
    all.push_back(FailingServer(relays, true));
    all.push_back(FailingServer(relays, false));
    all.push_back(WrongEvidence(relays));
    all.push_back(Traffic(relays, 0.6));
    all.push_back(Traffic(relays, 0.1));
  }
  return all;
}

// Runs the experiment with each seed in a separate thread.
std::vector<Metrics> RunExperiment(const Experiment& experiment, std::uint64_t seeds) {
  if (experiment.relays >= kLargeFleet) seeds = std::min(seeds, kMaxLargeFleetSeeds);
  std::vector<Metrics> metrics(seeds);
  std::vector<std::thread> threads;
  threads.reserve(seeds);
  for (std::size_t k = 0; k < seeds; ++k) {
    threads.emplace_back([&experiment, &metrics, k] {
      experiment.read_metrics(Play(experiment.schedule(k + 1), experiment.setup), metrics[k]);
    });
  }
  for (std::thread& thread : threads) thread.join();
  return metrics;
}

void PrintRows(const Experiment& experiment, const std::vector<Metrics>& metrics) {
  for (const auto& [name, first_value] : metrics.front()) {
    std::vector<double> values;
    values.reserve(metrics.size());
    for (const Metrics& seed_metrics : metrics) values.push_back(seed_metrics.at(name));
    std::cout << fmt::format("{},{},\"{}\",\"{}\",{:.4g},{:.4g},{:.4g}\n", experiment.name, experiment.relays,
                             experiment.condition, name, Percentile(values, 0.5), Percentile(values, 0),
                             Percentile(values, 1))
              << std::flush;
  }
}

int Main(int argc, char** argv) {
  CLI::App app("Measures simulated fleets and prints CSV to standard output.");
  std::uint64_t seeds = 5;
  std::size_t max_relays = 1000;
  std::string only;
  app.add_option("--seeds", seeds, "runs per experiment")->check(CLI::Range(1, 1000));
  app.add_option("--most", max_relays, "largest fleet")->check(CLI::Range(3, 4000));
  app.add_option("--only", only, "only experiments whose names have this prefix");
  CLI11_PARSE(app, argc, argv);
  std::cout << "experiment,relays,condition,figure,median,least,most\n";
  for (const Experiment& experiment : AllExperiments()) {
    if (experiment.relays > max_relays || !experiment.name.starts_with(only)) continue;
    PrintRows(experiment, RunExperiment(experiment, seeds));
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
