// A thread for work that may block (disk access, long computations), with a bounded queue.
//
// The event loop posts jobs; a job's reply is run on the loop's thread afterwards. All members are to be
// called on the loop's thread; only the jobs run on the worker's.
#ifndef STOATRUN_BASE_BACKGROUND_WORKER_H_
#define STOATRUN_BASE_BACKGROUND_WORKER_H_

#include <ev.h>

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

namespace stoatrun {

// One thread that runs jobs in the order in which they were posted.
class BackgroundWorker {
 public:
  using Reply = std::function<void()>;  // Runs on the loop's thread. May be empty.
  using Job = std::function<Reply()>;   // Runs on the worker's thread. Must not throw.

  // `capacity`: the number of jobs that may wait. The thread is started by the first job.
  BackgroundWorker(struct ev_loop* loop, std::size_t capacity);
  // Drops the jobs that wait. Waits for the job that runs, unless Finish has abandoned it.
  ~BackgroundWorker();
  BackgroundWorker(const BackgroundWorker&) = delete;
  BackgroundWorker& operator=(const BackgroundWorker&) = delete;

  // Queues a job. False: the queue is full and the job was not taken; the caller keeps its data and tries
  // again.
  bool Post(Job job);
  // No job waits or runs, and all replies have been run.
  bool IsIdle() const;
  // No job waits or runs; replies may still be to run.
  bool HasNoJobs() const;
  // Blocks until all jobs have ended and runs their replies. False: it took longer than `timeout`, and the
  // worker is abandoned. Its thread may still be in a blocking call, so the process should end without
  // destroying what the jobs use.
  bool Finish(std::chrono::milliseconds timeout);

 private:
  struct State;
  static void OnAsync(struct ev_loop* loop, ev_async* watcher, int events);
  void RunReplies();

  struct ev_loop* loop_;
  const std::size_t capacity_;
  ev_async async_{};
  std::shared_ptr<State> state_;  // Shared with the thread, which may outlive this object.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_BACKGROUND_WORKER_H_
