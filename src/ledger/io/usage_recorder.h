// Records the usage of the relay's connections: accounts for it on the event loop and writes postings to the
// store on a background worker. Postings are buffered in memory, up to a limit, while the store is
// unavailable.
//
// Contract: each posting is written exactly once, whatever errors the disk returns. While the store is
// unavailable, usage is buffered up to `max_backlog_cells`; usage beyond that is counted as unrecorded, which
// is reported but never billed. A crash loses at most the usage since the last successful checkpoint; the
// store records it as unattested.
//
// Threading: all functions must be called on the event loop's thread. None blocks except Finish. The store is
// accessed only on the worker's thread.
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
  Micros checkpoint = std::chrono::seconds(5);  // Interval between writes of usage.
  std::size_t max_backlog_cells = 65536;        // Limit of the buffer; a cell takes about 100 bytes.
};

// Totals since the start.
struct UsageRecorderCounters {
  std::uint64_t begun = 0, ended = 0;  // Connections.
  std::uint64_t checkpoints = 0;       // Successful writes.
  std::uint64_t store_failures = 0, imbalances = 0, clock_steps = 0;
  std::int64_t unrecorded_us = 0;  // Connection time beyond the buffer's limit.
};

// See the comment at the top of this file.
class UsageRecorder : public UsageMeter {
 public:
  using WallClock = std::function<Micros()>;  // Unix time.

  // Starts the checkpoint timer. The store is opened on the worker. `loop` must outlive this object.
  UsageRecorder(EventLoop& loop, const UsageRecorderSetup& setup, WallClock wall);
  // Discards everything that was not written, as if the process were killed. Call Finish first to write it.
  ~UsageRecorder() override;
  UsageRecorder(const UsageRecorder&) = delete;
  UsageRecorder& operator=(const UsageRecorder&) = delete;

  UsageHandle Begin(std::string_view group, std::size_t class_index) override;
  void End(UsageHandle& handle) override;

  // Writes all usage and ends the run, for a graceful shutdown. Blocks up to `timeout`. Returns false if the
  // worker did not finish in time; the process should then exit without destroying this object. Usage that
  // could not be written is logged.
  bool Finish(std::chrono::milliseconds timeout);

  // Runs `job` with the store on the worker, if the store is open, and then `reply` on the event loop; `done`
  // says whether the job ran without error. `job` may throw StoreError, which is logged. Returns false if the
  // worker's queue is full; neither function is called then.
  bool RunWithStore(std::function<void(Store&)> job, std::function<void(bool done)> reply);
  // Sets a callback that receives the store's state on the event loop after each successful write.
  void SetStateCallback(std::function<void(const StoreState&)> callback) {
    state_callback_ = std::move(callback);
  }

  // Checks that the sums of the accounts agree; logs and counts a difference. Returns whether they agree.
  bool CheckBalance();

  // Whether the worker has no jobs and no replies are pending.
  bool IsIdle() const { return worker_.IsIdle(); }
  // Whether the worker has no jobs; replies may be pending. For tests.
  bool HasNoStoreJobs() const { return worker_.HasNoJobs(); }
  // Totals since the start.
  const UsageRecorderCounters& Counts() const { return counts_; }
  // The size, in cells, of the postings that are not written yet.
  std::size_t BacklogCells() const;
  // Adds the counters to a log record.
  void AddFields(LogLine& record) const;

 private:
  // Accessed only on the worker's thread.
  struct WorkerState {
    std::optional<Store> store;
    std::int64_t run = 0;  // 0: no run was begun.
  };
  // When the recorder started.
  struct StartTime {
    std::int64_t wall_us = 0, period_start_s = 0;
  };
  // A copy of everything that a write on the worker needs.
  struct WriteJob {
    StoreSetup setup;
    std::vector<Posting> postings;
    OpenCounts open;
    StartTime start;
    std::optional<std::int64_t> end_wall_us;  // If set, the run is ended after the postings.
  };
  // The outcome of a WriteJob.
  struct WriteResult {
    std::optional<StoreErrorCode> error;
    std::string reason;
    StoreState state;
    std::size_t written = 0;      // Number of postings, from the front of the backlog.
    bool next_uncertain = false;  // The posting after them may have been committed in spite of the error.
  };

  void OnTimer();
  void CollectPostings();
  void Enqueue(Posting posting);
  void SubmitBacklog(std::optional<std::int64_t> end_wall_us);
  void OnWritten(const WriteResult& result);
  void LogStoreFailure(const WriteResult& result);
  static void OpenStore(WorkerState& state, const WriteJob& job);
  static WriteResult Write(WorkerState& state, const WriteJob& job);

  EventLoop& loop_;
  const UsageRecorderSetup setup_;
  WallClock wall_;
  Accounts accounts_;
  const StartTime start_;
  std::deque<Posting> backlog_;
  std::size_t submitted_ = 0;  // Postings at the front that are numbered and must not change.
  bool job_pending_ = false;   // A write is queued or running.
  bool finished_ = false;
  std::uint64_t next_number_ = 1;
  UsageRecorderCounters counts_;
  std::optional<StoreErrorCode> last_error_;
  Micros error_logged_at_{0}, next_checkpoint_{0};
  std::function<void(const StoreState&)> state_callback_;
  std::shared_ptr<WorkerState> worker_state_ = std::make_shared<WorkerState>();
  Timer timer_;
  BackgroundWorker worker_;  // Declared last: its thread stops before the members it uses are destroyed.
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_USAGE_RECORDER_H_
