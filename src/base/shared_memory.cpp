#include "base/shared_memory.h"

#include <fcntl.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>

#include "base/system_error.h"
#include "base/unique_fd.h"

namespace stoatrun {
namespace {

void* Map(std::size_t size, int flags, int fd, const std::string& what) {
  void* data = mmap(nullptr, size, PROT_READ | PROT_WRITE, flags, fd, 0);
  if (data == MAP_FAILED) ThrowSystemError(errno, what);
  return data;
}

UniqueFd OpenFile(const std::string& path, std::size_t size) {
  constexpr mode_t kOwnerOnly = 0600;
  UniqueFd file(open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly));
  if (!file) ThrowSystemError(errno, path);
  struct stat status {};
  if (fstat(file.Get(), &status) != 0) ThrowSystemError(errno, path);
  const bool is_new = status.st_size == 0;
  const bool fits = is_new || status.st_size == static_cast<off_t>(size);
  if (!S_ISREG(status.st_mode) || status.st_uid != geteuid() || !fits) ThrowSystemError(EINVAL, path);
  // Reserves the space, as a write to a mapping without it would end the process.
  if (const int error = posix_fallocate(file.Get(), 0, static_cast<off_t>(size))) {
    ThrowSystemError(error, path);
  }
  return file;
}

}  // namespace

SharedMemory::SharedMemory(std::size_t size)
    : size_(size), data_(Map(size, MAP_PRIVATE | MAP_ANONYMOUS, -1, "memory")) {}

SharedMemory::SharedMemory(const std::string& path, std::size_t size)
    : size_(size), data_(Map(size, MAP_SHARED, OpenFile(path, size).Get(), path)) {}

SharedMemory::~SharedMemory() { munmap(data_, size_); }

}  // namespace stoatrun
