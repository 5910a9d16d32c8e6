// A disk in memory for SQLite, with the faults of real ones: it loses power at the n-th call that changes
// anything, tears what was not synced, runs full, rejects changes, stalls. Deterministic: the same seed tears
// the same way.
#ifndef STOATRUN_TESTS_STANDIN_IN_MEMORY_DISK_H_
#define STOATRUN_TESTS_STANDIN_IN_MEMORY_DISK_H_

#include <sqlite3.h>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <string>
#include <vector>

namespace stoatrun::standin {

class InMemoryDisk {
 public:
  // Registers a SQLite VFS of that name; one disk of a name at a time.
  explicit InMemoryDisk(std::string name);
  ~InMemoryDisk();
  InMemoryDisk(const InMemoryDisk&) = delete;
  InMemoryDisk& operator=(const InMemoryDisk&) = delete;

  const char* Vfs() const { return name_.c_str(); }

  // Calls that change something, so far.
  int Changes() const { return changes_; }
  // At the n-th further change the power fails: that change happens in part or not at all, and all calls fail
  // until PowerOn.
  void LosePowerAt(int n) { power_loss_at_ = changes_ + n; }
  // The n-th further change fails once with this code and does nothing.
  void FailOnceAt(int n, int code) {
    fail_at_ = changes_ + n;
    fail_code_ = code;
  }
  // Whether the power has failed.
  bool Lost() const { return lost_; }
  // Changes that were not synced are there in part, as the seed says.
  void PowerOn(std::uint64_t seed);
  // Every change fails with this code until set to SQLITE_OK.
  void FailAllWith(int code) { failure_code_ = code; }
  // Syncs block until Release.
  void Stall();
  void Release();

  // The rest is for the VFS functions.

  // A change that is not synced yet.
  struct Change {
    sqlite3_int64 offset = 0;
    std::string bytes;
    bool truncate = false;
  };
  struct Content {
    std::string synced, current;
    std::vector<Change> unsynced;
    void Apply(const Change& change, std::string& target) const;
  };
  // Counts a change. Returns SQLITE_OK, or what the call must return instead. `partial` is set if the change
  // happens in part before the power fails.
  int CountChange(bool* partial = nullptr);
  int Sync(Content& content);
  std::map<std::string, std::shared_ptr<Content>> files;
  std::mt19937_64 random{1};

 private:
  struct Registration;
  std::string name_;
  std::unique_ptr<Registration> registration_;
  int changes_ = 0, power_loss_at_ = 0, fail_at_ = 0, fail_code_ = 0, failure_code_ = 0;
  bool lost_ = false, stalled_ = false;
  std::mutex mutex_;
  std::condition_variable released_;
};

}  // namespace stoatrun::standin

#endif  // STOATRUN_TESTS_STANDIN_IN_MEMORY_DISK_H_
