#include "base/background_worker.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace stoatrun {

struct BackgroundWorker::Shared {
  std::mutex guard;
  std::condition_variable work, rest;
  std::deque<Job> jobs;
  std::vector<Reply> replies;
  bool running = false, stop = false, given_up = false;
  // Sending to a loop that is gone would be a use after its end: taken back under the guard.
  struct ev_loop* loop = nullptr;
  ev_async* async = nullptr;
  std::thread thread;

  void Run() {
    std::unique_lock lock(guard);
    for (;;) {
      work.wait(lock, [this] { return stop || !jobs.empty(); });
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
      rest.notify_all();
    }
  }
};

BackgroundWorker::BackgroundWorker(struct ev_loop* loop, std::size_t capacity)
    : loop_(loop), capacity_(capacity), shared_(std::make_shared<Shared>()) {
  ev_async_init(&async_, OnAsync);
  async_.data = this;
  ev_async_start(loop_, &async_);
  shared_->loop = loop_;
  shared_->async = &async_;
}

BackgroundWorker::~BackgroundWorker() {
  bool given_up = false;
  {
    const std::scoped_lock lock(shared_->guard);
    shared_->stop = true;
    shared_->jobs.clear();
    shared_->async = nullptr;
    given_up = shared_->given_up;
  }
  shared_->work.notify_all();
  if (shared_->thread.joinable()) {
    if (given_up) {
      shared_->thread.detach();
    } else {
      shared_->thread.join();
    }
  }
  ev_async_stop(loop_, &async_);
}

bool BackgroundWorker::Post(Job job) {
  {
    const std::scoped_lock lock(shared_->guard);
    if (shared_->jobs.size() >= capacity_ || shared_->stop) return false;
    shared_->jobs.push_back(std::move(job));
    if (!shared_->thread.joinable()) shared_->thread = std::thread([s = shared_] { s->Run(); });
  }
  shared_->work.notify_one();
  return true;
}

bool BackgroundWorker::IsIdle() const {
  const std::scoped_lock lock(shared_->guard);
  return shared_->jobs.empty() && !shared_->running && shared_->replies.empty();
}

bool BackgroundWorker::HasNoJobs() const {
  const std::scoped_lock lock(shared_->guard);
  return shared_->jobs.empty() && !shared_->running;
}

bool BackgroundWorker::Finish(std::chrono::milliseconds bound) {
  const auto end = std::chrono::steady_clock::now() + bound;
  while (!IsIdle()) {
    {
      std::unique_lock lock(shared_->guard);
      const bool rested = shared_->rest.wait_until(lock, end, [this] {
        return (shared_->jobs.empty() && !shared_->running) || !shared_->replies.empty();
      });
      if (!rested) {
        shared_->given_up = true;
        return false;
      }
    }
    RunReplies();  // Which may post more.
  }
  return true;
}

void BackgroundWorker::OnAsync(struct ev_loop* /*loop*/, ev_async* w, int /*events*/) {
  static_cast<BackgroundWorker*>(w->data)->RunReplies();
}

void BackgroundWorker::RunReplies() {
  std::vector<Reply> replies;
  {
    const std::scoped_lock lock(shared_->guard);
    replies.swap(shared_->replies);
  }
  for (const Reply& reply : replies) reply();
}

}  // namespace stoatrun
