// A thread for work that may block (disk access, long computations), with a bounded queue.
//
// The event loop posts jobs; when a job has finished, its reply runs on the loop's thread. All member
// functions must be called on the loop's thread; only the jobs run on the worker thread.
#ifndef STOATRUN_BASE_BACKGROUND_WORKER_H_
#define STOATRUN_BASE_BACKGROUND_WORKER_H_

#include <ev.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace stoatrun {

// Runs jobs on one thread, in the order in which they were posted.
class BackgroundWorker {
 public:
  using Reply = std::function<void()>;  // Runs on the loop's thread. May be empty.
  using Job = std::function<Reply()>;   // Runs on the worker thread. Must not throw.

  // `capacity`: the maximum number of queued jobs. The first job starts the thread.
  BackgroundWorker(struct ev_loop* loop, std::size_t capacity);
  // Discards queued jobs. Waits for the running job, unless Finish has abandoned it.
  ~BackgroundWorker();
  BackgroundWorker(const BackgroundWorker&) = delete;
  BackgroundWorker& operator=(const BackgroundWorker&) = delete;

  // Queues a job. Returns false if the queue is full; the caller must then keep the job's data and retry.
  bool Post(Job job);
  // Returns true if no job is queued or running and all replies have run.
  bool IsIdle() const;
  // Returns true if no job is queued or running; replies may still be pending.
  bool HasNoJobs() const;
  // Blocks until all jobs have finished, and runs their replies. Returns false if this takes longer than
  // `timeout`; the worker is then abandoned. Its thread may still be in a blocking call, so the process
  // should exit without destroying objects that the jobs use.
  bool Finish(std::chrono::milliseconds timeout);

 private:
  struct State;
  static void OnAsync(struct ev_loop* loop, ev_async* watcher, int events);
  void RunReplies();

  struct ev_loop* loop_;
  const std::size_t capacity_;
  ev_async async_{};
  std::shared_ptr<State> state_;  // Shared with the worker thread, which may outlive this object.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_BACKGROUND_WORKER_H_
