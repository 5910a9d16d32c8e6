// Exclusive use of a ledger's folder by one relay process.
#ifndef STOATRUN_LEDGER_IO_FOLDER_LOCK_H_
#define STOATRUN_LEDGER_IO_FOLDER_LOCK_H_

#include <string>

#include "base/unique_fd.h"

namespace stoatrun::ledger {

// Owns an advisory lock (flock) on the file `relay.lock` in a folder. The kernel releases it when the process
// ends, however it ends. Command line programs, which only read or enter corrections, don't take it.
class FolderLock {
 public:
  // Locks `folder` without waiting. Throws StoreError: kLocked if another process holds the lock, else what
  // kept the file from being opened.
  explicit FolderLock(const std::string& folder);

 private:
  UniqueFd file_;  // Closing it releases the lock.
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_FOLDER_LOCK_H_
