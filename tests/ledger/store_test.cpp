// The store under loss of power, errors and damage.
#include "ledger/io/store.h"

#include <fmt/format.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>

#include "ledger/io/checked_vfs.h"
#include "standin/in_memory_disk.h"

namespace stoatrun::ledger {
namespace {

using standin::InMemoryDisk;

constexpr std::int64_t kHour = 1'800'000'000;

// A folder of its own for the lock file and, where no InMemoryDisk is used, the database.
class Folder {
 public:
  Folder() {
    std::string name = std::filesystem::temp_directory_path() / "stoatrun-XXXXXX";
    path_ = mkdtemp(name.data());
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;
  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

StoreSetup SetupIn(const Folder& folder, const char* vfs = nullptr) {
  return {folder.Path(), "n0", "b0", vfs, true, 5000};
}

Posting PostingOf(std::uint64_t number, std::int64_t start_s, std::int64_t use_us, bool period_ended) {
  Posting p;
  p.number = number;
  p.period_start_s = start_s;
  p.period_s = 3600;
  p.wall_us = start_s * 1'000'000 + static_cast<std::int64_t>(number);
  p.connection_time_us = 2 * use_us;
  p.period_ended = period_ended;
  for (const char* group : {"coast", "wetland"}) {
    p.groups.push_back(
        {group, use_us, use_us / 3, 1500, 2, {{"feed", use_us / 4, 1}, {"watch", use_us - use_us / 4, 1}}});
  }
  return p;
}

// What is booked: in records and in periods that are not closed.
std::int64_t Booked(Store& store) {
  std::int64_t sum = 0;
  store.EachRecord(1, [&](const StoredRecord& r) {
    const auto record = ParseRecord(SplitLine(r.line).value().record);
    REQUIRE(record);
    if (record->has_use()) sum += record->use().use_us();
  });
  for (const OpenUse& open : store.OpenPeriods()) sum += open.use.use_us;
  return sum;
}

// A day of a relay: each step may be cut off anywhere.
struct Day {
  const Folder& folder;
  InMemoryDisk& disk;
  std::optional<Store> store;
  std::int64_t kept_us = 0, trying_us = 0;  // Taken for sure; perhaps taken.
  std::size_t done = 0;
  std::uint64_t number = 0;

  void Post(std::int64_t start_s, std::int64_t use_us, bool period_ended, bool step = false) {
    Posting p = PostingOf(number + 1, start_s, use_us, period_ended);
    if (step) p.steps.push_back({p.wall_us, p.wall_us - 3'600'000'000});
    trying_us = 2 * use_us;
    store->Apply(p, {{"coast", 1}});
    ++number;
    kept_us += std::exchange(trying_us, 0);
  }
  std::vector<std::function<void()>> Steps() {
    return {[this] { store.emplace(SetupIn(folder, disk.Vfs())); },
            [this] { store->BeginRun(kHour * 1'000'000, kHour); },
            [this] { Post(kHour, 1'000'000, false); },
            [this] { Post(kHour, 2'000'001, true); },
            [this] { Post(kHour + 3600, 500, false, true); },
            [this] { Post(kHour, 77, false); },  // The clock was stepped back into a period that is closed.
            [this] { Post(kHour + 3600, 30'000'000, true); },
            [this] {
              store->EnterCorrection({"coast", kHour, -30, "double count", "ann", "ref-1", 5});
            },
            [this] { store->Acknowledge(2, store->Records(2, 1).at(0).hash); },
            [this] { Post(kHour + 7200, 9, false); },
            [this] { store->EndRun((kHour + 7300) * 1'000'000); }};
  }
  void Play() {
    const auto steps = Steps();
    for (; done < steps.size(); ++done) steps[done]();
  }
};

TEST_CASE("power lost at any call leaves each posting whole or out, and the ledger goes on") {
  const Folder folder;
  int calls = 0;
  {
    InMemoryDisk disk("count");
    Day day{folder, disk, {}};
    day.Play();
    calls = disk.Changes();
  }
  REQUIRE(calls > 100);
  for (int n = 1; n <= calls; ++n) {
    for (const std::uint64_t seed : {1, 2, 3}) {
      INFO("call " << n << " seed " << seed);
      InMemoryDisk disk(fmt::format("power-{}-{}", n, seed));
      Day day{folder, disk, {}};
      disk.LosePowerAt(n);
      try {
        day.Play();
        FAIL("the power was not lost");
      } catch (const StoreError&) {
      }
      const bool ended = day.done >= day.Steps().size();
      REQUIRE_FALSE(ended);
      day.store.reset();
      disk.PowerOn(seed);
      Store store(SetupIn(folder, disk.Vfs()));
      const std::int64_t booked = Booked(store);
      const bool whole = booked == day.kept_us || booked == day.kept_us + day.trying_us;
      REQUIRE(whole);
      // The next run goes on from there, and what the lost one left unattested is told, once.
      store.BeginRun((kHour + 9000) * 1'000'000, kHour + 7200);
      store.Apply(PostingOf(1, kHour + 7200, 1000, true), {});
      store.EndRun((kHour + 9001) * 1'000'000);
      REQUIRE(Booked(store) == booked + 2000);
      int unattested = 0;
      std::string prev = FirstHash();
      std::uint64_t expected = 0;
      store.EachRecord(1, [&](const StoredRecord& r) {
        const auto parts = SplitLine(r.line);
        REQUIRE(parts);
        REQUIRE(r.seq == ++expected);
        REQUIRE(parts->prev == prev);
        prev = r.hash;
        unattested += ParseRecord(parts->record)->has_unattested() ? 1 : 0;
      });
      REQUIRE(store.State().head_hash == prev);
      // In the first and the last step the run may not have begun, or have ended in order.
      const bool surely = day.done >= 2 && day.done + 1 < day.Steps().size();
      REQUIRE(unattested <= 1);
      REQUIRE(unattested >= (surely ? 1 : 0));
    }
  }
}

TEST_CASE("an error at any call is told, and the same posting again is taken once") {
  const Folder folder;
  int calls = 0;
  std::int64_t expected = 0;
  {
    InMemoryDisk disk("errors");
    Day day{folder, disk, {}};
    day.Play();
    calls = disk.Changes();
    expected = day.kept_us;
  }
  for (int n = 1; n <= calls; ++n) {
    for (const int code : {SQLITE_FULL, SQLITE_IOERR_WRITE, SQLITE_IOERR_FSYNC}) {
      INFO("call " << n << " code " << code);
      InMemoryDisk disk(fmt::format("error-{}-{}", n, code));
      Day day{folder, disk, {}};
      disk.FailOnceAt(n, code);
      std::int64_t run = 0;
      int faults = 0;
      const auto steps = day.Steps();
      while (day.done < steps.size()) {
        try {
          if (day.done == 1) {
            run = day.store->BeginRun(kHour * 1'000'000, kHour);
          } else {
            steps[day.done]();
          }
          ++day.done;
        } catch (const StoreError& e) {
          if (e.code == StoreErrorCode::kRejected) {  // The correction held although its answer was an error.
            ++day.done;
            continue;
          }
          REQUIRE(++faults <= 1);
          day.store.reset();
          if (day.done > 0) day.store.emplace(SetupIn(folder, disk.Vfs()));
          if (day.done > 1 && day.done + 1 < steps.size()) REQUIRE(day.store->ResumeRun(run));
          if (day.done + 1 == steps.size()) day.store->ResumeRun(run);
        }
      }
      REQUIRE(Booked(*day.store) == expected);
    }
  }
}

TEST_CASE("a flipped byte anywhere in the file is found") {
  const Folder folder;
  const std::string path = Store::DatabasePath(folder.Path());
  {
    Store store(SetupIn(folder));
    store.BeginRun(kHour * 1'000'000, kHour);
    for (std::uint64_t k = 1; k <= 20; ++k) {
      store.Apply(PostingOf(k, kHour + 3600 * static_cast<std::int64_t>(k), 1'000'000, k < 20), {});
    }
    CHECK(store.Verify().empty());
  }
  std::ifstream in(path, std::ios::binary);
  std::string bytes{std::istreambuf_iterator<char>(in), {}};
  REQUIRE(bytes.size() % kPageSize == 0);
  for (std::size_t at = 0; at < bytes.size(); ++at) {
    bytes[at] = static_cast<char>(bytes[at] ^ (1 << (at % 8)));
    const std::size_t page = at / kPageSize;
    const bool held = IsPageValid(std::string_view(bytes).substr(page * kPageSize, kPageSize), page + 1);
    bytes[at] = static_cast<char>(bytes[at] ^ (1 << (at % 8)));
    if (held) FAIL("byte " << at);
  }
  // By way of the program: it is told, whether by the check or because the file can't be opened at all.
  for (std::size_t at = 5; at < bytes.size(); at += 1511) {
    std::string broken = bytes;
    broken[at] = static_cast<char>(broken[at] ^ 0x10);
    std::ofstream(path, std::ios::binary) << broken;
    bool told = false;
    try {
      told = !Store(SetupIn(folder)).Verify().empty();
    } catch (const StoreError&) {
      told = true;
    }
    INFO("byte " << at);
    CHECK(told);
  }
}

TEST_CASE("folders that are not to be used are refused with the reason") {
  const Folder folder;
  const auto fault = [](const StoreSetup& setup) -> std::optional<StoreErrorCode> {
    try {
      const Store store(setup);
      return std::nullopt;
    } catch (const StoreError& e) {
      return e.code;
    }
  };
  StoreSetup setup = SetupIn(folder);
  {
    const Store store(setup);
    CHECK(fault(setup) == StoreErrorCode::kLocked);
    StoreSetup reader = setup;
    reader.lock_folder = false;
    CHECK_FALSE(fault(reader));
  }
  setup.relay = "n1";
  CHECK(fault(setup) == StoreErrorCode::kWrongRelay);
  setup.relay = "n0";
  {
    Sql db(Store::DatabasePath(folder.Path()), SQLITE_OPEN_READWRITE, CheckedVfs(nullptr));
    db.Do(fmt::format("PRAGMA user_version = {}", kSchema + 1).c_str());
  }
  CHECK(fault(setup) == StoreErrorCode::kNewerSchema);
  setup.folder = "/nonexistent";
  CHECK(fault(setup) == StoreErrorCode::kReadOnly);
  const Folder fresh;
  CHECK(fault({fresh.Path(), "", "", nullptr, false, 0}) ==
        StoreErrorCode::kReadOnly);  // Nothing to read there.
}

// The ledger of a release before: its schema was 1, without the count of connections begun.
TEST_CASE("an older schema is lifted and keeps what it holds") {
  const Folder folder;
  {
    Store store(SetupIn(folder));
    store.BeginRun(kHour * 1'000'000, kHour);
    store.Apply(PostingOf(1, kHour, 1'000'000, false), {});
  }
  {
    Sql db(Store::DatabasePath(folder.Path()), SQLITE_OPEN_READWRITE, CheckedVfs(nullptr));
    db.Do("DROP INDEX record_period; ALTER TABLE cell DROP COLUMN begun; PRAGMA user_version = 1");
  }
  Store store(SetupIn(folder));
  CHECK(Booked(store) == 2'000'000);
  store.BeginRun(kHour * 1'000'000 + 5, kHour);
  store.Apply(PostingOf(1, kHour, 1'000'000, true), {});
  CHECK(Booked(store) == 4'000'000);
  CHECK(store.Verify().empty());
}

TEST_CASE("corrections are entries of their own and refused where there is nothing to correct") {
  const Folder folder;
  Store store(SetupIn(folder));
  store.BeginRun(kHour * 1'000'000, kHour);
  store.Apply(PostingOf(1, kHour, 1'000'000, true), {});
  store.Apply(PostingOf(2, kHour + 3600, 1'000'000, false), {});
  const auto refused = [&](const CorrectionRequest& c) {
    try {
      store.EnterCorrection(c);
      return std::string();
    } catch (const StoreError& e) {
      return e.code == StoreErrorCode::kRejected ? std::string(e.what()) : "other";
    }
  };
  const std::uint64_t first = store.EnterCorrection({"wetland", kHour, 60, "outage", "ann", "", 1});
  const std::uint64_t again = store.EnterCorrection({"wetland", kHour, 60, "outage", "ann", "", 2});
  CHECK(again == first + 1);
  const auto entry = [&](std::uint64_t seq) {
    return ParseRecord(SplitLine(store.Records(seq, 1).at(0).line)->record)->correction();
  };
  CHECK(entry(first).original_seq() == 2);
  CHECK(entry(store.EnterCorrection({"owls", kHour, 5, "late", "bob", "", 3})).original_seq() == 0);
  CHECK_THAT(refused({"wetland", kHour + 3600, 1, "x", "ann", "", 4}), Catch::Contains("not closed"));
  CHECK_THAT(refused({"wetland", kHour + 1, 1, "x", "ann", "", 4}), Catch::Contains("no period starts at"));
  store.EnterCorrection({"wetland", kHour, 1, "x", "ann", "r1", 4});
  CHECK_THAT(refused({"wetland", kHour, 1, "x", "ann", "r1", 4}), Catch::Contains("entered already"));
}

}  // namespace
}  // namespace stoatrun::ledger
