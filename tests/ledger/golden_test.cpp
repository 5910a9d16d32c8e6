// Compares exports byte for byte with golden files: the same postings must always give the same records.
#include "golden.h"

#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "base/temporary_folder.h"
#include "ledger/io/export_file.h"
#include "ledger/io/store.h"

namespace stoatrun::ledger {
namespace {

constexpr std::int64_t kPeriodStart = 1'800'000'000;

Posting MakePosting(std::uint64_t number, std::int64_t start_s, std::int64_t use_us, bool period_ended) {
  Posting posting;
  posting.number = number;
  posting.period_start_s = start_s;
  posting.period_s = 3600;
  posting.wall_us = start_s * 1'000'000 + static_cast<std::int64_t>(number) * 10'000'000 + 5;
  posting.period_ended = period_ended;
  posting.groups.push_back(
      {"coast", use_us, use_us / 3, 1500, 2, {{"feed", use_us / 4, 1}, {"watch", use_us - use_us / 4, 3}}});
  posting.groups.push_back({"wetland", 2 * use_us + 1, 2 * use_us + 1, -1, 7, {{"feed", 2 * use_us + 1, 4}}});
  posting.connection_time_us = 3 * use_us + 1;
  return posting;
}

std::string ExportOf(Store& store, const TemporaryFolder& folder) {
  const std::string path = folder.Path() + "/export.jsonl";
  WriteExport(store, 1, path);
  std::ifstream input(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(input), {}};
}

// Covers closed periods, a clock step, supplements, corrections, dropped usage, a crash and an open period.
TEST_CASE("an export with every kind of record matches the golden file") {
  const TemporaryFolder folder;
  const StoreSetup setup{folder.Path(), "n0", "b0", nullptr, true, 5000};
  {
    Store store(setup);
    store.BeginRun(kPeriodStart * 1'000'000, kPeriodStart);
    store.Apply(MakePosting(1, kPeriodStart, 1'000'000, false), {{"coast", 1}});
    Posting unnamed = MakePosting(2, kPeriodStart, 2'000'001, true);
    unnamed.groups.push_back({kMissingGroup, 17, 17, -1, 1, {{"feed", 17, 1}}});
    unnamed.groups.push_back({kOtherGroups, 19, 19, -1, 1, {{"watch", 19, 1}}});
    unnamed.connection_time_us += 36;
    store.Apply(unnamed, {});
    Posting stepped = MakePosting(3, kPeriodStart + 3600, 500, false);
    stepped.steps.push_back({stepped.wall_us, stepped.wall_us - 3'600'000'000});
    store.Apply(stepped, {{"coast", 1}});
    store.Apply(MakePosting(4, kPeriodStart, 77, false), {{"coast", 1}});
    store.Apply(MakePosting(5, kPeriodStart + 3600, 30'000'000, true), {{"coast", 1}, {"wetland", 2}});
    store.EnterCorrection(
        {"coast", kPeriodStart, -30, "double count", "ann", "ref-1", (kPeriodStart + 7000) * 1'000'000});
    store.EnterCorrection({"reef", kPeriodStart + 3600, 12, "was \"missed\", wrongly", "bo", "",
                           (kPeriodStart + 7001) * 1'000'000});
    Posting unrecorded = MakePosting(6, kPeriodStart + 7200, 9'000'000, false);
    unrecorded.unrecorded_us = 4'000'000;
    unrecorded.unrecorded_from_wall_us = unrecorded.wall_us - 60'000'000;
    store.Apply(unrecorded, {{"coast", 3}, {"wetland", 1}});
  }  // Destroyed without EndRun, as after a crash.
  Store store(setup);
  store.BeginRun((kPeriodStart + 7300) * 1'000'000, kPeriodStart + 7200);
  CHECK(store.Acknowledge(2, store.Records(2, 1).at(0).hash));
  store.Apply(MakePosting(1, kPeriodStart + 7200, 1'234'567, false), {{"coast", 2}});
  store.EndRun((kPeriodStart + 7400) * 1'000'000);
  const std::string text = ExportOf(store, folder);
  CHECK(text == tests::GoldenText("ledger/outputs/n0.jsonl", text));
}

TEST_CASE("an export with unbalanced sums matches the golden file") {
  const TemporaryFolder folder;
  Store store({folder.Path(), "n1", "b1", nullptr, true, 250});
  store.BeginRun(kPeriodStart * 1'000'000, kPeriodStart);
  Posting one = MakePosting(1, kPeriodStart, 5'000'000, true);
  one.connection_time_us += 3;
  store.Apply(one, {});
  store.Apply(MakePosting(2, kPeriodStart + 3600, 6'000'000, true), {});
  store.EndRun((kPeriodStart + 7300) * 1'000'000);
  const std::string text = ExportOf(store, folder);
  CHECK(text == tests::GoldenText("ledger/outputs/n1.jsonl", text));
}

}  // namespace
}  // namespace stoatrun::ledger
