// The ledger in the relay: owns the accounting, hands its postings to the store on a worker's thread, and
// keeps them in memory, within a bound, while the disk does not take them.
#ifndef STOATRUN_LEDGER_IO_USAGE_RECORDER_H_
#define STOATRUN_LEDGER_IO_USAGE_RECORDER_H_

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

struct UsageRecorderSetup {
  AccountsSetup accounts;
  StoreSetup store;
  Micros checkpoint = std::chrono::seconds(5);
  std::size_t max_backlog_cells = 65536;  // In memory while the disk is away; a cell takes about 100 bytes.
};

struct UsageRecorderCounters {
  std::uint64_t begun = 0, ended = 0, checkpoints = 0, store_failures = 0, imbalances = 0, clock_steps = 0;
  std::int64_t unrecorded_us = 0;
};

class UsageRecorder : public UsageMeter {
 public:
  using WallClock = std::function<Micros()>;  // Unix time.

  UsageRecorder(EventLoop& loop, const UsageRecorderSetup& setup, WallClock wall);
  // Without Finish it is as if the process were killed: what was not kept is lost.
  ~UsageRecorder() override;
  UsageRecorder(const UsageRecorder&) = delete;
  UsageRecorder& operator=(const UsageRecorder&) = delete;

  UsageHandle Begin(std::string_view group, std::size_t class_index) override;
  void End(UsageHandle& handle) override;

  // A planned end: all is kept, or `bound` has passed. False: it was given up, and the process should end
  // without clearing up. What could not be kept is logged.
  bool Finish(std::chrono::milliseconds bound);

  // Runs on the worker with the store, if there is one now; `reply` is run on the loop. False: not taken.
  // The function may throw StoreError, which is logged; `reply` is then told so.
  bool WithStore(std::function<void(Store&)> job, std::function<void(bool ok)> reply);
  // Called on the loop after each change of the store, with what it then holds.
  void OnState(std::function<void(const StoreState&)> f) { on_state_ = std::move(f); }

  // Compares both sums now; logs and counts a difference.
  bool CheckBalance();

  bool Idle() const { return worker_.Idle(); }
  bool DiskRests() const { return worker_.Resting(); }
  const UsageRecorderCounters& Counts() const { return counts_; }
  std::size_t BacklogCells() const;
  void AddFields(LogLine& record) const;

 private:
  // What the worker's thread alone touches.
  struct Disk {
    std::optional<Store> store;
    std::int64_t run = 0;
  };
  struct Result {
    std::optional<StoreErrorCode> fault;
    std::string why;
    StoreState state;
    std::size_t kept = 0;     // Postings from the front of the backlog.
    bool tried_next = false;  // The one after them may be kept, too, though the answer was an error.
  };

  struct Moment {
    std::int64_t wall_us = 0, period_start_s = 0;
  };

  void Due();
  void CollectPostings();
  void Keep(Posting posting);
  void SubmitBacklog(bool ending);
  void Take(const Result& result);
  static Result WriteToStore(Disk& disk, const StoreSetup& setup, const std::vector<Posting>& postings,
                             const OpenCounts& open, const Moment& began, std::int64_t wall_us, bool ending);

  EventLoop& loop_;
  const UsageRecorderSetup setup_;
  WallClock wall_;
  Accounts accounts_;
  const Moment start_;
  std::deque<Posting> backlog_;
  std::size_t submitted_ = 0;  // From the front: their numbers are given and nothing is joined to them.
  bool job_pending_ = false;   // A job is with the worker.
  bool ended_ = false;
  std::uint64_t next_number_ = 1;
  UsageRecorderCounters counts_;
  std::optional<StoreErrorCode> fault_;
  Micros fault_logged_at_{0}, next_checkpoint_{0};
  std::function<void(const StoreState&)> on_state_;
  std::shared_ptr<Disk> disk_ = std::make_shared<Disk>();
  Timer checkpoint_;
  BackgroundWorker worker_;  // Last: its thread ends before what it uses.
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_USAGE_RECORDER_H_
