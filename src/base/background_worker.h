// A thread for what may block (disk, heavy work), with a bounded queue. The loop posts jobs; what a job
// returns is run on the loop's thread afterwards.
#ifndef STOATRUN_BASE_BACKGROUND_WORKER_H_
#define STOATRUN_BASE_BACKGROUND_WORKER_H_

#include <ev.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace stoatrun {

class BackgroundWorker {
 public:
  using Reply = std::function<void()>;  // May be empty.
  using Job = std::function<Reply()>;   // Must not throw.

  // `capacity`: jobs that may wait. Started at the first job.
  BackgroundWorker(struct ev_loop* loop, std::size_t capacity);
  // Gives up what waits. Waits for the job that runs, unless Finish has given it up.
  ~BackgroundWorker();
  BackgroundWorker(const BackgroundWorker&) = delete;
  BackgroundWorker& operator=(const BackgroundWorker&) = delete;

  // False: the queue is full and nothing was taken; the caller keeps its data and comes again.
  bool Post(Job job);
  // Nothing waits or runs, and all replies were run.
  bool IsIdle() const;
  // No job waits or runs; replies may wait.
  bool HasNoJobs() const;
  // Runs what is queued, its replies included, here and now. False: it took longer than `bound` and is given
  // up; its thread may still be in a call that blocks, so the process should end without clearing up.
  bool Finish(std::chrono::milliseconds bound);

 private:
  struct Shared;
  static void OnAsync(struct ev_loop* loop, ev_async* w, int events);
  void RunReplies();

  struct ev_loop* loop_;
  const std::size_t capacity_;
  ev_async async_{};
  std::shared_ptr<Shared> shared_;  // Also the thread's: it may outlive the BackgroundWorker.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_BACKGROUND_WORKER_H_
