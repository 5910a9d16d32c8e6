// The ledger's parts: cost of an event, of a checkpoint, of recovery; size of the file; exports to reconcile.
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

constexpr std::int64_t kHour = 1'800'000'000;

AccountsSetup SetupOf(int groups) {
  AccountsSetup setup;
  setup.period = std::chrono::hours(1);
  setup.classes = {"feed", "watch", "sync"};
  for (int k = 0; k < groups; ++k) setup.groups.push_back({fmt::format("group-{:03}", k), 1500});
  return setup;
}

// A connection's begin and end, with others open.
void BM_BeginAndEnd(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  const AccountsSetup setup = SetupOf(groups);
  Accounts accounts(setup, Micros(0), std::chrono::seconds(kHour));
  std::int64_t now = 0;
  for (auto _ : state) {
    const auto& group = setup.groups[static_cast<std::size_t>(now) % setup.groups.size()];
    UsageHandle t = accounts.Begin(Micros(++now), group.name, 1);
    accounts.End(Micros(++now), t);
  }
}
BENCHMARK(BM_BeginAndEnd)->Arg(4)->Arg(100);

void BM_Checkpoint(benchmark::State& state) {
  const int groups = static_cast<int>(state.range(0));
  const AccountsSetup setup = SetupOf(groups);
  Accounts accounts(setup, Micros(0), std::chrono::seconds(kHour));
  std::int64_t now = 0;
  for (const auto& g : setup.groups) {
    for (std::size_t c = 0; c < 3; ++c) accounts.Begin(Micros(++now), g.name, c);
  }
  for (auto _ : state)
    benchmark::DoNotOptimize(accounts.TakePostings(Micros(now += 1000), Accounts::CurrentPeriod::kContinues));
}
BENCHMARK(BM_Checkpoint)->Arg(4)->Arg(100);

struct Folder {
  std::string path;
  Folder() {
    std::string name = std::filesystem::temp_directory_path() / "stoatrun-bench-XXXXXX";
    path = mkdtemp(name.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

void FillLedger(Store& store, int periods, int groups) {
  store.BeginRun(kHour * 1'000'000, kHour);
  Posting p;
  for (int g = 0; g < groups; ++g) {
    p.groups.push_back({fmt::format("group-{:03}", g),
                        900'000'000,
                        600'000'000,
                        1500,
                        40,
                        {{"feed", 400'000'000, 90}, {"sync", 200'000'000, 70}, {"watch", 300'000'000, 80}}});
  }
  p.period_s = 3600;
  p.connection_time_us = std::int64_t{900'000'000} * groups;
  for (int k = 0; k < periods; ++k) {
    p.number = static_cast<std::uint64_t>(k) + 1;
    p.period_start_s = kHour + 3600 * k;
    p.wall_us = p.period_start_s * 1'000'000;
    p.period_ended = true;
    store.Apply(p, {});
  }
}

// A start on a ledger of so many periods and groups, up to the first posting that it takes.
void BM_Recovery(benchmark::State& state) {
  const Folder folder;
  const StoreSetup setup{folder.path, "n0", "b", nullptr, true, 5000};
  {
    Store store(setup);
    FillLedger(store, static_cast<int>(state.range(0)), static_cast<int>(state.range(1)));
  }
  std::int64_t wall = kHour * 1'000'000;
  for (auto _ : state) {
    Store store(setup);
    store.BeginRun(++wall, kHour);
    benchmark::DoNotOptimize(store.State());
  }
  state.counters["file_mib"] =
      static_cast<double>(std::filesystem::file_size(Store::DatabasePath(folder.path))) / (1024 * 1024);
}
BENCHMARK(BM_Recovery)->Args({100, 100})->Args({10000, 100})->Unit(benchmark::kMillisecond)->Iterations(5);

// The file after a million connections in 24 periods and 20 groups, posted every 5 s.
void BM_MillionConnections(benchmark::State& state) {
  for (auto _ : state) {
    const Folder folder;
    Store store({folder.path, "n0", "b", nullptr, true, 5000});
    const AccountsSetup setup = SetupOf(20);
    Accounts accounts(setup, Micros(0), std::chrono::seconds(kHour));
    store.BeginRun(kHour * 1'000'000, kHour);
    std::int64_t now = 0;
    std::uint64_t number = 0;
    for (int k = 0; k < 1'000'000; ++k) {
      UsageHandle t = accounts.Begin(Micros(now), setup.groups[static_cast<std::size_t>(k % 20)].name,
                                     static_cast<std::size_t>(k % 3));
      now += 86'400;
      accounts.End(Micros(now), t);
      if (k % 58 != 0) continue;  // About 5 s. Postings of one period are joined, as on a slow disk.
      if (k % 5800 == 0) {
        for (Posting& p : accounts.TakePostings(Micros(now), Accounts::CurrentPeriod::kContinues)) {
          p.number = ++number;
          store.Apply(p, accounts.OpenByGroup());
        }
      }
    }
    state.counters["file_mib"] =
        static_cast<double>(std::filesystem::file_size(Store::DatabasePath(folder.path))) / (1024 * 1024);
  }
}
BENCHMARK(BM_MillionConnections)->Unit(benchmark::kSecond)->Iterations(1);

// Exports of `relays` relays, one file each.
void WriteExports(const std::string& folder, int relays, int periods, int groups) {
  for (int r = 0; r < relays; ++r) {
    const std::string relay = fmt::format("n{}", r);
    std::ofstream out(fmt::format("{}/{}.jsonl", folder, relay), std::ios::binary);
    std::string prev = FirstHash();
    std::uint64_t seq = 0;
    wire::Record record;
    record.set_relay(relay);
    record.set_book("b");
    wire::Use& u = *record.mutable_use();
    u.set_period_s(3600);
    u.set_share_milli(1500);
    u.set_peak(40);
    for (const char* name : {"feed", "sync", "watch"}) u.add_classes()->set_name(name);
    for (int p = 0; p < periods; ++p) {
      u.set_period_start_s(kHour + 3600 * p);
      for (int g = 0; g < groups; ++g) {
        record.set_seq(++seq);
        u.set_group(fmt::format("group-{:03}", g));
        std::int64_t sum = 0;
        for (int c = 0; c < 3; ++c) {
          const std::int64_t use = 100'000'000 + static_cast<std::int64_t>(seq) * (c + 1);
          u.mutable_classes(c)->set_use_us(use);
          u.mutable_classes(c)->set_begun(seq % 97);
          sum += use;
        }
        u.set_use_us(sum);
        u.set_within_us(sum / 3);
        u.set_beyond_us(sum - sum / 3);
        const Line line = MakeLine(record, prev);
        prev = line.hash;
        out << line.text;
      }
    }
    out << MakeTrailer({relay, "b", 1, seq, prev});
  }
}

}  // namespace
}  // namespace stoatrun::ledger

// `stoatrun_ledger_bench exports FOLDER RELAYS PERIODS GROUPS` writes exports; anything else runs benchmarks.
int main(int argc, char** argv) {
  if (argc == 6 && std::strcmp(argv[1], "exports") == 0) {
    stoatrun::ledger::WriteExports(argv[2], std::atoi(argv[3]), std::atoi(argv[4]), std::atoi(argv[5]));
    return 0;
  }
  benchmark::Initialize(&argc, argv);
  benchmark::RunSpecifiedBenchmarks();
  return 0;
}
