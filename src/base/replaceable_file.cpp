#include "base/replaceable_file.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>

#include "base/system_error.h"
#include "base/unique_fd.h"

namespace stoatrun {
namespace {

UniqueFd CreateOwned(const std::string& path) {
  constexpr mode_t kOwnerOnly = 0600;
  UniqueFd file(open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC | O_NOFOLLOW, kOwnerOnly));
  if (!file) ThrowSystemError(errno, path);
  return file;
}

void WriteAll(int fd, std::string_view content, const std::string& path) {
  while (!content.empty()) {
    const ssize_t written = write(fd, content.data(), content.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) ThrowSystemError(errno, path);
    content.remove_prefix(static_cast<std::size_t>(written));
  }
}

// A file that is removed again unless it has been renamed.
class TemporaryFile {
 public:
  explicit TemporaryFile(std::string path) : path_(std::move(path)) {
    unlink(path_.c_str());  // One that a killed process with this id has left.
    file_ = CreateOwned(path_);
  }
  ~TemporaryFile() {
    if (!renamed_) unlink(path_.c_str());
  }
  TemporaryFile(const TemporaryFile&) = delete;
  TemporaryFile& operator=(const TemporaryFile&) = delete;

  int Get() const { return file_.Get(); }
  void RenameTo(const std::string& target) {
    if (rename(path_.c_str(), target.c_str()) != 0) ThrowSystemError(errno, target);
    renamed_ = true;
  }

 private:
  const std::string path_;
  UniqueFd file_;
  bool renamed_ = false;
};

}  // namespace

ReplaceableFile::Version ReplaceableFile::VersionOf(const struct stat& status) {
  return {status.st_dev, status.st_ino, status.st_size, status.st_ctim};
}

bool ReplaceableFile::IsLastVersion(const Version& version) const {
  return last_version_ && last_version_->device == version.device && last_version_->inode == version.inode &&
         last_version_->size == version.size && last_version_->changed.tv_sec == version.changed.tv_sec &&
         last_version_->changed.tv_nsec == version.changed.tv_nsec;
}

std::optional<std::string> ReplaceableFile::ReadIfReplaced() {
  struct stat status {};
  if (lstat(path_.c_str(), &status) != 0) {
    if (errno == ENOENT) return std::nullopt;
    ThrowSystemError(errno, path_);
  }
  if (IsLastVersion(VersionOf(status))) return std::nullopt;
  last_version_ = VersionOf(status);
  UniqueFd file(open(path_.c_str(), O_RDONLY | O_CLOEXEC | O_NOFOLLOW | O_NONBLOCK));
  if (!file) {
    last_version_.reset();  // For want of descriptors, perhaps: worth another try.
    ThrowSystemError(errno, path_);
  }
  if (fstat(file.Get(), &status) != 0) ThrowSystemError(errno, path_);
  last_version_ = VersionOf(status);
  if (!S_ISREG(status.st_mode) || status.st_uid != geteuid()) ThrowSystemError(EINVAL, path_);
  const auto size = static_cast<std::size_t>(status.st_size);
  if (size > max_size_) ThrowSystemError(EFBIG, path_);
  return ReadContent(file.Get(), size);
}

std::string ReplaceableFile::ReadContent(int fd, std::size_t size) const {
  std::string content(size, '\0');
  std::size_t filled = 0;
  while (filled < size) {
    const ssize_t count = read(fd, content.data() + filled, size - filled);
    if (count < 0 && errno == EINTR) continue;
    if (count < 0) ThrowSystemError(errno, path_);
    if (count == 0) break;
    filled += static_cast<std::size_t>(count);
  }
  content.resize(filled);
  return content;
}

void ReplaceableFile::Replace(std::string_view content) {
  TemporaryFile replacement(fmt::format("{}.{}", path_, getpid()));
  WriteAll(replacement.Get(), content, path_);
  replacement.RenameTo(path_);
  struct stat status {};
  if (fstat(replacement.Get(), &status) == 0) last_version_ = VersionOf(status);
}

}  // namespace stoatrun
