// A disk in memory for SQLite, with the faults of real ones: it loses power at the n-th call that changes
// anything, tears what was not synced, runs full, refuses, stalls. Seeded: the same seed breaks the same way.
#ifndef STOATRUN_TESTS_STANDIN_MEM_DISK_H_
#define STOATRUN_TESTS_STANDIN_MEM_DISK_H_

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
  explicit InMemoryDisk(std::string name);
  ~InMemoryDisk();
  InMemoryDisk(const InMemoryDisk&) = delete;
  InMemoryDisk& operator=(const InMemoryDisk&) = delete;

  const char* Vfs() const { return name_.c_str(); }

  // Calls that change something, so far.
  int Changes() const { return changes_; }
  // At the n-th further change the power goes: that change happens in part or not at all, and all calls fail
  // until PowerOn.
  void LosePowerAt(int n) { power_ = changes_ + n; }
  // The n-th further change fails once with this code and does nothing.
  void FailOnceAt(int n, int code) {
    fail_at_ = changes_ + n;
    fail_code_ = code;
  }
  bool Lost() const { return lost_; }
  // What was not synced is there in part, as the seed says.
  void PowerOn(std::uint64_t seed);
  // Every change fails with this code until set to SQLITE_OK.
  void FailAllWith(int code) { failure_code_ = code; }
  // Syncs wait until Release.
  void Stall();
  void Release();

  // Of the calls below; public for the C functions.
  struct Change {  // Not synced yet.
    sqlite3_int64 offset = 0;
    std::string bytes;
    bool truncate = false;
  };
  struct Content {
    std::string synced, now;
    std::vector<Change> unsynced;
    void Apply(const Change& change, std::string& to) const;
  };
  // SQLITE_OK, or what the call must return instead. `part`: the change happens in part, then the power goes.
  int Step(bool* part = nullptr);
  int Sync(Content& content);
  std::map<std::string, std::shared_ptr<Content>> files;
  std::mt19937_64 random{1};

 private:
  struct Registered;
  std::string name_;
  std::unique_ptr<Registered> registered_;
  int changes_ = 0, power_ = 0, fail_at_ = 0, fail_code_ = 0, failure_code_ = 0;
  bool lost_ = false, stalled_ = false;
  std::mutex guard_;
  std::condition_variable released_;
};

}  // namespace stoatrun::standin

#endif  // STOATRUN_TESTS_STANDIN_MEM_DISK_H_
