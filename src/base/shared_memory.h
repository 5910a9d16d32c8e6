// Zero-initialised memory that a process shares with its successor by way of a file, or that is its own.
#ifndef STOATRUN_BASE_SHARED_MEMORY_H_
#define STOATRUN_BASE_SHARED_MEMORY_H_

#include <cstddef>
#include <string>

namespace stoatrun {

// Owns one mapping.
class SharedMemory {
 public:
  // Maps `size` bytes that no other process sees. Throws std::system_error.
  explicit SharedMemory(std::size_t size);
  // Maps the file at `path`, which is created with `size` zeros if it does not exist. Throws
  // std::system_error, also if the file has another size or is not a regular file of this user.
  SharedMemory(const std::string& path, std::size_t size);
  ~SharedMemory();
  SharedMemory(const SharedMemory&) = delete;
  SharedMemory& operator=(const SharedMemory&) = delete;

  // The start of the memory, aligned to a page.
  void* Data() const { return data_; }

 private:
  std::size_t size_;
  void* data_;
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_SHARED_MEMORY_H_
