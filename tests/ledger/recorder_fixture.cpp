#include "ledger/recorder_fixture.h"

#include <unistd.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <filesystem>
#include <utility>

#include "ledger/record.h"

namespace stoatrun::ledger {

using standin::InMemoryDisk;
using standin::Receiver;
using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

RecorderFixture::RecorderFixture(InMemoryDisk* disk, std::string relay, const Receiver* receiver)
    : disk_(disk), relay_(std::move(relay)), receiver_(receiver) {
  SetLogLevel(static_cast<Level>(4));  // Above all levels: the tests cause errors on purpose.
  Start();
}

RecorderFixture::~RecorderFixture() { Kill(); }

void RecorderFixture::Start() {
  loop.emplace(Clock::Mode::kManual);
  loop->clock.Advance(monotonic);
  UsageRecorderSetup setup;
  setup.accounts = {seconds(60), {{"wetland", 1000}}, {"feed"}, 8};
  setup.store = {folder_.Path(), relay_, "book", disk_ != nullptr ? disk_->Vfs() : nullptr, true, 1000};
  setup.checkpoint = seconds(1);
  setup.max_backlog_cells = max_backlog_cells;
  recorder.emplace(*loop, setup, [this] { return kWallStart + monotonic + wall_offset; });
  if (receiver_ == nullptr) return;
  ExportClientSetup client_setup;
  client_setup.receiver = Address::Parse("127.0.0.1:" + std::to_string(receiver_->Port())).value();
  client_setup.host = "receiver";
  client_setup.delivery.max_batch_records = 3;
  client_setup.seed = 5;
  export_client.emplace(*loop, *recorder, client_setup);
}

void RecorderFixture::Kill() {
  export_client.reset();
  recorder.reset();
  loop.reset();
}

void RecorderFixture::PollOnce(Receiver* receiver) {
  loop->Poll();
  if (receiver != nullptr) receiver->Poll();
}

void RecorderFixture::PollUntilIdle(Receiver* receiver) {
  const auto deadline = steady_clock::now() + seconds(10);
  for (int idle_polls = 0; idle_polls < 20; ++idle_polls) {
    PollOnce(receiver);
    while (!recorder->IsIdle()) {
      idle_polls = 0;
      REQUIRE(steady_clock::now() < deadline);
      PollOnce(receiver);
    }
  }
}

void RecorderFixture::Wait(Micros span, Receiver* receiver) {
  for (; span > Micros(0); span -= milliseconds(500)) {
    Advance(std::min<Micros>(span, milliseconds(500)));
    PollUntilIdle(receiver);
  }
}

void RecorderFixture::Advance(Micros span) {
  monotonic += span;
  loop->clock.Advance(span);
}

Store RecorderFixture::Reader() {
  return Store({folder_.Path(), "", "", disk_ != nullptr ? disk_->Vfs() : nullptr, false, 0});
}

RecorderFixture::Totals RecorderFixture::ReadTotals() {
  Totals totals;
  Store store = Reader();
  store.ForEachRecord(1, [&](const StoredRecord& stored) {
    const auto record = ParseRecord(SplitLine(stored.line).value().record).value();
    totals.use_us += record.use().use_us();
    totals.within_us += record.use().within_us();
    totals.unrecorded_us += record.unattested().unkept_us();
    totals.unattested += record.has_unattested() && record.unattested().unkept_us() == 0 ? 1 : 0;
    totals.clock_steps += record.has_clock_step() ? 1 : 0;
  });
  for (const OpenUse& open : store.OpenPeriods()) {
    totals.use_us += open.use.use_us;
    totals.within_us += open.use.within_us;
  }
  return totals;
}

}  // namespace stoatrun::ledger
