#include "ledger/io/usage_recorder.h"

#include <algorithm>
#include <utility>

namespace stoatrun::ledger {
namespace {

constexpr std::size_t kJobs = 8;
constexpr Micros kFaultLogInterval =
    std::chrono::minutes(1);  // A fault that goes on is logged no more often.
constexpr Micros kMaxClockInterval =
    std::chrono::seconds(1);  // A step of the clock is placed to this precision.

}  // namespace

UsageRecorder::UsageRecorder(EventLoop& loop, const UsageRecorderSetup& setup, WallClock wall)
    : loop_(loop),
      setup_(setup),
      wall_(std::move(wall)),
      accounts_(setup.accounts, loop.Now(), wall_()),
      start_{accounts_.WallAt(loop.Now()).count(), accounts_.PeriodStart()},
      checkpoint_(loop.timers, [this] { Due(); }),
      worker_(loop.native_handle(), kJobs) {
  Due();
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

void UsageRecorder::Due() {
  accounts_.Tick(loop_.Now(), wall_());
  const bool period_done = accounts_.PeriodDone(loop_.Now());
  if (period_done || loop_.Now() >= next_checkpoint_) {
    next_checkpoint_ = loop_.Now() + setup_.checkpoint;
    CollectPostings();
    SubmitBacklog(false);
  }
  checkpoint_.Set(std::min(next_checkpoint_, loop_.Now() + kMaxClockInterval));
}

bool UsageRecorder::CheckBalance() {
  const auto sums = accounts_.Check(loop_.Now());
  if (sums.Balance()) return true;
  ++counts_.imbalances;
  LogLine(Level::kError, "ledger out of balance")
      .Field("booked_us", sums.row_time_us)
      .Field("lives_us", sums.connection_time_us)
      .Field("breaches", sums.double_ends);
  return false;
}

void UsageRecorder::CollectPostings() {
  CheckBalance();
  for (Posting& p : accounts_.Take(loop_.Now(), false)) {
    for (const ClockStep& s : p.steps) {
      ++counts_.clock_steps;
      LogLine(Level::kWarn, "ledger clock step")
          .Field("from_wall_us", s.from_wall_us)
          .Field("to_wall_us", s.to_wall_us);
    }
    Keep(std::move(p));
  }
}

// Stretches of one period are joined while they wait. What is with the worker stays as it is: its number says
// what it holds.
void UsageRecorder::Keep(Posting posting) {
  Posting* last = backlog_.size() > submitted_ ? &backlog_.back() : nullptr;
  const bool one_period =
      last != nullptr && last->period_start_s == posting.period_start_s && !last->period_ended;
  const bool has_room = BacklogCells() + posting.Cells() <= setup_.max_backlog_cells;
  if (one_period && (has_room || last->groups.size() >= posting.groups.size())) return Join(*last, posting);
  if (has_room) return backlog_.push_back(std::move(posting));
  counts_.unrecorded_us += posting.UseUs();
  const Posting bare = WithoutRows(posting);
  if (last != nullptr && last->groups.empty()) return Join(*last, bare);
  backlog_.push_back(bare);
}

std::size_t UsageRecorder::BacklogCells() const {
  std::size_t cells = 0;
  for (const Posting& p : backlog_) cells += p.Cells();
  return cells;
}

void UsageRecorder::SubmitBacklog(bool ending) {
  if (job_pending_ || ended_) return;
  for (std::size_t k = submitted_; k < backlog_.size(); ++k) backlog_[k].number = next_number_++;
  submitted_ = backlog_.size();
  const std::vector<Posting> postings(backlog_.begin(), backlog_.end());
  const std::int64_t wall_us = accounts_.WallAt(loop_.Now()).count();
  const auto job = [this, disk = disk_, setup = setup_.store, postings, open = accounts_.OpenByGroup(),
                    began = start_, wall_us, ending]() -> BackgroundWorker::Reply {
    const Result result = WriteToStore(*disk, setup, postings, open, began, wall_us, ending);
    return [this, result] { Take(result); };
  };
  job_pending_ = worker_.Post(job);  // A full queue is as a disk that is away: it all stays in the backlog.
}

UsageRecorder::Result UsageRecorder::WriteToStore(Disk& disk, const StoreSetup& setup,
                                                  const std::vector<Posting>& postings,
                                                  const OpenCounts& open, const Moment& began,
                                                  std::int64_t wall_us, bool ending) {
  Result result;
  try {
    if (!disk.store) {
      disk.store.emplace(setup);
      // The run goes on where the disk went away and came back; a new file begins one.
      if (disk.run == 0 || !disk.store->ResumeRun(disk.run)) {
        disk.run = disk.store->BeginRun(began.wall_us, began.period_start_s);
      }
    }
    for (const Posting& p : postings) {
      result.tried_next = true;
      disk.store->Apply(p, open);
      result.tried_next = false;
      ++result.kept;
    }
    if (ending) disk.store->EndRun(wall_us);
    result.state = disk.store->State();
  } catch (const StoreError& e) {
    result.fault = e.code;
    result.why = e.what();
    disk.store.reset();
  }
  return result;
}

void UsageRecorder::Take(const Result& result) {
  job_pending_ = false;
  backlog_.erase(backlog_.begin(), backlog_.begin() + static_cast<std::ptrdiff_t>(result.kept));
  // What the store has not seen may still be joined and numbered anew.
  submitted_ = result.tried_next ? 1 : 0;
  if (!result.fault) {
    ++counts_.checkpoints;
    if (fault_) LogLine(Level::kInfo, "ledger store is back,").Field("backlog_cells", BacklogCells());
    fault_.reset();
    if (on_state_) on_state_(result.state);
    return;
  }
  ++counts_.store_failures;
  if (fault_ != result.fault || loop_.Now() >= fault_logged_at_ + kFaultLogInterval) {
    fault_logged_at_ = loop_.Now();
    LogLine(Level::kError, "ledger store failed")
        .Why(result.why)
        .Field("fault", StoreErrorName(*result.fault))
        .Field("backlog_cells", BacklogCells())
        .Field("unkept_us", counts_.unrecorded_us);
  }
  fault_ = result.fault;
}

bool UsageRecorder::WithStore(std::function<void(Store&)> job, std::function<void(bool ok)> reply) {
  return worker_.Post(
      [disk = disk_, job = std::move(job), reply = std::move(reply)]() -> BackgroundWorker::Reply {
        bool ok = false;
        std::string why = "there is no store";
        try {
          if (disk->store) {
            job(*disk->store);
            ok = true;
          }
        } catch (const StoreError& e) {
          why = e.what();
        }
        return [reply, ok, why] {
          if (!ok) LogLine(Level::kWarn, "ledger store call failed").Why(why);
          reply(ok);
        };
      });
}

bool UsageRecorder::Finish(std::chrono::milliseconds bound) {
  checkpoint_.Cancel();
  const auto begun = std::chrono::steady_clock::now();
  const auto left = [&] {
    return bound -
           std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - begun);
  };
  bool there = worker_.Finish(bound);
  if (there) {
    CollectPostings();
    SubmitBacklog(true);
    there = worker_.Finish(std::max(left(), std::chrono::milliseconds(0)));
  }
  ended_ = true;
  if (there && backlog_.empty()) return true;
  std::int64_t lost = 0;
  for (const Posting& p : backlog_) lost += p.UseUs() + p.unrecorded_us;
  LogLine(Level::kError, "ledger ends with use that was not kept,")
      .Field("use_us", lost)
      .Field("postings", backlog_.size());
  return there;
}

void UsageRecorder::AddFields(LogLine& record) const {
  record.Field("ledger_begun", counts_.begun)
      .Field("ledger_ended", counts_.ended)
      .Field("ledger_open", accounts_.Open())
      .Field("ledger_checkpoints", counts_.checkpoints)
      .Field("ledger_store_failures", counts_.store_failures)
      .Field("ledger_backlog_cells", BacklogCells())
      .Field("ledger_unkept_us", counts_.unrecorded_us)
      .Field("ledger_imbalances", counts_.imbalances)
      .Field("ledger_clock_steps", counts_.clock_steps);
}

}  // namespace stoatrun::ledger
