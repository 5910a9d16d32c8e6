// A temporary folder for a test, removed with its contents on destruction.
#ifndef STOATRUN_TESTS_BASE_TEMPORARY_FOLDER_H_
#define STOATRUN_TESTS_BASE_TEMPORARY_FOLDER_H_

#include <cstdlib>
#include <filesystem>
#include <string>

namespace stoatrun {

class TemporaryFolder {
 public:
  TemporaryFolder() {
    std::string name = std::filesystem::temp_directory_path() / "stoatrun-XXXXXX";
    path_ = mkdtemp(name.data());
  }
  ~TemporaryFolder() { std::filesystem::remove_all(path_); }
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;
  const std::string& Path() const { return path_; }

 private:
  std::string path_;
};

}  // namespace stoatrun

#endif  // STOATRUN_TESTS_BASE_TEMPORARY_FOLDER_H_
