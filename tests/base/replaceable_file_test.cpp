#include "base/replaceable_file.h"

#include <catch2/catch.hpp>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <system_error>

#include "base/temporary_folder.h"

namespace stoatrun {
namespace {

struct SharedFile {
  TemporaryFolder folder;
  std::string path = folder.Path() + "/shared";
  ReplaceableFile ours{path, 100};
  ReplaceableFile theirs{path, 100};

  std::ptrdiff_t FileCount() const {
    return std::distance(std::filesystem::directory_iterator(folder.Path()),
                         std::filesystem::directory_iterator());
  }
};

TEST_CASE_METHOD(SharedFile, "each replacement by another process is read once") {
  CHECK_FALSE(ours.ReadIfReplaced());
  theirs.Replace("one");
  CHECK(ours.ReadIfReplaced() == "one");
  CHECK_FALSE(ours.ReadIfReplaced());
  theirs.Replace("two");
  theirs.Replace("six");
  CHECK(ours.ReadIfReplaced() == "six");
  ours.Replace("own");
  CHECK_FALSE(ours.ReadIfReplaced());
  CHECK(theirs.ReadIfReplaced() == "own");
  CHECK(FileCount() == 1);
}

TEST_CASE_METHOD(SharedFile, "what is not a file of the expected kind is reported once") {
  SECTION("too large") { std::ofstream(path) << std::string(101, 'x'); }
  SECTION("a folder") { std::filesystem::create_directory(path); }
  CHECK_THROWS_AS(ours.ReadIfReplaced(), std::system_error);
  CHECK_FALSE(ours.ReadIfReplaced());
}

TEST_CASE_METHOD(SharedFile, "a link is not followed") {
  std::ofstream(folder.Path() + "/other") << "x";
  std::filesystem::create_symlink(folder.Path() + "/other", path);
  CHECK_THROWS_AS(ours.ReadIfReplaced(), std::system_error);
}

TEST_CASE_METHOD(SharedFile, "a failed replacement leaves the old content and no other file") {
  theirs.Replace("one");
  std::filesystem::rename(path, folder.Path() + "/kept");
  std::filesystem::create_directory(path);
  std::ofstream(path + "/entry") << "x";
  CHECK_THROWS_AS(ours.Replace("two"), std::system_error);
  CHECK(std::filesystem::is_directory(path));
  CHECK(FileCount() == 2);
}

}  // namespace
}  // namespace stoatrun
