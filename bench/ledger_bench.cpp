// Benchmarks of the ledger: cost of an event, a checkpoint and a recovery, and size of the database file.
// Also generates exports as input for reconciliation.
#include <benchmark/benchmark.h>
#include <fmt/format.h>

#include <cstdint>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <string>

#include "ledger/accounts.h"
#include "ledger/io/store.h"
#include "ledger/reconcile.h"

namespace stoatrun::ledger {
namespace {

constexpr std::int64_t kStartSeconds = 1'800'000'000;  // Unix time of the first period.

AccountsSetup MakeAccountsSetup(int groups) {
  AccountsSetup setup;
  setup.period = std::chrono::hours(1);
  setup.classes = {"feed", "watch", "sync"};
  for (int k = 0; k < groups; ++k) setup.groups.push_back({fmt::format("group-{:03}", k), 1500});
  return setup;
}

// Begins and ends one connection per iteration, in turn over the groups.
void BeginAndEnd(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  const AccountsSetup setup = MakeAccountsSetup(groups);
  Accounts accounts(setup, Micros(0), std::chrono::seconds(kStartSeconds));
  std::int64_t now = 0;
  for ([[maybe_unused]] const auto iteration : state) {
    const auto& group = setup.groups[static_cast<std::size_t>(now) % setup.groups.size()];
    UsageHandle handle = accounts.Begin(Micros(++now), group.name, 1);
    accounts.End(Micros(++now), handle);
  }
}
BENCHMARK(BeginAndEnd)->Name("BM_BeginAndEnd")->Arg(4)->Arg(100);

void Checkpoint(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  const AccountsSetup setup = MakeAccountsSetup(groups);
  Accounts accounts(setup, Micros(0), std::chrono::seconds(kStartSeconds));
  std::int64_t now = 0;
  for (const auto& group : setup.groups) {
    for (std::size_t class_index = 0; class_index < 3; ++class_index) {
      accounts.Begin(Micros(++now), group.name, class_index);
    }
  }
  for ([[maybe_unused]] const auto iteration : state) {
    benchmark::DoNotOptimize(accounts.TakePostings(Micros(now += 1000), Accounts::CurrentPeriod::kContinues));
  }
}
BENCHMARK(Checkpoint)->Name("BM_Checkpoint")->Arg(4)->Arg(100);

struct TemporaryDirectory {
  std::string path;
  TemporaryDirectory() {
    std::string name = std::filesystem::temp_directory_path() / "stoatrun-bench-XXXXXX";
    path = mkdtemp(name.data());
  }
  ~TemporaryDirectory() { std::filesystem::remove_all(path); }
};

void FillLedger(Store& store, int periods, int groups) {
  store.BeginRun(kStartSeconds * 1'000'000, kStartSeconds);
  Posting posting;
  for (int group = 0; group < groups; ++group) {
    posting.groups.push_back(
        {fmt::format("group-{:03}", group),
         900'000'000,
         600'000'000,
         1500,
         40,
         {{"feed", 400'000'000, 90}, {"sync", 200'000'000, 70}, {"watch", 300'000'000, 80}}});
  }
  posting.period_s = 3600;
  posting.connection_time_us = std::int64_t{900'000'000} * groups;
  for (int k = 0; k < periods; ++k) {
    posting.number = static_cast<std::uint64_t>(k) + 1;
    posting.period_start_s = kStartSeconds + std::int64_t{3600} * k;
    posting.wall_us = posting.period_start_s * 1'000'000;
    posting.period_ended = true;
    store.Apply(posting, {});
  }
}

// Opens a ledger that holds the given numbers of periods and groups, until it accepts postings.
void Recovery(benchmark::State& state) {
  const TemporaryDirectory directory;
  const StoreSetup setup{directory.path, "n0", "b", nullptr, true, 5000};
  {
    Store store(setup);
    FillLedger(store, static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  }
  std::int64_t wall = kStartSeconds * 1'000'000;
  for ([[maybe_unused]] const auto iteration : state) {
    Store store(setup);
    store.BeginRun(++wall, kStartSeconds);
    benchmark::DoNotOptimize(store.State());
  }
  state.counters["file_mib"] =
      static_cast<double>(std::filesystem::file_size(Store::DatabasePath(directory.path))) / (1024 * 1024);
}
BENCHMARK(Recovery)
    ->Name("BM_Recovery")
    ->Args({100, 100})
    ->Args({10000, 100})
    ->Unit(benchmark::kMillisecond)
    ->Iterations(5);

// File size after a million connections in 24 periods and 20 groups, checkpointed about every 500 s.
void MillionConnections(benchmark::State& state) {
  for ([[maybe_unused]] const auto iteration : state) {
    const TemporaryDirectory directory;
    Store store({directory.path, "n0", "b", nullptr, true, 5000});
    const AccountsSetup setup = MakeAccountsSetup(20);
    Accounts accounts(setup, Micros(0), std::chrono::seconds(kStartSeconds));
    store.BeginRun(kStartSeconds * 1'000'000, kStartSeconds);
    std::int64_t now = 0;
    std::uint64_t number = 0;
    for (int k = 0; k < 1'000'000; ++k) {
      UsageHandle handle = accounts.Begin(Micros(now), setup.groups[static_cast<std::size_t>(k % 20)].name,
                                          static_cast<std::size_t>(k % 3));
      now += 86'400;
      accounts.End(Micros(now), handle);
      // 58 connections take about 5 s, the time between checkpoints. Only every 100th checkpoint is taken,
      // because a slow disk delays checkpoints and the postings of one period are merged meanwhile.
      if (k % 58 != 0) continue;
      if (k % 5800 == 0) {
        for (Posting& posting : accounts.TakePostings(Micros(now), Accounts::CurrentPeriod::kContinues)) {
          posting.number = ++number;
          store.Apply(posting, accounts.OpenByGroup());
        }
      }
    }
    state.counters["file_mib"] =
        static_cast<double>(std::filesystem::file_size(Store::DatabasePath(directory.path))) / (1024 * 1024);
  }
}
BENCHMARK(MillionConnections)->Name("BM_MillionConnections")->Unit(benchmark::kSecond)->Iterations(1);

// The template for all records of an export.
wire::Record MakeRecordTemplate(const std::string& relay) {
  wire::Record record;
  record.set_relay(relay);
  record.set_book("b");
  wire::Use& use = *record.mutable_use();
  use.set_period_s(3600);
  use.set_share_milli(1500);
  use.set_peak(40);
  for (const char* name : {"feed", "sync", "watch"}) use.add_classes()->set_name(name);
  return record;
}

// Sets the record's sequence number and usage values derived from it.
void SetSeqAndUsage(wire::Record& record, std::uint64_t seq) {
  record.set_seq(seq);
  wire::Use& use = *record.mutable_use();
  std::int64_t sum_us = 0;
  for (int k = 0; k < use.classes_size(); ++k) {
    const std::int64_t use_us = 100'000'000 + static_cast<std::int64_t>(seq) * (k + 1);
    use.mutable_classes(k)->set_use_us(use_us);
    use.mutable_classes(k)->set_begun(seq % 97);
    sum_us += use_us;
  }
  use.set_use_us(sum_us);
  use.set_within_us(sum_us / 3);
  use.set_beyond_us(sum_us - sum_us / 3);
}

// Writes the export of one relay.
void WriteExport(const std::string& path, const std::string& relay, int periods, int groups) {
  std::ofstream out(path, std::ios::binary);
  std::string previous_hash = InitialPrevHash();
  std::uint64_t seq = 0;
  wire::Record record = MakeRecordTemplate(relay);
  for (int period = 0; period < periods; ++period) {
    record.mutable_use()->set_period_start_s(kStartSeconds + std::int64_t{3600} * period);
    for (int group = 0; group < groups; ++group) {
      record.mutable_use()->set_group(fmt::format("group-{:03}", group));
      SetSeqAndUsage(record, ++seq);
      const Line line = MakeLine(record, previous_hash);
      previous_hash = line.hash;
      out << line.text;
    }
  }
  out << MakeTrailer({relay, "b", 1, seq, previous_hash});
}

// Writes the exports of `relays` relays, one file each.
void WriteExports(const std::string& directory, int relays, int periods, int groups) {
  for (int k = 0; k < relays; ++k) {
    const std::string relay = fmt::format("n{}", k);
    WriteExport(fmt::format("{}/{}.jsonl", directory, relay), relay, periods, groups);
  }
}

}  // namespace
}  // namespace stoatrun::ledger

// `stoatrun_ledger_bench exports DIRECTORY RELAYS PERIODS GROUPS` writes exports; other arguments run
// benchmarks.
int main(int argc, char** argv) {
  if (argc == 6 && std::strcmp(argv[1], "exports") == 0) {
    stoatrun::ledger::WriteExports(argv[2], std::atoi(argv[3]), std::atoi(argv[4]), std::atoi(argv[5]));
    return 0;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
