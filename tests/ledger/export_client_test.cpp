// Delivery to the billing receiver, with failing receivers and killed relays.
#include "ledger/io/export_client.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <thread>
#include <vector>

#include "ledger/recorder_fixture.h"

namespace stoatrun::ledger {
namespace {

using standin::InMemoryDisk;
using standin::Receiver;
using std::chrono::milliseconds;
using std::chrono::seconds;
using Reply = Receiver::Reply;

TEST_CASE("each record is stored once and in order despite receiver failures") {
  Receiver receiver;
  InMemoryDisk disk("receiver");
  RecorderFixture relay(&disk, "n0", &receiver);
  using Replies = std::vector<Reply>;
  const auto replies = GENERATE(
      Replies{Reply::kServerError, Reply::kServerError}, Replies{Reply::kCloseBeforeReading},
      Replies{Reply::kCloseAfterStoring, Reply::kCloseAfterStoring}, Replies{Reply::kStoreWithoutResponse},
      Replies{Reply::kDuplicateResponse, Reply::kDuplicateResponse},
      Replies{Reply::kNoAcknowledgement, Reply::kNoAcknowledgement}, Replies{Reply::kConflict},
      Replies{Reply::kReject}, Replies{Reply::kTooLarge, Reply::kTooLarge}, Replies{Reply::kRetryAfter},
      Replies{Reply::kAcknowledge, Reply::kLoseLastRecord}, Replies{Reply::kForgedHash},
      Replies{Reply::kUnknownSeq},
      Replies{Reply::kAcknowledge, Reply::kCloseAfterStoring, Reply::kStoreWithoutResponse,
              Reply::kLoseLastRecord, Reply::kServerError, Reply::kDuplicateResponse});
  for (const Reply reply : replies) receiver.QueueReplies({reply});
  UsageHandle first = relay.recorder->Begin("wetland", 0);
  UsageHandle second = relay.recorder->Begin("raptor", 0);
  relay.Wait(seconds(250), &receiver);
  relay.recorder->End(first);
  relay.recorder->End(second);
  relay.Wait(seconds(200), &receiver);
  CHECK(receiver.RemainingReplies() == 0);
  CHECK(receiver.ContentConflicts() == 0);
  Store store = relay.Reader();
  const StoreState state = store.State();
  CHECK(state.head_seq >= 8);
  CHECK(state.delivered_seq == state.head_seq);
  REQUIRE(receiver.Lines().size() == state.head_seq);
  for (const StoredRecord& record : store.Records(1, 1000)) {
    CHECK(receiver.Lines()[record.seq - 1] == record.line);
  }
  if (replies.front() == Reply::kForgedHash || replies.front() == Reply::kUnknownSeq) {
    CHECK(relay.export_client->Counts().disagreements == 1);
  }
  if (replies.front() == Reply::kReject) CHECK(relay.export_client->Counts().rejections == 1);
}

TEST_CASE("a receiver that is down for hours is retried at a bounded rate and then gets everything") {
  Receiver receiver;
  receiver.Stop();
  InMemoryDisk disk("hours");
  RecorderFixture relay(&disk, "n0", &receiver);
  UsageHandle handle = relay.recorder->Begin("wetland", 0);
  relay.Wait(seconds(1800), &receiver);
  const std::uint64_t attempts = relay.export_client->Counts().requests;
  CHECK(attempts >= 1800 / 60);
  CHECK(attempts <= 1800 / 30 + 8);  // Backoffs are 30 s or longer, except for the first few.
  receiver.Start();
  relay.Wait(seconds(90), &receiver);
  relay.recorder->End(handle);
  CHECK(receiver.Lines().size() >= 30);
  CHECK(relay.export_client->Backlog() <= 1);
}

TEST_CASE("a relay killed at any event loop turn of a delivery delivers each record once") {
  for (int turns = 0; turns < 40; ++turns) {
    INFO("killed after " << turns << " turns");
    Receiver receiver;
    InMemoryDisk disk("export-" + std::to_string(turns));
    RecorderFixture relay(&disk, "n0", &receiver);
    UsageHandle first = relay.recorder->Begin("wetland", 0);
    UsageHandle second = relay.recorder->Begin("raptor", 0);
    relay.Wait(seconds(59), &receiver);
    relay.recorder->End(first);
    relay.recorder->End(second);
    relay.Wait(milliseconds(500), &receiver);
    relay.Advance(seconds(1));  // The period closes: its records are appended, sent and acknowledged.
    for (int k = 0; k < turns; ++k) {
      relay.PollOnce(&receiver);
      while (!relay.recorder->HasNoStoreJobs()) std::this_thread::yield();
    }
    relay.Kill();
    receiver.Poll();  // The request arrives although the client is gone.
    relay.Start();
    relay.Wait(seconds(70), &receiver);
    CHECK(receiver.ContentConflicts() == 0);
    Store store = relay.Reader();
    CHECK(store.State().delivered_seq == store.State().head_seq);
    REQUIRE(receiver.Lines().size() == store.State().head_seq);
    CHECK(relay.ReadTotals().use_us <= 118'000'000);
    CHECK(relay.ReadTotals().use_us >= 116'000'000);
  }
}

}  // namespace
}  // namespace stoatrun::ledger
