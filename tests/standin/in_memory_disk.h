// An in-memory disk for SQLite with fault injection: it can lose power at the n-th call that modifies data,
// tear writes that were not synced, fail writes (disk full, I/O error, read-only) and block syncs.
// Deterministic: the same seed tears the same writes.
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
  // Registers a SQLite VFS of this name. Only one disk of a name may exist at a time.
  explicit InMemoryDisk(std::string name);
  ~InMemoryDisk();
  InMemoryDisk(const InMemoryDisk&) = delete;
  InMemoryDisk& operator=(const InMemoryDisk&) = delete;

  const char* Vfs() const { return name_.c_str(); }

  // The number of modifying calls so far.
  int ChangeCount() const { return change_count_; }
  // Loses power at the n-th change from now: that change is applied partially or not at all, and all calls
  // fail until PowerOn.
  void LosePowerAt(int n) { power_loss_at_ = change_count_ + n; }
  // Makes the n-th change from now fail with this code, without any effect.
  void FailOnceAt(int n, int code) {
    one_time_fail_at_ = change_count_ + n;
    one_time_fail_code_ = code;
  }
  bool HasLostPower() const { return power_lost_; }
  // Restores power. A random part of the changes that were not synced, chosen by `seed`, is kept.
  void PowerOn(std::uint64_t seed);
  // Makes every change fail with this code, until called with SQLITE_OK.
  void FailAllWith(int code) { persistent_fail_code_ = code; }
  // Makes syncs block until UnblockSyncs.
  void BlockSyncs();
  void UnblockSyncs();

  // The remaining members are for the VFS functions.

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
  // Counts a change. Returns SQLITE_OK or the error that the call must return. Sets `partial` if the power
  // fails during the change, which may then be applied partially.
  int CountChange(bool* partial = nullptr);
  int Sync(Content& content);
  std::map<std::string, std::shared_ptr<Content>> files;
  std::mt19937_64 random{1};

 private:
  struct VfsRegistration;
  std::string name_;
  std::unique_ptr<VfsRegistration> registration_;
  int change_count_ = 0, power_loss_at_ = 0, one_time_fail_at_ = 0, one_time_fail_code_ = 0,
      persistent_fail_code_ = 0;
  bool power_lost_ = false, syncs_blocked_ = false;
  std::mutex mutex_;
  std::condition_variable syncs_unblocked_;
};

}  // namespace stoatrun::standin

#endif  // STOATRUN_TESTS_STANDIN_IN_MEMORY_DISK_H_
