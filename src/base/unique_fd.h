// RAII ownership of a file descriptor. Not thread-safe.
#ifndef STOATRUN_BASE_UNIQUE_FD_H_
#define STOATRUN_BASE_UNIQUE_FD_H_

#include <unistd.h>

#include <utility>

namespace stoatrun {

// Owns at most one file descriptor; negative values mean none, as in the results of system calls.
class UniqueFd {
 public:
  UniqueFd() = default;
  // Takes ownership of `fd`.
  explicit UniqueFd(int fd) : fd_(fd) {}
  ~UniqueFd() { Reset(); }
  UniqueFd(UniqueFd&& other) noexcept : fd_(other.Release()) {}
  UniqueFd& operator=(UniqueFd&& other) noexcept {
    if (this != &other) Reset(other.Release());
    return *this;
  }
  UniqueFd(const UniqueFd&) = delete;
  UniqueFd& operator=(const UniqueFd&) = delete;

  // Returns the descriptor without releasing ownership; negative if there is none.
  int Get() const { return fd_; }
  explicit operator bool() const { return fd_ >= 0; }

  // Releases ownership to the caller without closing the descriptor.
  int Release() { return std::exchange(fd_, -1); }

  // Closes the current descriptor, if any, and takes ownership of `fd`.
  void Reset(int fd = -1) {
    const int old = std::exchange(fd_, fd);
    if (old >= 0) close(old);
  }

 private:
  int fd_ = -1;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_UNIQUE_FD_H_
