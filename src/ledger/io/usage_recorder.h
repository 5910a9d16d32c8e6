// The ledger inside the relay: accounts for connections on the event loop and writes postings to the store on
// a background worker; keeps them in memory, within a bound, while the disk does not take them.
//
// Contract: each posting is written exactly once, whatever errors the disk returns. While the disk is away
// nothing is lost up to `max_backlog_cells`; beyond that, usage is counted as unrecorded: reported, never
// billed. A crash loses at most the usage since the last checkpoint; the store records it as unattested.
//
// Threading: all functions are called on the event loop's thread and do not block, except Finish. The store
// is touched by the worker's thread only.
#ifndef STOATRUN_LEDGER_IO_USAGE_RECORDER_H_
#define STOATRUN_LEDGER_IO_USAGE_RECORDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/background_worker.h"
#include "base/event_loop.h"
#include "base/log.h"
#include "base/usage_meter.h"
#include "ledger/accounts.h"
#include "ledger/io/store.h"

namespace stoatrun::ledger {

// Settings of a UsageRecorder.
struct UsageRecorderSetup {
  AccountsSetup accounts;
  StoreSetup store;
  Micros checkpoint = std::chrono::seconds(5);  // Interval at which usage is written.
  std::size_t max_backlog_cells = 65536;  // In memory while the disk is away; a cell takes about 100 bytes.
};

// Totals since the start.
struct UsageRecorderCounters {
  std::uint64_t begun = 0, ended = 0;  // Connections.
  std::uint64_t checkpoints = 0;       // Successful writes.
  std::uint64_t store_failures = 0, imbalances = 0, clock_steps = 0;
  std::int64_t unrecorded_us = 0;  // Connection time dropped beyond the bound of memory.
};

// See the comment at the top of this file.
class UsageRecorder : public UsageMeter {
 public:
  using WallClock = std::function<Micros()>;  // Unix time.

  // Starts the checkpoints; the store is opened on the worker. `loop` must outlive this object.
  UsageRecorder(EventLoop& loop, const UsageRecorderSetup& setup, WallClock wall);
  // Without Finish it is as if the process were killed: what was not written is lost.
  ~UsageRecorder() override;
  UsageRecorder(const UsageRecorder&) = delete;
  UsageRecorder& operator=(const UsageRecorder&) = delete;

  UsageHandle Begin(std::string_view group, std::size_t class_index) override;
  void End(UsageHandle& handle) override;

  // A planned end: writes everything and ends the run, waiting for the disk up to `timeout`. Returns false if
  // the worker did not end in time; the process should then end without destroying this object. What could
  // not be written is logged.
  bool Finish(std::chrono::milliseconds timeout);

  // Runs `job` on the worker with the store, if it is open, then `reply` on the event loop with whether it
  // ran without error. `job` may throw StoreError, which is logged. Returns false if the worker's queue is
  // full; neither is run then.
  bool WithStore(std::function<void(Store&)> job, std::function<void(bool done)> reply);
  // Sets the function that is called on the event loop after each write, with the store's state.
  void OnState(std::function<void(const StoreState&)> callback) { on_state_ = std::move(callback); }

  // Compares both sums of the accounting now; logs and counts a difference. Returns whether they agree.
  bool CheckBalance();

  // Whether the worker has nothing to do and no reply is outstanding.
  bool Idle() const { return worker_.IsIdle(); }
  // Whether the worker's thread is not running a job. For tests.
  bool DiskRests() const { return worker_.HasNoJobs(); }
  // Totals since the start.
  const UsageRecorderCounters& Counts() const { return counts_; }
  // The size of the postings that are not written yet.
  std::size_t BacklogCells() const;
  // Adds the counters to a log record.
  void AddFields(LogLine& record) const;

 private:
  // Only the worker's thread touches it.
  struct Disk {
    std::optional<Store> store;
    std::int64_t run = 0;  // 0: not begun.
  };
  // When the recorder started.
  struct StartTime {
    std::int64_t wall_us = 0, period_start_s = 0;
  };
  // What the worker is to write, copied.
  struct WriteJob {
    StoreSetup setup;
    std::vector<Posting> postings;
    OpenCounts open;
    StartTime start;
    std::optional<std::int64_t> end_wall_us;  // Set: the run ends after the postings.
  };
  // What came of it.
  struct WriteResult {
    std::optional<StoreErrorCode> error;
    std::string reason;
    StoreState state;
    std::size_t written = 0;      // Postings from the front of the backlog.
    bool next_uncertain = false;  // The one after them may have been written, too, in spite of the error.
  };

  void OnTimer();
  void CollectPostings();
  void Enqueue(Posting posting);
  void SubmitBacklog(std::optional<std::int64_t> end_wall_us);
  void OnWritten(const WriteResult& result);
  void LogStoreFailure(const WriteResult& result);
  static void OpenStore(Disk& disk, const WriteJob& job);
  static WriteResult Write(Disk& disk, const WriteJob& job);

  EventLoop& loop_;
  const UsageRecorderSetup setup_;
  WallClock wall_;
  Accounts accounts_;
  const StartTime start_;
  std::deque<Posting> backlog_;
  std::size_t submitted_ = 0;  // From the front: numbered, and nothing is merged into them any more.
  bool job_pending_ = false;   // The worker has a job.
  bool ended_ = false;
  std::uint64_t next_number_ = 1;
  UsageRecorderCounters counts_;
  std::optional<StoreErrorCode> last_error_;
  Micros error_logged_at_{0}, next_checkpoint_{0};
  std::function<void(const StoreState&)> on_state_;
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();
  Timer timer_;
  BackgroundWorker worker_;  // Last: its thread ends before what it uses.
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_USAGE_RECORDER_H_
