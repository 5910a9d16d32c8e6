// A lock that gives one relay process exclusive use of a ledger's folder.
#ifndef STOATRUN_LEDGER_IO_FOLDER_LOCK_H_
#define STOATRUN_LEDGER_IO_FOLDER_LOCK_H_

#include <string>

#include "base/unique_fd.h"

namespace stoatrun::ledger {

// Holds an advisory lock (flock) on the file `relay.lock` in a folder. The kernel releases the lock when the
// process exits or crashes. Command line programs only read or enter corrections and do not take the lock.
class FolderLock {
 public:
  // Locks `folder` without waiting. Throws StoreError: kLocked if another process holds the lock, otherwise
  // the code for the error of opening the lock file.
  explicit FolderLock(const std::string& folder);

 private:
  UniqueFd file_;  // Closing it releases the lock.
};

}  // namespace stoatrun::ledger

#endif  // STOATRUN_LEDGER_IO_FOLDER_LOCK_H_
