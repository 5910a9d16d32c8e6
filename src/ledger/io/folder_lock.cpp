#include "ledger/io/folder_lock.h"

#include <fcntl.h>
#include <sys/file.h>

#include <cerrno>
#include <cstring>

#include "ledger/io/store_error.h"

namespace stoatrun::ledger {
namespace {

constexpr mode_t kLockFileMode = 0644;

StoreErrorCode ErrorCodeFromErrno(int error) {
  if (error == ENOSPC || error == EDQUOT) return StoreErrorCode::kFull;
  return error == EIO ? StoreErrorCode::kIo : StoreErrorCode::kReadOnly;
}

UniqueFd OpenLockFile(const std::string& folder) {
  const std::string path = folder + "/relay.lock";
  UniqueFd file(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockFileMode));
  if (file) return file;
  const int error = errno;
  throw StoreError(
      ErrorCodeFromErrno(error),
      path + ": " + std::strerror(error));  // NOLINT(concurrency-mt-unsafe): thread-safe in glibc.
}

}  // namespace

FolderLock::FolderLock(const std::string& folder) : file_(OpenLockFile(folder)) {
  if (flock(file_.Get(), LOCK_EX | LOCK_NB) == 0) return;
  throw StoreError(StoreErrorCode::kLocked, folder + ": the folder is locked by another relay process");
}

}  // namespace stoatrun::ledger
