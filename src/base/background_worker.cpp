#include "base/background_worker.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace stoatrun {

// `mutex` guards all members except `thread`, which only the loop's thread accesses.
struct BackgroundWorker::State {
  std::mutex mutex;
  std::condition_variable job_posted, job_ended;
  std::deque<Job> jobs;
  std::vector<Reply> replies;
  bool running = false, stop = false, abandoned = false;
  // The watcher that signals replies to the loop; null once destruction has begun, as the loop may no longer
  // exist then.
  struct ev_loop* loop = nullptr;
  ev_async* async = nullptr;
  std::thread thread;

  bool HasNoJobs() const { return jobs.empty() && !running; }

  // The main function of the worker thread.
  void Run() {
    std::unique_lock lock(mutex);
    for (;;) {
      job_posted.wait(lock, [this] { return stop || !jobs.empty(); });
      if (stop) return;
      const Job job = std::move(jobs.front());
      jobs.pop_front();
      running = true;
      lock.unlock();
      Reply reply = job();
      lock.lock();
      running = false;
      if (reply) replies.push_back(std::move(reply));
      if (async != nullptr) ev_async_send(loop, async);
      job_ended.notify_all();
    }
  }
};

BackgroundWorker::BackgroundWorker(struct ev_loop* loop, std::size_t capacity)
    : loop_(loop), capacity_(capacity), state_(std::make_shared<State>()) {
  ev_async_init(&async_, OnAsync);
  async_.data = this;
  ev_async_start(loop_, &async_);
  state_->loop = loop_;
  state_->async = &async_;
}

BackgroundWorker::~BackgroundWorker() {
  bool abandoned = false;
  {
    const std::scoped_lock lock(state_->mutex);
    state_->stop = true;
    state_->jobs.clear();
    state_->async = nullptr;
    abandoned = state_->abandoned;
  }
  state_->job_posted.notify_all();
  if (state_->thread.joinable()) {
    if (abandoned) {
      state_->thread.detach();
    } else {
      state_->thread.join();
    }
  }
  ev_async_stop(loop_, &async_);
}

bool BackgroundWorker::Post(Job job) {
  {
    const std::scoped_lock lock(state_->mutex);
    if (state_->jobs.size() >= capacity_ || state_->stop) return false;
    state_->jobs.push_back(std::move(job));
    if (!state_->thread.joinable()) state_->thread = std::thread([state = state_] { state->Run(); });
  }
  state_->job_posted.notify_one();
  return true;
}

bool BackgroundWorker::IsIdle() const {
  const std::scoped_lock lock(state_->mutex);
  return state_->HasNoJobs() && state_->replies.empty();
}

bool BackgroundWorker::HasNoJobs() const {
  const std::scoped_lock lock(state_->mutex);
  return state_->HasNoJobs();
}

bool BackgroundWorker::Finish(std::chrono::milliseconds timeout) {
  const auto end = std::chrono::steady_clock::now() + timeout;
  while (!IsIdle()) {
    {
      std::unique_lock lock(state_->mutex);
      const bool progress = state_->job_ended.wait_until(
          lock, end, [this] { return state_->HasNoJobs() || !state_->replies.empty(); });
      if (!progress) {
        state_->abandoned = true;
        return false;
      }
    }
    RunReplies();  // A reply may post more jobs.
  }
  return true;
}

void BackgroundWorker::OnAsync(struct ev_loop* /*loop*/, ev_async* watcher, int /*events*/) {
  static_cast<BackgroundWorker*>(watcher->data)->RunReplies();
}

void BackgroundWorker::RunReplies() {
  std::vector<Reply> replies;
  {
    const std::scoped_lock lock(state_->mutex);
    replies.swap(state_->replies);
  }
  for (const Reply& reply : replies) reply();
}

}  // namespace stoatrun
