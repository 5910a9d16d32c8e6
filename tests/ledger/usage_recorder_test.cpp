// The ledger in the relay: disks that fail, receivers that fail, relays that are killed.
#include "ledger/io/usage_recorder.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <optional>
#include <random>
#include <thread>

#include "ledger/io/export_client.h"
#include "ledger/io/export_file.h"
#include "standin/in_memory_disk.h"
#include "standin/receiver.h"

namespace stoatrun::ledger {
namespace {

using standin::InMemoryDisk;
using standin::Receiver;
using std::chrono::milliseconds;
using std::chrono::seconds;
using P = Receiver::Play;

constexpr Micros kWallStart = seconds(1'800'000'000);

// One relay's ledger under a clock that only Wait moves.
class RecorderFixture {
 public:
  explicit RecorderFixture(InMemoryDisk* disk, std::string relay = "n0", const Receiver* receiver = nullptr)
      : disk_(disk), relay_(std::move(relay)), receiver_(receiver) {
    SetLogLevel(static_cast<Level>(4));  // Above all.
    std::string name = std::filesystem::temp_directory_path() / "stoatrun-XXXXXX";
    folder_ = mkdtemp(name.data());
    Start();
  }
  ~RecorderFixture() {
    Kill();
    std::filesystem::remove_all(folder_);
  }
  RecorderFixture(const RecorderFixture&) = delete;
  RecorderFixture& operator=(const RecorderFixture&) = delete;

  void Start() {
    loop.emplace(Clock::Mode::kManual);
    loop->clock.Advance(mono);
    UsageRecorderSetup setup;
    setup.accounts = {seconds(60), {{"wetland", 1000}}, {"feed"}, 8};
    setup.store = {folder_, relay_, "book", disk_ != nullptr ? disk_->Vfs() : nullptr, true, 1000};
    setup.checkpoint = seconds(1);
    setup.max_backlog_cells = max_backlog_cells;
    recorder.emplace(*loop, setup, [this] { return kWallStart + mono + wall_off; });
    if (receiver_ == nullptr) return;
    ExportClientSetup c;
    c.receiver = Address::Parse("127.0.0.1:" + std::to_string(receiver_->Port())).value();
    c.host = "receiver";
    c.delivery.max_batch_records = 3;
    c.seed = 5;
    export_client.emplace(*loop, *recorder, c);
  }
  // As SIGKILL: nothing more is said to the disk by this process.
  void Kill() {
    export_client.reset();
    recorder.reset();
    loop.reset();
  }
  void Turn(Receiver* receiver = nullptr) {
    loop->Poll();
    if (receiver != nullptr) receiver->Poll();
  }
  // Until the disk has answered, then the sockets have had their time.
  void Settle(Receiver* receiver = nullptr) {
    const auto end = std::chrono::steady_clock::now() + seconds(10);
    for (int quiet = 0; quiet < 20; ++quiet) {
      Turn(receiver);
      while (!recorder->Idle()) {
        quiet = 0;
        REQUIRE(std::chrono::steady_clock::now() < end);
        Turn(receiver);
      }
    }
  }
  void Wait(Micros span, Receiver* receiver = nullptr) {
    for (; span > Micros(0); span -= milliseconds(500)) {
      const Micros step = std::min<Micros>(span, milliseconds(500));
      mono += step;
      loop->clock.Advance(step);
      Settle(receiver);
    }
  }
  Store Reader() { return Store({folder_, "", "", disk_ != nullptr ? disk_->Vfs() : nullptr, false, 0}); }
  // All that is booked, and what is told as unkept.
  struct Sum {
    std::int64_t use_us = 0, within_us = 0, unrecorded_us = 0;
    int unattested = 0, steps = 0;
  };
  Sum Read() {
    Sum sum;
    Store store = Reader();
    store.EachRecord(1, [&](const StoredRecord& r) {
      const auto record = ParseRecord(SplitLine(r.line).value().record).value();
      sum.use_us += record.use().use_us();
      sum.within_us += record.use().within_us();
      sum.unrecorded_us += record.unattested().unkept_us();
      sum.unattested += record.has_unattested() && record.unattested().unkept_us() == 0 ? 1 : 0;
      sum.steps += record.has_clock_step() ? 1 : 0;
    });
    for (const OpenUse& u : store.OpenPeriods()) {
      sum.use_us += u.use.use_us;
      sum.within_us += u.use.within_us;
    }
    return sum;
  }

  Micros mono{0}, wall_off{0};
  std::size_t max_backlog_cells = 1000;
  std::optional<EventLoop> loop;
  std::optional<UsageRecorder> recorder;
  std::optional<ExportClient> export_client;
  const std::string& Folder() const { return folder_; }

 private:
  InMemoryDisk* disk_;
  const std::string relay_;
  const Receiver* receiver_;
  std::string folder_;
};

TEST_CASE("a disk that fails and comes back gets all that was used meanwhile") {
  const int code = GENERATE(SQLITE_FULL, SQLITE_IOERR_WRITE, SQLITE_READONLY);
  InMemoryDisk disk("keeper-" + std::to_string(code));
  RecorderFixture fixture(&disk);
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(seconds(5));
  CHECK(fixture.recorder->Counts().store_failures == 0);
  disk.FailAllWith(code);
  UsageHandle u = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(seconds(130));  // Over two borders.
  CHECK(fixture.recorder->Counts().store_failures > 10);
  fixture.recorder->End(t);
  disk.FailAllWith(SQLITE_OK);
  fixture.Wait(seconds(5));
  fixture.recorder->End(u);
  REQUIRE(fixture.recorder->Finish(seconds(5)));
  const RecorderFixture::Sum sum = fixture.Read();
  CHECK(sum.use_us == 270'000'000);
  CHECK(sum.within_us == 140'000'000);
  CHECK(sum.unrecorded_us == 0);
  CHECK(sum.unattested == 0);
}

TEST_CASE("beyond the bound of memory use is told as unkept, never dropped and never billed") {
  InMemoryDisk disk("bound");
  RecorderFixture fixture(&disk);
  fixture.Kill();
  fixture.max_backlog_cells = 8;
  fixture.Start();
  disk.FailAllWith(SQLITE_FULL);
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(seconds(1200));
  CHECK(fixture.recorder->BacklogCells() <= 10);
  disk.FailAllWith(SQLITE_OK);
  fixture.recorder->End(t);
  fixture.Wait(seconds(10));
  REQUIRE(fixture.recorder->Finish(seconds(5)));
  const RecorderFixture::Sum sum = fixture.Read();
  CHECK(sum.unrecorded_us > 0);
  CHECK(sum.use_us > 0);
  CHECK(sum.use_us + sum.unrecorded_us == 1'200'000'000);
}

TEST_CASE("a disk whose sync hangs holds nobody up, and a planned end does not wait for ever") {
  InMemoryDisk disk("stall");
  RecorderFixture fixture(&disk);
  fixture.Settle();
  disk.Stall();
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  for (int k = 0; k < 50; ++k) {
    fixture.mono += seconds(1);
    fixture.loop->clock.Advance(seconds(1));
    const auto begun = std::chrono::steady_clock::now();
    fixture.Turn();
    CHECK(std::chrono::steady_clock::now() - begun < seconds(1));
  }
  fixture.recorder->End(t);
  SECTION("it comes back") {
    disk.Release();
    fixture.Settle();
    REQUIRE(fixture.recorder->Finish(seconds(5)));
    CHECK(fixture.Read().use_us == 50'000'000);
  }
  SECTION("it does not") {
    CHECK_FALSE(fixture.recorder->Finish(milliseconds(50)));
    disk.Release();  // The thread that was given up must end before its disk does.
    std::this_thread::sleep_for(milliseconds(200));
  }
}

TEST_CASE("a killed relay leaves at most a checkpoint unattested, recorded with its bound") {
  InMemoryDisk disk("killed");
  RecorderFixture fixture(&disk);
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(milliseconds(10'500));
  fixture.Kill();
  fixture.mono += seconds(3);
  fixture.Start();
  fixture.Settle();
  const RecorderFixture::Sum sum = fixture.Read();
  CHECK(sum.unattested == 1);
  CHECK(sum.use_us >= 9'500'000);
  CHECK(sum.use_us <= 10'500'000);
  Store store = fixture.Reader();
  const auto u = ParseRecord(SplitLine(store.Records(1, 1).at(0).line)->record)->unattested();
  CHECK(u.to_wall_us() - u.from_wall_us() == 13'500'000 - sum.use_us);
  REQUIRE(u.open_size() == 1);
  CHECK(u.open(0).bound_us() == 13'500'000 - sum.use_us);
  (void)t;
}

TEST_CASE("two relays on one folder, or another's folder: both are told and neither stops") {
  InMemoryDisk disk("shared");
  RecorderFixture fixture(&disk);
  fixture.Wait(seconds(2));
  UsageRecorderSetup setup;
  setup.accounts = {seconds(60), {}, {"feed"}, 8};
  setup.store = {fixture.Folder(), "n0", "other", disk.Vfs(), true, 1000};
  EventLoop loop(Clock::Mode::kManual);
  UsageRecorder second(loop, setup, [] { return kWallStart; });
  while (!second.Idle()) loop.Poll();
  loop.Poll();
  CHECK(second.Counts().store_failures == 1);
  UsageHandle t = second.Begin("wetland", 0);
  second.End(t);
  CHECK(second.Counts().ended == 1);
}

TEST_CASE("a stepped clock under a keeper loses nothing and is recorded") {
  InMemoryDisk disk("steps");
  RecorderFixture fixture(&disk);
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(seconds(30));
  fixture.wall_off = std::chrono::hours(-2);
  fixture.Wait(seconds(30));
  fixture.wall_off = std::chrono::hours(1);
  fixture.Wait(seconds(30));
  fixture.recorder->End(t);
  REQUIRE(fixture.recorder->Finish(seconds(5)));
  CHECK(fixture.Read().use_us == 90'000'000);
  CHECK(fixture.Read().steps == 2);
}

TEST_CASE("whatever the receiver does, each record reaches it once and in order") {
  Receiver receiver;
  InMemoryDisk disk("receiver");
  RecorderFixture fixture(&disk, "n0", &receiver);
  const auto plays =
      GENERATE(std::vector<P>{P::kError, P::kError}, std::vector<P>{P::kCutBefore},
               std::vector<P>{P::kCutAfter, P::kCutAfter}, std::vector<P>{P::kSilent},
               std::vector<P>{P::kTwice, P::kTwice}, std::vector<P>{P::kNoReceipt, P::kNoReceipt},
               std::vector<P>{P::kConflict}, std::vector<P>{P::kReject},
               std::vector<P>{P::kTooLarge, P::kTooLarge}, std::vector<P>{P::kLater},
               std::vector<P>{P::kTake, P::kLose}, std::vector<P>{P::kForge}, std::vector<P>{P::kAhead},
               std::vector<P>{P::kTake, P::kCutAfter, P::kSilent, P::kLose, P::kError, P::kTwice});
  for (const P p : plays) receiver.Next({p});
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  UsageHandle u = fixture.recorder->Begin("raptor", 0);
  fixture.Wait(seconds(250), &receiver);
  fixture.recorder->End(t);
  fixture.recorder->End(u);
  fixture.Wait(seconds(200), &receiver);
  CHECK(receiver.RemainingSteps() == 0);
  CHECK(receiver.ContentConflicts() == 0);
  Store store = fixture.Reader();
  const StoreState state = store.State();
  CHECK(state.head_seq >= 8);
  CHECK(state.delivered_seq == state.head_seq);
  REQUIRE(receiver.Lines().size() == state.head_seq);
  for (const StoredRecord& r : store.Records(1, 1000)) CHECK(receiver.Lines()[r.seq - 1] == r.line);
  if (plays.front() == P::kForge || plays.front() == P::kAhead)
    CHECK(fixture.export_client->Counts().disagreements == 1);
  if (plays.front() == P::kReject) CHECK(fixture.export_client->Counts().refused == 1);
}

TEST_CASE("a receiver that is down for hours is asked at a bounded pace and then gets all") {
  Receiver receiver;
  receiver.Down();
  InMemoryDisk disk("hours");
  RecorderFixture fixture(&disk, "n0", &receiver);
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(seconds(1800), &receiver);
  const std::uint64_t asked = fixture.export_client->Counts().requests;
  CHECK(asked >= 1800 / 60);
  CHECK(asked <= 1800 / 30 + 8);  // Half a minute at the least, but for the first few.
  receiver.Up();
  fixture.Wait(seconds(90), &receiver);
  fixture.recorder->End(t);
  CHECK(receiver.Lines().size() >= 30);
  CHECK(fixture.export_client->Backlog() <= 1);
}

TEST_CASE("killed at any turn of an export, the relay delivers each record once") {
  for (int turns = 0; turns < 40; ++turns) {
    INFO("killed after " << turns << " turns");
    Receiver receiver;
    InMemoryDisk disk("export-" + std::to_string(turns));
    RecorderFixture fixture(&disk, "n0", &receiver);
    UsageHandle t = fixture.recorder->Begin("wetland", 0);
    UsageHandle u = fixture.recorder->Begin("raptor", 0);
    fixture.Wait(seconds(59), &receiver);
    fixture.recorder->End(t);
    fixture.recorder->End(u);
    fixture.Wait(milliseconds(500), &receiver);
    fixture.mono += seconds(1);
    fixture.loop->clock.Advance(seconds(1));  // The period closes: its records are made, sent, confirmed.
    for (int k = 0; k < turns; ++k) {
      fixture.Turn(&receiver);
      while (!fixture.recorder->DiskRests()) std::this_thread::yield();
    }
    fixture.Kill();
    receiver.Poll();  // What was sent is there, though nobody waits for the answer.
    fixture.Start();
    fixture.Wait(seconds(70), &receiver);
    CHECK(receiver.ContentConflicts() == 0);
    Store store = fixture.Reader();
    CHECK(store.State().delivered_seq == store.State().head_seq);
    REQUIRE(receiver.Lines().size() == store.State().head_seq);
    CHECK(fixture.Read().use_us <= 118'000'000);
    CHECK(fixture.Read().use_us >= 116'000'000);
  }
}

TEST_CASE("an export file is whole or the old one, wherever its writing is killed") {
  RecorderFixture fixture(nullptr);
  UsageHandle t = fixture.recorder->Begin("wetland", 0);
  fixture.Wait(seconds(200));
  fixture.recorder->End(t);
  REQUIRE(fixture.recorder->Finish(seconds(5)));
  const std::string path = fixture.Folder() + "/n0.jsonl";
  const auto read = [&] {
    std::ifstream in(path, std::ios::binary);
    return std::string{std::istreambuf_iterator<char>(in), {}};
  };
  std::ofstream(path) << "the old one";
  Store store = fixture.Reader();
  for (rlim_t most = 0; read() == "the old one"; most += 97) {
    const pid_t child = fork();
    if (child == 0) {  // The write that goes over the limit kills it.
      const rlimit limit{most, most};
      setrlimit(RLIMIT_FSIZE, &limit);
      std::signal(SIGXFSZ, SIG_DFL);
      Store own({fixture.Folder(), "", "", nullptr, false, 0});
      WriteExport(own, 1, path);
      _exit(0);
    }
    int status = 0;
    REQUIRE(waitpid(child, &status, 0) == child);
    const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGXFSZ;
    REQUIRE((killed == (read() == "the old one")));
    REQUIRE(most < 100'000);
  }
  const ReconcileReport r = ReconcileFiles({path}, 1);
  CHECK(r.faults.empty());
  CHECK(r.records == 3);
  CHECK_THROWS(WriteExport(store, 1, "/nonexistent/n0.jsonl"));
}

// Relays behind one front, killed at random while they post and export. What the clients counted outside is
// what the exports say, but for what is recorded as unattested.
TEST_CASE("the summed ledgers of relays killed at random equal what was served") {
  const std::uint64_t seed = GENERATE(1, 2, 3);
  std::mt19937_64 random(seed);
  constexpr int kRelays = 3;
  Receiver receivers[kRelays];
  std::vector<std::unique_ptr<InMemoryDisk>> disks;
  std::vector<std::unique_ptr<RecorderFixture>> fixtures;
  for (int k = 0; k < kRelays; ++k) {
    disks.push_back(std::make_unique<InMemoryDisk>("fleet-" + std::to_string(k)));
    fixtures.push_back(
        std::make_unique<RecorderFixture>(disks.back().get(), "n" + std::to_string(k), &receivers[k]));
  }
  struct Client {
    int relay;
    UsageHandle handle;
    Micros since;
  };
  std::vector<Client> clients;
  std::int64_t served_us = 0, lost_bound_us = 0;
  int kills = 0;
  for (int step = 0; step < 400; ++step) {
    const int relay = static_cast<int>(random() % kRelays);
    RecorderFixture& fixture = *fixtures[static_cast<std::size_t>(relay)];
    const std::uint64_t what = random() % 20;
    if (what < 9) {
      const char* group = random() % 3 == 0 ? "raptor" : "wetland";
      clients.push_back({relay, fixture.recorder->Begin(group, 0), fixture.mono});
    } else if (what < 17 && !clients.empty()) {
      const auto at = static_cast<std::ptrdiff_t>(random() % clients.size());
      Client& c = clients[static_cast<std::size_t>(at)];
      RecorderFixture& own = *fixtures[static_cast<std::size_t>(c.relay)];
      own.recorder->End(c.handle);
      served_us += (own.mono - c.since).count();
      clients.erase(clients.begin() + at);
    } else if (what == 19) {
      ++kills;
      // The checkpoint before lies at most a second and a turn back.
      for (const Client& c : clients) {
        if (c.relay != relay) continue;
        served_us += (fixture.mono - c.since).count();
      }
      const auto open =
          std::count_if(clients.begin(), clients.end(), [&](const Client& c) { return c.relay == relay; });
      lost_bound_us += (open + 20) * 1'500'000;
      std::erase_if(clients, [&](const Client& c) { return c.relay == relay; });
      if (random() % 2 == 0) receivers[relay].Next({P::kCutAfter});
      if (random() % 2 == 0) {  // The power goes, too, a few calls later.
        disks[static_cast<std::size_t>(relay)]->LosePowerAt(1 + static_cast<int>(random() % 20));
        fixture.Wait(milliseconds(500), &receivers[relay]);
      }
      fixture.Kill();
      disks[static_cast<std::size_t>(relay)]->PowerOn(random());
      fixture.Start();
    }
    const Micros span = milliseconds(100 + random() % 900);
    for (int k = 0; k < kRelays; ++k) fixtures[static_cast<std::size_t>(k)]->Wait(span, &receivers[k]);
  }
  REQUIRE(kills > 3);
  for (const Client& c : clients) {
    RecorderFixture& own = *fixtures[static_cast<std::size_t>(c.relay)];
    served_us += (own.mono - c.since).count();
  }
  const std::string folder = fixtures[0]->Folder() + "/exports";
  std::filesystem::create_directory(folder);
  int unattested = 0;
  for (int k = 0; k < kRelays; ++k) {
    RecorderFixture& fixture = *fixtures[static_cast<std::size_t>(k)];
    for (Client& c : clients) {
      if (c.relay == k) fixture.recorder->End(c.handle);
    }
    fixture.wall_off += std::chrono::hours(1);  // Leaves the open period.
    fixture.Wait(seconds(90), &receivers[k]);
    REQUIRE(fixture.recorder->Finish(seconds(5)));
    unattested += fixture.Read().unattested;
    Store store = fixture.Reader();
    CHECK(store.State().delivered_seq == store.State().head_seq);
    CHECK(receivers[k].ContentConflicts() == 0);
    WriteExport(store, 1, folder + "/n" + std::to_string(k) + ".jsonl");
  }
  const ReconcileReport r = ReconcileFiles({folder}, 2);
  for (const Fault& f : r.faults) FAIL(f.file << ": " << f.what);
  std::int64_t exported_us = 0;
  for (const auto& [key, total] : r.totals) exported_us += total.use_us;
  CHECK(unattested == kills);
  CHECK(exported_us <= served_us);
  CHECK(served_us - exported_us <= lost_bound_us);
  CHECK(served_us - exported_us < served_us / 5);
}

// Without kills there is no slack at all.
TEST_CASE(
    "the summed ledgers of relays that are restarted in order equal what was served, to the microsecond") {
  std::mt19937_64 random(11);
  InMemoryDisk disk("orderly");
  RecorderFixture fixture(&disk);
  std::int64_t served_us = 0;
  for (int life = 0; life < 5; ++life) {
    std::vector<std::pair<UsageHandle, Micros>> open;
    for (int step = 0; step < 60; ++step) {
      if (random() % 2 == 0) open.emplace_back(fixture.recorder->Begin("wetland", 0), fixture.mono);
      if (!open.empty() && random() % 3 == 0) {
        fixture.recorder->End(open.back().first);
        served_us += (fixture.mono - open.back().second).count();
        open.pop_back();
      }
      fixture.Wait(Micros(1 + random() % 3'000'000));
    }
    for (auto& [handle, since] : open) {
      fixture.recorder->End(handle);
      served_us += (fixture.mono - since).count();
    }
    REQUIRE(fixture.recorder->Finish(seconds(5)));
    fixture.Kill();
    fixture.mono += seconds(20);
    fixture.Start();
    fixture.Settle();
  }
  CHECK(fixture.Read().use_us == served_us);
  CHECK(fixture.Read().unattested == 0);
  CHECK(fixture.Reader().Verify().empty());
}

}  // namespace
}  // namespace stoatrun::ledger
