// The usage recorder with failing disks, killed relays and a stepped clock.
#include "ledger/io/usage_recorder.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "ledger/recorder_fixture.h"

namespace stoatrun::ledger {
namespace {

using standin::InMemoryDisk;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

TEST_CASE("all usage during a disk failure is written when the disk recovers") {
  const int code = GENERATE(SQLITE_FULL, SQLITE_IOERR_WRITE, SQLITE_READONLY);
  InMemoryDisk disk("recorder-" + std::to_string(code));
  RecorderFixture relay(&disk);
  UsageHandle first = relay.recorder->Begin("wetland", 0);
  relay.Wait(seconds(5));
  CHECK(relay.recorder->Counts().store_failures == 0);
  disk.FailAllWith(code);
  UsageHandle second = relay.recorder->Begin("wetland", 0);
  relay.Wait(seconds(130));  // Crosses two period boundaries.
  CHECK(relay.recorder->Counts().store_failures > 10);
  relay.recorder->End(first);
  disk.FailAllWith(SQLITE_OK);
  relay.Wait(seconds(5));
  relay.recorder->End(second);
  REQUIRE(relay.recorder->Finish(seconds(5)));
  const RecorderFixture::Totals totals = relay.ReadTotals();
  CHECK(totals.use_us == 270'000'000);
  CHECK(totals.within_us == 140'000'000);
  CHECK(totals.unrecorded_us == 0);
  CHECK(totals.unattested == 0);
}

TEST_CASE("usage beyond the buffer limit is reported as unrecorded, never dropped and never billed") {
  InMemoryDisk disk("bound");
  RecorderFixture relay(&disk);
  relay.Kill();
  relay.max_backlog_cells = 8;
  relay.Start();
  disk.FailAllWith(SQLITE_FULL);
  UsageHandle handle = relay.recorder->Begin("wetland", 0);
  relay.Wait(seconds(1200));
  CHECK(relay.recorder->BacklogCells() <= 10);
  disk.FailAllWith(SQLITE_OK);
  relay.recorder->End(handle);
  relay.Wait(seconds(10));
  REQUIRE(relay.recorder->Finish(seconds(5)));
  const RecorderFixture::Totals totals = relay.ReadTotals();
  CHECK(totals.unrecorded_us > 0);
  CHECK(totals.use_us > 0);
  CHECK(totals.use_us + totals.unrecorded_us == 1'200'000'000);
}

TEST_CASE("a disk whose sync hangs blocks neither the event loop nor a graceful shutdown") {
  InMemoryDisk disk("stall");
  RecorderFixture relay(&disk);
  relay.PollUntilIdle();
  disk.BlockSyncs();
  UsageHandle handle = relay.recorder->Begin("wetland", 0);
  for (int k = 0; k < 50; ++k) {
    relay.Advance(seconds(1));
    const auto start = steady_clock::now();
    relay.PollOnce();
    CHECK(steady_clock::now() - start < seconds(1));
  }
  relay.recorder->End(handle);
  SECTION("it recovers") {
    disk.UnblockSyncs();
    relay.PollUntilIdle();
    REQUIRE(relay.recorder->Finish(seconds(5)));
    CHECK(relay.ReadTotals().use_us == 50'000'000);
  }
  SECTION("it does not recover") {
    CHECK_FALSE(relay.recorder->Finish(milliseconds(50)));
    disk.UnblockSyncs();  // The abandoned thread must end before the disk is destroyed.
    std::this_thread::sleep_for(milliseconds(200));
  }
}

TEST_CASE("a killed relay leaves at most a checkpoint unattested, recorded with its bound") {
  InMemoryDisk disk("killed");
  RecorderFixture relay(&disk);
  [[maybe_unused]] const UsageHandle handle = relay.recorder->Begin("wetland", 0);
  relay.Wait(milliseconds(10'500));
  relay.Kill();
  relay.monotonic += seconds(3);
  relay.Start();
  relay.PollUntilIdle();
  const RecorderFixture::Totals totals = relay.ReadTotals();
  CHECK(totals.unattested == 1);
  CHECK(totals.use_us >= 9'500'000);
  CHECK(totals.use_us <= 10'500'000);
  Store store = relay.Reader();
  const auto unattested = ParseRecord(SplitLine(store.Records(1, 1).at(0).line)->record)->unattested();
  CHECK(unattested.to_wall_us() - unattested.from_wall_us() == 13'500'000 - totals.use_us);
  REQUIRE(unattested.open_size() == 1);
  CHECK(unattested.open(0).bound_us() == 13'500'000 - totals.use_us);
}

TEST_CASE("a second relay on a folder reports an error and continues without a store") {
  InMemoryDisk disk("shared");
  RecorderFixture relay(&disk);
  relay.Wait(seconds(2));
  UsageRecorderSetup setup;
  setup.accounts = {seconds(60), {}, {"feed"}, 8};
  setup.store = {relay.Folder(), "n0", "other", disk.Vfs(), true, 1000};
  EventLoop loop(Clock::Mode::kManual);
  UsageRecorder second(loop, setup, [] { return kWallStart; });
  while (!second.IsIdle()) loop.Poll();
  loop.Poll();
  CHECK(second.Counts().store_failures == 1);
  UsageHandle handle = second.Begin("wetland", 0);
  second.End(handle);
  CHECK(second.Counts().ended == 1);
}

TEST_CASE("clock steps lose no usage and are recorded") {
  InMemoryDisk disk("steps");
  RecorderFixture relay(&disk);
  UsageHandle handle = relay.recorder->Begin("wetland", 0);
  relay.Wait(seconds(30));
  relay.wall_offset = std::chrono::hours(-2);
  relay.Wait(seconds(30));
  relay.wall_offset = std::chrono::hours(1);
  relay.Wait(seconds(30));
  relay.recorder->End(handle);
  REQUIRE(relay.recorder->Finish(seconds(5)));
  CHECK(relay.ReadTotals().use_us == 90'000'000);
  CHECK(relay.ReadTotals().clock_steps == 2);
}

}  // namespace
}  // namespace stoatrun::ledger
