// A small file that several processes read and replace as a whole. Readers never see a part of a replacement.
//
// It serves processes that run at the same time, so nothing is synced to the disk. Not thread-safe; each
// method may block on the file system.
#ifndef STOATRUN_BASE_REPLACEABLE_FILE_H_
#define STOATRUN_BASE_REPLACEABLE_FILE_H_

#include <sys/stat.h>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace stoatrun {

// One such file, which may not exist yet.
class ReplaceableFile {
 public:
  // `max_size`: larger files are not read, in bytes.
  ReplaceableFile(std::string path, std::size_t max_size) : path_(std::move(path)), max_size_(max_size) {}

  // Returns the content if the file has been replaced since the last ReadIfReplaced or Replace; nullopt if
  // not, or if there is none. Throws std::system_error, also if it is too large or not a regular file of this
  // user; then the same file is not read again.
  std::optional<std::string> ReadIfReplaced();
  // Replaces the content. Throws std::system_error; the old content stays then.
  void Replace(std::string_view content);

 private:
  // Distinguishes the versions of the file.
  struct Version {
    dev_t device = 0;
    ino_t inode = 0;
    off_t size = 0;
    timespec changed{};
  };
  static Version VersionOf(const struct stat& status);
  bool IsLastVersion(const Version& version) const;
  std::string ReadContent(int fd, std::size_t size) const;

  const std::string path_;
  const std::size_t max_size_;
  std::optional<Version> last_version_;  // The last one read or written.
};

}  // namespace stoatrun

#endif  // STOATRUN_BASE_REPLACEABLE_FILE_H_
