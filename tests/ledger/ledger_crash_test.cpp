// End to end: the usage of clients equals the sum of their relays' exports, even if relays are killed at
// random.
#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "ledger/io/export_file.h"
#include "ledger/recorder_fixture.h"

namespace stoatrun::ledger {
namespace {

using standin::InMemoryDisk;
using standin::Receiver;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Relays that are killed at random while they write postings and deliver records. Counts the clients'
// connection time independently of the ledgers.
class RelayFleet {
 public:
  static constexpr std::size_t kRelays = 3;

  explicit RelayFleet(std::uint64_t seed) : random_(seed) {
    for (std::size_t k = 0; k < kRelays; ++k) {
      disks_.push_back(std::make_unique<InMemoryDisk>("fleet-" + std::to_string(k)));
      relays_.push_back(
          std::make_unique<RecorderFixture>(disks_.back().get(), "n" + std::to_string(k), &receivers_.at(k)));
    }
  }

  // Performs a random event, then advances the clock by up to a second.
  void Step() {
    const std::size_t relay = random_() % kRelays;
    const std::uint64_t event = random_() % 20;
    if (event < 9) {
      Connect(relay);
    } else if (event < 17 && !clients_.empty()) {
      Disconnect(random_() % clients_.size());
    } else if (event == 19) {
      KillAndRestart(relay);
    }
    const Micros span = milliseconds(100 + random_() % 900);
    for (std::size_t k = 0; k < kRelays; ++k) relays_[k]->Wait(span, &receivers_.at(k));
  }

  // Ends all connections, closes the open periods and writes each relay's export to `folder`.
  void FinishAndExport(const std::string& folder) {
    for (const Client& client : clients_) served_us_ += ServedUs(client);
    for (std::size_t index = 0; index < kRelays; ++index) {
      RecorderFixture& relay = *relays_[index];
      for (Client& client : clients_) {
        if (client.relay == index) relay.recorder->End(client.handle);
      }
      relay.wall_offset += std::chrono::hours(1);  // Ends the current period.
      relay.Wait(seconds(90), &receivers_.at(index));
      REQUIRE(relay.recorder->Finish(seconds(5)));
      unattested_ += relay.ReadTotals().unattested;
      Store store = relay.Reader();
      CHECK(store.State().delivered_seq == store.State().head_seq);
      CHECK(receivers_.at(index).ContentConflicts() == 0);
      WriteExport(store, 1, folder + "/n" + std::to_string(index) + ".jsonl");
    }
  }

  const std::string& Folder() const { return relays_[0]->Folder(); }
  int Kills() const { return kills_; }
  int Unattested() const { return unattested_; }
  std::int64_t ServedUs() const { return served_us_; }
  // Upper bound of the usage that the kills may have lost.
  std::int64_t MaxLossUs() const { return max_loss_us_; }

 private:
  struct Client {
    std::size_t relay;
    UsageHandle handle;
    Micros since;
  };

  std::int64_t ServedUs(const Client& client) const {
    return (relays_[client.relay]->monotonic - client.since).count();
  }

  void Connect(std::size_t relay) {
    const char* group = random_() % 3 == 0 ? "raptor" : "wetland";
    RecorderFixture& fixture = *relays_[relay];
    clients_.push_back({relay, fixture.recorder->Begin(group, 0), fixture.monotonic});
  }

  void Disconnect(std::size_t index) {
    Client& client = clients_[index];
    relays_[client.relay]->recorder->End(client.handle);
    served_us_ += ServedUs(client);
    clients_.erase(clients_.begin() + static_cast<std::ptrdiff_t>(index));
  }

  void KillAndRestart(std::size_t relay) {
    RecorderFixture& fixture = *relays_[relay];
    InMemoryDisk& disk = *disks_[relay];
    ++kills_;
    const auto is_on_relay = [relay](const Client& client) { return client.relay == relay; };
    for (const Client& client : clients_) {
      if (is_on_relay(client)) served_us_ += ServedUs(client);
    }
    const auto open = std::count_if(clients_.begin(), clients_.end(), is_on_relay);
    // The last checkpoint is at most 1 s and one step of 500 ms old.
    max_loss_us_ += (open + 20) * 1'500'000;
    std::erase_if(clients_, is_on_relay);
    if (random_() % 2 == 0) receivers_.at(relay).QueueReplies({Receiver::Reply::kCloseAfterStoring});
    if (random_() % 2 == 0) {  // The power fails as well, a few calls later.
      disk.LosePowerAt(1 + static_cast<int>(random_() % 20));
      fixture.Wait(milliseconds(500), &receivers_.at(relay));
    }
    fixture.Kill();
    disk.PowerOn(random_());
    fixture.Start();
  }

  std::mt19937_64 random_;
  std::array<Receiver, kRelays> receivers_;
  std::vector<std::unique_ptr<InMemoryDisk>> disks_;
  std::vector<std::unique_ptr<RecorderFixture>> relays_;
  std::vector<Client> clients_;
  std::int64_t served_us_ = 0, max_loss_us_ = 0;
  int kills_ = 0, unattested_ = 0;
};

TEST_CASE("the ledgers of relays killed at random add up to the usage served, except what is unattested") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  RelayFleet fleet(seed);
  for (int step = 0; step < 400; ++step) fleet.Step();
  REQUIRE(fleet.Kills() > 3);
  const std::string folder = fleet.Folder() + "/exports";
  std::filesystem::create_directory(folder);
  fleet.FinishAndExport(folder);
  const ReconcileReport report = ReconcileFiles({folder}, 2);
  for (const Fault& fault : report.faults) FAIL(fault.file << ": " << fault.what);
  std::int64_t exported_us = 0;
  for (const auto& [key, total] : report.totals) exported_us += total.use_us;
  CHECK(fleet.Unattested() == fleet.Kills());
  CHECK(exported_us <= fleet.ServedUs());
  CHECK(fleet.ServedUs() - exported_us <= fleet.MaxLossUs());
  CHECK(fleet.ServedUs() - exported_us < fleet.ServedUs() / 5);
}

// Without kills, no usage may be lost.
TEST_CASE("the ledgers of gracefully restarted relays add up to the usage served, to the microsecond") {
  std::mt19937_64 random(11);
  InMemoryDisk disk("graceful");
  RecorderFixture relay(&disk);
  std::int64_t served_us = 0;
  for (int run = 0; run < 5; ++run) {
    std::vector<std::pair<UsageHandle, Micros>> open;
    for (int step = 0; step < 60; ++step) {
      if (random() % 2 == 0) open.emplace_back(relay.recorder->Begin("wetland", 0), relay.monotonic);
      if (!open.empty() && random() % 3 == 0) {
        relay.recorder->End(open.back().first);
        served_us += (relay.monotonic - open.back().second).count();
        open.pop_back();
      }
      relay.Wait(Micros(1 + random() % 3'000'000));
    }
    for (auto& [handle, since] : open) {
      relay.recorder->End(handle);
      served_us += (relay.monotonic - since).count();
    }
    REQUIRE(relay.recorder->Finish(seconds(5)));
    relay.Kill();
    relay.monotonic += seconds(20);
    relay.Start();
    relay.PollUntilIdle();
  }
  CHECK(relay.ReadTotals().use_us == served_us);
  CHECK(relay.ReadTotals().unattested == 0);
  CHECK(relay.Reader().Verify().empty());
}

}  // namespace
}  // namespace stoatrun::ledger
