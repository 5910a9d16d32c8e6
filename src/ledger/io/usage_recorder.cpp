#include "ledger/io/usage_recorder.h"

#include <algorithm>
#include <utility>

namespace stoatrun::ledger {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kMaxQueuedJobs = 8;
// Minimum interval between log records of the same persistent error.
constexpr Micros kErrorLogInterval = std::chrono::minutes(1);
// Interval between readings of the wall clock; the time of a clock step is known with this precision.
constexpr Micros kMaxClockInterval = std::chrono::seconds(1);

}  // namespace

UsageRecorder::UsageRecorder(EventLoop& loop, const UsageRecorderSetup& setup, WallClock wall)
    : loop_(loop),
      setup_(setup),
      wall_(std::move(wall)),
      accounts_(setup.accounts, loop.Now(), wall_()),
      start_{accounts_.WallAt(loop.Now()).count(), accounts_.PeriodStart()},
      timer_(loop.timers, [this] { OnTimer(); }),
      worker_(loop.native_handle(), kMaxQueuedJobs) {
  OnTimer();
}

UsageRecorder::~UsageRecorder() = default;

UsageHandle UsageRecorder::Begin(std::string_view group, std::size_t class_index) {
  ++counts_.begun;
  return accounts_.Begin(loop_.Now(), group, class_index);
}

void UsageRecorder::End(UsageHandle& handle) {
  if (handle.open) ++counts_.ended;
  accounts_.End(loop_.Now(), handle);
}

void UsageRecorder::OnTimer() {
  accounts_.OnClockReading(loop_.Now(), wall_());
  const bool period_ended = accounts_.HasEndedPeriod(loop_.Now());
  if (period_ended || loop_.Now() >= next_checkpoint_) {
    next_checkpoint_ = loop_.Now() + setup_.checkpoint;
    CollectPostings();
    SubmitBacklog(std::nullopt);
  }
  timer_.Set(std::min(next_checkpoint_, loop_.Now() + kMaxClockInterval));
}

bool UsageRecorder::CheckBalance() {
  const auto sums = accounts_.ComputeSums(loop_.Now());
  if (sums.AreBalanced()) return true;
  ++counts_.imbalances;
  LogLine(Level::kError, "ledger out of balance")
      .Field("booked_us", sums.row_time_us)
      .Field("lives_us", sums.connection_time_us)
      .Field("breaches", sums.double_ends);
  return false;
}

void UsageRecorder::CollectPostings() {
  CheckBalance();
  for (Posting& posting : accounts_.TakePostings(loop_.Now(), Accounts::CurrentPeriod::kContinues)) {
    for (const ClockStep& step : posting.steps) {
      ++counts_.clock_steps;
      LogLine(Level::kWarn, "ledger clock step")
          .Field("from_wall_us", step.from_wall_us)
          .Field("to_wall_us", step.to_wall_us);
    }
    Enqueue(std::move(posting));
  }
}

// Waiting postings of the same period are merged. A submitted posting must not change, because the store may
// already have applied it under its number.
void UsageRecorder::Enqueue(Posting posting) {
  Posting* last = backlog_.size() > submitted_ ? &backlog_.back() : nullptr;
  const bool same_period =
      last != nullptr && last->period_start_s == posting.period_start_s && !last->period_ended;
  const bool fits = BacklogCells() + posting.Cells() <= setup_.max_backlog_cells;
  if (same_period && (fits || last->groups.size() >= posting.groups.size())) {
    MergePosting(*last, posting);
    return;
  }
  if (fits) {
    backlog_.push_back(std::move(posting));
    return;
  }
  counts_.unrecorded_us += posting.UseUs();
  const Posting without_usage = WithoutUsage(posting);
  if (last != nullptr && last->groups.empty()) {
    MergePosting(*last, without_usage);
  } else {
    backlog_.push_back(without_usage);
  }
}

std::size_t UsageRecorder::BacklogCells() const {
  std::size_t cells = 0;
  for (const Posting& posting : backlog_) cells += posting.Cells();
  return cells;
}

// If the worker's queue is full, everything stays in the backlog, as if the store were unavailable.
void UsageRecorder::SubmitBacklog(std::optional<std::int64_t> end_wall_us) {
  if (job_pending_ || finished_) return;
  for (std::size_t index = submitted_; index < backlog_.size(); ++index) {
    backlog_[index].number = next_number_++;
  }
  submitted_ = backlog_.size();
  const WriteJob job{
      setup_.store, {backlog_.begin(), backlog_.end()}, accounts_.OpenByGroup(), start_, end_wall_us};
  job_pending_ = worker_.Post([this, state = worker_state_, job]() -> BackgroundWorker::Reply {
    const WriteResult result = Write(*state, job);
    return [this, result] { OnWritten(result); };
  });
}

// After a store failure the run is resumed if the file still has it; otherwise a new run begins.
void UsageRecorder::OpenStore(WorkerState& state, const WriteJob& job) {
  state.store.emplace(job.setup);
  if (state.run != 0 && state.store->ResumeRun(state.run)) return;
  state.run = state.store->BeginRun(job.start.wall_us, job.start.period_start_s);
}

UsageRecorder::WriteResult UsageRecorder::Write(WorkerState& state, const WriteJob& job) {
  WriteResult result;
  try {
    if (!state.store) OpenStore(state, job);
    for (const Posting& posting : job.postings) {
      result.next_uncertain = true;
      state.store->Apply(posting, job.open);
      result.next_uncertain = false;
      ++result.written;
    }
    if (job.end_wall_us) state.store->EndRun(*job.end_wall_us);
    result.state = state.store->State();
  } catch (const StoreError& e) {
    result.error = e.code;
    result.reason = e.what();
    state.store.reset();
  }
  return result;
}

void UsageRecorder::OnWritten(const WriteResult& result) {
  job_pending_ = false;
  backlog_.erase(backlog_.begin(), backlog_.begin() + static_cast<std::ptrdiff_t>(result.written));
  // Postings that the store has not received may still be merged and renumbered.
  submitted_ = result.next_uncertain ? 1 : 0;
  if (result.error) return LogStoreFailure(result);
  ++counts_.checkpoints;
  if (last_error_) LogLine(Level::kInfo, "ledger store is back,").Field("backlog_cells", BacklogCells());
  last_error_.reset();
  if (state_callback_) state_callback_(result.state);
}

void UsageRecorder::LogStoreFailure(const WriteResult& result) {
  ++counts_.store_failures;
  if (last_error_ != result.error || loop_.Now() >= error_logged_at_ + kErrorLogInterval) {
    error_logged_at_ = loop_.Now();
    LogLine(Level::kError, "ledger store failed")
        .Reason(result.reason)
        .Field("fault", StoreErrorName(*result.error))
        .Field("backlog_cells", BacklogCells())
        .Field("unkept_us", counts_.unrecorded_us);
  }
  last_error_ = result.error;
}

bool UsageRecorder::RunWithStore(std::function<void(Store&)> job, std::function<void(bool done)> reply) {
  return worker_.Post(
      [state = worker_state_, job = std::move(job), reply = std::move(reply)]() -> BackgroundWorker::Reply {
        bool done = false;
        std::string reason = "the store is not open";
        try {
          if (state->store) {
            job(*state->store);
            done = true;
          }
        } catch (const StoreError& e) {
          reason = e.what();
        }
        return [reply, done, reason] {
          if (!done) LogLine(Level::kWarn, "ledger store call failed").Reason(reason);
          reply(done);
        };
      });
}

bool UsageRecorder::Finish(milliseconds timeout) {
  timer_.Cancel();
  const auto start = steady_clock::now();
  const auto remaining = [&] {
    return timeout - std::chrono::duration_cast<milliseconds>(steady_clock::now() - start);
  };
  bool worker_finished = worker_.Finish(timeout);
  if (worker_finished) {
    CollectPostings();
    SubmitBacklog(accounts_.WallAt(loop_.Now()).count());
    worker_finished = worker_.Finish(std::max(remaining(), milliseconds(0)));
  }
  finished_ = true;
  if (worker_finished && backlog_.empty()) return true;
  std::int64_t lost_us = 0;
  for (const Posting& posting : backlog_) lost_us += posting.UseUs() + posting.unrecorded_us;
  LogLine(Level::kError, "ledger ends with use that was not kept,")
      .Field("use_us", lost_us)
      .Field("postings", backlog_.size());
  return worker_finished;
}

void UsageRecorder::AddFields(LogLine& record) const {
  record.Field("ledger_begun", counts_.begun)
      .Field("ledger_ended", counts_.ended)
      .Field("ledger_open", accounts_.OpenConnections())
      .Field("ledger_checkpoints", counts_.checkpoints)
      .Field("ledger_store_failures", counts_.store_failures)
      .Field("ledger_backlog_cells", BacklogCells())
      .Field("ledger_unkept_us", counts_.unrecorded_us)
      .Field("ledger_imbalances", counts_.imbalances)
      .Field("ledger_clock_steps", counts_.clock_steps);
}

}  // namespace stoatrun::ledger
